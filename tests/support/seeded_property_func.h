/** @file seeded_property_func.h RapidCheck properties with a fixed seed as Catch2 checks. */
#pragma once

#include "support/property_seed.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/detail/TestListenerAdapter.h>
#include <sstream>

namespace skylark {

/** Requires that @p property holds for @p cases generated cases; the same ones in each run. */
template<typename Property>
void requireProperty(std::uint64_t seed, int cases, Property property)
{
    rc::detail::TestParams params;
    params.seed = movedSeed(seed);
    params.maxSuccess = propertyCases(cases);
    // A listener and an empty list of reproductions, because the defaults come from the environment.
    rc::detail::TestListenerAdapter listener;
    const std::unordered_map<std::string, rc::detail::Reproduce> reproductions;
    const auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata(), params, listener, reproductions);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    INFO(text.str());
    REQUIRE(result.template is<rc::detail::SuccessResult>());
}

} // namespace skylark
