/** @file main.cpp Open-loop load generator that compares each answer with the expected output of the engine stand-in. */
#include "request_func.h"
#include "schedule_func.h"

#include "../../standins/engine_text_func.h"
#include "core/json_member_func.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <cmath>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <numeric>

DEFINE_string(base_url, "127.0.0.1:8080", "addresses of entry hosts as IP:port, comma-separated");
DEFINE_string(api_key, "", "API key");
DEFINE_string(model, "", "model name");
DEFINE_string(user_prefix, "load-", "prefix of the request member \"user\", by which engines count executions");
DEFINE_double(rate, 10, "requests per second between bursts");
DEFINE_double(seconds, 10, "length of the run in seconds");
DEFINE_uint64(seed, 1, "seed of arrivals and prompts");
DEFINE_double(burst_factor, 1, "factor on the rate during a burst");
DEFINE_double(burst_seconds, 0, "mean length of a burst in seconds; 0 disables bursts");
DEFINE_double(idle_seconds, 10, "mean time between two bursts in seconds");
DEFINE_bool(stream, true, "whether answers are streamed");
DEFINE_int32(prompt_tokens, 64, "prompt length in tokens");
DEFINE_int32(max_tokens, 16, "answer length in tokens");
DEFINE_int32(prefixes, 8, "number of distinct shared prefixes; a prefix is the first half of a prompt");
DEFINE_int32(max_in_flight, 2000, "limit on open requests; arrivals beyond it are counted as not sent");
DEFINE_int32(first_byte_ms, 30000, "timeout for the response head in milliseconds");
DEFINE_int32(idle_ms, 10000, "timeout between two chunks of a response body in milliseconds");
DEFINE_string(report, "", "file to which the JSON line is written as well");

namespace skylark::load {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::size_t maxSamples = 5;

/** Counts and measurements of the run so far. */
struct Totals {
    std::uint64_t sent{0};
    std::uint64_t notSent{0}; ///< Arrivals beyond the limit on open requests.
    std::uint64_t verified{0}; ///< Answers that equal the expected ones.
    std::uint64_t failed{0}; ///< Requests that ended with an error.
    std::uint64_t mismatches{0}; ///< Answers that differ from the expected ones.
    std::uint64_t connectRetries{0}; ///< Connection attempts that failed and were repeated on the next host.
    std::uint64_t textBytes{0}; ///< Text of verified answers in bytes.
    std::size_t inFlight{0}; ///< Open requests.
    double maxLagMs{0}; ///< Longest delay between the scheduled arrival and its sending, caused by the load generator.
    std::vector<double> firstTextMs; ///< Scheduled arrival to first text, for verified answers.
    std::vector<double> burstFirstTextMs; ///< The same, for arrivals in bursts only.
    std::vector<double> gapMs; ///< Times between chunks of text, for verified answers.
    std::vector<double> totalMs; ///< Scheduled arrival to end, for verified answers.
    std::map<std::string, std::uint64_t> errors; ///< Failed requests by "code/run".
    json::array samples; ///< Details of the first failures and mismatches, up to maxSamples.
};

double milliseconds(SteadyTime from, SteadyTime to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

void addSample(Totals &totals, std::uint64_t number, const RequestOutcome &outcome)
{
    if (totals.samples.size() >= maxSamples) {
        return;
    }
    json::object sample;
    sample["request"] = number;
    sample["code"] = outcome.state == AnswerState::Mismatch ? "mismatch" : outcome.errorCode;
    sample["detail"] = outcome.detail;
    totals.samples.push_back(std::move(sample));
}

void recordOutcome(Totals &totals, std::uint64_t number, const Arrival &arrival, SteadyTime due, RequestOutcome outcome)
{
    totals.connectRetries += outcome.connectRetries;
    if (outcome.state == AnswerState::Failed) {
        ++totals.failed;
        ++totals.errors[outcome.errorCode + "/" + outcome.errorRun];
        addSample(totals, number, outcome);
        return;
    }
    if (outcome.state == AnswerState::Mismatch) {
        ++totals.mismatches;
        addSample(totals, number, outcome);
        return;
    }
    ++totals.verified;
    totals.textBytes += outcome.textBytes;
    totals.firstTextMs.push_back(milliseconds(due, outcome.firstText));
    if (arrival.inBurst) {
        totals.burstFirstTextMs.push_back(totals.firstTextMs.back());
    }
    totals.totalMs.push_back(milliseconds(due, outcome.end));
    totals.gapMs.insert(totals.gapMs.end(), outcome.gapsMs.begin(), outcome.gapsMs.end());
}

asio::awaitable<void> sendRequest(
    std::shared_ptr<HttpClient> http, const RequestOptions &options, Totals &totals, std::uint64_t number, Arrival arrival, SteadyTime due)
{
    ++totals.inFlight;
    RequestOutcome outcome = co_await runRequest(http, options, number);
    --totals.inFlight;
    recordOutcome(totals, number, arrival, due, std::move(outcome));
}

/** Sends each request at its scheduled time, without waiting for earlier ones (open loop). */
asio::awaitable<void> sendOnSchedule(
    asio::io_context &loop, std::shared_ptr<HttpClient> http, const RequestOptions &options, Totals &totals, std::vector<Arrival> schedule)
{
    asio::steady_timer timer(loop);
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < schedule.size(); ++i) {
        const SteadyTime due = start + schedule[i].at;
        timer.expires_at(due);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        totals.maxLagMs = std::max(totals.maxLagMs, milliseconds(due, std::chrono::steady_clock::now()));
        if (totals.inFlight >= static_cast<std::size_t>(FLAGS_max_in_flight)) {
            ++totals.notSent;
            continue;
        }
        ++totals.sent;
        asio::co_spawn(loop, sendRequest(http, options, totals, i, schedule[i], due), asio::detached);
    }
}

/** @return Count, mean, maximum and nearest-rank quantiles of @p values; only the count when there are none. */
json::object summarize(std::vector<double> values)
{
    json::object object;
    object["count"] = values.size();
    if (values.empty()) {
        return object;
    }
    std::sort(values.begin(), values.end());
    const auto quantile = [&values](double fraction) {
        const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
        return values[std::max<std::size_t>(rank, 1) - 1];
    };
    object["mean"] = std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
    object["p50"] = quantile(0.5);
    object["p95"] = quantile(0.95);
    object["p99"] = quantile(0.99);
    object["max"] = values.back();
    return object;
}

json::object makeReport(const Totals &totals, double seconds)
{
    json::object errors;
    for (const auto &[name, number] : totals.errors) {
        errors[name] = number;
    }
    json::object report;
    report["sent"] = totals.sent;
    report["not_sent"] = totals.notSent;
    report["whole"] = totals.verified;
    report["failed"] = totals.failed;
    report["mismatches"] = totals.mismatches;
    report["connect_retries"] = totals.connectRetries;
    report["seconds"] = seconds;
    report["tokens"] = totals.textBytes / standin::tokenBytes;
    report["max_send_lag_ms"] = totals.maxLagMs;
    report["first_token_ms"] = summarize(totals.firstTextMs);
    report["burst_first_token_ms"] = summarize(totals.burstFirstTextMs);
    report["between_tokens_ms"] = summarize(totals.gapMs);
    report["total_ms"] = summarize(totals.totalMs);
    report["errors"] = std::move(errors);
    report["samples"] = totals.samples;
    return report;
}

/** @return The endpoints of a list such as "http://127.0.0.1:8080,127.0.0.1:8081"; empty when one is malformed. */
std::vector<Endpoint> parseHosts(const std::string &list)
{
    std::vector<Endpoint> hosts;
    for (std::size_t start = 0; start < list.size();) {
        const std::size_t comma = std::min(list.find(',', start), list.size());
        std::string_view text = std::string_view(list).substr(start, comma - start);
        start = comma + 1;
        if (text.starts_with("http://")) {
            text.remove_prefix(7);
        }
        const std::size_t colon = text.rfind(':');
        std::uint16_t port = 0;
        if (colon != std::string_view::npos) {
            const char *last = text.data() + text.size();
            const auto [end, error] = std::from_chars(text.data() + colon + 1, last, port);
            port = error == std::errc() && end == last ? port : 0;
        }
        if (port == 0) {
            return {};
        }
        hosts.push_back({std::string(text.substr(0, colon)), port});
    }
    return hosts;
}

RequestOptions requestOptions()
{
    RequestOptions options;
    options.hosts = parseHosts(FLAGS_base_url);
    options.apiKey = FLAGS_api_key;
    options.model = FLAGS_model;
    options.userPrefix = FLAGS_user_prefix;
    options.stream = FLAGS_stream;
    options.promptTokens = static_cast<unsigned>(FLAGS_prompt_tokens);
    options.maxTokens = static_cast<unsigned>(FLAGS_max_tokens);
    options.prefixes = static_cast<unsigned>(FLAGS_prefixes);
    options.seed = FLAGS_seed;
    options.timeouts.firstByte = std::chrono::milliseconds(FLAGS_first_byte_ms);
    options.timeouts.idle = std::chrono::milliseconds(FLAGS_idle_ms);
    return options;
}

int run()
{
    const RequestOptions options = requestOptions();
    if (options.hosts.empty()) {
        std::cerr << "--base_url needs addresses as IP:port\n";
        return 1;
    }
    asio::io_context loop(1);
    const auto http = HttpClient::create(loop.get_executor());
    Totals totals;
    std::vector<Arrival> schedule = makeSchedule({FLAGS_rate, FLAGS_seconds, FLAGS_burst_factor, FLAGS_burst_seconds, FLAGS_idle_seconds, FLAGS_seed});
    const auto start = std::chrono::steady_clock::now();
    asio::co_spawn(loop, sendOnSchedule(loop, http, options, totals, std::move(schedule)), asio::detached);
    loop.run();
    const std::string line = json::serialize(makeReport(totals, milliseconds(start, std::chrono::steady_clock::now()) / 1000));
    std::cout << line << '\n';
    if (!FLAGS_report.empty()) {
        std::ofstream(FLAGS_report) << line << '\n';
    }
    return totals.mismatches == 0 ? 0 : 2;
}

} // namespace

} // namespace skylark::load

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Sends requests at times drawn from a seed and prints one JSON line. Exits with 2 when an answer differs from the expected one.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return skylark::load::run();
}
