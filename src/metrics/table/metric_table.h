/** @file metric_table.h Help texts of the metrics and bucket bounds of latency histograms. */
#pragma once

#include <array>
#include <string_view>

namespace skylark {

/** Help text of one metric. */
struct MetricInfo {
    std::string_view name;
    std::string_view help; ///< Text of the HELP line.
};

/**
 * Upper bucket bounds of latency histograms in seconds. They cover one step of a target, the usual latency targets (0.2 to 0.6) and the time budgets
 * (1 to 10) of callers.
 */
inline constexpr std::array bucketBounds{0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 1.0, 1.5, 2.5, 5.0, 10.0};

/** Help texts; a metric without a row gets a help text derived from its name. */
inline constexpr std::array metricTable{
    MetricInfo{"skylark_requests_total", "Caller requests by workspace and answer code."},
    MetricInfo{"skylark_first_token_seconds", "Time from the arrival of an online request to its first token."},
    MetricInfo{"skylark_token_interval_seconds", "Time between two pieces of an online answer."},
    MetricInfo{"skylark_retries_total", "Further attempts of online requests by the error that caused them."},
    MetricInfo{"skylark_resumes_total", "Broken online streams that were continued on another target."},
    MetricInfo{"skylark_caller_resumes_total", "Streams that callers resumed, by how the version that began them is known."},
    MetricInfo{"skylark_relayed_requests_total", "Requests relayed to another host because this one had lost its links to the targets, by route."},
    MetricInfo{"skylark_link_tests_total", "Tests of the links to the targets, by the number of connections that opened."},
    MetricInfo{"skylark_yields_total", "Batch slots that online requests asked for."},
    MetricInfo{"skylark_forwards_total", "Online requests sent to a host of another failure domain."},
    MetricInfo{"skylark_queue_wait_seconds", "Time that online requests waited in the queue of their model."},
    MetricInfo{"skylark_added_seconds", "Time of a request in this host, without the queue and the target."},
    MetricInfo{"skylark_callers_gone_total", "Online requests whose caller closed the connection."},
    MetricInfo{"skylark_silent_connections_total", "Target calls that ended in a timeout."},
    MetricInfo{"skylark_request_seconds", "Time from the arrival of a request to its final answer."},
    MetricInfo{"skylark_first_answer_seconds", "Time from the arrival of a request to its answer or first event."},
    MetricInfo{"skylark_refusals_total", "Requests refused as not run, by route and reason."},
    MetricInfo{"skylark_kept_prompt_placements_total", "Requests placed on a target because it probably held parts of their prompts."},
    MetricInfo{"skylark_kept_prompt_tokens_total", "Prompt tokens that targets were expected to hold, over all placed requests."},
    MetricInfo{"skylark_prompt_token_seconds", "Time that a target needs to read one prompt token; 0 while it is not known."},
    MetricInfo{"skylark_own_failures_total", "Failures that this host answered itself, by status and reason."},
    MetricInfo{"skylark_leaving_targets_total", "Targets that said in an answer that they are leaving."},
    MetricInfo{"skylark_key_refusals_total", "Requests refused because of their API key, by reason."},
    MetricInfo{"skylark_config_proof_age_seconds", "Age of the proof that the configuration in force is the newest; -1 without one."},
    MetricInfo{"skylark_config_proof_calls_total", "Calls to the store for a proof of the configuration, by outcome."},
    MetricInfo{"skylark_config_proofs_total", "Proofs of the configuration that were adopted, by source."},
    MetricInfo{"skylark_jobs_over_limit_total", "Jobs refused because of the limit of waiting tokens, by route."},
    MetricInfo{"skylark_job_accept_conflicts_total", "Writes of jobs that another change of the job or its ledger overtook."},
    MetricInfo{"skylark_unsolicited_bytes_total", "Connections on which a target sent bytes that belong to no request, by target or address."},
    MetricInfo{"skylark_unserved_requests_total", "Requests that were not read whole or got no response from their handler, by cause."},
    MetricInfo{"skylark_items_total", "Batch items that ended on this host, by outcome."},
    MetricInfo{"skylark_items_yielded_total", "Batch items that gave their slot up to online requests."},
    MetricInfo{"skylark_store_failures_total", "Failed calls to the store, by error."},
    MetricInfo{"skylark_config_version", "Version of the configuration in force."},
    MetricInfo{"skylark_status_age_seconds", "Age of the oldest status of another live host."},
    MetricInfo{"process_resident_memory_bytes", "Resident memory."},
    MetricInfo{"process_open_fds", "Open file descriptors."},
};

} // namespace skylark
