/** @file engine_client_func.h Client of model engines and plain services. */
#pragma once

#include "control/snapshot_type.h"
#include "core/result_type.h"
#include "http/http_client_func.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace skylark {

/** One generation request to an engine. */
struct GenerateCall {
    RequestId requestId; ///< Unique for this attempt; the engine echoes it.
    std::string body; ///< Caller's chat completion body (JSON); "stream" is forced on towards the engine.
    std::string continueFrom; ///< Text produced by an earlier attempt; the engine continues after it.
    unsigned tokensDone{0}; ///< Tokens in continueFrom.
    bool online{false}; ///< Whether a caller waits; sent as "x-skylark-kind: online", which the stand-in counts by.
};

/** One piece of a generation stream. */
struct TokenEvent {
    std::string text; ///< Text of this piece.
    unsigned tokens{0}; ///< Tokens in this piece.
    std::string finishReason; ///< "stop", "length" or empty.
    unsigned promptTokens{0}; ///< Prompt tokens, in the last event.
    unsigned cachedTokens{0}; ///< Prompt tokens found in the prefix cache, in the last event.
};

/** A running generation. Destroying it cancels the request at the engine by closing the connection. */
struct GenerateStream {
    HttpExchange exchange; ///< Transport.
    std::string pending; ///< Bytes of an incomplete event.
    RequestId requestId; ///< Attempt.
    bool ended{false}; ///< Whether the end marker was read.
};

/** Starts a generation. TargetRejected carries a 4xx answer, TargetOverloaded a 503 that says "not run". */
boost::asio::awaitable<Result<GenerateStream>> startGenerate(std::shared_ptr<HttpClient> http, Endpoint endpoint, GenerateCall call, HttpTimeouts timeouts);

/** Reads the next event; an empty optional is the proper end of the stream ("data: [DONE]"). A stream that ends without it is StreamBroken. */
boost::asio::awaitable<Result<std::optional<TokenEvent>>> readToken(GenerateStream &stream, std::chrono::milliseconds idleTimeout);

/** Aborts the stream; a pending readToken() ends with Cancelled. Call on the owning thread. */
void abortGenerate(GenerateStream &stream);

/** Asks the engine to drop a request by id; for streams whose connection may be silent. */
boost::asio::awaitable<Result<Done>> cancelGenerate(std::shared_ptr<HttpClient> http, Endpoint endpoint, RequestId requestId, HttpTimeouts timeouts);

/** Reads a load report. */
boost::asio::awaitable<Result<LoadReport>> readLoad(std::shared_ptr<HttpClient> http, Endpoint endpoint, HttpTimeouts timeouts);

/** One cache event of an engine. */
struct CacheEvent {
    std::uint64_t sequence{0}; ///< Sequence number; a jump is a gap.
    bool stored{true}; ///< Stored or evicted.
    std::uint64_t prefixHash{0}; ///< hash64() of the prefix text block.
};

/** Reads cache events after @p from. */
boost::asio::awaitable<Result<std::vector<CacheEvent>>> readCacheEvents(std::shared_ptr<HttpClient> http,
                                                                        Endpoint endpoint,
                                                                        std::uint64_t from,
                                                                        HttpTimeouts timeouts);

/** One order to an engine. */
struct EngineOrder {
    std::string action; ///< "load_model", "unload_model", "load_adapter" or "set_role".
    ModelId model; ///< Model.
    std::string version; ///< Version.
    std::string adapter; ///< Adapter.
    std::string role; ///< Role.
    Fencing fencing; ///< Fencing number.
};

/** Sends an order. @param gate Called after the engine has taken the head and before the body is sent; see httpCallGated(). */
boost::asio::awaitable<Result<Done>> sendOrder(
    std::shared_ptr<HttpClient> http, Endpoint endpoint, EngineOrder order, HttpTimeouts timeouts, std::function<Result<Done>()> gate);

/** Calls a plain service. @param use Fresh for calls that must not be repeated. */
boost::asio::awaitable<Result<HttpResponse>> callService(
    std::shared_ptr<HttpClient> http, Endpoint endpoint, HttpRequest request, RequestId requestId, HttpTimeouts timeouts, ConnectionUse use);

} // namespace skylark
