/** @file property_func.h RapidCheck properties with a fixed seed inside Catch2 tests. */
#pragma once

#include "support/property_seed.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/detail/TestListenerAdapter.h>
#include <sstream>
#include <string>

namespace skylark {

/** What a property is checked with. */
struct PropertyOptions {
    std::string name{}; ///< Name in the message of a failure.
    std::uint64_t seed{20261204}; ///< Seed; tools/prove moves it.
    int cases{100}; ///< Generated cases; tools/prove may ask for more.
    int maxSize{100}; ///< Size of the largest generated values.
};

/** Checks @p property with the same cases in each run and adds the reason to the test's messages. @return Whether it holds. */
template<typename Property>
[[nodiscard]] bool propertyHolds(const PropertyOptions &options, Property property)
{
    rc::detail::TestParams params;
    params.seed = movedSeed(options.seed);
    params.maxSuccess = propertyCases(options.cases);
    params.maxSize = options.maxSize;
    // A listener and an empty list of reproductions, because the defaults come from the environment.
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
