/** @file property_seed.h Seed and number of runs of property tests; tools/prove sets both through the environment. */
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>

namespace skylark {

/** @return The first seed: SKYLARK_PROPERTY_SEED, or 1 if it is not set. */
inline std::uint64_t propertySeed()
{
    const char *text = std::getenv("SKYLARK_PROPERTY_SEED");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

/** @return The number of consecutive seeds: SKYLARK_PROPERTY_RUNS, or @p defaultCount if it is not set; at least 1 if it is set. */
inline std::uint64_t propertyRuns(std::uint64_t defaultCount)
{
    const char *text = std::getenv("SKYLARK_PROPERTY_RUNS");
    return text == nullptr ? defaultCount : std::max<std::uint64_t>(std::strtoull(text, nullptr, 10), 1);
}

/** @return @p base plus the offset from propertySeed(); @p base itself if no seed is set. */
inline std::uint64_t offsetSeed(std::uint64_t base)
{
    return base + propertySeed() - 1;
}

/** @return The number of cases of one property: at least @p defaultCount, because checks of a property's coverage need that many. */
inline int propertyCases(int defaultCount)
{
    return std::max(defaultCount, static_cast<int>(propertyRuns(static_cast<std::uint64_t>(defaultCount))));
}

/** Sets RC_PARAMS to this seed and number of runs, unless it is set; must be called before the first rc::check(). */
inline void seedRapidCheck()
{
    const std::string parameters = "seed=" + std::to_string(propertySeed()) + " max_success=" + std::to_string(propertyRuns(100));
    setenv("RC_PARAMS", parameters.c_str(), 0);
}

} // namespace skylark
