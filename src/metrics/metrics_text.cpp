/** @file metrics_text.cpp Parser of the text exposition format, for tools that read the metrics of a host. */
#include "metrics/metrics_text_func.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <sstream>

namespace skylark {

namespace {

bool matches(const MetricSample &sample, std::string_view name, std::string_view label)
{
    return sample.name == name && sample.labels.find(label) != std::string::npos && !std::isnan(sample.value);
}

} // namespace

std::vector<MetricSample> parseMetrics(std::string_view text)
{
    std::vector<MetricSample> samples;
    std::istringstream lines{std::string(text)};
    for (std::string line; std::getline(lines, line);) {
        const std::size_t space = line.rfind(' ');
        if (line.empty() || line.front() == '#' || space == std::string::npos) {
            continue;
        }
        MetricSample sample;
        const char *end = line.data() + line.size();
        const auto parsed = std::from_chars(line.data() + space + 1, end, sample.value);
        if (parsed.ec != std::errc() || parsed.ptr != end) {
            continue;
        }
        const std::string series = line.substr(0, space);
        const std::size_t brace = series.find('{');
        sample.name = series.substr(0, brace);
        if (brace != std::string::npos && series.back() == '}') {
            sample.labels = series.substr(brace + 1, series.size() - brace - 2);
        }
        samples.push_back(std::move(sample));
    }
    return samples;
}

double sumOf(const std::vector<MetricSample> &samples, std::string_view name, std::string_view label)
{
    double sum = 0;
    for (const MetricSample &sample : samples) {
        sum += matches(sample, name, label) ? sample.value : 0;
    }
    return sum;
}

double largestOf(const std::vector<MetricSample> &samples, std::string_view name, std::string_view label)
{
    double largest = 0;
    for (const MetricSample &sample : samples) {
        largest = matches(sample, name, label) ? std::max(largest, sample.value) : largest;
    }
    return largest;
}

} // namespace skylark
