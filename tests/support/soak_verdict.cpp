/** @file soak_verdict.cpp Finds requests of a soak test that ended in a way that hosts must not cause. */
#include "support/soak_verdict_func.h"

#include "replica_base.h"
#include "support/soak_crash_func.h"
#include "support/soak_records_func.h"

#include <algorithm>
#include <boost/json.hpp>
#include <set>
#include <sstream>

namespace skylark::test {

using namespace skylark::standin;
using std::chrono::duration_cast;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t maxAttempts = 2; ///< Value of all routes of the site.
constexpr milliseconds longestAcceptedGap{3200}; ///< Time without a byte of the answer after which a request has failed, besides the delay by the test itself.
constexpr milliseconds overlapLimit{400}; ///< Time for which a run may go on after the request has begun to run elsewhere.
constexpr milliseconds latestLongRequest{3000}; ///< Time after SIGTERM until which a request may arrive that the stop limit cuts off.
constexpr milliseconds timerSlack{20}; ///< Difference between the caller's and the host's view of the time that a request has taken.

/** One request with all that is known of it. */
struct JudgedRequest {
    const SoakSite &site;
    const SoakRecord &record;
    const std::vector<ScriptedRun> &runs; ///< In order of their begin.
    const std::vector<LateRead> &lateReads; ///< Reads of it that targets made late.
};

/** Time in which the process of the test kept a request waiting. */
struct Delay {
    TimePoint from;
    TimePoint until;
};

bool isStream(const SoakRecord &record)
{
    return record.call.route == "chat" || record.call.route == "tell";
}

bool isRepeatable(const SoakRecord &record)
{
    return record.call.route == "chat" || record.call.route == "lookup";
}

/** @return The longest time between @p from and @p until in which the event loop of the test did not run; an empty one if it always ran in time. */
Delay longestStallPeriod(const SoakSite &site, TimePoint from, TimePoint until)
{
    Delay longest{from, from};
    for (const auto &[at, late] : site.stalls) {
        if (at >= from && at - late <= until && late > longest.until - longest.from) {
            longest = {at - late, at};
        }
    }
    return longest;
}

/** @return How late the event loop of the test was at most between @p from and @p until. */
milliseconds longestStall(const SoakSite &site, TimePoint from, TimePoint until)
{
    const Delay longest = longestStallPeriod(site, from, until);
    return duration_cast<milliseconds>(longest.until - longest.from);
}

/** @return How long the process of the test itself kept a request waiting between @p from and @p until, in its targets or in its event loop. */
milliseconds ownDelay(const JudgedRequest &request, TimePoint from, TimePoint until)
{
    std::vector<Delay> delays{longestStallPeriod(request.site, from, until)};
    for (const LateRead &read : request.lateReads) {
        delays.push_back({read.arrivedAt, read.readAt});
    }
    std::sort(delays.begin(), delays.end(), [](const Delay &a, const Delay &b) {
        return a.from < b.from;
    });
    std::chrono::nanoseconds sum{0};
    TimePoint counted = from;
    for (const Delay &delay : delays) {
        const TimePoint begin = std::max(delay.from, counted);
        const TimePoint end = std::min(delay.until, until);
        sum += std::max<std::chrono::nanoseconds>(end - begin, 0ns);
        counted = std::max(counted, end);
    }
    return duration_cast<milliseconds>(sum);
}

/** @return Whether the caller's budget or the timeout of the route was over when the request ended. */
bool isTimeOver(const JudgedRequest &request)
{
    const SoakRecord &record = request.record;
    const milliseconds limit = std::min<milliseconds>(record.call.budget, routeTimeoutAt(request.site, record.call.route, record.startedAt));
    return record.endedAt - record.sentAt >= limit - timerSlack - longestStall(request.site, record.startedAt, record.endedAt);
}

/** @return Whether a target broke the request off, or crashed when it may have been about to run it. */
bool isTargetsFault(const JudgedRequest &request)
{
    const auto &runs = request.runs;
    const bool broken = std::any_of(runs.begin(), runs.end(), [](const ScriptedRun &run) {
        return run.brokenOff;
    });
    const std::size_t attempts = isRepeatable(request.record) ? maxAttempts : 1;
    if (broken || runs.size() >= attempts) {
        return broken;
    }
    for (const auto *group : {&request.site.targets, &request.site.crashedTargets}) {
        for (const auto &target : *group) {
            if (target->crashedAt && *target->crashedAt + 50ms >= request.record.startedAt && *target->crashedAt <= request.record.endedAt) {
                return true;
            }
        }
    }
    return false;
}

/** @return Whether the request's host had got SIGTERM when the request ended. */
bool isHostStopping(const JudgedRequest &request)
{
    const auto &stops = request.site.hosts[request.record.host].stops;
    return std::any_of(stops.begin(), stops.end(), [&](TimePoint stop) {
        return stop <= request.record.endedAt && request.record.startedAt <= stop + soakStopLimit;
    });
}

/** @return Whether a target still worked on the request in the last sixth of the time that a stopping host has, although the request came early in the stop. */
bool isCutByStopLimit(const JudgedRequest &request)
{
    for (const TimePoint stop : request.site.hosts[request.record.host].stops) {
        const bool early = stop <= request.record.endedAt && request.record.sentAt <= stop + latestLongRequest;
        for (const ScriptedRun &run : request.runs) {
            if (early && (!run.endedAt || *run.endedAt >= stop + soakStopLimit * 5 / 6) && request.record.endedAt <= stop + soakStopLimit) {
                return true;
            }
        }
    }
    return false;
}

/** @return Whether the connection had been idle for longer than callers may rely on. */
bool isIdleTooLong(const JudgedRequest &request)
{
    const SoakRecord &record = request.record;
    if (!record.idleSince) {
        return false;
    }
    const auto idle = duration_cast<milliseconds>(record.sentAt - record.call.pause - *record.idleSince);
    return idle + longestStall(request.site, *record.idleSince - 50ms, record.sentAt) > idleLimitAt(request.site, record.startedAt) * 4 / 5;
}

std::string streamText(const std::string &id)
{
    std::string text;
    for (unsigned number = 1; number <= soakEvents; ++number) {
        text += "id: " + std::to_string(number) + "\ndata: " + eventData(id, number) + "\n\n";
    }
    return text;
}

/** @return What is wrong with the results of a job in @p body, or nothing. */
std::string resultsFailure(const std::string &body)
{
    std::set<std::string> listed;
    const boost::json::value results = boost::json::parse(body);
    for (const auto &value : results.at("results").as_array()) {
        const std::string id(value.at("id").as_string());
        if (value.at("state").as_string() != "completed" || value.at("text").as_string() != wholeText(id, soakEvents)) {
            return "wrong result of " + id;
        }
        if (!listed.insert(id).second) {
            return "result listed twice: " + id;
        }
    }
    return {};
}

/** @return What is wrong with the response to a call about a job, or nothing. */
std::string jobFailure(const SoakRecord &record)
{
    if (record.status == 503 || record.status == 429) {
        return {};
    }
    if (record.call.route == "job") {
        return record.status == 202 ? "" : "job denied";
    }
    return record.status != 200 ? "accepted job denied" : resultsFailure(record.body);
}

/** @return What is wrong with a whole response, or nothing. */
std::string answerFailure(const JudgedRequest &request)
{
    const SoakRecord &record = request.record;
    if (record.call.route == "job" || record.call.route == "poll") {
        return jobFailure(record);
    }
    const std::string &id = record.call.id;
    if (record.status == 200) {
        const std::string expected = isStream(record) ? streamText(id) : wholeText(id, soakEvents);
        return record.signature != "signature-of-" + id ? "success of another request" : record.body != expected ? "wrong body that looks complete" : "";
    }
    if (!record.signature.empty()) {
        return "failure with a target's signature";
    }
    const bool refusal = record.status == 503 || record.status == 429 || record.status == 408 || record.status == 421;
    if (refusal) {
        return !request.runs.empty() && !isRepeatable(record) ? "refused, but ran" : "";
    }
    if (record.status < 500) {
        return "denied";
    }
    return !request.runs.empty() && !isTargetsFault(request) && !isTimeOver(request) ? "failed, although its targets were sound" : "";
}

/** @return What is wrong with the end of a request that got no whole response, or nothing; adds an allowed end to the counts. */
std::string closeFailure(const JudgedRequest &request, SoakVerdict &verdict)
{
    const SoakRecord &record = request.record;
    const bool read = record.end != SoakEnd::ClosedUnread && record.end != SoakEnd::NotSent;
    const char *excuse = nullptr;
    if (!read && request.runs.empty()) {
        excuse = isHostStopping(request) ? "unread at a stop" : isIdleTooLong(request) ? "unread past the idle limit" : nullptr;
    } else {
        excuse = isTargetsFault(request)     ? "target broke off"
                 : isTimeOver(request)       ? "time over"
                 : isCutByStopLimit(request) ? "cut by the stop limit"
                                             : nullptr;
    }
    if (excuse != nullptr) {
        ++verdict.counts[excuse];
        return {};
    }
    return read ? "lost" : !request.runs.empty() ? "lost after it was passed on" : "closed unread within the idle limit";
}

/** @return How a request ran too often, or nothing. */
std::string runFailure(const JudgedRequest &request)
{
    const auto &runs = request.runs;
    const auto sound = std::count_if(runs.begin(), runs.end(), [](const ScriptedRun &run) {
        return !run.brokenOff;
    });
    if (!isRepeatable(request.record) && runs.size() > 1) {
        return "ran twice";
    }
    if (static_cast<std::size_t>(sound) > maxAttempts) {
        return "ran more often than allowed";
    }
    for (std::size_t i = 1; i < runs.size(); ++i) {
        const TimePoint limit = runs[i].beganAt + overlapLimit;
        const bool works = !runs[i - 1].endedAt || *runs[i - 1].endedAt > limit + longestStall(request.site, runs[i].beganAt, limit + 1s);
        if (works) {
            return "ran elsewhere while a target still worked on it";
        }
    }
    return {};
}

std::string describe(const JudgedRequest &request, const std::string &failure)
{
    const SoakRecord &record = request.record;
    std::ostringstream text;
    text << failure << ": " << record.call.id << " on " << record.call.route << " at " << request.site.hosts[record.host].name << ", end "
         << soakEndName(record.end) << ", status " << record.status << ", took " << duration_cast<milliseconds>(record.endedAt - record.sentAt).count()
         << " ms, longest gap " << record.longestGap.count() << " ms, body " << record.body.size() << " bytes";
    if (record.idleSince) {
        text << ", idle before " << duration_cast<milliseconds>(record.startedAt - *record.idleSince).count() << " ms of "
             << idleLimitAt(request.site, record.startedAt).count();
    }
    for (const auto &run : request.runs) {
        text << "; run at " << run.service << " from " << duration_cast<milliseconds>(run.beganAt - record.sentAt).count() << " ms to "
             << (run.endedAt ? duration_cast<milliseconds>(*run.endedAt - record.sentAt).count() : -1) << " ms after event " << run.lastEventId
             << (run.brokenOff ? ", broken off" : "");
    }
    for (const LateRead &read : request.lateReads) {
        text << "; read by its target at " << duration_cast<milliseconds>(read.readAt - record.sentAt).count() << " ms, late by "
             << duration_cast<milliseconds>(read.readAt - read.arrivedAt).count() << " ms";
    }
    text << (isHostStopping(request) ? "; host stopping" : "");
    return text.str();
}

/** @return When a caller would have given up because nothing arrived for too long; nothing if it would not. */
std::optional<TimePoint> silentTooLongAt(const JudgedRequest &request)
{
    const SoakRecord &record = request.record;
    const milliseconds limit = longestAcceptedGap + ownDelay(request, record.gapSince, record.gapSince + record.longestGap);
    return record.longestGap >= limit ? std::optional(record.gapSince + limit) : std::nullopt;
}

/** @return The runs as they were known at @p at. */
std::vector<ScriptedRun> runsUntil(const std::vector<ScriptedRun> &runs, TimePoint at)
{
    std::vector<ScriptedRun> known;
    for (ScriptedRun run : runs) {
        if (run.beganAt <= at) {
            run.brokenOff = run.brokenOff && run.endedAt && *run.endedAt <= at;
            known.push_back(std::move(run));
        }
    }
    return known;
}

/** @return What is wrong with a request if its caller closes the connection at @p at, or nothing; adds an allowed end to the counts. */
std::string givenUpFailure(const JudgedRequest &request, TimePoint at, SoakVerdict &verdict)
{
    SoakRecord record = request.record;
    record.end = SoakEnd::GaveUp;
    record.endedAt = at;
    const std::vector<ScriptedRun> runs = runsUntil(request.runs, at);
    const std::string failure = closeFailure({request.site, record, runs, request.lateReads}, verdict);
    return failure.empty() ? "" : failure + ", silent for too long";
}

/** @return What is wrong with the end of a request, or nothing; adds an allowed end to the counts. */
std::string endFailure(const JudgedRequest &request, SoakVerdict &verdict)
{
    const auto givenUpAt = silentTooLongAt(request);
    if (givenUpAt) {
        return givenUpFailure(request, *givenUpAt, verdict);
    }
    if (request.record.longestGap >= longestAcceptedGap) {
        ++verdict.counts["silent while the test was late"];
    }
    return request.record.end == SoakEnd::Answered ? answerFailure(request) : closeFailure(request, verdict);
}

void judgeRequest(const JudgedRequest &request, SoakVerdict &verdict)
{
    const SoakRecord &record = request.record;
    ++verdict.counts["requests"];
    verdict.counts["read late"] += request.lateReads.empty() ? 0 : 1;
    ++verdict.counts[record.end == SoakEnd::Answered ? "status " + std::to_string(record.status) : soakEndName(record.end)];
    for (const std::string &failure : {endFailure(request, verdict), runFailure(request)}) {
        if (!failure.empty()) {
            verdict.failures.push_back(describe(request, failure));
        }
    }
}

} // namespace

SoakVerdict judgeSoak(const SoakSite &site, const std::vector<SoakRecord> &records)
{
    SoakVerdict verdict;
    verdict.failures = site.problems;
    auto byId = targetRecords(site);
    for (const std::string &failure : crashBudgetFailures(records, byId)) {
        verdict.failures.push_back(failure);
    }
    for (const SoakRecord &record : records) {
        const TargetRecords &known = byId[record.call.id];
        judgeRequest({site, record, known.runs, known.lateReads}, verdict);
        byId.erase(record.call.id);
    }
    for (const auto &[id, unasked] : byId) {
        if (!unasked.runs.empty() && !id.starts_with(soakItemPrefix)) {
            verdict.failures.push_back("ran, but no caller sent it: " + id);
        }
    }
    return verdict;
}

} // namespace skylark::test
