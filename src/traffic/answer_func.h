/** @file answer_func.h Sends a generated answer to the caller, streamed or as one response. */
#pragma once

#include "engine/engine_client_func.h"
#include "traffic/caller_server_base.h"
#include "traffic/request_context_type.h"

#include <boost/asio/awaitable.hpp>
#include <optional>

namespace skylark {

/** Arrival times of the tokens of one attempt. */
struct AnswerTiming {
    TimePoint first{}; ///< Arrival of the first token event; TimePoint{} before it.
    TimePoint last{}; ///< Arrival of the last token event.
    unsigned tokensAfterFirst{0}; ///< Tokens of all events after the first one.
};

/** @return Time from @p startedAt to the first token event in milliseconds, or nothing when none arrived. */
[[nodiscard]] std::optional<double> firstTokenMs(const AnswerTiming &timing, TimePoint startedAt);

/** @return Average time per token after the first event in milliseconds, or nothing when there was no further token. */
[[nodiscard]] std::optional<double> tokenMs(const AnswerTiming &timing);

/**
 * Adds one token event to the answer, records its metrics and sends it to the caller if the caller asked for a stream.
 * @return CallerGone when the write fails.
 */
boost::asio::awaitable<std::optional<Error>> deliverTokenEvent(CallerServer::Impl &impl, RequestContext &context, TokenEvent event, AnswerTiming &timing);

/** Sends the end of a complete answer, or the whole answer when it is not streamed. @return CallerGone when a write fails. */
boost::asio::awaitable<std::optional<Error>> completeAnswer(RequestContext &context);

/**
 * Ends an answer that cannot be completed. When the response head was sent already, the error goes out as the last event and the
 * stream is left unfinished.
 * @return The error to render as a response, or nothing when it was sent as an event.
 */
boost::asio::awaitable<std::optional<Error>> failAnswer(RequestContext &context, Error error);

} // namespace skylark
