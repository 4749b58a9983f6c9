/** @file test_claim.cpp Tests of the claims of batch groups: single decisions, and a model of several workers. */
#include "core/invariant_func.h"
#include "policy/claim_func.h"
#include "support/property_func.h"

using namespace skylark;
using namespace std::chrono_literals;

namespace {

struct ClaimFixture {
    GroupContext context{SessionId{"own"}, TimePoint(10s), TimePoint(20s), JobState::Active}; ///< Active job, valid lease.
    std::set<SessionId> live{SessionId{"own"}, SessionId{"other"}};
    /** Group that the other session, which is live, has claimed. */
    VersionedGroup current{{GroupState::Claimed, SessionId{"other"}, Epoch{3}, {}, 0, 0, BlobId{"part"}, WriteId{"w"}}, KvVersion{7}};

    ClaimDecision claim()
    {
        return decideClaim(this->current, &this->live, this->context, WriteId{"new"});
    }

    CompletionDecision complete(std::uint64_t epoch)
    {
        return decideCompletion(this->current, Epoch{epoch}, this->context, {BlobId{"result"}, 256, 2}, WriteId{"new"});
    }
};

/** Model of the key-value service with one group key. */
struct ModelService {
    std::optional<VersionedGroup> group; ///< Current value; empty if the key is absent.
    std::set<SessionId> sessions; ///< Sessions whose lease has not expired.
    std::vector<GroupRecord> done; ///< All done records that were written.
    std::vector<GroupRecord> before; ///< For each done record, the record that it replaced.
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

/** One host; its cached view may be stale. */
struct ModelWorker {
    SessionId session;
    std::optional<VersionedGroup> held; ///< Group that this worker considers to be held by itself.
    std::set<SessionId> seenSessions; ///< Live sessions, as last read.
    std::optional<VersionedGroup> seenGroup; ///< Record, as last read.
    TimePoint deadline{}; ///< Local lease deadline.
    bool knowsCancel{false}; ///< Whether this worker knows that the job is cancelled.
    std::optional<std::pair<GroupRecord, KvVersion>> delayed; ///< Write that is still in transit and may reach the service later.
    unsigned completions{0}; ///< Done records that this worker knows to have written.
};

/** Several workers that take random steps on one record. */
struct ClaimModel {
    static constexpr auto ttl = 10s; ///< Length of a lease at the service.
    ModelService service;
    std::vector<ModelWorker> workers;
    std::vector<TimePoint> serviceDeadline; ///< For each worker, the end of its lease at the service.
    TimePoint now{100s}; ///< Simulated time.
    bool cancelled{false}; ///< Whether the job is cancelled.
    std::uint64_t writes{0}; ///< Counter for write ids.
    std::vector<std::string> faults; ///< Rules that a worker violated.

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

    /** Reads the live sessions. A separate step from the read of the record, as both happen at different times. */
    void readSessions(ModelWorker &worker)
    {
        worker.seenSessions = this->service.sessions;
    }

    /**
     * Sends a write to the service.
     * @param delivery 0: the worker gets the answer. 1: the answer is lost and the worker reads the record. 2: the write is delayed.
     */
    void write(ModelWorker &worker, const GroupRecord &record, KvVersion expected, unsigned delivery)
    {
        if (delivery == 2) {
            worker.delayed = {record, expected};
            return;
        }
        const bool accepted = this->service.write(record, expected);
        if (delivery == 1) {
            worker.seenGroup = this->service.group;
            return;
        }
        if (accepted && record.state == GroupState::Claimed) {
            worker.held = this->service.group;
        } else if (record.state == GroupState::Done) {
            worker.held.reset();
            worker.completions += accepted ? 1 : 0;
        } else {
            worker.held.reset();
        }
    }

    void claim(ModelWorker &worker, unsigned delivery)
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
        this->write(worker, decision.write, decision.expected, delivery);
    }

    void complete(ModelWorker &worker, unsigned delivery, bool readBack)
    {
        if (!worker.held) {
            return;
        }
        const Epoch epoch = worker.held->record.epoch;
        const VersionedGroup current = readBack && this->service.group ? *this->service.group : *worker.held;
        const CompletionDecision decision =
            decideCompletion(current, epoch, this->contextOf(worker), {BlobId{"by " + worker.session.value}, 256, 0}, this->nextWriteId());
        if (decision.action == CompletionAction::Write) {
            if (worker.knowsCancel || this->now >= worker.deadline) {
                this->faults.emplace_back("completion after cancel or lease deadline");
            }
            this->write(worker, decision.write, decision.expected, delivery);
        } else if (decision.action != CompletionAction::Suspend) {
            worker.held.reset();
        }
    }

    void release(ModelWorker &worker, unsigned delivery)
    {
        if (worker.held && mayProcessGroup(this->contextOf(worker))) {
            this->write(worker, makeRelease(worker.held->record, BlobId{"partial"}, this->nextWriteId()), worker.held->version, delivery);
        }
    }

    /** Takes one step. @param action Selects the step. @param delivery See write(); also scales the steps of time. */
    void step(std::size_t index, unsigned action, unsigned delivery)
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
            this->claim(worker, delivery);
            break;
        case 4:
            this->complete(worker, delivery, false);
            break;
        case 5:
            this->complete(worker, delivery, true);
            break;
        case 6:
            this->release(worker, delivery);
            break;
        case 7:
            this->renew(index);
            break;
        case 8:
            this->advance(std::chrono::seconds(1 + delivery * 4));
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

/** Counts violated invariants instead of aborting the process. */
struct ViolationCounter {
    unsigned count{0};

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

TEST_CASE_METHOD(ClaimFixture, "decideClaim_sessionLiveOrLiveSessionsUnknown_leaves")
{
    CHECK(this->claim().action == ClaimAction::Leave);
    CHECK(decideClaim(this->current, nullptr, this->context, {}).action == ClaimAction::Leave);
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
    this->current.record.state = GroupState::Released;
    CHECK(this->claim().action == ClaimAction::TakeOver);
}

// Guards against a done group being processed and recorded again.
TEST_CASE_METHOD(ClaimFixture, "decideClaim_done_isFinal")
{
    this->current.record.state = GroupState::Done;
    this->live.clear();
    CHECK(this->claim().action == ClaimAction::Finished);
}

// Guards against a group that nobody processes until the session ends, because the answer to its claim was lost.
TEST_CASE_METHOD(ClaimFixture, "decideClaim_recordNamesOwnSession_resumes")
{
    this->current.record.session = this->context.own;
    CHECK(this->claim().action == ClaimAction::Resume);
}

TEST_CASE_METHOD(ClaimFixture, "decideCompletion_ownClaim_writesDone")
{
    this->current.record.session = this->context.own;
    const CompletionDecision decision = this->complete(3);
    CHECK(decision.action == CompletionAction::Write);
    CHECK(decision.write.state == GroupState::Done);
    CHECK(decision.write.resultBlob.value == "result");
    CHECK(decision.expected.value == 7);
}

TEST_CASE_METHOD(ClaimFixture, "decideCompletion_takenOverOrOlderEpoch_drops")
{
    CHECK(this->complete(3).action == CompletionAction::Drop);
    this->current.record.session = this->context.own;
    CHECK(this->complete(2).action == CompletionAction::Drop);
}

TEST_CASE_METHOD(ClaimFixture, "decideCompletion_cancelledOrLeaseExpired_writesNothing")
{
    this->current.record.session = this->context.own;
    this->context.job = JobState::Cancelled;
    CHECK(this->complete(3).action == CompletionAction::Stop);
    this->context.job = JobState::Active;
    this->context.now = this->context.leaseDeadline;
    CHECK(this->complete(3).action == CompletionAction::Suspend);
    this->current.record.state = GroupState::Done;
    CHECK(this->complete(3).action == CompletionAction::AlreadyDone);
}

// Guards against a second or a changed done record when workers pause, sessions expire, answers are lost, writes arrive late and the job is cancelled.
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
            const auto delivery = *rc::gen::weightedElement<unsigned>({{4, 0U}, {1, 1U}, {1, 2U}});
            model.step(*rc::gen::inRange<std::size_t>(0, 4), action, delivery);
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

// Guards against a record state from which a group can never be completed, even after all faults have ended.
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
