/** @file invariant.cpp Counts invariant checks and reports violations. */
#include "core/invariant_func.h"

#include <atomic>
#include <glog/logging.h>
#include <mutex>

namespace skylark {

namespace {

constexpr std::size_t promiseCount = static_cast<std::size_t>(Promise::Count);

constexpr std::array<std::string_view, promiseCount> promiseNames{
    "exactly_once",
    "cancel_stops",
    "online_first",
    "whole_answer",
    "not_run",
    "at_most_once",
    "leaving_target",
    "graceful_stop",
    "config_forward",
    "durable_ack",
    "fenced_order",
    "silent_connection",
};

std::array<std::atomic<std::uint64_t>, promiseCount> checkCounts{};
std::mutex handlerMutex;
ViolationHandler violationHandler;

} // namespace

std::string_view promiseName(Promise promise)
{
    return promiseNames.at(static_cast<std::size_t>(promise));
}

void setViolationHandler(ViolationHandler handler)
{
    const std::scoped_lock lock(handlerMutex);
    violationHandler = std::move(handler);
}

void checkInvariant(Promise promise, bool holds, std::string_view condition, std::string_view file, int line)
{
    checkCounts[static_cast<std::size_t>(promise)].fetch_add(1, std::memory_order_relaxed);
    if (holds) {
        return;
    }
    const std::scoped_lock lock(handlerMutex);
    if (violationHandler) {
        violationHandler(promise, condition, file, line);
        return;
    }
    LOG(FATAL) << "[invariant] " << promiseName(promise) << " violated: " << condition << " at " << file << ":" << line;
}

std::array<std::uint64_t, promiseCount> invariantCounts()
{
    std::array<std::uint64_t, promiseCount> counts{};
    for (std::size_t i = 0; i < promiseCount; ++i) {
        counts[i] = checkCounts[i].load(std::memory_order_relaxed);
    }
    return counts;
}

} // namespace skylark
