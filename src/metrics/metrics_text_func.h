/** @file metrics_text_func.h Reads the text exposition format, for tools that look at a host's metrics. */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace skylark {

/** One line of the text. */
struct MetricSample {
    std::string name; ///< Name of the series.
    std::string labels; ///< Text between the braces; empty for none.
    double value{0}; ///< Value.
};

/** @return The samples in @p text; comments and lines that are not understood are left out. */
[[nodiscard]] std::vector<MetricSample> parseMetrics(std::string_view text);

/** @return The sum of all series called @p name whose labels contain @p label, such as outcome="ok"; an empty one fits all. */
[[nodiscard]] double sumOf(const std::vector<MetricSample> &samples, std::string_view name, std::string_view label = {});

/** @return The largest of these series; 0 when there is none. */
[[nodiscard]] double largestOf(const std::vector<MetricSample> &samples, std::string_view name, std::string_view label = {});

} // namespace skylark
