/** @file answer_func.h Delivery of a generated answer to the caller. */
#pragma once

#include "engine/engine_client_func.h"
#include "traffic/caller_server_base.h"
#include "traffic/request_context_type.h"

#include <boost/asio/awaitable.hpp>
#include <optional>

namespace skylark {

/** Token times of one attempt. */
struct AnswerTiming {
    TimePoint first{}; ///< First piece.
    TimePoint last{}; ///< Last piece.
    unsigned tokensAfterFirst{0}; ///< Tokens after the first piece.
};

/** @return Time to the first piece in milliseconds. */
[[nodiscard]] std::optional<double> firstTokenMs(const AnswerTiming &timing, TimePoint startedAt);

/** @return Time per further token in milliseconds. */
[[nodiscard]] std::optional<double> tokenMs(const AnswerTiming &timing);

/** Adds one piece to the answer and sends it to a caller who wants events. @return CallerGone when the caller does not take it. */
boost::asio::awaitable<std::optional<Error>> takePiece(CallerServer::Impl &impl, RequestContext &context, TokenEvent event, AnswerTiming &timing);

/** Ends a complete answer. @return CallerGone when the caller does not take it. */
boost::asio::awaitable<std::optional<Error>> completeAnswer(RequestContext &context);

/** Ends an answer that cannot be completed. @return The error to render, or nothing when the caller has received the head already. */
boost::asio::awaitable<std::optional<Error>> cutAnswer(RequestContext &context, Error error);

} // namespace skylark
