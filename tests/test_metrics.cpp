/** @file test_metrics.cpp Metrics registry and target load table. */
#include "core/hash_func.h"
#include "metrics/metrics_func.h"
#include "metrics/metrics_text_func.h"
#include "policy/target_load_base.h"

#include <catch2/catch.hpp>
#include <thread>
#include <vector>

using namespace skylark;
using namespace std::chrono_literals;

namespace {

struct MetricsFixture {
    std::shared_ptr<MetricsRegistry> metrics{MetricsRegistry::create()};
    TargetLoadTable loads;
    TargetId target{"t1"};
    TimePoint now{std::chrono::seconds(1000)};

    /** @return The value in the rendered line of @p series. */
    [[nodiscard]] double valueIn(const std::string &series) const
    {
        const std::string text = renderMetrics(*this->metrics);
        const std::size_t at = text.find(series + " ");
        REQUIRE(at != std::string::npos);
        return std::stod(text.substr(at + series.size() + 1));
    }
};

} // namespace

TEST_CASE_METHOD(MetricsFixture, "renderMetrics_counterAndGauge_exposed")
{
    addCounter(*this->metrics, "skylark_requests_total", {{"workspace", "a\"b"}, {"code", "ok"}});
    addCounter(*this->metrics, "skylark_requests_total", {{"workspace", "a\"b"}, {"code", "ok"}}, 2);
    setGauge(*this->metrics, "skylark_hosts", {}, 7);
    const std::string text = renderMetrics(*this->metrics);
    CHECK(text.find("# TYPE skylark_requests_total counter") != std::string::npos);
    CHECK(text.find("# HELP skylark_hosts skylark hosts") != std::string::npos);
    CHECK(text.find("skylark_requests_total{workspace=\"a\\\"b\",code=\"ok\"} 3\n") != std::string::npos);
    CHECK(metricValue(*this->metrics, "skylark_hosts") == 7);
    CHECK(metricValue(*this->metrics, "skylark_absent") == 0);
}

// Guards against wrong quantiles, both for few samples (exact) and for many (estimated).
TEST_CASE_METHOD(MetricsFixture, "observe_knownDistribution_quantilesAreClose")
{
    for (int i = 1; i <= 20; ++i) {
        observe(*this->metrics, "few_seconds", {}, std::chrono::milliseconds(i));
    }
    CHECK(this->valueIn("few_seconds_quantile{quantile=\"0.5\"}") == Approx(0.010));
    CHECK(this->valueIn("few_seconds_quantile{quantile=\"0.99\"}") == Approx(0.020));
    std::uint64_t seed = 7;
    for (int i = 0; i < 20000; ++i) {
        observe(*this->metrics, "many_seconds", {}, std::chrono::microseconds(nextRandom(seed) % 1000000));
    }
    CHECK(this->valueIn("many_seconds_quantile{quantile=\"0.5\"}") == Approx(0.5).margin(0.02));
    CHECK(this->valueIn("many_seconds_quantile{quantile=\"0.95\"}") == Approx(0.95).margin(0.02));
    CHECK(this->valueIn("many_seconds_quantile{quantile=\"0.99\"}") == Approx(0.99).margin(0.01));
    CHECK(this->valueIn("many_seconds_count") == 20000);
}

// Guards against buckets that are not cumulative, lose samples at a bound, or lack the last bucket (+Inf). Scrapers add up buckets over hosts.
TEST_CASE_METHOD(MetricsFixture, "observe_durations_countedInCumulativeBuckets")
{
    for (const auto value : {1ms, 5ms, 6ms, 300ms, 301ms, 20000ms}) {
        observe(*this->metrics, "wait_seconds", {{"route", "chat"}}, value);
    }
    CHECK(renderMetrics(*this->metrics).find("# TYPE wait_seconds histogram\n") != std::string::npos);
    CHECK(this->valueIn("wait_seconds_bucket{route=\"chat\",le=\"0.005\"}") == 2);
    CHECK(this->valueIn("wait_seconds_bucket{route=\"chat\",le=\"0.01\"}") == 3);
    CHECK(this->valueIn("wait_seconds_bucket{route=\"chat\",le=\"0.3\"}") == 4);
    CHECK(this->valueIn("wait_seconds_bucket{route=\"chat\",le=\"10\"}") == 5);
    CHECK(this->valueIn("wait_seconds_bucket{route=\"chat\",le=\"+Inf\"}") == 6);
    CHECK(this->valueIn("wait_seconds_count{route=\"chat\"}") == 6);
}

TEST_CASE_METHOD(MetricsFixture, "parseMetrics_renderedText_returnsSameValues")
{
    addCounter(*this->metrics, "r_total", {{"route", "a b"}, {"outcome", "ok"}}, 3);
    addCounter(*this->metrics, "r_total", {{"route", "c}"}, {"outcome", "ok"}}, 4);
    addCounter(*this->metrics, "r_total", {{"route", "c}"}, {"outcome", "failed"}}, 5);
    setGauge(*this->metrics, "age", {}, 1.5);
    const auto samples = parseMetrics(renderMetrics(*this->metrics) + "garbage\nhalf 1x\n\nempty_quantile nan\n");
    CHECK(sumOf(samples, "r_total") == 12);
    CHECK(sumOf(samples, "r_total", "outcome=\"ok\"") == 7);
    CHECK(largestOf(samples, "r_total") == 5);
    CHECK(sumOf(samples, "age") == 1.5);
    CHECK(sumOf(samples, "half") == 0);
    CHECK(sumOf(samples, "empty_quantile") == 0);
}

TEST_CASE_METHOD(MetricsFixture, "updateProcessGauges_runningProcess_valuesAboveZero")
{
    updateProcessGauges(*this->metrics);
    CHECK(metricValue(*this->metrics, "process_resident_memory_bytes") > 100000);
    CHECK(metricValue(*this->metrics, "process_open_fds") >= 3);
}

TEST_CASE_METHOD(MetricsFixture, "registry_concurrentUpdates_allCounted")
{
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([this] {
            for (int n = 0; n < 1000; ++n) {
                addCounter(*this->metrics, "c_total");
                observe(*this->metrics, "d_seconds", {}, 1ms);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(metricValue(*this->metrics, "c_total") == 4000);
    CHECK(this->valueIn("d_seconds_count") == 4000);
}

TEST_CASE_METHOD(MetricsFixture, "targetLoad_streams_countedByKind")
{
    recordStreamStarted(this->loads, this->target, StreamKind::Online, this->now);
    recordStreamStarted(this->loads, this->target, StreamKind::Batch, this->now);
    recordLoadReport(this->loads, this->target, 5, this->now);
    recordStreamEnded(this->loads, this->target, StreamKind::Online, this->now + 1s);
    const TargetLoad load = loadOf(this->loads, this->target);
    CHECK(load.online == 0);
    CHECK(load.batch == 1);
    CHECK(load.started - load.startedAtReport == 0);
    CHECK(load.ended - load.endedAtReport == 1);
    CHECK(load.onlinePeak >= load.onlineMean);
    CHECK(onlineInFlight(this->loads).empty());
}

// Guards against a failed target that keeps receiving requests, and against one that is never tried again.
TEST_CASE_METHOD(MetricsFixture, "targetLoad_repeatedFailures_openBreakerWithGrowingBackoff")
{
    recordStreamFailure(this->loads, this->target, this->now);
    CHECK(loadOf(this->loads, this->target).blockedUntil <= this->now);
    recordStreamFailure(this->loads, this->target, this->now);
    const TimePoint first = loadOf(this->loads, this->target).blockedUntil;
    CHECK(first > this->now);
    for (int i = 0; i < 20; ++i) {
        recordStreamFailure(this->loads, this->target, this->now);
    }
    CHECK(loadOf(this->loads, this->target).blockedUntil > first);
    CHECK(loadOf(this->loads, this->target).blockedUntil <= this->now + 10s);
    recordStreamSuccess(this->loads, this->target);
    CHECK(loadOf(this->loads, this->target).blockedUntil <= this->now);
    recordConnectionRefused(this->loads, this->target, this->now);
    CHECK(loadOf(this->loads, this->target).blockedUntil > this->now);
}
