/** @file job_accept.cpp Accepts submissions of jobs, each exactly once and within the token limit of its route. */
#include "core/async_sleep_func.h"
#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "core/table/error_table.h"
#include "fleet/route_match_func.h"
#include "job/job_answer_func.h"
#include "job/job_record_func.h"

#include <algorithm>
#include <map>
#include <set>
#include <vector>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t maxBodyPartBytes = std::size_t{600} << 10U; ///< Bytes of a submission's body in one key; the store limits a value to 1 MiB.
constexpr unsigned maxFailures = 4; ///< Failed calls for one submission; all of them together stay within the time that a caller waits.
constexpr milliseconds conflictTime{2000}; ///< Time for writes that conflict with other acceptances; each of them takes a few milliseconds.
constexpr milliseconds conflictPause{6}; ///< Bound of the random pause after a conflict, which grows with each; about the time of a call.
constexpr unsigned maxPauseGrowth = 8; ///< The pause grows up to this factor.
constexpr std::size_t maxSingleReads = 8; ///< More records are read with all others in one range, which takes fewer calls.
constexpr milliseconds quotaRetryAfter{1000}; ///< Retry-After when a job exceeds the token limit; items finish several times a second.

/** State of one submission on its way into the store. */
struct Acceptance {
    RouteRule rule; ///< Route of the submission.
    StoredJob record; ///< Record to be written.
    std::string quotaKey; ///< Key of the ledger.
    std::uint64_t tokens{0}; ///< Tokens of the job.
    TimePoint startedAt{}; ///< Arrival of the submission.
    TimePoint until{}; ///< Conflicting writes are not repeated after this time.
    bool mayBeStored{false}; ///< Whether the outcome of a write is unknown.
    std::uint64_t unknownRevision{0}; ///< Highest revision of the ledger on which such a write was conditional.
    bool refreshed{false}; ///< Whether the records that count have been read for this submission.
    std::set<JobId> gone; ///< Jobs of the ledger whose records have been removed.
    unsigned failures{0}; ///< Failed calls.
    unsigned conflicts{0}; ///< Writes refused because another job was accepted meanwhile.
    Error last{makeError(ErrorCode::PlatformUnavailable, "every write conflicted with another acceptance on the route")};
};

/** Ledger in the mirror. */
struct KnownLedger {
    WaitingLedger ledger;
    std::uint64_t revision{0}; ///< Revision of its key; 0 if there is none.
};

KnownLedger ledgerIn(const JobRegistry &registry, const std::string &key)
{
    const auto found = registry.mirror->items.find(key);
    return found == registry.mirror->items.end() ? KnownLedger() : KnownLedger{decodeLedger(found->second.value), found->second.revision};
}

/** @return Waiting tokens of the jobs on the route that this host knows: of the workspace, or of all callers if it is empty. */
std::map<JobId, std::uint64_t> knownTokens(const JobRegistry &registry, const Acceptance &acceptance, const WaitingLedger &ledger)
{
    std::map<JobId, std::uint64_t> tokens;
    const WorkspaceId &workspace = acceptance.record.workspace;
    for (const auto &[id, known] : registry.jobs) {
        const bool onRoute = known.record.host == acceptance.rule.host && known.record.path.starts_with(acceptance.rule.prefix);
        const bool counts = onRoute && (workspace.empty() || known.record.workspace == workspace);
        if (known.revision > 0 && (counts || ledger.tokens.contains(id))) {
            tokens[id] = waitingTokens(known.record);
        }
    }
    return tokens;
}

StoredJob makeRecord(const JobRegistry &registry, const RouteRule &route, const ProxyCall &call, const JobSubmission &submission)
{
    StoredJob record;
    record.id = JobId{call.id.value};
    record.workspace = call.workspace;
    record.host = route.host;
    record.path = std::string(targetPath(call.target));
    record.digest = hash128Hex(call.body);
    record.created = unixNow();
    record.owner = registry.session;
    record.bodyParts = static_cast<std::uint32_t>((call.body.size() + maxBodyPartBytes - 1) / maxBodyPartBytes);
    for (const JobItem &item : submission.items) {
        record.items.push_back({item.id, item.tokens});
    }
    return record;
}

/** Answers the submission of a job that is stored already: accepted if the content is the same, otherwise a conflict. */
JobAnswer answerResubmission(const StoredJob &known, const StoredJob &record)
{
    if (!mayResubmit(known, record.workspace)) {
        return makeJobAnswer(404, "no_job");
    }
    return known.digest == record.digest ? makeJobAnswer(202, "accepted_before") : makeJobAnswer(409, "other_content");
}

/** @return The answer to the submission if the registry holds its job. */
std::optional<JobAnswer> answerIfKnown(const JobRegistry &registry, const Acceptance &acceptance)
{
    const auto found = registry.jobs.find(acceptance.record.id);
    const bool known = found != registry.jobs.end() && found->second.revision > 0;
    return known ? std::optional(answerResubmission(found->second.record, acceptance.record)) : std::nullopt;
}

/** Reads all records from the store, because another host may have changed some. */
asio::awaitable<Result<Done>> refreshJobs(std::shared_ptr<JobRegistry> registry)
{
    const TimePoint startedAt = BootClock::now();
    auto page = co_await readAllKeys(registry->store, std::string(jobPrefix), KvFreshness::Linearizable);
    if (!isOk(page)) {
        co_return errorOf(page);
    }
    for (const KvItem &item : valueOf(page).items) {
        applyItem(*registry->mirror, item);
        if (isJobRecordKey(item.key)) {
            applyJobRecord(registry, item);
            confirmRecord(*registry, jobOfRecordKey(item.key), item.revision, startedAt);
        }
    }
    co_return Done{};
}

/** @return Jobs that count towards the limit, as far as this host knows. */
std::vector<JobId> countedJobs(const JobRegistry &registry, const Acceptance &acceptance)
{
    std::vector<JobId> jobs;
    const WaitingLedger ledger = ledgerIn(registry, acceptance.quotaKey).ledger;
    std::map<JobId, std::uint64_t> counted = ledger.tokens;
    counted.merge(knownTokens(registry, acceptance, ledger));
    for (const auto &[job, tokens] : counted) {
        const auto found = registry.jobs.find(job);
        const bool known = found != registry.jobs.end() && found->second.revision > 0;
        if (!known || waitingTokens(found->second.record) > 0) {
            jobs.push_back(job);
        }
    }
    return jobs;
}

/**
 * Reads what a refusal depends on: items may have finished on other hosts, or the job itself may be stored already, without this host knowing yet. Few records
 * are read one by one, because a caller over its limit may come often. A job without a record was removed, because the ledger that named it before was written
 * with it.
 */
asio::awaitable<Result<Done>> refreshForRefusal(std::shared_ptr<JobRegistry> registry, Acceptance &acceptance)
{
    std::vector<JobId> jobs = countedJobs(*registry, acceptance);
    if (jobs.size() > maxSingleReads) {
        const auto refreshed = co_await refreshJobs(registry);
        if (!isOk(refreshed)) {
            co_return errorOf(refreshed);
        }
        std::erase_if(jobs, [&registry](const JobId &job) {
            const auto found = registry->jobs.find(job);
            return found != registry->jobs.end() && found->second.revision > 0;
        });
        acceptance.gone.insert(jobs.begin(), jobs.end());
        jobs.clear();
    }
    jobs.push_back(acceptance.record.id);
    for (const JobId &job : jobs) {
        const auto exists = co_await fetchJob(registry, job);
        if (!isOk(exists)) {
            co_return errorOf(exists);
        }
        if (!valueOf(exists)) {
            acceptance.gone.insert(job);
        }
    }
    acceptance.refreshed = true;
    co_return Done{};
}

/** @param ledger Ledger from which the acceptance was decided; null when the route has no limit. */
KvTransaction buildAcceptTransaction(const Acceptance &acceptance, const ProxyCall &call, const KnownLedger *ledger)
{
    const StoredJob &record = acceptance.record;
    KvTransaction transaction;
    transaction.conditions.push_back({jobRecordKey(record.id), 0});
    transaction.writes.push_back({jobRecordKey(record.id), encodeStoredJob(record), 0});
    if (ledger != nullptr) {
        WaitingLedger next = ledger->ledger;
        next.tokens[record.id] = acceptance.tokens;
        transaction.conditions.push_back({acceptance.quotaKey, ledger->revision});
        transaction.writes.push_back({acceptance.quotaKey, encodeLedger(next), 0});
    }
    for (std::uint32_t part = 0; part < record.bodyParts; ++part) {
        transaction.writes.push_back({jobBodyKey(record.id, part), call.body.substr(part * maxBodyPartBytes, maxBodyPartBytes), 0});
    }
    return transaction;
}

/** Adds a job that this host has accepted to the registry. @param ledger Ledger as written; empty for none. @param startedAt Start of the write. */
void addAcceptedJob(const std::shared_ptr<JobRegistry> &registry,
                    const Acceptance &acceptance,
                    const std::string &ledger,
                    std::uint64_t revision,
                    TimePoint startedAt,
                    JobSubmission submission)
{
    const StoredJob &record = acceptance.record;
    if (!ledger.empty()) {
        applyItem(*registry->mirror, {acceptance.quotaKey, ledger, revision, false});
    }
    KnownJob &known = registry->jobs[record.id];
    known.items = std::move(submission.items);
    known.acceptedHere = true;
    applyOwnWrite(registry, jobRecordKey(record.id), encodeStoredJob(record), revision, startedAt);
}

/** Applies what the store holds under the keys in the conditions of a refused write. */
void applyRefusedWrite(const std::shared_ptr<JobRegistry> &registry, const Acceptance &acceptance, const KvTransactionResult &refused, TimePoint startedAt)
{
    mergePresentRecords(registry, refused, startedAt);
    bool hasLedger = false;
    for (const KvItem &item : refused.currentItems) {
        if (item.key == acceptance.quotaKey) {
            hasLedger = true;
            applyItem(*registry->mirror, item);
        }
    }
    if (!hasLedger && acceptance.rule.maxWaitingTokens > 0) {
        registry->mirror->items.erase(acceptance.quotaKey);
    }
}

/**
 * Finds out whether a write without an answer took effect. A delayed write can still take effect as long as the ledger has the revision on which it is
 * conditional; afterwards it cannot, and the record shows whether it did.
 */
asio::awaitable<void> resolveUnknownWrite(std::shared_ptr<JobRegistry> registry, Acceptance &acceptance)
{
    const KnownLedger ledger = ledgerIn(*registry, acceptance.quotaKey);
    const auto exists = co_await fetchJob(registry, acceptance.record.id);
    const bool isConditional = acceptance.rule.maxWaitingTokens > 0;
    if (isConditional && isOk(exists) && !valueOf(exists) && ledger.revision > acceptance.unknownRevision) {
        acceptance.mayBeStored = false;
    }
}

void logJobRefused(const Acceptance &acceptance, std::string_view reason, std::uint64_t waiting, std::string_view detail)
{
    logEvent(EventKind::JobRefused,
             acceptance.record.id.value,
             {{"route", acceptance.rule.name},
              {"reason", reason},
              {"workspace", acceptance.record.workspace.value},
              {"tokens", acceptance.tokens},
              {"waiting", waiting},
              {"limit", acceptance.rule.maxWaitingTokens},
              {"conflicts", acceptance.conflicts},
              {"detail", detail}});
}

/** Pauses for a random time, so that hosts whose writes conflicted do not repeat them at the same time. */
asio::awaitable<void> pauseAfterConflict(const Acceptance &acceptance)
{
    std::uint64_t random = hash64(acceptance.record.id.value, acceptance.conflicts);
    const auto bound = conflictPause * std::min(acceptance.conflicts, maxPauseGrowth);
    co_await sleepFor(milliseconds(nextRandom(random) % static_cast<std::uint64_t>(bound.count() + 1)));
}

/** Makes one write of the job. @return The answer when the job is stored; otherwise nothing, and the acceptance says why. */
asio::awaitable<std::optional<JobAnswer>> writeJob(
    std::shared_ptr<JobRegistry> registry, Acceptance &acceptance, const ProxyCall &call, JobSubmission &submission, const KnownLedger *ledger)
{
    KvTransaction transaction = buildAcceptTransaction(acceptance, call, ledger);
    const std::string written = ledger != nullptr ? transaction.writes[1].value : std::string();
    const std::uint64_t condition = ledger != nullptr ? ledger->revision : 0;
    const std::uint64_t waiting = ledger != nullptr ? totalTokens(ledger->ledger) : 0;
    const TimePoint writeStartedAt = BootClock::now();
    auto outcome = co_await registry->store->commit(std::move(transaction));
    if (isOk(outcome) && valueOf(outcome).applied) {
        const auto took = std::chrono::duration_cast<milliseconds>(BootClock::now() - acceptance.startedAt);
        logEvent(EventKind::JobAccepted,
                 acceptance.record.id.value,
                 {{"route", acceptance.rule.name},
                  {"workspace", acceptance.record.workspace.value},
                  {"items", acceptance.record.items.size()},
                  {"tokens", acceptance.tokens},
                  {"waiting", waiting},
                  {"limit", acceptance.rule.maxWaitingTokens},
                  {"conflicts", acceptance.conflicts},
                  {"took_ms", took.count()}});
        addAcceptedJob(registry, acceptance, written, valueOf(outcome).revision, writeStartedAt, std::move(submission));
        co_return makeJobAnswer(202, "accepted");
    }
    if (isOk(outcome)) {
        ++acceptance.conflicts;
        addCounter(*registry->metrics, "skylark_job_accept_conflicts_total");
        applyRefusedWrite(registry, acceptance, valueOf(outcome), writeStartedAt);
        co_await pauseAfterConflict(acceptance);
        co_return std::nullopt;
    }
    ++acceptance.failures;
    acceptance.last = errorOf(outcome);
    if (acceptance.last.code == ErrorCode::OutcomeUnknown) {
        acceptance.mayBeStored = true;
        acceptance.unknownRevision = std::max(acceptance.unknownRevision, condition);
    }
    co_await sleepFor(jobWriteRetryDelay);
    if (acceptance.mayBeStored) {
        co_await resolveUnknownWrite(registry, acceptance);
    }
    co_return std::nullopt;
}

/** Handles a job that does not fit. @return The answer, or nothing when the decision is to be made again. */
asio::awaitable<std::optional<JobAnswer>> refuseJob(std::shared_ptr<JobRegistry> registry, Acceptance &acceptance, std::uint64_t waiting)
{
    if (!acceptance.refreshed) {
        const auto current = co_await refreshForRefusal(registry, acceptance);
        if (!isOk(current)) {
            ++acceptance.failures;
            acceptance.last = errorOf(current);
            co_await sleepFor(jobWriteRetryDelay);
        }
        co_return std::nullopt;
    }
    if (acceptance.mayBeStored) {
        co_await resolveUnknownWrite(registry, acceptance);
        acceptance.failures += acceptance.mayBeStored ? 1 : 0;
        co_return std::nullopt;
    }
    addCounter(*registry->metrics, "skylark_jobs_over_limit_total", {{"route", acceptance.rule.name}});
    logJobRefused(acceptance, "limit", waiting, "");
    co_return makeJobAnswer(429, "token_limit", quotaRetryAfter);
}

} // namespace

asio::awaitable<JobAnswer> acceptJob(std::shared_ptr<JobRegistry> registry, const RouteRule &route, ProxyCall call, JobSubmission submission)
{
    Acceptance acceptance;
    acceptance.rule = route;
    acceptance.record = makeRecord(*registry, route, call, submission);
    acceptance.quotaKey = jobQuotaKey(route.host, route.prefix, acceptance.record.workspace);
    acceptance.tokens = totalTokens(acceptance.record.items);
    acceptance.startedAt = BootClock::now();
    acceptance.until = acceptance.startedAt + std::min(conflictTime, call.callerTimeout.value_or(conflictTime) / 2);
    while (acceptance.failures < maxFailures && (acceptance.conflicts == 0 || BootClock::now() < acceptance.until)) {
        if (const auto answer = answerIfKnown(*registry, acceptance)) {
            co_return *answer;
        }
        KnownLedger known = ledgerIn(*registry, acceptance.quotaKey);
        const auto tokensByJob = knownTokens(*registry, acceptance, known.ledger);
        known.ledger = reduceLedger(std::move(known.ledger), tokensByJob, acceptance.gone);
        const std::uint64_t waiting = totalTokens(known.ledger);
        const JobAdmission admission = decideJobAdmission(waiting, acceptance.tokens, acceptance.rule.maxWaitingTokens);
        std::optional<JobAnswer> answer;
        if (admission == JobAdmission::Refuse) {
            answer = co_await refuseJob(registry, acceptance, waiting);
        } else {
            answer = co_await writeJob(registry, acceptance, call, submission, admission == JobAdmission::AcceptSerialized ? &known : nullptr);
        }
        if (answer) {
            co_return *answer;
        }
    }
    if (const auto answer = answerIfKnown(*registry, acceptance)) {
        co_return *answer;
    }
    logJobRefused(acceptance, errorInfo(acceptance.last.code).name, 0, acceptance.last.detail);
    co_return acceptance.mayBeStored ? makeJobAnswer(504, "outcome_unknown") : storeUnavailable();
}

} // namespace skylark
