/** @file soak_verdict_func.h Finds requests of a soak test that ended in a way that hosts must not cause. */
#pragma once

#include "support/soak_client_func.h"
#include "support/soak_site.h"

#include <map>
#include <string>
#include <vector>

namespace skylark::test {

/** Result of one run of a soak test. */
struct SoakVerdict {
    std::vector<std::string> failures; ///< One text for each request that a host lost, answered wrongly or ran too often.
    std::map<std::string, unsigned> counts; ///< Number of requests by outcome.
};

/** Judges all requests of a run by what callers received and what the targets executed. */
[[nodiscard]] SoakVerdict judgeSoak(const SoakSite &site, const std::vector<SoakRecord> &records);

} // namespace skylark::test
