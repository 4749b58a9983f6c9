/** @file batch_order.cpp Scheduling order of batch jobs and their groups. */
#include "policy/batch_order_func.h"

#include "core/hash_func.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace skylark {

namespace {

constexpr double minShare = 0.01; ///< Lower bound, so that the jobs of a workspace without a share still make progress.

/** Sort key of a job. A larger share makes the job more urgent, whether the slack is positive or negative. */
double weightedSlack(const JobDemand &job, UnixTime now, double itemsPerSecond)
{
    const auto slack = static_cast<double>(slackOf(job.due, now, job.itemsLeft, itemsPerSecond).count());
    const double share = std::max(minShare, job.share);
    return slack > 0 ? slack / share : slack * share;
}

} // namespace

std::chrono::milliseconds slackOf(UnixTime due, UnixTime now, std::uint64_t itemsLeft, double itemsPerSecond)
{
    const auto left = due - now;
    if (itemsPerSecond <= 0) {
        return left;
    }
    constexpr double longestMs = 1e15; // Longer than the time to any due time, and still exactly representable as a double.
    const double workMs = std::min(longestMs, static_cast<double>(itemsLeft) / itemsPerSecond * 1000.0);
    return left - std::chrono::milliseconds(static_cast<std::int64_t>(workMs));
}

std::vector<std::size_t> orderJobs(const std::vector<JobDemand> &jobs, UnixTime now, double itemsPerSecond)
{
    std::vector<std::tuple<double, UnixTime, std::string, std::size_t>> keys;
    for (std::size_t i = 0; i < jobs.size(); ++i) {
        keys.emplace_back(weightedSlack(jobs[i], now, itemsPerSecond), jobs[i].created, jobs[i].job.value, i);
    }
    std::sort(keys.begin(), keys.end());
    std::vector<std::size_t> order;
    order.reserve(keys.size());
    for (const auto &key : keys) {
        order.push_back(std::get<std::size_t>(key));
    }
    return order;
}

std::vector<std::uint32_t> groupClaimOrder(const HostId &host, const JobId &job, std::uint32_t groupCount)
{
    std::vector<std::uint32_t> order(groupCount);
    std::iota(order.begin(), order.end(), 0U);
    std::uint64_t state = rendezvousScore(job.value, host.value);
    for (std::uint32_t i = groupCount; i > 1; --i) {
        std::swap(order[i - 1], order[nextRandom(state) % i]);
    }
    return order;
}

std::size_t movePreferredGroupsFirst(std::vector<std::uint32_t> &claimOrder, const HostId &host, const std::vector<HostId> &hosts, const JobId &job)
{
    const auto isPreferred = [&](std::uint32_t group) {
        const std::string subject = job.value + "/" + std::to_string(group);
        const std::uint64_t ownScore = rendezvousScore(subject, host.value);
        return std::none_of(hosts.begin(), hosts.end(), [&](const HostId &other) {
            return other != host && rendezvousScore(subject, other.value) >= ownScore;
        });
    };
    const auto end = std::stable_partition(claimOrder.begin(), claimOrder.end(), isPreferred);
    return static_cast<std::size_t>(end - claimOrder.begin());
}

bool isDueAtRisk(UnixTime due, UnixTime now, std::uint64_t itemsLeft, double itemsPerSecond)
{
    return itemsLeft > 0 && slackOf(due, now, itemsLeft, itemsPerSecond) < std::chrono::milliseconds(0);
}

} // namespace skylark
