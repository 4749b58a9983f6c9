/** @file job_access.cpp Finds the workspace of a job, for the check of a caller's key. */
#include "job/job_peer_func.h"
#include "job/job_registry_base.h"

namespace skylark {

boost::asio::awaitable<Result<std::optional<WorkspaceId>>> workspaceOfJob(std::shared_ptr<JobRegistry> registry, JobId job)
{
    auto found = registry->jobs.find(job);
    if (found == registry->jobs.end() || found->second.revision == 0) {
        const auto exists = co_await refreshJob(registry, job, 0);
        if (!isOk(exists)) {
            co_return errorOf(exists);
        }
        found = registry->jobs.find(job);
    }
    // The workspace never changes, so that any known revision of the record will do.
    const bool known = found != registry->jobs.end() && found->second.revision > 0;
    co_return known ? std::optional(found->second.record.workspace) : std::nullopt;
}

bool mayResubmit(const StoredJob &record, const WorkspaceId &workspace)
{
    return record.workspace.empty() || record.workspace == workspace;
}

} // namespace skylark
