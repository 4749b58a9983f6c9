/** @file call_type.h Calls of callers and the wire form that an adapter gives them. */
#pragma once

#include "core/clock_func.h"
#include "core/id_type.h"
#include "core/result_type.h"
#include "http/http_type.h"
#include "job/job_type.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace skylark {

/** One request that is passed on to a target, or that submits a batch job. */
struct ProxyCall {
    RequestId id; ///< Identifier of this attempt of the caller.
    std::string method; ///< Method.
    std::string target; ///< Path and query, unchanged.
    std::string host; ///< Host header, unchanged.
    HttpHeaders headers; ///< End-to-end headers without those that the system sets itself.
    std::string body; ///< Whole body.
    std::optional<std::chrono::milliseconds> patience; ///< Time that the caller waits; nothing when it does not say.
    std::uint64_t lastEventId{0}; ///< Last event that the caller has; 0 for none.
};

/** Reads the results of a job. */
struct JobReadCall {
    JobId job; ///< Job.
    std::uint64_t after{0}; ///< First position wanted.
    std::chrono::milliseconds wait{0}; ///< Longest time to wait for a result.
};

/** Reads the body of one item. */
struct JobItemCall {
    JobId job; ///< Job.
    std::string item; ///< Item.
};

/** Ends a job. */
struct JobEndCall {
    JobId job; ///< Job.
};

/** What a caller asks for. */
using CallerCall = std::variant<ProxyCall, JobReadCall, JobItemCall, JobEndCall>;

/** What the system adds to a request that it sends to a target. */
struct SendDetails {
    TargetId expected; ///< Run of the target that is meant; any other has to refuse.
    std::chrono::milliseconds budget{0}; ///< Time after which the answer is of no use.
    std::uint64_t lastEventId{0}; ///< Last event that the caller has; 0 for none.
};

/** What the head of a target's answer says. */
struct AnswerFacts {
    bool notRun{false}; ///< Whether the target states that it did not run the request.
    bool signedByTarget{false}; ///< Whether it carries the target's signature.
    std::string requestId; ///< Identifier of the request that is answered; empty when it is not given.
};

/** Wire form of callers and targets, supplied by an adapter. */
struct CallWire {
    std::function<Result<CallerCall>(HttpRequest request)> decode; ///< InvalidRequest when it cannot be read.
    std::function<HttpRequest(const ProxyCall &call, const SendDetails &details)> encode; ///< Request for a target.
    std::function<AnswerFacts(int status, const HttpHeaders &headers)> readAnswer; ///< Reads the head of an answer.
    std::function<Result<JobSubmission>(const ProxyCall &call)> decodeSubmission; ///< InvalidRequest names the offending item.
    std::function<std::string(const JobPage &page)> encodePage; ///< Body of a read of results.
};

} // namespace skylark
