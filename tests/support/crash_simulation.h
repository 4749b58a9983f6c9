/** @file crash_simulation.h Simulation of hosts that find out which prompt part or request crashes their targets. */
#pragma once

#include "core/hash_func.h"
#include "policy/crash_quarantine_func.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace skylark::test {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr PromptPartId bad{0xbad}; ///< Part that crashes targets.
constexpr PromptPartId first{0xa0}; ///< First part, which crashing and sound requests share.
constexpr unsigned maxSentLate = 3; ///< Bound of the issues: requests that may be sent later than contact after the crash that counts.

/** Hosts that share targets and learn of one another's evidence late. Some requests crash their target as they begin to run; targets also end by themselves. */
struct FleetSimulation {
    static constexpr auto step = 5ms;
    static constexpr auto eventInterval = 20ms;
    static constexpr auto downTime = 3000ms;
    static constexpr auto contact = 3000ms; ///< Bound of the issues: time after the crash that counts from which further requests are late.
    static constexpr unsigned queueLength = 4; ///< Runs that a target queues beyond its slots.
    static constexpr unsigned partCrashes = 5; ///< Crash under one part that counts.
    static constexpr unsigned requestCrashes = 3; ///< Crash under one request that counts.

    struct Run {
        unsigned host{0};
        PromptParts prompt;
        TimePoint startedAt{}; ///< When it got a slot; TimePoint{} while it is queued.
        unsigned attempt{1}; ///< Of the host.
        unsigned tries{1}; ///< Of the caller.
        bool sound{false}; ///< Whether its soundness has been recorded.
    };
    struct Target {
        unsigned life{0}; ///< Number of restarts; part of the target's identifier.
        TimePoint upAt{};
        std::vector<Run> runs;
    };
    struct Message {
        TimePoint arrivesAt{};
        unsigned from{0};
        unsigned to{0};
        std::shared_ptr<const QuarantineReport> report;
    };
    /** A part or request that crashes targets. */
    struct Culprit {
        unsigned crashes{0};
        TimePoint countedAt{}; ///< Time of the crash that counts.
        unsigned sentLate{0}; ///< Requests that were sent later than contact after it.
        unsigned rejected{0};
    };
    struct Retry {
        TimePoint at{};
        Run run;
    };

    std::vector<CrashQuarantine> hosts;
    std::vector<Target> targets;
    std::vector<Message> messages;
    std::vector<Retry> retries;
    std::map<PromptPartId, QuarantinedPart> stored; ///< Entries in the key-value service.
    double requestsPerSecond{400};
    double badShare{0.02}; ///< Share of requests with the crashing part.
    unsigned crashingRequests{0}; ///< Requests that crash targets and come again.
    double repeatShare{0}; ///< Share of requests that are one of those.
    bool streams{true}; ///< Whether answers are streams, whose beginning a host sees, or come whole.
    bool hasParts{true}; ///< Whether requests name the parts of their prompts.
    unsigned slots{64};
    unsigned maxAttempts{2}; ///< Attempts of a host for one try of a caller.
    unsigned maxTries{1}; ///< Tries of a caller, at any host.
    milliseconds beginAfter{40}; ///< From the start of a run to the head of its answer, or to the crash.
    milliseconds runTime{600};
    double endsPerSecond{0.3}; ///< Targets that end by themselves.
    milliseconds massEndInterval{0}; ///< Interval at which a third of all targets end; 0 for never.
    milliseconds massEndGap{0}; ///< Time between two of these ends: 0 for a lost failure domain, more for a roll.
    double restartsPerSecond{0}; ///< Hosts that restart and know only what is stored.
    TimePoint cutFrom{TimePoint::max()}; ///< From this time on, hosts with odd numbers and those with even ones do not reach each other.
    TimePoint cutUntil{TimePoint::max()};
    milliseconds maxDelay{600}; ///< Longest transmission of a report.
    milliseconds reportInterval{3000}; ///< Interval of reports without new evidence.
    double lostShare{0.05}; ///< Share of reports that are lost.
    TimePoint now{TimePoint{} + 1000s};
    std::uint64_t random{1};
    std::uint64_t requests{0};
    std::uint64_t soundRejected{0}; ///< Sound requests that were rejected for a quarantine.
    std::map<PromptPartId, Culprit> culprits;
    std::set<PromptPartId> wrongParts; ///< Parts that were quarantined at any time and crash no target.
    std::set<PromptPartId> wrongRequests; ///< Requests likewise; most never come again.
    std::set<PromptPartId> badRequests; ///< Requests with the crashing part.
    std::vector<TimePoint> plannedEnds;

    FleetSimulation(unsigned hostCount, unsigned targetCount, std::uint64_t seed)
        : hosts(hostCount)
        , targets(targetCount)
        , random(seed)
    {
        for (unsigned i = 0; i < hostCount; ++i) {
            this->startHost(i);
        }
    }

    void startHost(unsigned index)
    {
        this->hosts[index] = CrashQuarantine{};
        this->hosts[index].host.value = "h" + std::to_string(index);
        this->hosts[index].startedAt = this->now;
        for (const auto &[part, entry] : this->stored) {
            static_cast<void>(
                adoptStored(this->hosts[index], part, std::chrono::duration_cast<milliseconds>(entry.until - entry.since), entry.rounds, this->now));
        }
    }

    double draw()
    {
        return static_cast<double>(nextRandom(this->random) >> 11U) / static_cast<double>(1ULL << 53U);
    }
    unsigned pick(std::size_t count)
    {
        return static_cast<unsigned>(nextRandom(this->random) % count);
    }
    bool drawPerSecond(double perSecond)
    {
        return this->draw() < perSecond * std::chrono::duration<double>(step).count();
    }

    static TargetId idOf(unsigned target, const Target &state)
    {
        return TargetId{"t" + std::to_string(target) + "-" + std::to_string(state.life)};
    }

    [[nodiscard]] bool isCrashingRequest(PromptPartId request) const
    {
        return request.value - wholeRequest(0).value - 1 < this->crashingRequests;
    }

    /** @return What in @p prompt crashes targets; 0 for nothing. */
    [[nodiscard]] PromptPartId culpritOf(const PromptParts &prompt) const
    {
        if (std::find(prompt.shared.begin(), prompt.shared.end(), bad) != prompt.shared.end()) {
            return bad;
        }
        return this->isCrashingRequest(prompt.request) ? prompt.request : PromptPartId{};
    }

    void report(unsigned from)
    {
        const auto content = std::make_shared<const QuarantineReport>(reportOf(this->hosts[from], this->now));
        if (content->crashes.empty() && content->quarantined.empty() && content->sound.empty()) {
            return;
        }
        const bool isCut = this->now >= this->cutFrom && this->now < this->cutUntil;
        for (unsigned to = 0; to < this->hosts.size(); ++to) {
            const bool isReached = to != from && (!isCut || to % 2 == from % 2);
            if (isReached && this->draw() >= this->lostShare) {
                const auto delay = milliseconds(5 + this->pick(static_cast<std::size_t>(this->maxDelay.count())));
                this->messages.push_back({this->now + delay, from, to, content});
            }
        }
    }

    /** Stores the quarantines that a host decided on, and notes wrong ones. */
    void apply(const std::vector<QuarantineChange> &changes)
    {
        for (const QuarantineChange &change : changes) {
            if (change.source != QuarantineSource::Evidence) {
                continue;
            }
            const PromptPartId part = change.entry.part;
            if (!change.begun) {
                this->stored.erase(part);
                continue;
            }
            this->stored[part] = change.entry;
            if (part != bad && !this->isCrashingRequest(part) && !this->badRequests.contains(part)) {
                (isWholeRequest(part) ? this->wrongRequests : this->wrongParts).insert(part);
            }
        }
    }

    /** The caller of @p run tries again later, at any host. */
    void retryLater(Run run)
    {
        if (run.tries >= this->maxTries) {
            return;
        }
        ++run.tries;
        run.attempt = 1;
        run.host = this->pick(this->hosts.size());
        this->retries.push_back({this->now + milliseconds(200 + this->pick(600)), std::move(run)});
    }

    /** @return The less loaded one of two targets that are up and have room; the number of targets if there is none. */
    unsigned chooseTarget()
    {
        std::vector<unsigned> open;
        for (unsigned i = 0; i < this->targets.size(); ++i) {
            if (this->targets[i].upAt <= this->now && this->targets[i].runs.size() < this->slots + queueLength) {
                open.push_back(i);
            }
        }
        if (open.empty()) {
            return static_cast<unsigned>(this->targets.size());
        }
        const unsigned one = open[this->pick(open.size())];
        const unsigned other = open[this->pick(open.size())];
        return this->targets[one].runs.size() <= this->targets[other].runs.size() ? one : other;
    }

    void send(Run run)
    {
        CrashQuarantine &host = this->hosts[run.host];
        const PromptPartId culprit = this->culpritOf(run.prompt);
        if (quarantineLeft(host, run.prompt, this->now)) {
            if (culprit == PromptPartId{}) {
                ++this->soundRejected;
            } else {
                ++this->culprits[culprit].rejected;
            }
            this->retryLater(std::move(run));
            return;
        }
        const unsigned target = this->chooseTarget();
        if (target == this->targets.size()) {
            this->retryLater(std::move(run));
            return;
        }
        recordTrial(host, run.prompt, this->now);
        if (culprit != PromptPartId{}) {
            Culprit &known = this->culprits[culprit];
            known.sentLate += known.countedAt != TimePoint{} && this->now > known.countedAt + contact ? 1 : 0;
        }
        run.startedAt = {};
        run.sound = false;
        this->targets[target].runs.push_back(std::move(run));
    }

    [[nodiscard]] RunPhase phaseNow(const Run &run) const
    {
        const auto age = this->now - run.startedAt;
        if (!this->streams || run.startedAt == TimePoint{} || age < this->beginAfter) {
            return RunPhase::Waiting;
        }
        return phaseOf({true, static_cast<unsigned>((age - this->beginAfter) / eventInterval)});
    }

    void end(unsigned index)
    {
        Target &target = this->targets[index];
        const TargetId id = idOf(index, target);
        std::vector<Run> runs;
        runs.swap(target.runs);
        target.upAt = this->now + downTime;
        ++target.life;
        for (Run &run : runs) {
            const RunPhase phase = this->phaseNow(run);
            if (phase != RunPhase::Streaming) {
                this->apply(recordSuspectRun(this->hosts[run.host], id, {run.prompt, phase}, this->now));
                this->report(run.host);
            }
            if (run.attempt < this->maxAttempts) {
                ++run.attempt;
                this->send(run);
            } else {
                this->retryLater(std::move(run));
            }
        }
    }

    /** Ends the target if @p run crashes it. @return Whether it does. */
    bool crashes(unsigned index, const Run &run)
    {
        const PromptPartId part = this->culpritOf(run.prompt);
        if (part == PromptPartId{} || run.startedAt == TimePoint{} || this->now - run.startedAt < this->beginAfter) {
            return false;
        }
        Culprit &culprit = this->culprits[part];
        ++culprit.crashes;
        if (culprit.crashes == (part == bad ? partCrashes : requestCrashes)) {
            culprit.countedAt = this->now;
        }
        this->end(index);
        return true;
    }

    void recordSound(Run &run)
    {
        run.sound = true;
        const bool wasUnderSuspicion = isUnderSuspicion(this->hosts[run.host], run.prompt);
        this->apply(recordSoundRun(this->hosts[run.host], run.prompt, this->now));
        if (wasUnderSuspicion) {
            this->report(run.host);
        }
    }

    void advanceRuns(unsigned index)
    {
        Target &target = this->targets[index];
        for (unsigned i = 0; i < target.runs.size() && i < this->slots; ++i) {
            Run &run = target.runs[i];
            run.startedAt = run.startedAt == TimePoint{} ? this->now : run.startedAt;
            if (this->crashes(index, run)) {
                return;
            }
            const auto soundAfter = this->streams ? milliseconds(this->beginAfter + soundEvents * eventInterval) : this->runTime;
            if (!run.sound && this->now - run.startedAt >= soundAfter) {
                this->recordSound(run);
            }
        }
        std::erase_if(target.runs, [this](const Run &run) {
            return run.startedAt != TimePoint{} && this->now - run.startedAt >= this->runTime;
        });
    }

    PromptParts drawPrompt()
    {
        ++this->requests;
        PromptParts prompt{{}, {0x100000 + this->requests}, wholeRequest(0x100000 + this->requests)};
        if (this->hasParts) {
            prompt.shared = {{0xa0U + this->pick(8)}, {0xb000U + this->pick(900)}};
        }
        if (this->hasParts && this->draw() < this->badShare) {
            prompt.shared = {first, {0xb000}, bad};
            this->badRequests.insert(prompt.request);
        }
        if (this->draw() < this->repeatShare) {
            const std::uint64_t number = 1 + this->pick(this->crashingRequests);
            prompt.request = wholeRequest(number);
            prompt.own = {number};
            prompt.shared = this->hasParts ? std::vector<PromptPartId>{first, {0xb000 + number}} : std::vector<PromptPartId>{};
        }
        return prompt;
    }

    void startRequests()
    {
        const double seconds = std::chrono::duration<double>(step).count();
        for (double left = this->requestsPerSecond * seconds; left > 0; left -= 1) {
            if (this->draw() < left) {
                this->send({.host = this->pick(this->hosts.size()), .prompt = this->drawPrompt()});
            }
        }
        for (std::size_t i = 0; i < this->retries.size();) {
            if (this->retries[i].at > this->now) {
                ++i;
                continue;
            }
            Run run = std::move(this->retries[i].run);
            this->retries[i] = std::move(this->retries.back());
            this->retries.pop_back();
            this->send(std::move(run));
        }
    }

    void endTargets(std::int64_t round)
    {
        if (this->drawPerSecond(this->endsPerSecond)) {
            this->end(this->pick(this->targets.size()));
        }
        if (this->massEndInterval.count() > 0 && round > 0 && round % (this->massEndInterval / step) == 0) {
            for (unsigned i = 0; i < (this->targets.size() + 2) / 3; ++i) {
                this->plannedEnds.push_back(this->now + this->massEndGap * i);
            }
        }
        const auto due = std::count_if(this->plannedEnds.begin(), this->plannedEnds.end(), [this](TimePoint at) {
            return at <= this->now;
        });
        std::erase_if(this->plannedEnds, [this](TimePoint at) {
            return at <= this->now;
        });
        const unsigned offset = this->pick(this->targets.size());
        for (unsigned i = 0; i < due; ++i) {
            this->end((offset + i) % static_cast<unsigned>(this->targets.size()));
        }
    }

    void deliver()
    {
        for (std::size_t i = 0; i < this->messages.size();) {
            if (this->messages[i].arrivesAt > this->now) {
                ++i;
                continue;
            }
            const Message message = std::move(this->messages[i]);
            this->messages[i] = std::move(this->messages.back());
            this->messages.pop_back();
            this->apply(mergeReport(this->hosts[message.to], this->hosts[message.from].host, *message.report, this->now));
        }
    }

    void run(milliseconds duration)
    {
        const TimePoint until = this->now + duration;
        const auto interval = this->reportInterval / step;
        for (std::int64_t round = 0; this->now < until; ++round, this->now += step) {
            this->startRequests();
            for (unsigned i = 0; i < this->targets.size(); ++i) {
                this->advanceRuns(i);
            }
            this->endTargets(round);
            if (this->drawPerSecond(this->restartsPerSecond)) {
                this->startHost(this->pick(this->hosts.size()));
            }
            for (unsigned i = 0; i < this->hosts.size(); ++i) {
                if ((round + static_cast<std::int64_t>(i)) % interval == 0) {
                    this->report(i);
                }
            }
            this->deliver();
        }
    }

    /** @return Crashes and late requests of each culprit and the quarantined parts of all hosts, for messages of failed checks. */
    [[nodiscard]] std::string describe() const
    {
        std::string text = "rejected sound " + std::to_string(this->soundRejected) + " of " + std::to_string(this->requests);
        for (const auto &[part, culprit] : this->culprits) {
            text += " | " + hexText(part.value) + " crashes " + std::to_string(culprit.crashes) + " late " + std::to_string(culprit.sentLate) + " rejected "
                    + std::to_string(culprit.rejected);
        }
        text += " | wrong requests " + std::to_string(this->wrongRequests.size()) + " wrong parts";
        for (const PromptPartId part : this->wrongParts) {
            text += " " + hexText(part.value);
        }
        return text;
    }

    [[nodiscard]] unsigned mostSentLate() const
    {
        unsigned most = 0;
        for (const auto &[part, culprit] : this->culprits) {
            most = std::max(most, culprit.sentLate);
        }
        return most;
    }

    /** @return Number of hosts that have @p part quarantined. */
    [[nodiscard]] std::size_t hostsWith(PromptPartId part) const
    {
        return static_cast<std::size_t>(std::count_if(this->hosts.begin(), this->hosts.end(), [part](const CrashQuarantine &host) {
            return host.parts.contains(part);
        }));
    }
};

} // namespace skylark::test
