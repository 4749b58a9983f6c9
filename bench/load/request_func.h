/** @file request_func.h One request of the load generator with the verification of its answer. */
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

/** What every request has in common. */
struct RequestOptions {
    std::vector<Endpoint> hosts; ///< Entry hosts.
    std::string apiKey; ///< Bearer key; empty sends none.
    std::string model; ///< Model; empty leaves it out.
    std::string userPrefix; ///< Beginning of the body's member "user".
    bool stream{true}; ///< Whether answers are streamed.
    unsigned promptTokens{64}; ///< Prompt length.
    unsigned maxTokens{16}; ///< Answer length.
    unsigned prefixes{8}; ///< Different first halves of prompts.
    std::uint64_t seed{1}; ///< Seed of the prompts.
    HttpTimeouts timeouts; ///< Limits.
};

/** How an answer compares with the expected one. */
enum class AnswerState {
    Whole, ///< Exactly the expected answer.
    Failed, ///< An error was reported.
    Mismatch, ///< Ended as if whole, but differs from the expected answer.
};

/** Outcome of one request. */
struct RequestOutcome {
    AnswerState state{AnswerState::Failed}; ///< Comparison.
    std::string errorCode; ///< Error code, if failed.
    std::string errorRun; ///< "no" or "maybe", if failed.
    std::string detail; ///< Context of a failure or mismatch.
    unsigned connectRetries{0}; ///< Hosts that refused the connection before.
    bool textSeen{false}; ///< Whether some text arrived.
    unsigned pieces{0}; ///< Pieces of text that arrived.
    std::size_t textBytes{0}; ///< Bytes of text.
    SteadyTime firstText; ///< Arrival of the first text.
    SteadyTime end; ///< End.
    std::vector<double> gapsMs; ///< Times between pieces of text in milliseconds.
};

/** Makes request @p number and verifies its answer. */
boost::asio::awaitable<RequestOutcome> runRequest(std::shared_ptr<HttpClient> http, const RequestOptions &options, std::uint64_t number);

} // namespace skylark::load
