/** @file batch_property.h RapidCheck properties with a fixed seed inside Catch2 tests. */
#pragma once

#include "support/property_seed.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <sstream>
#include <string>

namespace skylark {

/** Checks @p property with a fixed seed, so that a failure can be repeated. @return Whether it holds. */
template<typename Property>
bool propertyHolds(const std::string &name, int successes, Property property)
{
    rc::detail::TestParams params;
    params.seed = movedSeed(20261204);
    params.maxSuccess = propertyCases(successes);
    const rc::detail::TestMetadata metadata{name, name};
    const rc::detail::TestResult result = rc::detail::checkTestable(std::move(property), metadata, params);
    std::ostringstream message;
    rc::detail::printResultMessage(result, message);
    UNSCOPED_INFO(message.str());
    return result.template is<rc::detail::SuccessResult>();
}

} // namespace skylark
