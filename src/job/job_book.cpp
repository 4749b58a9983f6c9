/** @file job_book.cpp Jobs as this host knows them: following the service, claims, results. */
#include "job/job_book_base.h"

#include "core/async_sleep_func.h"
#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "core/table/error_table.h"
#include "job/job_record_func.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds mirrorCheck{1000}; ///< Time between two cheap reads of all records; what cannot wait so long is announced by datagram.
constexpr milliseconds vouchedFor{700}; ///< An owner's word on the revision of a record holds for so long; readers may lag by a second.
constexpr milliseconds announceFor{2000}; ///< A host announces a record that it has changed for so long.
constexpr std::size_t cacheLimit = std::size_t{6} << 20U; ///< Bytes of texts and bodies held in memory.
constexpr std::size_t resultsPerWrite = kvTransactionEntries - 3; ///< A condition, the record and the kept outputs take three entries of a transaction.
constexpr std::size_t outputBytes = std::size_t{500} << 10U; ///< Text in the kept outputs of a job; escaping enlarges it a little.
constexpr std::size_t bytesPerWrite = std::size_t{700} << 10U; ///< Bytes of results in one transaction.
constexpr unsigned writeAttempts = 6; ///< Attempts of one write before the results wait for the next round.
constexpr milliseconds writeRetry{250}; ///< First delay after a failed write; doubled.

void wakeReaders(JobBook &book)
{
    for (const auto &timer : book.readers) {
        timer->cancel();
    }
}

void dropJob(JobBook &book, const JobId &id)
{
    const auto found = book.jobs.find(id);
    if (found != book.jobs.end()) {
        for (const auto &[position, result] : found->second.results) {
            book.cachedBytes -= result.text.size();
        }
        book.jobs.erase(found);
    }
}

void onMirror(const std::shared_ptr<JobBook> &book, const KeyMirrorUpdate &update)
{
    for (const KvItem &item : update.changed) {
        if (!isJobRecordKey(item.key)) {
            continue;
        }
        if (item.deleted) {
            const JobId id{item.key.substr(jobRecordKey({}).size())};
            dropJob(*book, id);
            if (book->onJobChanged) {
                book->onJobChanged(id);
            }
        } else {
            noteJobItem(book, item);
        }
    }
    wakeReaders(*book);
}

/** Reads a record that another host has changed. */
asio::awaitable<void> fetchAnnounced(std::shared_ptr<JobBook> book, JobId job)
{
    co_await fetchJob(book, job);
    if (const auto found = book->jobs.find(job); found != book->jobs.end()) {
        found->second.fetching = false;
    }
}

/** Chooses the results of one transaction. */
KvTransaction planListing(const KnownJob &known, ListDecision &decision, const std::map<std::uint32_t, JobResult> &finished, const SavedOutputs &outputs)
{
    KvTransaction transaction;
    if (!outputs.empty()) {
        transaction.writes.push_back({jobOutputsKey(known.record.id), encodeSavedOutputs(outputs, outputBytes), 0});
    }
    transaction.conditions.push_back({jobRecordKey(known.record.id), known.revision});
    std::size_t bytes = 0;
    std::uint64_t position = known.record.listed.size();
    std::size_t used = 0;
    for (const std::uint32_t index : decision.added) {
        std::string value = encodeJobResult(finished.at(index));
        if (used == resultsPerWrite || (used > 0 && bytes + value.size() > bytesPerWrite)) {
            break;
        }
        bytes += value.size();
        transaction.writes.push_back({jobResultKey(known.record.id, position++), std::move(value), 0});
        ++used;
    }
    decision.added.resize(used);
    decision.record.listed.resize(known.record.listed.size() + used);
    transaction.writes.push_back({jobRecordKey(known.record.id), encodeStoredJob(decision.record), 0});
    return transaction;
}

std::map<std::uint32_t, ItemState> statesOf(const std::map<std::uint32_t, JobResult> &finished)
{
    std::map<std::uint32_t, ItemState> states;
    for (const auto &[index, result] : finished) {
        states[index] = result.state;
    }
    return states;
}

/** Keeps results in memory for readers. */
void cacheResults(JobBook &book, KnownJob &known, const ListDecision &decision, const std::map<std::uint32_t, JobResult> &finished)
{
    std::uint64_t position = decision.record.listed.size() - decision.added.size();
    for (const std::uint32_t index : decision.added) {
        const JobResult &result = finished.at(index);
        if (book.cachedBytes + result.text.size() <= cacheLimit) {
            book.cachedBytes += result.text.size();
            known.results[position] = result;
        }
        ++position;
    }
}

} // namespace

std::shared_ptr<JobBook> JobBook::create(const asio::any_io_executor &executor,
                                         std::shared_ptr<const KvStore> store,
                                         std::shared_ptr<MetricsRegistry> metrics,
                                         SessionId session,
                                         std::function<Result<JobSubmission>(const ProxyCall &call)> decodeSubmission)
{
    auto book = std::make_shared<JobBook>();
    book->executor = executor;
    book->store = std::move(store);
    book->metrics = std::move(metrics);
    book->session = std::move(session);
    book->decodeSubmission = std::move(decodeSubmission);
    book->mirror = KeyMirror::create(book->store, {.prefix = std::string(jobPrefix), .watches = false, .check = mirrorCheck}, hash64(book->session.value));
    return book;
}

void startJobBook(const std::shared_ptr<JobBook> &book)
{
    const std::weak_ptr<JobBook> weak = book;
    book->mirror->onUpdate = [weak](const KeyMirrorUpdate &update) {
        if (const auto strong = weak.lock()) {
            onMirror(strong, update);
        }
    };
    asio::co_spawn(book->executor, runKeyMirror(book->mirror), asio::detached);
    asio::co_spawn(book->executor, checkKeyMirror(book->mirror), asio::detached);
}

void noteJobItem(const std::shared_ptr<JobBook> &book, const KvItem &item)
{
    auto record = decodeStoredJob(item.value);
    if (!isOk(record)) {
        addCounter(*book->metrics, "skylark_job_records_refused_total");
        logEvent(EventKind::ConfigRefused, item.key, {{"in_force", 0}, {"detail", errorOf(record).detail}});
        return;
    }
    const JobId id = valueOf(record).id;
    KnownJob &known = book->jobs[id];
    if (known.revision >= item.revision) {
        return;
    }
    known.revision = item.revision;
    known.record = std::move(valueOf(record));
    if (book->onJobChanged) {
        book->onJobChanged(id);
    }
    wakeReaders(*book);
}

void notePresent(const std::shared_ptr<JobBook> &book, const KvDecision &refused)
{
    for (const KvItem &item : refused.present) {
        if (isJobRecordKey(item.key)) {
            noteJobItem(book, item);
        }
    }
}

asio::awaitable<Result<bool>> fetchJob(std::shared_ptr<JobBook> book, JobId job)
{
    const TimePoint begun = BootClock::now();
    auto item = co_await book->store->get(jobRecordKey(job), KvFreshness::Linearizable);
    if (!isOk(item)) {
        co_return errorOf(item);
    }
    if (!valueOf(item)) {
        co_return false;
    }
    noteJobItem(book, *valueOf(item));
    const auto found = book->jobs.find(job);
    if (found != book->jobs.end()) {
        found->second.confirmedAt = begun;
    }
    co_return found != book->jobs.end();
}

void noteOwnWrite(const std::shared_ptr<JobBook> &book, const std::string &key, const std::string &value, std::uint64_t revision)
{
    const KvItem item{key, value, revision, false};
    mirrorItem(*book->mirror, item);
    noteJobItem(book, item);
    noteChangedHere(*book, item);
}

void noteChangedHere(JobBook &book, const KvItem &item)
{
    book.changedHere[JobId{item.key.substr(jobRecordKey({}).size())}] = {item.revision, BootClock::now() + announceFor};
}

std::vector<std::pair<JobId, std::uint64_t>> announcedJobs(JobBook &book)
{
    const TimePoint now = BootClock::now();
    std::erase_if(book.changedHere, [now](const auto &entry) {
        return entry.second.until < now;
    });
    std::map<JobId, std::uint64_t> revisions;
    for (const auto &[job, known] : book.jobs) {
        if (known.record.owner == book.session && isOpen(known.record)) {
            revisions[job] = known.revision;
        }
    }
    for (const auto &[job, change] : book.changedHere) {
        revisions[job] = std::max(revisions[job], change.revision);
    }
    return {revisions.begin(), revisions.end()};
}

void noteAnnouncedJobs(const std::shared_ptr<JobBook> &book, const HostStatus &status)
{
    const TimePoint now = BootClock::now();
    for (const auto &[job, revision] : status.jobRevisions) {
        const auto found = book->jobs.find(job);
        if (found == book->jobs.end()) {
            continue;
        }
        KnownJob &known = found->second;
        known.announcedRevision = std::max(known.announcedRevision, revision);
        if (known.record.owner == status.session) {
            known.vouchedAt = now;
            known.vouchedRevision = revision;
        }
        const bool mine = known.record.owner == book->session && !known.fetching;
        if (mine && revision > known.revision) {
            // A caller ended the job elsewhere, or another host took it over.
            known.fetching = true;
            asio::co_spawn(book->executor, fetchAnnounced(book, job), asio::detached);
        }
        wakeReaders(*book);
    }
}

bool isCurrent(const JobBook &book, const KnownJob &known)
{
    const TimePoint now = BootClock::now();
    const bool vouched = known.vouchedRevision == known.revision && now - known.vouchedAt < vouchedFor;
    const bool own = known.record.owner == book.session;
    return known.announcedRevision <= known.revision && (vouched || own || now - known.confirmedAt < vouchedFor);
}

asio::awaitable<bool> claimJob(std::shared_ptr<JobBook> book, JobId job)
{
    const auto found = book->jobs.find(job);
    if (found == book->jobs.end()) {
        co_return false;
    }
    StoredJob record = found->second.record;
    const SessionId former = record.owner;
    record.owner = book->session;
    const std::string key = jobRecordKey(job);
    const std::string value = encodeStoredJob(record);
    KvTransaction transaction;
    transaction.conditions.push_back({key, found->second.revision});
    transaction.writes.push_back({key, value, 0});
    auto decision = co_await book->store->commit(std::move(transaction));
    if (!isOk(decision)) {
        if (errorOf(decision).code == ErrorCode::OutcomeUnknown) {
            co_await fetchJob(book, job);
        }
        co_return false;
    }
    if (!valueOf(decision).applied) {
        notePresent(book, valueOf(decision));
        co_return false;
    }
    logEvent(EventKind::JobClaimed, job.value, {{"from", former.value}, {"listed", record.listed.size()}, {"total", record.items.size()}});
    if (const auto again = book->jobs.find(job); again != book->jobs.end()) {
        again->second.acceptedHere = false;
    }
    noteOwnWrite(book, key, value, valueOf(decision).revision);
    co_return true;
}

asio::awaitable<Result<Done>> saveOutputs(std::shared_ptr<JobBook> book, JobId job, SavedOutputs outputs, bool release)
{
    const auto found = book->jobs.find(job);
    if (found == book->jobs.end() || found->second.record.owner != book->session) {
        co_return makeError(ErrorCode::LeaseExpired, "not the owner");
    }
    StoredJob record = found->second.record;
    if (release) {
        record.owner = SessionId();
    }
    const std::string key = jobRecordKey(job);
    const std::string value = encodeStoredJob(record);
    KvTransaction transaction;
    transaction.conditions.push_back({key, found->second.revision});
    transaction.writes.push_back({jobOutputsKey(job), encodeSavedOutputs(outputs, outputBytes), 0});
    if (release) {
        transaction.writes.push_back({key, value, 0});
    }
    auto outcome = co_await book->store->commit(std::move(transaction));
    if (!isOk(outcome)) {
        co_return errorOf(outcome);
    }
    if (!valueOf(outcome).applied) {
        notePresent(book, valueOf(outcome));
        co_return makeError(ErrorCode::VersionConflict, "the record has changed");
    }
    if (release) {
        noteOwnWrite(book, key, value, valueOf(outcome).revision);
    }
    co_return Done{};
}

asio::awaitable<Result<SavedOutputs>> loadOutputs(std::shared_ptr<JobBook> book, JobId job)
{
    auto item = co_await book->store->get(jobOutputsKey(job), KvFreshness::Linearizable);
    if (!isOk(item)) {
        co_return errorOf(item);
    }
    if (!valueOf(item)) {
        co_return SavedOutputs();
    }
    co_return decodeSavedOutputs(valueOf(item)->value);
}

asio::awaitable<Result<Done>> listResults(std::shared_ptr<JobBook> book, JobId job, std::map<std::uint32_t, JobResult> finished, SavedOutputs outputs)
{
    const auto states = statesOf(finished);
    milliseconds delay = writeRetry;
    Error last = makeError(ErrorCode::PlatformUnavailable, "no attempt");
    for (unsigned attempt = 0; attempt < writeAttempts;) {
        const auto found = book->jobs.find(job);
        if (found == book->jobs.end()) {
            co_return makeError(ErrorCode::NotFound, "job is unknown");
        }
        ListDecision decision = appendResults(found->second.record, book->session, states);
        if (decision.verdict == ListVerdict::NotOwner) {
            co_return makeError(ErrorCode::LeaseExpired, "owned by " + found->second.record.owner.value);
        }
        if (decision.verdict == ListVerdict::Nothing) {
            co_return Done{};
        }
        KvTransaction transaction = planListing(found->second, decision, finished, outputs);
        const std::string key = transaction.writes.back().key;
        const std::string value = transaction.writes.back().value;
        auto outcome = co_await book->store->commit(std::move(transaction));
        const auto again = book->jobs.find(job);
        if (again == book->jobs.end()) {
            co_return makeError(ErrorCode::NotFound, "job is unknown");
        }
        if (isOk(outcome) && valueOf(outcome).applied) {
            cacheResults(*book, again->second, decision, finished);
            logEvent(EventKind::ResultsListed,
                     job.value,
                     {{"listed", decision.record.listed.size()}, {"total", decision.record.items.size()}, {"revision", valueOf(outcome).revision}});
            noteOwnWrite(book, key, value, valueOf(outcome).revision);
            continue;
        }
        ++attempt;
        if (isOk(outcome)) {
            notePresent(book, valueOf(outcome));
            if (valueOf(outcome).present.empty()) {
                co_return makeError(ErrorCode::NotFound, "job record is gone");
            }
            continue;
        }
        last = errorOf(outcome);
        addCounter(*book->metrics, "skylark_job_write_failures_total", {{"error", errorInfo(last.code).name}});
        co_await sleepFor(delay);
        delay = std::min(delay * 2, milliseconds(2000));
        if (last.code == ErrorCode::OutcomeUnknown) {
            co_await fetchJob(book, job);
        }
    }
    co_return last;
}

} // namespace skylark
