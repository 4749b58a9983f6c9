/** @file property_func.h Runs RapidCheck properties with a fixed seed in Catch2 tests. */
#pragma once

#include "support/property_seed.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/detail/TestListenerAdapter.h>
#include <sstream>
#include <string>

namespace skylark {

/** Parameters of a property check. */
struct PropertyOptions {
    std::string name{}; ///< Name shown in failure messages.
    std::uint64_t seed{20261204}; ///< Base seed; tools/prove adds an offset to it.
    int cases{100}; ///< Number of generated cases; tools/prove may raise it.
    int maxSize{100}; ///< Size of the largest generated values.
};

/** Checks @p property with the same cases in each run, and adds RapidCheck's result to the messages of the test. @return Whether the property holds. */
template<typename Property>
[[nodiscard]] bool propertyHolds(const PropertyOptions &options, Property property)
{
    rc::detail::TestParams params;
    params.seed = offsetSeed(options.seed);
    params.maxSuccess = propertyCases(options.cases);
    params.maxSize = options.maxSize;
    // Passes an own listener and no reproductions, because the default ones are read from the environment.
    rc::detail::TestListenerAdapter listener;
    const std::unordered_map<std::string, rc::detail::Reproduce> reproductions;
    const rc::detail::TestMetadata metadata{options.name, options.name};
    const auto result = rc::detail::checkTestable(std::move(property), metadata, params, listener, reproductions);
    std::ostringstream message;
    rc::detail::printResultMessage(result, message);
    UNSCOPED_INFO(message.str());
    return result.template is<rc::detail::SuccessResult>();
}

} // namespace skylark
