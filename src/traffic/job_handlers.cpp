/** @file job_handlers.cpp Handlers of callers' requests about batch jobs. */
#include "traffic/job_handlers_func.h"

#include "core/table/error_table.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <cmath>
#include <cstdio>
#include <ctime>

namespace skylark {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/** Names by JobState. */
constexpr std::array<std::string_view, 3> stateNames{"active", "cancelled", "done"};
constexpr std::size_t maxJobKeyBytes = 256;

/** Runs @p task on the batch thread and resumes on the calling thread. */
template<typename T>
asio::awaitable<T> runOnBatchThread(CallerServer::Impl &impl, asio::awaitable<T> task)
{
    co_return co_await asio::co_spawn(impl.context.batch, std::move(task), asio::use_awaitable);
}

json::object renderJob(const JobProgress &progress)
{
    const JobRecord &job = progress.job;
    json::object object;
    object["id"] = job.id.value;
    object["object"] = "job";
    object["job_key"] = job.jobKey;
    const std::string_view state = stateNames.at(static_cast<std::size_t>(job.state));
    object["state"] = json::string_view(state.data(), state.size());
    object["items"] = job.itemCount;
    object["finished"] = progress.finished;
    object["failed"] = progress.failed;
    object["groups"] = job.groupCount;
    object["groups_done"] = progress.groupsDone;
    object["created"] = renderTime(job.created);
    object["due"] = renderTime(job.due);
    object["due_risk"] = progress.dueRisk;
    return object;
}

asio::awaitable<std::optional<Error>> sendJson(RequestContext &context, json::object object)
{
    HttpResponse response;
    response.headers.push_back({"content-type", "application/json"});
    response.headers.push_back({"x-request-id", context.id.value});
    response.body = json::serialize(object);
    co_await sendResponse(context.responder, std::move(response));
    co_return std::nullopt;
}

asio::awaitable<std::optional<Error>> sendProgress(RequestContext &context, Result<JobProgress> progress)
{
    if (!isOk(progress)) {
        co_return errorOf(progress);
    }
    co_return co_await sendJson(context, renderJob(valueOf(progress)));
}

Error invalidHeader(std::string name, std::string detail)
{
    Error error = makeError(ErrorCode::InvalidRequest, std::move(detail));
    error.param = std::move(name);
    return error;
}

asio::awaitable<std::optional<Error>> submit(CallerServer::Impl &impl, RequestContext &context)
{
    const std::string key(headerValue(context.request.headers, "x-job-key"));
    if (key.empty() || key.size() > maxJobKeyBytes) {
        co_return invalidHeader("x-job-key", "the header x-job-key must have 1 to " + std::to_string(maxJobKeyBytes) + " bytes");
    }
    const std::string_view dueText = headerValue(context.request.headers, "x-due");
    const std::optional<UnixTime> due = parseDue(dueText, unixNow());
    if (!dueText.empty() && !due) {
        co_return invalidHeader("x-due", "the header x-due must be an RFC 3339 time or a number of seconds");
    }
    auto task = submitJob(*impl.batch, *context.workspace, key, due, std::move(context.request.body));
    auto progress = co_await runOnBatchThread(impl, std::move(task));
    co_return co_await sendProgress(context, std::move(progress));
}

asio::awaitable<std::optional<Error>> list(CallerServer::Impl &impl, RequestContext &context)
{
    const auto jobs = co_await runOnBatchThread(impl, listJobs(*impl.batch, context.workspace->id));
    if (!isOk(jobs)) {
        co_return errorOf(jobs);
    }
    json::array data;
    for (const JobProgress &progress : valueOf(jobs)) {
        data.push_back(renderJob(progress));
    }
    json::object object;
    object["object"] = "list";
    object["data"] = std::move(data);
    co_return co_await sendJson(context, std::move(object));
}

asio::awaitable<bool> startResults(RequestContext &context, const JobProgress &progress)
{
    const std::string_view state = stateNames.at(static_cast<std::size_t>(progress.job.state));
    HttpHeaders headers;
    headers.push_back({"content-type", "application/jsonl"});
    headers.push_back({"x-request-id", context.id.value});
    headers.push_back({"x-job-state", std::string(state)});
    headers.push_back({"x-groups-done", std::to_string(progress.groupsDone)});
    headers.push_back({"x-groups", std::to_string(progress.job.groupCount)});
    co_return isOk(co_await startStream(context.responder, 200, std::move(headers)));
}

/** Streams the results of all finished groups in their order; unfinished groups are left out. */
asio::awaitable<std::optional<Error>> streamResults(CallerServer::Impl &impl, RequestContext &context)
{
    const WorkspaceId workspace = context.workspace->id;
    const JobId job{context.pathParameter};
    const auto progress = co_await runOnBatchThread(impl, jobProgress(*impl.batch, workspace, job));
    if (!isOk(progress)) {
        co_return errorOf(progress);
    }
    bool started = false;
    for (std::uint32_t group = 0; group < valueOf(progress).job.groupCount && !context.callerGone; ++group) {
        auto lines = co_await runOnBatchThread(impl, readGroupResults(*impl.batch, workspace, job, group));
        if (!isOk(lines) && !started) {
            co_return errorOf(lines);
        }
        if (!isOk(lines)) {
            // finishStream() is not called: the connection closes without the final chunk, which tells the caller that results are missing.
            context.outcome = errorInfo(errorOf(lines).code).name;
            co_return std::nullopt;
        }
        if (!started && !co_await startResults(context, valueOf(progress))) {
            co_return std::nullopt;
        }
        started = true;
        if (!isOk(co_await writeChunk(context.responder, std::move(valueOf(lines))))) {
            co_return std::nullopt;
        }
    }
    if (!started && !co_await startResults(context, valueOf(progress))) {
        co_return std::nullopt;
    }
    co_await finishStream(context.responder);
    co_return std::nullopt;
}

} // namespace

std::optional<UnixTime> parseDue(std::string_view text, UnixTime now)
{
    const std::string copy(text);
    if (!copy.empty() && copy.find_first_not_of("0123456789") == std::string::npos && copy.size() <= 9) {
        return now + std::chrono::seconds(std::stoll(copy));
    }
    std::tm time{};
    double seconds = 0;
    int used = 0;
    if (std::sscanf(copy.c_str(), "%4d-%2d-%2d%*1[Tt ]%2d:%2d:%lf%n", &time.tm_year, &time.tm_mon, &time.tm_mday, &time.tm_hour, &time.tm_min, &seconds, &used)
        != 6) {
        return {};
    }
    int offset = 0;
    const std::string zone = copy.substr(static_cast<std::size_t>(used));
    if (zone != "Z" && zone != "z") {
        char sign = 0;
        int hours = 0;
        int minutes = 0;
        if (std::sscanf(zone.c_str(), "%1[+-]%2d:%2d", &sign, &hours, &minutes) != 3 || zone.size() != 6) {
            return {};
        }
        offset = (sign == '-' ? -1 : 1) * (hours * 60 + minutes) * 60;
    }
    const bool valid = time.tm_mon >= 1 && time.tm_mon <= 12 && time.tm_mday >= 1 && time.tm_mday <= 31 && time.tm_hour >= 0 && time.tm_hour <= 23
                       && time.tm_min >= 0 && time.tm_min <= 59 && seconds >= 0 && seconds < 61;
    if (!valid) {
        return {};
    }
    time.tm_year -= 1900;
    time.tm_mon -= 1;
    const auto unixSeconds = static_cast<long long>(timegm(&time)) - offset;
    return UnixTime(std::chrono::milliseconds(unixSeconds * 1000 + static_cast<long long>(std::floor(seconds * 1000))));
}

std::string renderTime(UnixTime time)
{
    const auto millis = time.time_since_epoch().count();
    const std::time_t seconds = millis / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 80> buffer{};
    std::snprintf(buffer.data(),
                  buffer.size(),
                  "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ",
                  parts.tm_year + 1900,
                  parts.tm_mon + 1,
                  parts.tm_mday,
                  parts.tm_hour,
                  parts.tm_min,
                  parts.tm_sec,
                  static_cast<int>(millis % 1000));
    return buffer.data();
}

asio::awaitable<std::optional<Error>> executeJobRequest(CallerServer::Impl &impl, RequestContext &context)
{
    if (!impl.batch) {
        co_return makeError(ErrorCode::NotReady, "batch service is not running");
    }
    const JobId job{context.pathParameter};
    switch (context.route) {
    case CallerRoute::JobSubmit:
        co_return co_await submit(impl, context);
    case CallerRoute::JobList:
        co_return co_await list(impl, context);
    case CallerRoute::JobResults:
        co_return co_await streamResults(impl, context);
    case CallerRoute::JobCancel:
        co_return co_await sendProgress(context, co_await runOnBatchThread(impl, cancelJob(*impl.batch, context.workspace->id, job)));
    default:
        co_return co_await sendProgress(context, co_await runOnBatchThread(impl, jobProgress(*impl.batch, context.workspace->id, job)));
    }
}

} // namespace skylark
