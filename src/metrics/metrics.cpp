/** @file metrics.cpp Metrics registry based on Boost.Accumulators. */
#include "metrics/metrics_func.h"

#include "core/clock_func.h"
#include "metrics/table/metric_table.h"

#include <algorithm>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cmath>
#include <cstdio>
#include <map>
#include <mutex>
#include <variant>
#include <vector>

namespace skylark {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> quantiles{0.5, 0.95, 0.99};
constexpr std::array<std::string_view, 3> quantileLabels{"0.5", "0.95", "0.99"};

/** Up to this number of samples, quantiles are computed exactly, because the P-square estimate needs several samples per marker. */
constexpr std::size_t maxExactSamples = 64;

/** Quantiles cover between one and two of these windows, so that earlier load does not mask the current load. */
constexpr auto quantileWindow = std::chrono::seconds(60);

using Accumulator = acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square>>;

/** Samples of one time window. */
struct Window {
    TimePoint startedAt;
    std::vector<double> first; ///< The first samples, in seconds; exact quantiles are computed from them.
    std::size_t count{0}; ///< Number of samples.
    Accumulator estimate{acc::tag::extended_p_square::probabilities = quantiles}; ///< P-square estimate of the quantiles.
};

/** One series of durations: a histogram, and quantiles over recent windows. */
struct Durations {
    double sum{0}; ///< Sum of all samples in seconds.
    std::uint64_t count{0}; ///< Number of all samples.
    std::array<std::uint64_t, bucketBounds.size()> buckets{}; ///< Number of samples in each bucket; not cumulative.
    Window older; ///< Window whose quantiles are exposed.
    Window newer; ///< Window that replaces the older one after quantileWindow.
};

enum class MetricKind : std::uint8_t {
    Counter,
    Gauge,
    Histogram,
};

constexpr std::array<std::string_view, 3> kindNames{"counter", "gauge", "histogram"};

/** All series with one metric name. */
struct Family {
    MetricKind kind{MetricKind::Counter};
    std::map<std::string, double> values; ///< Counter or gauge values by rendered labels.
    std::map<std::string, Durations> durations; ///< Durations by rendered labels.
};

void addSample(Window &window, double seconds)
{
    if (window.first.size() < maxExactSamples) {
        window.first.push_back(seconds);
    }
    ++window.count;
    window.estimate(seconds);
}

double quantileOf(const Window &window, std::size_t index)
{
    if (window.count == 0) {
        return std::nan("");
    }
    if (window.count > window.first.size()) {
        return acc::extended_p_square(window.estimate)[static_cast<long>(index)];
    }
    std::vector<double> sorted = window.first;
    std::sort(sorted.begin(), sorted.end());
    const auto rank = static_cast<std::size_t>(std::ceil(quantiles.at(index) * static_cast<double>(sorted.size())));
    return sorted[std::max<std::size_t>(rank, 1) - 1];
}

void rotateWindows(Durations &durations, TimePoint now)
{
    if (now - durations.newer.startedAt < quantileWindow) {
        return;
    }
    durations.older = std::move(durations.newer);
    durations.newer = Window{};
    durations.newer.startedAt = now;
}

std::string renderLabels(MetricLabels labels)
{
    std::string text;
    for (const auto &[name, value] : labels) {
        text += (text.empty() ? "" : ",") + std::string(name) + "=\"" + escapeMetricLabel(value) + "\"";
    }
    return text;
}

std::string formatNumber(double value)
{
    std::array<char, 40> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%.12g", value);
    return buffer.data();
}

std::string helpText(std::string_view name)
{
    for (const MetricInfo &info : metricTable) {
        if (info.name == name) {
            return std::string(info.help);
        }
    }
    std::string help(name);
    std::replace(help.begin(), help.end(), '_', ' ');
    return help;
}

void appendLine(std::string &text, std::string_view name, const std::string &labels, double value)
{
    text += std::string(name) + (labels.empty() ? "" : "{" + labels + "}") + " " + formatNumber(value) + "\n";
}

void appendHistogram(std::string &text, const std::string &name, const std::string &labels, const Durations &durations)
{
    const std::string prefix = labels + (labels.empty() ? "" : ",") + "le=\"";
    std::uint64_t cumulative = 0;
    for (std::size_t i = 0; i < bucketBounds.size(); ++i) {
        cumulative += durations.buckets.at(i);
        appendLine(text, name + "_bucket", prefix + formatNumber(bucketBounds.at(i)) + "\"", static_cast<double>(cumulative));
    }
    appendLine(text, name + "_bucket", prefix + "+Inf\"", static_cast<double>(durations.count));
    appendLine(text, name + "_sum", labels, durations.sum);
    appendLine(text, name + "_count", labels, static_cast<double>(durations.count));
}

void appendQuantiles(std::string &text, const std::string &name, const std::string &labels, const Durations &durations)
{
    const std::string prefix = labels + (labels.empty() ? "" : ",") + "quantile=\"";
    const Window &shown = durations.older.count > 0 ? durations.older : durations.newer;
    for (std::size_t i = 0; i < quantiles.size(); ++i) {
        appendLine(text, name, prefix + std::string(quantileLabels.at(i)) + "\"", quantileOf(shown, i));
    }
}

void appendHeader(std::string &text, const std::string &name, std::string_view kind, const std::string &help)
{
    text += "# HELP " + name + " " + help + "\n";
    text += "# TYPE " + name + " " + std::string(kind) + "\n";
}

} // namespace

std::string escapeMetricLabel(std::string_view value)
{
    std::string escaped;
    for (const char c : value) {
        if (c == '\\' || c == '"') {
            escaped.push_back('\\');
        }
        if (c == '\n') {
            escaped += "\\n";
            continue;
        }
        escaped.push_back(c);
    }
    return escaped;
}

/** Metric families by name. */
struct MetricsRegistry::Impl {
    mutable std::mutex mutex; ///< Protects families.
    std::map<std::string, Family, std::less<>> families;

    Family &family(std::string_view name, MetricKind kind)
    {
        auto found = this->families.find(name);
        if (found == this->families.end()) {
            found = this->families.emplace(std::string(name), Family{}).first;
            found->second.kind = kind;
        }
        return found->second;
    }
};

std::shared_ptr<MetricsRegistry> MetricsRegistry::create()
{
    auto registry = std::make_shared<MetricsRegistry>();
    registry->impl = std::make_shared<Impl>();
    return registry;
}

void addCounter(MetricsRegistry &registry, std::string_view name, MetricLabels labels, double delta)
{
    const std::string key = renderLabels(labels);
    const std::scoped_lock lock(registry.impl->mutex);
    registry.impl->family(name, MetricKind::Counter).values[key] += delta;
}

void setGauge(MetricsRegistry &registry, std::string_view name, MetricLabels labels, double value)
{
    const std::string key = renderLabels(labels);
    const std::scoped_lock lock(registry.impl->mutex);
    registry.impl->family(name, MetricKind::Gauge).values[key] = value;
}

void observe(MetricsRegistry &registry, std::string_view name, MetricLabels labels, std::chrono::nanoseconds value)
{
    const std::string key = renderLabels(labels);
    const double seconds = std::chrono::duration<double>(value).count();
    const TimePoint now = BootClock::now();
    const std::scoped_lock lock(registry.impl->mutex);
    const auto [found, created] = registry.impl->family(name, MetricKind::Histogram).durations.try_emplace(key);
    Durations &durations = found->second;
    if (created) {
        durations.older.startedAt = now;
        durations.newer.startedAt = now;
    }
    rotateWindows(durations, now);
    durations.sum += seconds;
    ++durations.count;
    const auto bound = std::lower_bound(bucketBounds.begin(), bucketBounds.end(), seconds);
    if (bound != bucketBounds.end()) {
        ++durations.buckets.at(static_cast<std::size_t>(bound - bucketBounds.begin()));
    }
    addSample(durations.older, seconds);
    addSample(durations.newer, seconds);
}

double metricValue(const MetricsRegistry &registry, std::string_view name, MetricLabels labels)
{
    const std::string key = renderLabels(labels);
    const std::scoped_lock lock(registry.impl->mutex);
    const auto family = registry.impl->families.find(name);
    if (family == registry.impl->families.end()) {
        return 0;
    }
    const auto found = family->second.values.find(key);
    return found == family->second.values.end() ? 0 : found->second;
}

double metricSum(const MetricsRegistry &registry, std::string_view name)
{
    const std::scoped_lock lock(registry.impl->mutex);
    const auto family = registry.impl->families.find(name);
    double sum = 0;
    if (family != registry.impl->families.end()) {
        for (const auto &[labels, value] : family->second.values) {
            sum += value;
        }
    }
    return sum;
}

std::string renderMetrics(const MetricsRegistry &registry)
{
    const std::scoped_lock lock(registry.impl->mutex);
    std::string text;
    for (const auto &[name, family] : registry.impl->families) {
        appendHeader(text, name, kindNames.at(static_cast<std::size_t>(family.kind)), helpText(name));
        for (const auto &[labels, value] : family.values) {
            appendLine(text, name, labels, value);
        }
        for (const auto &[labels, durations] : family.durations) {
            appendHistogram(text, name, labels, durations);
        }
        if (!family.durations.empty()) {
            appendHeader(text, name + "_quantile", "gauge", helpText(name) + ", quantiles of the last one to two minutes");
        }
        for (const auto &[labels, durations] : family.durations) {
            appendQuantiles(text, name + "_quantile", labels, durations);
        }
    }
    return text;
}

} // namespace skylark
