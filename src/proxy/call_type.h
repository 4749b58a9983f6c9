/** @file call_type.h Requests of callers, and the interface of the adapter that decodes and encodes them. */
#pragma once

#include "core/clock_func.h"
#include "core/id_type.h"
#include "core/result_type.h"
#include "http/http_type.h"
#include "job/job_type.h"
#include "policy/prompt_part_type.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace skylark {

/** A request that is forwarded to a target, or that submits a batch job. */
struct ProxyCall {
    RequestId id; ///< Identifies one attempt of the caller.
    std::string method;
    std::string target; ///< Path and query, as received.
    std::string host; ///< Host header, as received.
    HttpHeaders headers; ///< End-to-end headers, without those that the host sets itself on requests to targets.
    HttpHeaders accessHeaders; ///< Headers with an API key or a workspace, as received; forwarded only where callers need no key.
    std::string body; ///< Complete body.
    std::optional<std::chrono::milliseconds> callerTimeout; ///< How long the caller waits for the answer; empty when the request does not say.
    std::uint64_t lastEventId{0}; ///< Last event that the caller received; 0 for none.
    RequestId resumes; ///< Attempt that brought the caller the first event of the stream that this request resumes; empty for none.
    PromptParts prompt; ///< Parts of the prompt; empty for a request that names none.
    std::string apiKey; ///< Key of the caller; empty when there is none or more than one. Must not be logged.
    std::chrono::milliseconds waited{0}; ///< Time that the request has waited before it was forwarded; counts against its deadline.
    bool accepted{false}; ///< Whether it is the submission of a job that was accepted before. Its items are not validated again.
    bool relayed{false}; ///< Whether another host, which has checked the caller, has relayed the request. It is not relayed again.
    WorkspaceId workspace; ///< Workspace of the caller's API key; empty before the key was checked, and where none is needed.
};

/** Reads the results of a job. */
struct JobReadCall {
    JobId job;
    std::uint64_t after{0}; ///< Number of results to skip; the page begins with the one after them.
    std::chrono::milliseconds wait{0}; ///< Maximum time to wait for a result.
    std::string apiKey; ///< As in ProxyCall.
};

/** Reads the body of one item of a job. */
struct JobItemCall {
    JobId job;
    std::string item; ///< Identifier of the item.
    std::string apiKey; ///< As in ProxyCall.
};

/** Cancels a job. */
struct JobEndCall {
    JobId job;
    std::string apiKey; ///< As in ProxyCall.
};

/** A decoded request of a caller. */
using CallerCall = std::variant<ProxyCall, JobReadCall, JobItemCall, JobEndCall>;

/** Parameters that the host adds to a request when it sends it to a target. */
struct TargetRequestParams {
    TargetId expectedTarget; ///< Target instance that the request is meant for; any other one at the address must reject it. Empty for a relay to a host.
    std::chrono::milliseconds budget{0}; ///< Time after which the answer is no longer needed.
    std::uint64_t lastEventId{0}; ///< Event after which a stream is to continue; 0 to begin with the first event.
    RequestId resumes{}; ///< Attempt that began the stream, for a host that continues it; empty where the caller's headers name it or none did.
};

/** What the status and headers of a target's answer say. */
struct AnswerHead {
    bool notRun{false}; ///< Whether the target says that it did not run the request.
    bool signedByTarget{false}; ///< Whether the answer carries the target's signature.
    std::optional<double> rateLimit; ///< Requests a second that the target takes from all hosts together; empty when it names no limit.
    bool leaving{false}; ///< Whether the target says that it is shutting down; false when another instance may have answered.
    TargetId instance; ///< Target instance that answered; empty when the answer does not name one.
    std::string requestId; ///< Request that the answer belongs to; empty when the answer does not name one.
};

/** Decoders and encoders for the wire format of callers and targets, supplied by an adapter. */
struct CallWire {
    std::function<Result<CallerCall>(HttpRequest request)> decode; ///< Decodes a caller's request; InvalidRequest when it is malformed.
    std::function<HttpRequest(const ProxyCall &call, const TargetRequestParams &params)> encode; ///< Builds the request that is sent to a target.
    std::function<void(HttpHeaders &headers)> removeAccessHeaders; ///< Removes headers with an API key or a workspace, which only the host may set.
    std::function<WorkspaceId(const HttpHeaders &headers)> readWorkspace; ///< Reads the workspace that a host has named in a request that it relays.
    std::function<void(HttpHeaders &headers)>
        removeTargetState; ///< Removes what a target says of itself in an answer, which concerns only hosts that send to it.
    std::function<PromptParts(const HttpHeaders &headers)> readPromptParts; ///< Reads the parts of the prompt; malformed ones are left out.
    std::function<AnswerHead(int status, const HttpHeaders &headers)> readAnswerHead; ///< Parses the status and headers of a target's answer.
    std::function<Result<JobSubmission>(const ProxyCall &call)>
        decodeSubmission; ///< Decodes the items of a batch job; InvalidRequest names the offending item and field.
    std::function<std::string(const JobPage &page)> encodePage; ///< Builds the body that answers a JobReadCall.
};

} // namespace skylark
