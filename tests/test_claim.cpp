/** @file test_claim.cpp Claims of batch groups: rules and a model of several workers. */
#include "core/invariant_func.h"
#include "policy/claim_func.h"
#include "support/property_func.h"

using namespace skylark;
using namespace std::chrono_literals;

namespace {

struct ClaimFixture {
    GroupContext context{SessionId{"own"}, TimePoint(10s), TimePoint(20s), JobState::Active}; ///< Allows effects.
    std::set<SessionId> live{SessionId{"own"}, SessionId{"other"}}; ///< Live sessions.
    VersionedGroup present{{GroupState::Claimed, SessionId{"other"}, Epoch{3}, {}, 0, 0, BlobId{"part"}, WriteId{"w"}}, KvVersion{7}}; ///< Record.

    ClaimDecision claim()
    {
        return decideClaim(this->present, &this->live, this->context, WriteId{"new"});
    }

    CompletionDecision complete(std::uint64_t epoch)
    {
        return decideCompletion(this->present, Epoch{epoch}, this->context, {BlobId{"result"}, 256, 2}, WriteId{"new"});
    }
};

/** The key-value service with one group key. */
struct ModelService {
    std::optional<VersionedGroup> group; ///< Present value.
    std::set<SessionId> sessions; ///< Live session keys.
    std::vector<GroupRecord> done; ///< Done records ever written.
    std::vector<GroupRecord> before; ///< Record that each done record replaced.
    bool changedAfterDone{false}; ///< Whether a done record was replaced.

    bool write(const GroupRecord &record, KvVersion expected)
    {
        const KvVersion version = this->group ? this->group->version : KvVersion{0};
        if (version != expected) {
            return false;
        }
        if (this->group && this->group->record.state == GroupState::Done) {
            this->changedAfterDone = true;
        }
        if (record.state == GroupState::Done) {
            this->before.push_back(this->group ? this->group->record : GroupRecord{});
            this->done.push_back(record);
        }
        this->group = VersionedGroup{record, KvVersion{version.value + 1}};
        return true;
    }
};

/** One host; its belief may be out of date. */
struct ModelWorker {
    SessionId session; ///< Session.
    std::optional<VersionedGroup> held; ///< Group as this worker believes to hold it.
    std::set<SessionId> seenSessions; ///< Live sessions as last read.
    std::optional<VersionedGroup> seenGroup; ///< Record as last read.
    TimePoint deadline{}; ///< Local lease deadline.
    bool knowsCancel{false}; ///< Whether the cancel has reached this worker.
    std::optional<std::pair<GroupRecord, KvVersion>> delayed; ///< Write whose answer was lost; it may still arrive.
    unsigned finishedWith{0}; ///< Completions that this worker believes to have made.
};

/** Several workers with random steps over one record. */
struct ClaimModel {
    static constexpr auto ttl = 10s; ///< Lease at the service.
    ModelService service; ///< Shared record.
    std::vector<ModelWorker> workers; ///< Hosts.
    std::vector<TimePoint> serviceDeadline; ///< End of each lease at the service.
    TimePoint now{100s}; ///< Time.
    bool cancelled{false}; ///< Whether the job is cancelled.
    std::uint64_t writes{0}; ///< Makes write ids.
    std::vector<std::string> faults; ///< Broken rules.

    explicit ClaimModel(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            this->workers.push_back({SessionId{"s" + std::to_string(i)}, {}, {}, {}, {}, false, {}, 0});
            this->serviceDeadline.push_back({});
            this->renew(i);
        }
    }

    GroupContext contextOf(const ModelWorker &worker)
    {
        return {worker.session, this->now, worker.deadline, worker.knowsCancel ? JobState::Cancelled : JobState::Active};
    }

    WriteId nextWriteId()
    {
        return {"w" + std::to_string(++this->writes)};
    }

    void renew(std::size_t index)
    {
        this->service.sessions.insert(this->workers[index].session);
        this->workers[index].deadline = this->now + ttl - 2s;
        this->serviceDeadline[index] = this->now + ttl;
    }

    void advance(std::chrono::seconds step)
    {
        this->now += step;
        for (std::size_t i = 0; i < this->workers.size(); ++i) {
            if (this->now >= this->serviceDeadline[i]) {
                this->service.sessions.erase(this->workers[i].session);
            }
        }
    }

    /** Reads sessions, then the record, at different times. */
    void readSessions(ModelWorker &worker)
    {
        worker.seenSessions = this->service.sessions;
    }

    /** Applies a write; with @p loseAnswer the worker does not learn the outcome, and the write may take effect later. */
    void write(ModelWorker &worker, const GroupRecord &record, KvVersion expected, unsigned fate)
    {
        if (fate == 2) {
            worker.delayed = {record, expected};
            return;
        }
        const bool taken = this->service.write(record, expected);
        if (fate == 1) {
            worker.seenGroup = this->service.group;
            return;
        }
        if (taken && record.state == GroupState::Claimed) {
            worker.held = this->service.group;
        } else if (record.state == GroupState::Done) {
            worker.held.reset();
            worker.finishedWith += taken ? 1 : 0;
        } else {
            worker.held.reset();
        }
    }

    void claim(ModelWorker &worker, unsigned fate)
    {
        if (worker.held) {
            return;
        }
        const ClaimDecision decision = decideClaim(worker.seenGroup, &worker.seenSessions, this->contextOf(worker), this->nextWriteId());
        if (decision.action == ClaimAction::Resume) {
            worker.held = worker.seenGroup;
        }
        if (decision.action != ClaimAction::Create && decision.action != ClaimAction::TakeOver) {
            return;
        }
        if (worker.knowsCancel || this->now >= worker.deadline) {
            this->faults.emplace_back("claim after cancel or lease deadline");
        }
        const auto &seen = worker.seenGroup;
        if (seen && seen->record.state == GroupState::Claimed && worker.seenSessions.contains(seen->record.session)) {
            this->faults.emplace_back("claim of a live session taken over");
        }
        this->write(worker, decision.write, decision.expected, fate);
    }

    void complete(ModelWorker &worker, unsigned fate, bool readBack)
    {
        if (!worker.held) {
            return;
        }
        const Epoch epoch = worker.held->record.epoch;
        const VersionedGroup present = readBack && this->service.group ? *this->service.group : *worker.held;
        const CompletionDecision decision =
            decideCompletion(present, epoch, this->contextOf(worker), {BlobId{"by " + worker.session.value}, 256, 0}, this->nextWriteId());
        if (decision.action == CompletionAction::Write) {
            if (worker.knowsCancel || this->now >= worker.deadline) {
                this->faults.emplace_back("completion after cancel or lease deadline");
            }
            this->write(worker, decision.write, decision.expected, fate);
        } else if (decision.action != CompletionAction::Suspend) {
            worker.held.reset();
        }
    }

    void release(ModelWorker &worker, unsigned fate)
    {
        if (worker.held && mayAffectGroup(this->contextOf(worker))) {
            this->write(worker, makeRelease(worker.held->record, BlobId{"partial"}, this->nextWriteId()), worker.held->version, fate);
        }
    }

    void step(std::size_t index, unsigned action, unsigned fate)
    {
        ModelWorker &worker = this->workers[index];
        switch (action) {
        case 0:
            this->readSessions(worker);
            break;
        case 1:
            worker.seenGroup = this->service.group;
            break;
        case 2:
        case 3:
            this->claim(worker, fate);
            break;
        case 4:
            this->complete(worker, fate, false);
            break;
        case 5:
            this->complete(worker, fate, true);
            break;
        case 6:
            this->release(worker, fate);
            break;
        case 7:
            this->renew(index);
            break;
        case 8:
            this->advance(std::chrono::seconds(1 + fate * 4));
            break;
        case 9:
            worker.knowsCancel = worker.knowsCancel || this->cancelled;
            break;
        default:
            if (worker.delayed) {
                this->service.write(worker.delayed->first, worker.delayed->second);
                worker.delayed.reset();
            }
            break;
        }
    }
};

/** Counts violated invariants instead of ending the process. */
struct ViolationCounter {
    unsigned count{0}; ///< Violations.

    ViolationCounter()
    {
        setViolationHandler([this](Promise, std::string_view, std::string_view, int) {
            ++this->count;
        });
    }
    ~ViolationCounter()
    {
        setViolationHandler({});
    }
    ViolationCounter(const ViolationCounter &) = delete;
    ViolationCounter &operator=(const ViolationCounter &) = delete;
};

} // namespace

TEST_CASE_METHOD(ClaimFixture, "decideClaim_absent_createsFirstEpoch")
{
    const ClaimDecision decision = decideClaim({}, nullptr, this->context, WriteId{"new"});
    CHECK(decision.action == ClaimAction::Create);
    CHECK(decision.expected.value == 0);
    CHECK(decision.write.epoch.value == 1);
    CHECK(decision.write.session == this->context.own);
}

TEST_CASE_METHOD(ClaimFixture, "decideClaim_claimedByLiveOrUnknownSession_leaves")
{
    CHECK(this->claim().action == ClaimAction::Leave);
    CHECK(decideClaim(this->present, nullptr, this->context, {}).action == ClaimAction::Leave);
}

TEST_CASE_METHOD(ClaimFixture, "decideClaim_sessionGone_takesOverWithNextEpochAndPartialBlob")
{
    this->live.erase(SessionId{"other"});
    const ClaimDecision decision = this->claim();
    CHECK(decision.action == ClaimAction::TakeOver);
    CHECK(decision.expected.value == 7);
    CHECK(decision.write.epoch.value == 4);
    CHECK(decision.write.partialBlob.value == "part");
}

TEST_CASE_METHOD(ClaimFixture, "decideClaim_releasedBySession_takesOver")
{
    this->present.record.state = GroupState::Released;
    CHECK(this->claim().action == ClaimAction::TakeOver);
}

// Guards against a finished group being run and recorded again.
TEST_CASE_METHOD(ClaimFixture, "decideClaim_done_isFinal")
{
    this->present.record.state = GroupState::Done;
    this->live.clear();
    CHECK(this->claim().action == ClaimAction::Finished);
}

// Guards against a claim whose answer was lost being held by nobody until the session ends.
TEST_CASE_METHOD(ClaimFixture, "decideClaim_recordNamesOwnSession_resumes")
{
    this->present.record.session = this->context.own;
    CHECK(this->claim().action == ClaimAction::Resume);
}

TEST_CASE_METHOD(ClaimFixture, "decideCompletion_ownClaim_writesDone")
{
    this->present.record.session = this->context.own;
    const CompletionDecision decision = this->complete(3);
    CHECK(decision.action == CompletionAction::Write);
    CHECK(decision.write.state == GroupState::Done);
    CHECK(decision.write.resultBlob.value == "result");
    CHECK(decision.expected.value == 7);
}

TEST_CASE_METHOD(ClaimFixture, "decideCompletion_takenOverOrOlderEpoch_drops")
{
    CHECK(this->complete(3).action == CompletionAction::Drop);
    this->present.record.session = this->context.own;
    CHECK(this->complete(2).action == CompletionAction::Drop);
}

TEST_CASE_METHOD(ClaimFixture, "decideCompletion_cancelledOrLeasePassed_writesNothing")
{
    this->present.record.session = this->context.own;
    this->context.job = JobState::Cancelled;
    CHECK(this->complete(3).action == CompletionAction::Stop);
    this->context.job = JobState::Active;
    this->context.now = this->context.leaseDeadline;
    CHECK(this->complete(3).action == CompletionAction::Suspend);
    this->present.record.state = GroupState::Done;
    CHECK(this->complete(3).action == CompletionAction::AlreadyDone);
}

// Guards against a second result, or a changed one, under pauses, expired sessions, lost and late answers and cancels.
TEST_CASE("claims_randomWorkers_oneDoneRecordThatNeverChanges")
{
    unsigned finishedRuns = 0;
    unsigned cancelledRuns = 0;
    CHECK(propertyHolds({.name = "one done record", .cases = 400}, [&finishedRuns, &cancelledRuns] {
        const ViolationCounter violations;
        ClaimModel model(4);
        const auto cancelAt = *rc::gen::inRange(0, 800);
        for (int step = 0; step < 400; ++step) {
            model.cancelled = model.cancelled || step == cancelAt;
            const auto action = *rc::gen::inRange(0U, 11U);
            const auto fate = *rc::gen::weightedElement<unsigned>({{4, 0U}, {1, 1U}, {1, 2U}});
            model.step(*rc::gen::inRange<std::size_t>(0, 4), action, fate);
        }
        RC_ASSERT(violations.count == 0U);
        RC_ASSERT(model.faults.empty());
        RC_ASSERT_FALSE(model.service.changedAfterDone);
        RC_ASSERT(model.service.done.size() <= 1U);
        for (std::size_t i = 0; i < model.service.done.size(); ++i) {
            RC_ASSERT(model.service.before[i].state == GroupState::Claimed);
            RC_ASSERT(model.service.before[i].session == model.service.done[i].session);
            RC_ASSERT(model.service.before[i].epoch == model.service.done[i].epoch);
        }
        finishedRuns += model.service.done.size();
        cancelledRuns += model.cancelled && model.service.done.empty() ? 1 : 0;
    }));
    CHECK(finishedRuns > 100);
    CHECK(cancelledRuns > 0);
}

// Guards against a group that no step can finish any more once faults end.
TEST_CASE("claims_afterFaultsEnd_groupIsFinished")
{
    CHECK(propertyHolds({.name = "group is finished", .cases = 400}, [] {
        ClaimModel model(4);
        for (int step = 0; step < 200; ++step) {
            model.step(*rc::gen::inRange<std::size_t>(0, 4), *rc::gen::inRange(0U, 11U), *rc::gen::inRange(0U, 3U));
        }
        model.advance(30s);
        for (int round = 0; round < 3; ++round) {
            model.renew(0);
            for (const unsigned action : {10U, 0U, 1U, 2U, 5U}) {
                model.step(0, action, 0);
            }
        }
        RC_ASSERT(model.service.group.has_value());
        RC_ASSERT(model.service.group->record.state == GroupState::Done);
    }));
}
