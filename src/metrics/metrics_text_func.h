/** @file metrics_text_func.h Parser of the text exposition format, for tools that read the metrics of a host. */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace skylark {

/** One sample line. */
struct MetricSample {
    std::string name; ///< Name of the metric.
    std::string labels; ///< Unparsed text between the braces; empty if there is none.
    double value{0};
};

/** @return The samples in @p text; comments and lines that cannot be parsed are skipped. */
[[nodiscard]] std::vector<MetricSample> parseMetrics(std::string_view text);

/** @return The sum of all samples of @p name whose labels contain the text @p label, such as outcome="ok"; an empty one matches all. NaN is skipped. */
[[nodiscard]] double sumOf(const std::vector<MetricSample> &samples, std::string_view name, std::string_view label = {});

/** @return The largest value of the samples that sumOf() would add; 0 if there is none or all are negative. */
[[nodiscard]] double largestOf(const std::vector<MetricSample> &samples, std::string_view name, std::string_view label = {});

} // namespace skylark
