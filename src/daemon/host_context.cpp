/** @file host_context.cpp Log of recent routing and placement decisions. */
#include "daemon/host_context_base.h"

#include <glog/logging.h>

namespace skylark {

void logDecision(DecisionLog &log, std::string_view part, const RequestId &request, std::string text)
{
    LOG(INFO) << "[" << part << "] " << text << (request.empty() ? "" : " request=") << request.value;
    const std::scoped_lock lock(log.mutex);
    log.records.push_back({request, std::string(part), std::move(text), unixNow()});
    if (log.records.size() > log.capacity) {
        log.records.pop_front();
    }
}

std::vector<DecisionRecord> decisionsOf(DecisionLog &log, const RequestId &request)
{
    const std::scoped_lock lock(log.mutex);
    std::vector<DecisionRecord> found;
    for (const DecisionRecord &record : log.records) {
        if (record.request == request) {
            found.push_back(record);
        }
    }
    return found;
}

} // namespace skylark
