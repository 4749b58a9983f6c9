/** @file property_seed.h Seed and number of runs of property tests; tools/prove sets both. */
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string>

namespace skylark {

/** @return First seed: SKYLARK_PROPERTY_SEED, or 1. */
inline std::uint64_t propertySeed()
{
    const char *text = std::getenv("SKYLARK_PROPERTY_SEED");
    return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

/** @return Number of consecutive seeds: SKYLARK_PROPERTY_RUNS, or @p usual. */
inline std::uint64_t propertyRuns(std::uint64_t usual)
{
    const char *text = std::getenv("SKYLARK_PROPERTY_RUNS");
    return text == nullptr ? usual : std::max<std::uint64_t>(std::strtoull(text, nullptr, 10), 1);
}

/** @return @p fixed, moved by the seed that tools/prove sets; @p fixed itself without one. */
inline std::uint64_t movedSeed(std::uint64_t fixed)
{
    return fixed + propertySeed() - 1;
}

/** @return Cases of one property: at least @p usual, which the checks of a property's own coverage need. */
inline int propertyCases(int usual)
{
    return std::max(usual, static_cast<int>(propertyRuns(static_cast<std::uint64_t>(usual))));
}

/** Gives RapidCheck the same seed; call before the first rc::check(). */
inline void seedRapidCheck()
{
    const std::string parameters = "seed=" + std::to_string(propertySeed()) + " max_success=" + std::to_string(propertyRuns(100));
    setenv("RC_PARAMS", parameters.c_str(), 0);
}

} // namespace skylark
