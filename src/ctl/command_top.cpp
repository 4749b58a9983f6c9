/** @file command_top.cpp Command of skylarkctl that shows the metrics of entry hosts that an operator checks first. */
#include "ctl/command_func.h"
#include "ctl/ctl_http_func.h"
#include "ctl/ctl_output_func.h"
#include "metrics/metrics_text_func.h"

#include <iostream>
#include <thread>

namespace skylark {

namespace {

using namespace std::chrono_literals;

constexpr auto sampleInterval = 2s; ///< Time between the two reads from which rates are computed.
constexpr auto readTimeout = 2s; ///< Longest wait for the first byte from one host.

std::optional<std::vector<MetricSample>> readMetrics(const Endpoint &endpoint)
{
    HttpRequest request;
    request.target = "/metrics";
    const auto answer = callHost(endpoint, request, readTimeout);
    if (!isOk(answer) || valueOf(answer).status != 200) {
        return std::nullopt;
    }
    return parseMetrics(valueOf(answer).body);
}

/** Metrics of one host, read twice. */
struct HostSamples {
    Endpoint endpoint; ///< Metrics address.
    std::optional<std::vector<MetricSample>> before; ///< First read; empty when the host did not answer.
    std::optional<std::vector<MetricSample>> after; ///< Second read; empty when the host did not answer.
};

std::string rate(const HostSamples &host, std::string_view name, std::string_view label = {})
{
    const double change = sumOf(*host.after, name, label) - sumOf(*host.before, name, label);
    // Counters of a host that restarted between the two reads begin at 0 again, which makes the change negative.
    return formatOneDecimal(std::max(0.0, change) / std::chrono::duration<double>(sampleInterval).count());
}

std::vector<std::string> makeRow(const HostSamples &host)
{
    const std::string address = host.endpoint.address + ":" + std::to_string(host.endpoint.port);
    if (!host.before || !host.after) {
        return {address, "no answer"};
    }
    const auto &now = *host.after;
    constexpr double milliseconds = 1000;
    return {address,
            rate(host, "skylark_requests_total", "outcome=\"ok\""),
            rate(host, "skylark_refusals_total"),
            rate(host, "skylark_own_failures_total"),
            formatOneDecimal(largestOf(now, "skylark_first_answer_seconds_quantile", "quantile=\"0.99\"") * milliseconds),
            rate(host, "skylark_items_total"),
            rate(host, "skylark_items_yielded_total"),
            rate(host, "skylark_store_failures_total"),
            formatOneDecimal(sumOf(now, "skylark_status_age_seconds")),
            std::to_string(static_cast<std::uint64_t>(sumOf(now, "skylark_config_version")))};
}

} // namespace

ExitCode topCommand(const CtlOptions &options)
{
    const auto endpoints = parseEndpoints(options.word(1));
    if (!endpoints || endpoints->empty()) {
        return usageError("top needs the metrics addresses of hosts as ADDRESS:PORT,...");
    }
    std::vector<HostSamples> hosts;
    for (const Endpoint &endpoint : *endpoints) {
        hosts.push_back({endpoint, readMetrics(endpoint), std::nullopt});
    }
    std::this_thread::sleep_for(sampleInterval);
    Table table{{"host", "ok/s", "refused/s", "failed/s", "first p99 ms", "items/s", "yields/s", "store failures/s", "status age s", "config"}, {}};
    bool anyAnswered = false;
    for (HostSamples &host : hosts) {
        host.after = readMetrics(host.endpoint);
        anyAnswered = anyAnswered || host.after;
        table.rows.push_back(makeRow(host));
    }
    printTable(table);
    return anyAnswered ? ExitCode::Ok : ExitCode::Unreachable;
}

} // namespace skylark
