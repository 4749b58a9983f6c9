/** @file metrics_func.h Counters, gauges and latency histograms with text exposition. */
#pragma once

#include <chrono>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace skylark {

/** Registry; its functions may be called from any thread. */
struct MetricsRegistry {
    struct Impl;
    std::shared_ptr<Impl> impl; ///< Hidden state.

    static std::shared_ptr<MetricsRegistry> create();
};

/** Labels of one series. */
using MetricLabels = std::initializer_list<std::pair<std::string_view, std::string_view>>;

/** Adds to a counter; names end in "_total". */
void addCounter(MetricsRegistry &registry, std::string_view name, MetricLabels labels = {}, double delta = 1.0);

/** Sets a gauge. */
void setGauge(MetricsRegistry &registry, std::string_view name, MetricLabels labels, double value);

/** Records a duration; exposed in seconds as a histogram, and as the quantiles 0.5, 0.95 and 0.99 of the last minutes under NAME_quantile. */
void observe(MetricsRegistry &registry, std::string_view name, MetricLabels labels, std::chrono::nanoseconds value);

/** @return The value of a counter or gauge; 0 when it does not exist. */
[[nodiscard]] double metricValue(const MetricsRegistry &registry, std::string_view name, MetricLabels labels = {});

/** @return The sum of all series of a counter or gauge. */
[[nodiscard]] double metricSum(const MetricsRegistry &registry, std::string_view name);

/** Sets the gauges of the process's own memory and descriptors. */
void noteProcessUse(MetricsRegistry &registry);

/** @return All series in the text exposition format, version 0.0.4. */
[[nodiscard]] std::string renderMetrics(const MetricsRegistry &registry);

} // namespace skylark
