/** @file job_item_read.cpp Loads the items of jobs and answers reads of their bodies. */
#include "job/job_answer_func.h"
#include "job/job_peer_func.h"
#include "job/job_record_func.h"

namespace skylark {

namespace asio = boost::asio;

asio::awaitable<Result<Done>> loadJobItems(std::shared_ptr<JobRegistry> registry, JobId job)
{
    const auto found = registry->jobs.find(job);
    if (found == registry->jobs.end()) {
        co_return makeError(ErrorCode::NotFound, "job is unknown");
    }
    if (!found->second.items.empty()) {
        co_return Done{};
    }
    ProxyCall call;
    call.id.value = job.value;
    call.target = found->second.record.path;
    call.accepted = true;
    const std::uint32_t parts = found->second.record.bodyParts;
    for (std::uint32_t part = 0; part < parts; ++part) {
        auto item = co_await registry->store->get(jobBodyKey(job, part), KvFreshness::Linearizable);
        if (!isOk(item)) {
            co_return errorOf(item);
        }
        if (!valueOf(item)) {
            co_return makeError(ErrorCode::BlobNotFound, "part " + std::to_string(part) + " of the submission is gone");
        }
        call.body += valueOf(item)->value;
    }
    auto submission = registry->decodeSubmission(call);
    if (!isOk(submission)) {
        co_return errorOf(submission);
    }
    registry->jobs[job].items = std::move(valueOf(submission).items);
    co_return Done{};
}

asio::awaitable<JobAnswer> readJobItem(std::shared_ptr<JobRegistry> registry, JobItemCall call)
{
    const auto known = registry->jobs.find(call.job);
    if (known == registry->jobs.end() || known->second.revision == 0) {
        auto exists = co_await refreshJob(registry, call.job, 0);
        if (!isOk(exists) || !valueOf(exists)) {
            co_return missingJob(exists);
        }
    }
    const auto loaded = co_await loadJobItems(registry, call.job);
    if (!isOk(loaded)) {
        co_return storeUnavailable();
    }
    for (const JobItem &item : registry->jobs.at(call.job).items) {
        if (item.id == call.item) {
            JobAnswer answer = makeJobAnswer(200, "body");
            answer.body = item.body;
            co_return answer;
        }
    }
    co_return makeJobAnswer(404, "no_item");
}

} // namespace skylark
