/** @file metrics_func.h Counters, gauges and latency histograms, rendered in the text exposition format. */
#pragma once

#include <chrono>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace skylark {

/** Registry of metrics; all functions on it are thread-safe. */
struct MetricsRegistry {
    struct Impl;
    std::shared_ptr<Impl> impl; ///< Internal state.

    static std::shared_ptr<MetricsRegistry> create();
};

/** Label names and values of one series. */
using MetricLabels = std::initializer_list<std::pair<std::string_view, std::string_view>>;

/** Increases a counter by @p delta; names of counters end in "_total". */
void addCounter(MetricsRegistry &registry, std::string_view name, MetricLabels labels = {}, double delta = 1.0);

/** Sets a gauge. */
void setGauge(MetricsRegistry &registry, std::string_view name, MetricLabels labels, double value);

/** Records a duration. It is exposed in seconds as a histogram, and as the quantiles 0.5, 0.95 and 0.99 of the last one to two minutes as NAME_quantile. */
void observe(MetricsRegistry &registry, std::string_view name, MetricLabels labels, std::chrono::nanoseconds value);

/** @return The value of a counter or gauge; 0 if it does not exist. */
[[nodiscard]] double metricValue(const MetricsRegistry &registry, std::string_view name, MetricLabels labels = {});

/** @return The sum over all series of a counter or gauge; 0 if there is none. */
[[nodiscard]] double metricSum(const MetricsRegistry &registry, std::string_view name);

/** Updates the gauges of this process's resident memory and open file descriptors. */
void updateProcessGauges(MetricsRegistry &registry);

/** @return All series in the text exposition format, version 0.0.4. */
[[nodiscard]] std::string renderMetrics(const MetricsRegistry &registry);

/** @return @p value as it stands in a label of the text exposition format. */
[[nodiscard]] std::string escapeMetricLabel(std::string_view value);

} // namespace skylark
