/** @file soak_crash.cpp Request of a soak test under which each target that begins to run it crashes, and the number of its runs that hosts may allow. */
#include "support/soak_crash_func.h"

#include "names.h"

#include <algorithm>

namespace skylark::test {

using namespace skylark::standin;
using std::chrono::milliseconds;

namespace {

constexpr const char *crashingBody = "crash-inducing request on ";
constexpr std::size_t decisiveCrashes = 3; ///< Number of crashes after which hosts must refuse the request.
constexpr milliseconds contactTime{3000}; ///< Time after the last of these crashes within which all hosts must know of them.
constexpr std::size_t allowedRuns = 3; ///< Number of runs that may still begin later than that.
constexpr milliseconds readSlack{5}; ///< Time between the read of a request and the begin of its run.

/** @return When the request of @p run arrived at its target. */
TimePoint arrivalOf(const ScriptedRun &run, const std::vector<LateRead> &lateReads)
{
    for (const LateRead &read : lateReads) {
        if (read.readAt <= run.beganAt && run.beganAt - read.readAt <= readSlack) {
            return read.arrivedAt;
        }
    }
    return run.beganAt;
}

/** Runs of one crash-inducing request, whichever caller and host sent them. */
struct CrashHistory {
    std::vector<TimePoint> arrivals;
    std::vector<TimePoint> crashes;
};

void addRuns(CrashHistory &history, const TargetRecords &target)
{
    for (const ScriptedRun &run : target.runs) {
        history.arrivals.push_back(arrivalOf(run, target.lateReads));
        if (run.crashedTarget && run.endedAt) {
            history.crashes.push_back(*run.endedAt);
        }
    }
}

/** @return Number of runs that arrived at targets when all hosts had to know of the request. */
std::size_t lateRuns(CrashHistory &history)
{
    if (history.crashes.size() < decisiveCrashes) {
        return 0;
    }
    std::sort(history.crashes.begin(), history.crashes.end());
    const TimePoint limit = history.crashes[decisiveCrashes - 1] + contactTime;
    return static_cast<std::size_t>(std::count_if(history.arrivals.begin(), history.arrivals.end(), [limit](TimePoint at) {
        return at > limit;
    }));
}

} // namespace

bool isCrashInducing(const std::string &body)
{
    return body.starts_with(crashingBody);
}

SoakCall crashingCall(const std::string &route, const std::string &id)
{
    SoakCall call;
    call.id = id;
    call.route = route;
    call.target = "/" + route + "/crash";
    call.body = crashingBody + route;
    if (route == "chat") {
        call.headers.push_back({std::string(platform::headerPromptParts), "c0ffee:100,ca11ed:50"});
    }
    return call;
}

std::vector<std::string> crashBudgetFailures(const std::vector<SoakRecord> &records, const std::map<std::string, TargetRecords> &targets)
{
    std::map<std::string, CrashHistory> histories;
    for (const SoakRecord &record : records) {
        const auto target = targets.find(record.call.id);
        if (isCrashInducing(record.call.body) && target != targets.end()) {
            addRuns(histories[record.call.route], target->second);
        }
    }
    std::vector<std::string> failures;
    for (auto &[route, history] : histories) {
        const std::size_t late = lateRuns(history);
        if (late > allowedRuns) {
            failures.push_back("crash-inducing request on " + route + " reached targets " + std::to_string(late) + " times after its third crash, with "
                               + std::to_string(history.crashes.size()) + " crashes in all");
        }
    }
    return failures;
}

} // namespace skylark::test
