/** @file soak_records_func.h What the targets of a soak test recorded about each request. */
#pragma once

#include "support/soak_site.h"

#include <map>
#include <string>
#include <vector>

namespace skylark::test {

/** Runs and late reads of one request at all targets. */
struct TargetRecords {
    std::vector<standin::ScriptedRun> runs; ///< In order of their begin.
    std::vector<standin::LateRead> lateReads;
};

/** @return The records of all targets, also of those that have crashed, by the id of the request. */
[[nodiscard]] std::map<std::string, TargetRecords> targetRecords(const SoakSite &site);

} // namespace skylark::test
