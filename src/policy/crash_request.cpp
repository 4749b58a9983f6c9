/** @file crash_request.cpp Decides which request crashes each target that runs it, from the reports of all hosts. */
#include "policy/crash_request_func.h"

#include "policy/crash_series_func.h"

#include <algorithm>
#include <memory>

namespace skylark {

namespace {

constexpr std::chrono::milliseconds judgedTime{2000}; ///< Time after its last crash in which a request is judged; covers late reports.

/** A crash that nothing quarantined explains. */
struct OpenCrash {
    TimePoint at{};
    bool settled{false}; ///< Whether the reports of all hosts should have arrived.
    std::vector<PromptPartId> requests; ///< Those that may have caused it.
};

/** Crashes that count against one request. */
struct RequestEvidence {
    CrashSeries series;
    std::vector<std::shared_ptr<const OpenCrash>> crashes; ///< Also those that are not separate.
};

/** Unexplained crashes, all together and by request. */
struct RequestCase {
    std::vector<TimePoint> all; ///< Times of separate crashes, in order.
    std::map<PromptPartId, RequestEvidence> evidence; ///< By candidate.
};

bool isExplained(const CrashQuarantine &state, const MergedCrash &crash)
{
    return isExplainedByPart(state, crash) || std::any_of(crash.runs.begin(), crash.runs.end(), [&](const ReportedRun &run) {
               return isQuarantinedRequest(state, run, crash.at);
           });
}

/** @return Whether a crash at @p at counts against @p request: it has an identity, and no sound run since. */
bool counts(const CrashQuarantine &state, PromptPartId request, TimePoint at)
{
    return request != PromptPartId{} && at > soundTime(state, request);
}

bool contains(const std::vector<PromptPartId> &requests, PromptPartId request)
{
    return std::find(requests.begin(), requests.end(), request) != requests.end();
}

/** @return Requests that may be to blame: they were in a crash just now, and on several targets or quarantined before. */
std::vector<PromptPartId> candidatesAt(const CrashQuarantine &state, TimePoint now)
{
    std::vector<PromptPartId> candidates;
    for (const auto &[request, suspect] : state.suspectRequests) {
        if (now - suspect.at < judgedTime && (suspect.onSeveralTargets || state.parts.contains(request))) {
            candidates.push_back(request);
        }
    }
    return candidates;
}

/** Adds @p crash to the evidence against the candidates among its requests. */
void addEvidence(RequestCase &found, const CrashQuarantine &state, const MergedCrash &crash, TimePoint now)
{
    OpenCrash open{crash.at, now - crash.at >= state.settings.settleTime, {}};
    for (const ReportedRun &reported : crash.runs) {
        const PromptPartId request = reported.run->prompt.request;
        if (!counts(state, request, crash.at) || contains(open.requests, request)) {
            continue;
        }
        open.requests.push_back(request);
        if (const auto evidence = found.evidence.find(request); evidence != found.evidence.end()) {
            addToSeries(evidence->second.series, state.settings, reported, crash.at);
        }
    }
    const auto shared = std::make_shared<const OpenCrash>(std::move(open));
    for (const PromptPartId request : shared->requests) {
        if (const auto evidence = found.evidence.find(request); evidence != found.evidence.end()) {
            evidence->second.crashes.push_back(shared);
        }
    }
}

RequestCase collect(const CrashQuarantine &state, const std::vector<MergedCrash> &crashes, TimePoint now)
{
    RequestCase found;
    for (const PromptPartId candidate : candidatesAt(state, now)) {
        found.evidence[candidate];
    }
    if (found.evidence.empty()) {
        return found;
    }
    for (const MergedCrash &crash : crashes) {
        if (isExplained(state, crash)) {
            continue;
        }
        if (found.all.empty() || crash.at - found.all.back() >= state.settings.crashSpacing) {
            found.all.push_back(crash.at);
        }
        const bool isRelevant = std::any_of(crash.runs.begin(), crash.runs.end(), [&](const ReportedRun &reported) {
            return found.evidence.contains(reported.run->prompt.request);
        });
        if (isRelevant) {
            addEvidence(found, state, crash, now);
        }
    }
    return found;
}

/** @return Sum over the crashes of the chance that the request caused it, where all that were in it are equally likely. */
double weightOf(const RequestEvidence &evidence)
{
    double weight = 0;
    for (const auto &crash : evidence.crashes) {
        weight += 1.0 / static_cast<double>(crash->requests.size());
    }
    return weight;
}

/** @return Requests that were in each settled crash of @p request, which they may have caused as well. */
std::vector<PromptPartId> rivalsOf(PromptPartId request, const RequestEvidence &evidence)
{
    std::vector<PromptPartId> rivals = evidence.crashes.front()->requests;
    std::erase(rivals, request);
    for (const auto &crash : evidence.crashes) {
        std::erase_if(rivals, [&](PromptPartId rival) {
            return crash->settled && !contains(crash->requests, rival);
        });
    }
    return rivals;
}

/** @return Whether @p request was the only one in one of its settled crashes. */
bool wasAlone(const RequestEvidence &evidence)
{
    return std::any_of(evidence.crashes.begin(), evidence.crashes.end(), [](const auto &crash) {
        return crash->settled && crash->requests.size() == 1;
    });
}

/** @return Whether the crashes of @p evidence suffice where no other request was in all of them. */
bool isEnoughAlone(const QuarantineSettings &settings, const RequestEvidence &evidence)
{
    const std::size_t separate = evidence.series.crashes.size();
    const bool isStrong = evidence.crashes.size() >= settings.minCrashes || wasAlone(evidence);
    return separate >= settings.minCrashes || (separate >= settings.minRequestCrashes && isStrong);
}

/** @return Whether the request was in enough of @p all crashes: where targets end for other reasons at the time, two crashes are a coincidence. */
bool isShareSufficient(const QuarantineSettings &settings, const std::vector<TimePoint> &all, const CrashSeries &series)
{
    const bool isFirm = series.crashes.size() >= settings.minCrashes;
    const auto first = std::lower_bound(all.begin(), all.end(), series.crashes.front() - (isFirm ? std::chrono::milliseconds(0) : settings.unrestTime));
    const auto last = isFirm ? std::upper_bound(all.begin(), all.end(), series.crashes.back()) : all.end();
    return static_cast<double>(series.crashes.size()) >= settings.minRequestShare * static_cast<double>(last - first);
}

/** @return Whether the evidence suffices to quarantine @p request. */
bool isSufficient(const CrashQuarantine &state, const RequestCase &found, PromptPartId request, const RequestEvidence &evidence)
{
    const QuarantineSettings &settings = state.settings;
    if (evidence.series.crashes.empty()) {
        return false;
    }
    if (const auto earlier = state.parts.find(request); earlier != state.parts.end()) {
        return evidence.series.crashes.back() >= earlier->second.until;
    }
    const bool anySettled = std::any_of(evidence.crashes.begin(), evidence.crashes.end(), [](const auto &crash) {
        return crash->settled;
    });
    if (!anySettled || !isShareSufficient(settings, found.all, evidence.series)) {
        return false;
    }
    const std::vector<PromptPartId> rivals = rivalsOf(request, evidence);
    if (rivals.empty()) {
        return isEnoughAlone(settings, evidence);
    }
    const bool isLikeliest = std::all_of(rivals.begin(), rivals.end(), [&](PromptPartId rival) {
        const auto other = found.evidence.find(rival);
        return other == found.evidence.end() || weightOf(other->second) <= weightOf(evidence);
    });
    return isLikeliest && evidence.series.crashes.size() > settings.minCrashes;
}

} // namespace

std::optional<SuspectPart> mostSuspectRequest(const CrashQuarantine &state, const std::vector<MergedCrash> &crashes, TimePoint now)
{
    const RequestCase found = collect(state, crashes, now);
    std::optional<PromptPartId> best;
    for (const auto &[request, evidence] : found.evidence) {
        const bool isMore = !best || weightOf(evidence) > weightOf(found.evidence.at(*best));
        if (isMore && isSufficient(state, found, request, evidence)) {
            best = request;
        }
    }
    if (!best) {
        return {};
    }
    return SuspectPart{*best, soundTime(state, *best), {found.evidence.at(*best).series, 0}};
}

} // namespace skylark
