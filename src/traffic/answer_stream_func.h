/** @file answer_stream_func.h One attempt of a generation, on a target or through a host of another failure domain. */
#pragma once

#include "engine/engine_client_func.h"
#include "traffic/caller_server_base.h"
#include "traffic/request_context_type.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <optional>
#include <string>

namespace skylark {

/** A streamed answer from a host of another failure domain. */
struct ForwardStream {
    HttpExchange exchange;
    std::string pending; ///< Bytes of an incomplete event.
    bool ended{false}; ///< Whether the end marker was read.
};

/** The stream of one attempt; exactly one member is set. */
struct AnswerStream {
    std::optional<GenerateStream> engine; ///< From a target.
    std::optional<ForwardStream> forward; ///< From another host.
};

/** Sends the request to a host of another failure domain, with the text received so far. @param attempt Request id of this attempt. */
boost::asio::awaitable<Result<AnswerStream>> startForward(
    CallerServer::Impl &impl, RequestContext &context, Endpoint endpoint, RequestId attempt, HttpTimeouts timeouts);

/** Sends the request to a target, with the text received so far. @param attempt Request id of this attempt. */
boost::asio::awaitable<Result<AnswerStream>> startOnTarget(
    CallerServer::Impl &impl, RequestContext &context, Endpoint endpoint, RequestId attempt, HttpTimeouts timeouts);

/** Reads the next token event; an empty optional is the end of a complete answer. */
boost::asio::awaitable<Result<std::optional<TokenEvent>>> readAnswer(AnswerStream &stream, std::chrono::milliseconds idleTimeout);

/** Closes the stream; a pending readAnswer() ends with Cancelled. */
void abortAnswer(AnswerStream &stream);

/** @return Whether the end marker was read and the response carries the id of @p attempt. */
[[nodiscard]] bool isComplete(const AnswerStream &stream, const RequestId &attempt);

/** Runs @p call and cancels it when the caller disconnects. */
template<typename T>
boost::asio::awaitable<Result<T>> cancellable(RequestContext &context, boost::asio::awaitable<Result<T>> call)
{
    if (context.callerGone) {
        co_return makeError(ErrorCode::CallerGone, "caller closed its connection");
    }
    const auto executor = co_await boost::asio::this_coro::executor;
    auto [failure, result] = co_await boost::asio::co_spawn(
        executor, std::move(call), boost::asio::bind_cancellation_slot(context.cancelCall.slot(), boost::asio::as_tuple(boost::asio::use_awaitable)));
    if (failure) {
        co_return makeError(ErrorCode::Cancelled, "call was cancelled", RunState::Maybe);
    }
    co_return std::move(result);
}

} // namespace skylark
