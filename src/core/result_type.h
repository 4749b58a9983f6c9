/** @file result_type.h Result type of functions that can fail. */
#pragma once

#include "core/error_type.h"

#include <utility>
#include <variant>

namespace skylark {

/** Result value of a function that returns nothing on success. */
struct Done {
    bool operator==(const Done &) const = default;
};

/** Either a value or an error. */
template<typename T>
using Result = std::variant<T, Error>;

/** @return Whether @p result holds a value. */
template<typename T>
[[nodiscard]] bool isOk(const Result<T> &result)
{
    return result.index() == 0;
}

/** @return The value of @p result, which must hold one. */
template<typename T>
[[nodiscard]] T &valueOf(Result<T> &result)
{
    return std::get<0>(result);
}

/** @return The value of @p result, which must hold one. */
template<typename T>
[[nodiscard]] const T &valueOf(const Result<T> &result)
{
    return std::get<0>(result);
}

/** @return The error of @p result, which must hold one. */
template<typename T>
[[nodiscard]] const Error &errorOf(const Result<T> &result)
{
    return std::get<1>(result);
}

/** @return An error with @p code and @p detail. */
[[nodiscard]] inline Error makeError(ErrorCode code, std::string detail, RunState run = RunState::No)
{
    return Error{.code = code, .detail = std::move(detail), .run = run, .param = {}, .retryAfter = {}};
}

} // namespace skylark
