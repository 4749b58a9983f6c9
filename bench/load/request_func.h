/** @file request_func.h Sends one request of the load generator and verifies the answer. */
#pragma once

#include "http/http_client_func.h"

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace skylark::load {

using SteadyTime = std::chrono::steady_clock::time_point;

/** Options common to all requests of a run. */
struct RequestOptions {
    std::vector<Endpoint> hosts; ///< Entry hosts, used in round-robin order.
    std::string apiKey; ///< Bearer token; empty sends none.
    std::string model; ///< Model name; empty omits it from the request.
    std::string userPrefix; ///< Prefix of the request member "user".
    bool stream{true}; ///< Whether answers are streamed.
    unsigned promptTokens{64}; ///< Prompt length in tokens.
    unsigned maxTokens{16}; ///< Answer length in tokens.
    unsigned prefixes{8}; ///< Number of distinct shared prompt prefixes.
    std::uint64_t seed{1}; ///< Seed of the prompts.
    HttpTimeouts timeouts;
};

/** Result of comparing an answer with the expected one. */
enum class AnswerState {
    Match, ///< Equals the expected answer.
    Failed, ///< Ended with an error.
    Mismatch, ///< Ended without an error, but differs from the expected answer.
};

/** Outcome of one request. */
struct RequestOutcome {
    AnswerState state{AnswerState::Failed};
    std::string errorCode; ///< Error code; empty unless failed.
    std::string errorRun; ///< Whether the request may have run: "no" or "maybe", "none" when the error does not say; empty unless failed.
    std::string detail; ///< Details of a failure or mismatch.
    unsigned connectRetries{0}; ///< Hosts to which the connection failed before.
    bool hasText{false}; ///< Whether text arrived; firstText is set only then.
    unsigned chunks{0}; ///< Chunks of text that arrived.
    std::size_t textBytes{0}; ///< Size of the text.
    SteadyTime firstText; ///< Arrival of the first chunk of text.
    SteadyTime end;
    std::vector<double> gapsMs; ///< Times between chunks of text.
};

/** Sends request @p number and verifies its answer. */
boost::asio::awaitable<RequestOutcome> runRequest(std::shared_ptr<HttpClient> http, const RequestOptions &options, std::uint64_t number);

} // namespace skylark::load
