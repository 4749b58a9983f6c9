/** @file submission.cpp Accepts a job: checks it, stores its input durably and writes its record. */
#include "batch/batch_internal_func.h"
#include "batch/batch_record_func.h"
#include "batch/job_parse_func.h"
#include "core/hash_func.h"
#include "core/invariant_func.h"
#include "core/task_func.h"
#include "policy/batch_order_func.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace skylark {

namespace asio = boost::asio;

namespace {

constexpr std::size_t parallelUploads = 8; ///< Blobs stored at the same time; bounds the memory that a large job uses.
constexpr std::size_t linesPerSlice = 512; ///< Lines parsed before other coroutines of the thread may run; takes about a millisecond.
constexpr auto replicaRetryAfter = std::chrono::seconds(2); ///< Within a few status intervals a lost disk host is replaced or reachable again.

/** Upload of the blobs of one submission to the disk hosts. */
struct BlobUpload {
    std::vector<std::pair<BlobId, std::string>> blobs; ///< Ids and contents, indexed by group number.
    std::size_t next{0}; ///< Index of the next blob to store.
    std::size_t stored{0}; ///< Number of blobs stored durably.
    std::size_t workers{0}; ///< Number of running workers.
    std::optional<Error> error; ///< First failure; stops the workers.
    asio::steady_timer done; ///< Never expires; the last worker cancels it to end the wait.

    explicit BlobUpload(const asio::any_io_executor &executor)
        : done(executor, asio::steady_timer::time_point::max())
    {
    }
};

asio::awaitable<void> uploadWorker(BatchStatePtr state, std::shared_ptr<BlobUpload> upload)
{
    while (!upload->error && upload->next < upload->blobs.size()) {
        auto &[id, data] = upload->blobs[upload->next++];
        const auto stored = co_await catchExceptions("upload of a blob", storeReplicated(*state->blobs, id, std::move(data)));
        if (isOk(stored)) {
            ++upload->stored;
        } else if (!upload->error) {
            upload->error = errorOf(stored);
        }
    }
    if (--upload->workers == 0) {
        upload->done.cancel();
    }
}

asio::awaitable<Result<Done>> uploadBlobs(BatchStatePtr state, std::shared_ptr<BlobUpload> upload)
{
    upload->workers = std::min(parallelUploads, upload->blobs.size());
    const std::size_t workers = upload->workers;
    for (std::size_t i = 0; i < workers; ++i) {
        startTask(state->context.batch.get_executor(), "upload of blobs", uploadWorker(state, upload));
    }
    while (upload->workers > 0) {
        co_await upload->done.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (upload->error) {
        Error error = *upload->error;
        error.retryAfter = error.retryAfter.value_or(replicaRetryAfter);
        co_return error;
    }
    co_return Done{};
}

/** Parses all lines before anything is stored, so that a rejected submission leaves no data behind. */
asio::awaitable<Result<ParsedJob>> parseBody(BatchStatePtr state, std::shared_ptr<const WorkspaceConfig> workspace, std::shared_ptr<const std::string> body)
{
    JobParser parser;
    parser.workspace = workspace.get();
    std::string_view rest = *body;
    while (!rest.empty()) {
        const std::string_view line = rest.substr(0, rest.find('\n'));
        rest.remove_prefix(std::min(rest.size(), line.size() + 1));
        const auto parsed = parseJobLine(parser, line);
        if (!isOk(parsed)) {
            co_return errorOf(parsed);
        }
        if (parser.line % linesPerSlice == 0) {
            co_await asio::post(state->context.batch, asio::use_awaitable);
        }
    }
    if (parser.job.items == 0) {
        co_return makeError(ErrorCode::InvalidRequest, "the submission has no items");
    }
    co_return std::move(parser.job);
}

/** Moves the input of the groups into blobs, and sets the record's blob ids, counts and models. */
std::shared_ptr<BlobUpload> makeUpload(BatchState &state, ParsedJob &parsed, JobRecord &record)
{
    auto upload = std::make_shared<BlobUpload>(state.context.batch.get_executor());
    for (std::uint32_t i = 0; i < parsed.groups.size(); ++i) {
        GroupInput &group = parsed.groups[i];
        const BlobId id = makeBlobId(record.id, i, inputBlobKind(group.model), group.lines);
        record.inputBlobs.push_back(id);
        upload->blobs.emplace_back(id, std::move(group.lines));
    }
    record.itemCount = parsed.items;
    record.groupCount = static_cast<std::uint32_t>(parsed.groups.size());
    record.models = std::move(parsed.models);
    return upload;
}

/** Answers a submission whose job exists with its progress. @param present Value of the job's key. @return JobKeyConflict when the content differs. */
asio::awaitable<Result<JobProgress>> answerResubmission(std::shared_ptr<BatchService> service, JobRecord wanted, std::string present, KvVersion version)
{
    auto known = parseBatchJob(wanted.id, present, version);
    if (!isOk(known)) {
        co_return errorOf(known);
    }
    if (valueOf(known).contentHash != wanted.contentHash) {
        co_return makeError(ErrorCode::JobKeyConflict, "job key \"" + wanted.jobKey + "\" was already used for a job with different content");
    }
    if (service->impl->context.announceJob) {
        service->impl->context.announceJob(valueOf(known));
    }
    co_return co_await jobProgress(*service, wanted.workspace, wanted.id);
}

/** @return Progress of a new job; its due risk counts the unfinished items of jobs with an earlier or equal due time. */
JobProgress progressOfNew(BatchState &state, JobRecord record)
{
    std::uint64_t ahead = 0;
    for (const auto &[id, work] : state.jobs) {
        const bool earlier = id != record.id && work.record->due <= record.due;
        ahead += earlier ? itemsLeft(work) : 0;
    }
    JobProgress progress;
    progress.dueRisk = isDueAtRisk(record.due, unixNow(), ahead + record.itemCount, fleetRate(state));
    progress.job = std::move(record);
    return progress;
}

/** Writes the job record, which makes the job accepted, unless a record with this key exists. */
asio::awaitable<Result<JobProgress>> createJob(std::shared_ptr<BatchService> service, JobRecord record)
{
    const BatchStatePtr state = service->impl;
    auto version = co_await writeRecord(state, batchJobKey(record.id), renderBatchJob(record), record.writeId, KvVersion{0});
    if (isOk(version)) {
        record.version = valueOf(version);
        logBatch(*state,
                 "job " + record.id.value + " of workspace " + record.workspace.value + " accepted: " + std::to_string(record.itemCount) + " items in "
                     + std::to_string(record.groupCount) + " groups");
        addActiveJob(*state, std::make_shared<const JobRecord>(record));
        if (state->context.announceJob) {
            state->context.announceJob(record);
        }
        wakeExecutionLoop(*state);
        co_return progressOfNew(*state, std::move(record));
    }
    if (errorOf(version).code != ErrorCode::VersionConflict) {
        co_return errorOf(version);
    }
    auto entry = co_await kvGet(*state->kv, batchJobKey(record.id));
    if (!isOk(entry)) {
        co_return errorOf(entry);
    }
    if (!valueOf(entry)) {
        co_return makeError(ErrorCode::PlatformUnavailable, "the job record was deleted during the submission");
    }
    co_return co_await answerResubmission(service, std::move(record), valueOf(entry)->value, valueOf(entry)->version);
}

JobRecord newRecord(const WorkspaceConfig &workspace, std::string jobKey, std::optional<UnixTime> due, const std::string &body)
{
    JobRecord record;
    record.id = batchJobId(workspace.id, jobKey);
    record.workspace = workspace.id;
    record.jobKey = std::move(jobKey);
    record.contentHash = hash128Hex(body);
    record.created = unixNow();
    record.due = due.value_or(record.created + workspace.batch.defaultDue);
    record.writeId = newWriteId();
    return record;
}

} // namespace

asio::awaitable<Result<JobProgress>> submitJob(
    BatchService &service, WorkspaceConfig workspace, std::string jobKey, std::optional<UnixTime> due, std::string body)
{
    auto handle = std::make_shared<BatchService>(service);
    const BatchStatePtr state = handle->impl;
    if (jobKey.empty()) {
        Error error = makeError(ErrorCode::InvalidRequest, "the job key is empty");
        error.param = "x-job-key";
        co_return error;
    }
    JobRecord record = newRecord(workspace, std::move(jobKey), due, body);
    auto parsed =
        co_await parseBody(state, std::make_shared<const WorkspaceConfig>(std::move(workspace)), std::make_shared<const std::string>(std::move(body)));
    if (!isOk(parsed)) {
        co_return errorOf(parsed);
    }
    auto known = co_await kvGet(*state->kv, batchJobKey(record.id));
    if (!isOk(known)) {
        co_return errorOf(known);
    }
    if (valueOf(known)) {
        co_return co_await answerResubmission(handle, std::move(record), valueOf(known)->value, valueOf(known)->version);
    }
    auto upload = makeUpload(*state, valueOf(parsed), record);
    const auto stored = co_await uploadBlobs(state, upload);
    if (!isOk(stored)) {
        co_return errorOf(stored);
    }
    SKY_INVARIANT(Promise::DurableAck, upload->stored == record.groupCount && record.inputBlobs.size() == record.groupCount);
    co_return co_await createJob(handle, std::move(record));
}

} // namespace skylark
