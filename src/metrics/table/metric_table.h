/** @file metric_table.h Help texts of the metrics. */
#pragma once

#include <array>
#include <string_view>

namespace skylark {

/** Help text of one metric. */
struct MetricInfo {
    std::string_view name; ///< Name of the metric.
    std::string_view help; ///< Text of its HELP line.
};

/** Known metrics; a metric without a row gets a help text made from its name. */
inline constexpr std::array metricTable{
    MetricInfo{"skylark_requests_total", "Caller requests by workspace and answer code."},
    MetricInfo{"skylark_first_token_seconds", "Time from the arrival of an online request to its first token."},
    MetricInfo{"skylark_token_interval_seconds", "Time between two pieces of an online answer."},
    MetricInfo{"skylark_retries_total", "Further attempts of online requests by the error that caused them."},
    MetricInfo{"skylark_resumes_total", "Broken online streams that were continued on another target."},
    MetricInfo{"skylark_yields_total", "Batch slots that online requests asked for."},
    MetricInfo{"skylark_forwards_total", "Online requests sent to a host of another failure domain."},
    MetricInfo{"skylark_queue_wait_seconds", "Time that online requests waited in the queue of their model."},
    MetricInfo{"skylark_added_seconds", "Time of a request in this host, without the queue and the target."},
    MetricInfo{"skylark_callers_gone_total", "Online requests whose caller closed the connection."},
    MetricInfo{"skylark_silent_connections_total", "Target calls that ended in a timeout."},
};

} // namespace skylark
