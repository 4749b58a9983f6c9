/** @file soak_records.cpp What the targets of a soak test recorded about each request. */
#include "support/soak_records_func.h"

#include <algorithm>

namespace skylark::test {

using namespace skylark::standin;

std::map<std::string, TargetRecords> targetRecords(const SoakSite &site)
{
    std::map<std::string, TargetRecords> byId;
    for (const auto *group : {&site.targets, &site.crashedTargets}) {
        for (const auto &target : *group) {
            for (const auto &run : target->runs) {
                byId[run->id].runs.push_back(*run);
            }
            for (const LateRead &read : target->lateReads) {
                byId[read.id].lateReads.push_back(read);
            }
        }
    }
    for (auto &[id, records] : byId) {
        std::sort(records.runs.begin(), records.runs.end(), [](const ScriptedRun &a, const ScriptedRun &b) {
            return a.beganAt < b.beganAt;
        });
    }
    return byId;
}

} // namespace skylark::test
