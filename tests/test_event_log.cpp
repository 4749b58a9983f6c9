/** @file test_event_log.cpp Structured log: bounded buffer, escaping and sampling; explain(): lines and cause of a request. */
#include "core/clock_func.h"
#include "core/event_loop_func.h"
#include "core/table/event_table.h"
#include "explain/explain_func.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <fstream>
#include <set>
#include <sstream>
#include <unistd.h>

using namespace skylark;
using namespace std::chrono_literals;

namespace {

/** Redirects standard output to a pipe while the object exists. */
struct PipedOutput {
    int saved{::dup(STDOUT_FILENO)}; ///< Original standard output.
    std::array<int, 2> ends{}; ///< Read end and write end of the pipe.

    PipedOutput()
    {
        REQUIRE(::pipe(this->ends.data()) == 0);
        REQUIRE(::dup2(this->ends[1], STDOUT_FILENO) == STDOUT_FILENO);
        REQUIRE(::fcntl(this->ends[0], F_SETFL, O_NONBLOCK) == 0);
    }
    PipedOutput(const PipedOutput &) = delete;
    PipedOutput &operator=(const PipedOutput &) = delete;
    ~PipedOutput()
    {
        ::dup2(this->saved, STDOUT_FILENO);
        ::close(this->saved);
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }

    [[nodiscard]] std::string readAll() const
    {
        std::string text;
        std::array<char, 4096> piece{};
        for (auto got = ::read(this->ends[0], piece.data(), piece.size()); got > 0; got = ::read(this->ends[0], piece.data(), piece.size())) {
            text.append(piece.data(), static_cast<std::size_t>(got));
        }
        return text;
    }
};

std::vector<LogLine> linesOf(const std::string &text)
{
    std::istringstream in(text);
    std::vector<LogLine> lines;
    readLogLines(in, lines);
    return lines;
}

} // namespace

// Guards against a stalled reader of standard output that blocks the threads that log, or lets the log buffer grow without bound.
TEST_CASE("eventLog_readerStops_neverBlocksAndCountsDroppedLines", "[log]")
{
    const PipedOutput output;
    openEventLog("h");
    const TimePoint begun = BootClock::now();
    for (unsigned i = 0; i < 50000; ++i) {
        logEvent(EventKind::Answered, "request", {{"status", 503}, {"outcome", "refused"}});
    }
    CHECK(BootClock::now() - begun < 10s);
    CHECK(eventLinesDropped() > 10000);
    closeEventLog(200ms);
    CHECK(BootClock::now() - begun < 20s);
    CHECK(output.readAll().size() < 1000000);
}

// Guards against log injection: an identifier or header from a caller that contains line breaks must not produce a line of its own.
TEST_CASE("eventLog_hostileIdentifier_cannotForgeALine", "[log]")
{
    const PipedOutput output;
    openEventLog("h");
    const std::string hostile = "x\"}\n{\"ts\":1,\"event\":\"forged\"}\n\x01";
    logEvent(EventKind::Refused, hostile, {{"reason", hostile}});
    closeEventLog(1s);
    auto lines = linesOf(output.readAll());
    // The test above dropped lines; the log reports that in a line of its own.
    std::erase_if(lines, [](const LogLine &line) {
        return line.event == "lines_dropped";
    });
    REQUIRE(lines.size() == 1);
    CHECK(lines[0].event == "refused");
    CHECK(lines[0].id == hostile);
    CHECK(formatLogLine(lines[0], 0).find('\n') == std::string::npos);
}

TEST_CASE("eventLog_manySuccesses_areSampledWithTheirCount", "[log]")
{
    const PipedOutput output;
    openEventLog("h");
    for (unsigned i = 0; i < 150; ++i) {
        logSampled(EventKind::Placed, "r" + std::to_string(i), {});
    }
    closeEventLog(1s);
    const auto lines = linesOf(output.readAll());
    CHECK(lines.size() >= 50);
    CHECK(lines.size() < 70);
    CHECK(lines.back().fields.contains("stands_for"));
}

TEST_CASE("eventTable_rows_areInOrderWithDistinctNames", "[log]")
{
    std::set<std::string_view> names;
    for (std::size_t i = 0; i < eventTable.size(); ++i) {
        CHECK(static_cast<std::size_t>(eventTable[i].kind) == i);
        CHECK(names.insert(eventTable[i].name).second);
    }
}

TEST_CASE("explain_requestThatWasResumed_showsTargetAndDependencyBeforeIt", "[explain]")
{
    const std::string text = R"(
 1.0 h1 {"ts":1000,"host":"h1","event":"target_changed","id":"i-1","state":"gone"}
{"ts":900,"host":"h2","event":"dependency_lost","dependency":"store"}
{"ts":1100,"host":"h1","event":"placed","id":"q","target":"i-1"}
{"ts":1150,"host":"h1","event":"attempt_failed","id":"q","target":"i-1","error":"stream_broken"}
{"ts":1151,"host":"h1","event":"resumed","id":"q","after":4}
{"ts":1300,"host":"h1","event":"answered","id":"q","outcome":"broken_off"}
{"ts":1300,"host":"h1","event":"answered","id":"other","outcome":"ok"}
not a line
)";
    const Explanation explanation = explain(linesOf(text), "q");
    REQUIRE(explanation.lines.size() == 5);
    CHECK(explanation.lines[0].context);
    CHECK(explanation.lines[0].id == "i-1");
    CHECK(explanation.cause.find("broke the stream off") != std::string::npos);
    CHECK(explain(linesOf(text), "unknown").lines.empty());
}

// Guards against an explanation without a cause for a request that was placed but has no final line because its host lost power (176 requests in drawn-1038).
TEST_CASE("explain_hostEndedDuringRequest_namesTheRestart", "[explain]")
{
    const std::string text = R"({"ts":1000,"host":"h1","event":"placed","id":"q","target":"i-1","left_ms":5000}
{"ts":1200,"host":"h1","event":"answered","id":"other","outcome":"ok"}
{"ts":4000,"host":"h1","event":"start","id":"session-2"}
{"ts":9000,"host":"h1","event":"answered","id":"later","outcome":"ok"}
)";
    const Explanation explanation = explain(linesOf(text), "q");
    CHECK(explanation.cause.find("ended while it handled the request") != std::string::npos);
    REQUIRE(explanation.lines.size() == 2);
    CHECK(explanation.lines[1].event == "start");
}

TEST_CASE("explain_hostSilentWithoutRestart_namesItsLastLine", "[explain]")
{
    const std::string text = R"({"ts":1000,"host":"h1","event":"placed","id":"q","target":"i-1","left_ms":5000}
{"ts":1200,"host":"h1","event":"answered","id":"other","outcome":"ok"}
{"ts":9000,"host":"h2","event":"answered","id":"later","outcome":"ok"}
)";
    CHECK(explain(linesOf(text), "q").cause.find("wrote nothing later than 200 ms") != std::string::npos);
}

// Guards against a host restart being named as the cause of a missing final line when the host still logged lines after the request's deadline. Under load,
// the line of a complete answer may be sampled out.
TEST_CASE("explain_answerSampledOut_namesNoFailure", "[explain]")
{
    const std::string text = R"({"ts":1000,"host":"h1","event":"placed","id":"q","target":"i-1","left_ms":500}
{"ts":1700,"host":"h1","event":"answered","id":"other","outcome":"ok"}
{"ts":4000,"host":"h1","event":"start","id":"session-2"}
)";
    CHECK(explain(linesOf(text), "q").cause.find("no failure") != std::string::npos);
}

// Guards against an event that is missing from the operators' documentation.
TEST_CASE("operationsPage_events_areAllListed", "[docs]")
{
    std::ifstream file(std::string(SKYLARK_SOURCE_DIR) + "/docs/OPERATIONS.md");
    const std::string page((std::istreambuf_iterator<char>(file)), {});
    REQUIRE_FALSE(page.empty());
    for (const EventInfo &info : eventTable) {
        INFO(info.name);
        CHECK(page.find("| `" + std::string(info.name) + "` |") != std::string::npos);
    }
}

// Guards against a process that ends, with the requests of all callers, because one handler met an error that it did not expect.
TEST_CASE("runEventLoop_handlerThrows_otherHandlersStillRun", "[loop]")
{
    boost::asio::io_context loop;
    unsigned handled = 0;
    boost::asio::post(loop, [] {
        throw std::runtime_error("malformed");
    });
    boost::asio::post(loop, [&handled] {
        ++handled;
    });
    CHECK(runEventLoop(loop, "test") == 1);
    CHECK(handled == 1);
}
