/** @file main.cpp Open-loop load generator that verifies each answer against the engine stand-in's output. */
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

DEFINE_string(base_url, "127.0.0.1:8080", "addresses of entry hosts as IP:port, separated by commas");
DEFINE_string(api_key, "", "API key");
DEFINE_string(model, "", "model name");
DEFINE_string(user_prefix, "load-", "beginning of the member \"user\", by which engines count executions");
DEFINE_double(rate, 10, "requests a second between bursts");
DEFINE_double(seconds, 10, "length of the run");
DEFINE_uint64(seed, 1, "seed of arrivals and prompts");
DEFINE_double(burst_factor, 1, "factor on the rate during a burst");
DEFINE_double(burst_seconds, 0, "mean length of a burst; 0 means no bursts");
DEFINE_double(idle_seconds, 10, "mean time between two bursts");
DEFINE_bool(stream, true, "whether answers are streamed");
DEFINE_int32(prompt_tokens, 64, "prompt length in tokens");
DEFINE_int32(max_tokens, 16, "answer length in tokens");
DEFINE_int32(prefixes, 8, "number of different first halves of prompts");
DEFINE_int32(max_in_flight, 2000, "arrivals beyond this many open requests are counted and not sent");
DEFINE_int32(first_byte_ms, 30000, "limit for the response head");
DEFINE_int32(idle_ms, 10000, "limit between two pieces of an answer");
DEFINE_string(report, "", "file that receives the JSON line as well");

namespace skylark::load {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::size_t maxSamples = 5;

/** Results so far. */
struct Totals {
    std::uint64_t sent{0}; ///< Requests sent.
    std::uint64_t notSent{0}; ///< Arrivals beyond the bound on open requests.
    std::uint64_t whole{0}; ///< Answers that were verified.
    std::uint64_t failed{0}; ///< Requests that ended with an error.
    std::uint64_t mismatches{0}; ///< Answers that differ from the expected ones.
    std::uint64_t connectRetries{0}; ///< Hosts that refused the connection.
    std::uint64_t textBytes{0}; ///< Text of verified answers.
    std::size_t inFlight{0}; ///< Open requests.
    double maxLagMs{0}; ///< Longest delay between an arrival and its sending, which the generator itself causes.
    std::vector<double> firstTextMs; ///< Arrival to first text, of verified answers.
    std::vector<double> burstFirstTextMs; ///< The same, of arrivals in bursts.
    std::vector<double> gapMs; ///< Times between pieces of text, of verified answers.
    std::vector<double> totalMs; ///< Arrival to end, of verified answers.
    std::map<std::string, std::uint64_t> errors; ///< By "code/run".
    json::array samples; ///< First failures and mismatches.
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

void count(Totals &totals, std::uint64_t number, const Arrival &arrival, SteadyTime due, RequestOutcome outcome)
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
    ++totals.whole;
    totals.textBytes += outcome.textBytes;
    totals.firstTextMs.push_back(milliseconds(due, outcome.firstText));
    if (arrival.inBurst) {
        totals.burstFirstTextMs.push_back(totals.firstTextMs.back());
    }
    totals.totalMs.push_back(milliseconds(due, outcome.end));
    totals.gapMs.insert(totals.gapMs.end(), outcome.gapsMs.begin(), outcome.gapsMs.end());
}

asio::awaitable<void> sendOne(
    std::shared_ptr<HttpClient> http, const RequestOptions &options, Totals &totals, std::uint64_t number, Arrival arrival, SteadyTime due)
{
    ++totals.inFlight;
    RequestOutcome outcome = co_await runRequest(http, options, number);
    --totals.inFlight;
    count(totals, number, arrival, due, std::move(outcome));
}

/** Sends each request at its time, whatever the state of the earlier ones. */
asio::awaitable<void> sendAll(
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
        asio::co_spawn(loop, sendOne(http, options, totals, i, schedule[i], due), asio::detached);
    }
}

/** @return Mean and quantiles (nearest rank) of @p values. */
json::object summary(std::vector<double> values)
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

json::object reportOf(const Totals &totals, double seconds)
{
    json::object errors;
    for (const auto &[name, number] : totals.errors) {
        errors[name] = number;
    }
    json::object report;
    report["sent"] = totals.sent;
    report["not_sent"] = totals.notSent;
    report["whole"] = totals.whole;
    report["failed"] = totals.failed;
    report["mismatches"] = totals.mismatches;
    report["connect_retries"] = totals.connectRetries;
    report["seconds"] = seconds;
    report["tokens"] = totals.textBytes / standin::tokenBytes;
    report["max_send_lag_ms"] = totals.maxLagMs;
    report["first_token_ms"] = summary(totals.firstTextMs);
    report["burst_first_token_ms"] = summary(totals.burstFirstTextMs);
    report["between_tokens_ms"] = summary(totals.gapMs);
    report["total_ms"] = summary(totals.totalMs);
    report["errors"] = std::move(errors);
    report["samples"] = totals.samples;
    return report;
}

/** @return The addresses of a list such as "http://127.0.0.1:8080,127.0.0.1:8081"; empty when one is malformed. */
std::vector<Endpoint> parseHosts(const std::string &list)
{
    std::vector<Endpoint> hosts;
    for (std::size_t start = 0; start < list.size();) {
        const std::size_t end = std::min(list.find(',', start), list.size());
        std::string_view text = std::string_view(list).substr(start, end - start);
        start = end + 1;
        if (text.starts_with("http://")) {
            text.remove_prefix(7);
        }
        const std::size_t colon = text.rfind(':');
        std::uint16_t port = 0;
        if (colon != std::string_view::npos) {
            std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
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
    asio::co_spawn(loop, sendAll(loop, http, options, totals, std::move(schedule)), asio::detached);
    loop.run();
    const std::string line = json::serialize(reportOf(totals, milliseconds(start, std::chrono::steady_clock::now()) / 1000));
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
    gflags::SetUsageMessage("Sends requests at seeded times and prints one JSON line. Exits with 2 when an answer differs from the expected one.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return skylark::load::run();
}
