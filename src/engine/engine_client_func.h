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

/** Generation request to an engine. */
struct GenerateCall {
    RequestId requestId; ///< Unique for each attempt; the engine echoes it.
    std::string body; ///< Chat completion request of the caller (JSON); "stream" is set to true before it is sent.
    std::string continueFrom; ///< Text that earlier attempts generated, after which the engine continues; may be empty.
    unsigned tokensDone{0}; ///< Number of tokens in continueFrom.
    bool online{false}; ///< Whether the request is online; sent as "x-skylark-kind: online", by which the engine stand-in counts tokens.
};

/** One event of a generation stream. */
struct TokenEvent {
    std::string text; ///< Text generated since the previous event.
    unsigned tokens{0}; ///< Number of tokens in text.
    std::string finishReason; ///< "stop", "length", or empty if not finished.
    unsigned promptTokens{0}; ///< Number of prompt tokens; only in the last event.
    unsigned cachedTokens{0}; ///< Number of prompt tokens found in the prefix cache; only in the last event.
};

/** A generation in progress. Destroying it closes the connection, which cancels the request at the engine. */
struct GenerateStream {
    HttpExchange exchange; ///< HTTP exchange whose body is the stream.
    std::string pending; ///< Received bytes that have not been parsed.
    RequestId requestId; ///< Id of this attempt.
    bool ended{false}; ///< Whether the end marker has been read.
};

/**
 * Starts a generation.
 * @return The stream; TargetOverloaded for status 429, or 503 with the header "x-not-run: 1"; TargetRejected for other 4xx; TargetFailed for other 5xx;
 * ResponseMismatch for the response to another request; or another error.
 */
boost::asio::awaitable<Result<GenerateStream>> startGenerate(std::shared_ptr<HttpClient> http, Endpoint endpoint, GenerateCall call, HttpTimeouts timeouts);

/** Reads the next event. @return The event; an empty optional at the end marker ("data: [DONE]"); StreamBroken if the stream ends without it. */
boost::asio::awaitable<Result<std::optional<TokenEvent>>> readToken(GenerateStream &stream, std::chrono::milliseconds idleTimeout);

/** Aborts the stream; a pending readToken() fails with Cancelled. Must be called on the thread that owns the stream. */
void abortGenerate(GenerateStream &stream);

/** Cancels a request at the engine by its id, on a new connection; for streams whose own connection may be silent. */
boost::asio::awaitable<Result<Done>> cancelGenerate(std::shared_ptr<HttpClient> http, Endpoint endpoint, RequestId requestId, HttpTimeouts timeouts);

/** Reads the engine's current load report. */
boost::asio::awaitable<Result<LoadReport>> readLoad(std::shared_ptr<HttpClient> http, Endpoint endpoint, HttpTimeouts timeouts);

/** Change of an engine's prefix cache. */
struct CacheEvent {
    std::uint64_t sequence{0}; ///< Consecutive; a jump means that events were missed.
    bool stored{true}; ///< Whether the prefix was stored; otherwise it was evicted.
    std::uint64_t prefixHash{0}; ///< hash64() of the prefix text block.
};

/** Reads cache events. @param from Sequence number after which the events start. */
boost::asio::awaitable<Result<std::vector<CacheEvent>>> readCacheEvents(std::shared_ptr<HttpClient> http,
                                                                        Endpoint endpoint,
                                                                        std::uint64_t from,
                                                                        HttpTimeouts timeouts);

/** Order to an engine to change its models, adapters or role. */
struct EngineOrder {
    std::string action; ///< "load_model", "unload_model", "load_adapter" or "set_role".
    ModelId model;
    std::string version; ///< Version of the model.
    std::string adapter; ///< Adapter to load; empty for other actions.
    std::string role; ///< Role to set; empty for other actions.
    Fencing fencing; ///< The engine refuses an order with a lower number than it has seen.
};

/**
 * Sends an order.
 * @param gate Called once the engine has accepted the head; the body is sent only if it succeeds, see httpCallExpectContinue().
 * @return Done; StaleFencing if the engine has seen a newer fencing number; the error of @p gate; or another error.
 */
boost::asio::awaitable<Result<Done>> sendOrder(
    std::shared_ptr<HttpClient> http, Endpoint endpoint, EngineOrder order, HttpTimeouts timeouts, std::function<Result<Done>()> gate);

/**
 * Calls a plain service. A request id among the headers of @p request is replaced by @p requestId.
 * @param use Fresh for calls that must not be repeated.
 * @return The response, with any status; or a transport error.
 */
boost::asio::awaitable<Result<HttpResponse>> callService(
    std::shared_ptr<HttpClient> http, Endpoint endpoint, HttpRequest request, RequestId requestId, HttpTimeouts timeouts, ConnectionUse use);

} // namespace skylark
