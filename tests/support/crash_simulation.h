/** @file crash_simulation.h Simulation of hosts that find out which prompt part crashes their targets. */
#pragma once

#include "core/hash_func.h"
#include "policy/crash_quarantine_func.h"

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace skylark::test {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr PromptPartId bad{0xbad}; ///< Part that crashes targets.
constexpr PromptPartId first{0xa0}; ///< First part, which crashing and sound requests share.

/** Hosts that share targets and learn of one another's evidence late. Some requests crash their target as its answer begins; targets also end by themselves. */
struct FleetSimulation {
    static constexpr auto step = 5ms;
    static constexpr auto beginAfter = 40ms; ///< From the start of a run to the head of its answer.
    static constexpr auto eventInterval = 20ms;
    static constexpr auto runTime = 600ms;
    static constexpr auto downTime = 3000ms;
    static constexpr auto contact = 3000ms; ///< Bound of the issue: time after the fifth crash from which further requests count.

    struct Run {
        unsigned host{0};
        PromptParts prompt;
        TimePoint startedAt{};
        unsigned attempt{1};
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

    std::vector<CrashQuarantine> hosts;
    std::vector<Target> targets;
    std::vector<Message> messages;
    double requestsPerSecond{400};
    double badShare{0.02};
    double endsPerSecond{0.3}; ///< Targets that end by themselves.
    milliseconds maxDelay{600}; ///< Longest transmission of a report.
    milliseconds reportInterval{3000}; ///< Interval of reports without new evidence.
    double lostShare{0.05}; ///< Share of reports that are lost.
    TimePoint now{TimePoint{} + 1000s};
    std::uint64_t random{1};
    std::uint64_t requests{0};
    unsigned crashes{0}; ///< Targets that ended under the crashing part.
    TimePoint fifthAt{}; ///< Time of the fifth crash.
    unsigned sentLate{0}; ///< Requests with the crashing part that were sent later than contact after the fifth crash.

    FleetSimulation(unsigned hostCount, unsigned targetCount, std::uint64_t seed)
        : hosts(hostCount)
        , targets(targetCount)
        , random(seed)
    {
        for (unsigned i = 0; i < hostCount; ++i) {
            this->hosts[i].host.value = "h" + std::to_string(i);
            this->hosts[i].startedAt = this->now;
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

    static TargetId idOf(unsigned target, const Target &state)
    {
        return TargetId{"t" + std::to_string(target) + "-" + std::to_string(state.life)};
    }

    static bool isBad(const PromptParts &prompt)
    {
        return std::find(prompt.shared.begin(), prompt.shared.end(), bad) != prompt.shared.end();
    }

    void report(unsigned from)
    {
        const auto content = std::make_shared<const QuarantineReport>(reportOf(this->hosts[from], this->now));
        if (content->crashes.empty() && content->quarantined.empty() && content->sound.empty()) {
            return;
        }
        for (unsigned to = 0; to < this->hosts.size(); ++to) {
            if (to != from && this->draw() >= this->lostShare) {
                const auto delay = milliseconds(5 + this->pick(static_cast<std::size_t>(this->maxDelay.count())));
                this->messages.push_back({this->now + delay, from, to, content});
            }
        }
    }

    void send(Run run)
    {
        CrashQuarantine &host = this->hosts[run.host];
        if (quarantineLeft(host, run.prompt, this->now)) {
            return;
        }
        std::vector<unsigned> up;
        for (unsigned i = 0; i < this->targets.size(); ++i) {
            if (this->targets[i].upAt <= this->now) {
                up.push_back(i);
            }
        }
        if (up.empty()) {
            return;
        }
        recordTrial(host, run.prompt, this->now);
        this->sentLate += isBad(run.prompt) && this->fifthAt != TimePoint{} && this->now > this->fifthAt + contact ? 1 : 0;
        run.startedAt = this->now;
        run.sound = false;
        this->targets[up[this->pick(up.size())]].runs.push_back(std::move(run));
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
            const auto age = this->now - run.startedAt;
            const RunProgress progress{age >= beginAfter, static_cast<unsigned>(std::max<std::int64_t>(0, (age - beginAfter) / eventInterval))};
            const RunPhase phase = phaseOf(progress);
            if (phase != RunPhase::Streaming) {
                static_cast<void>(recordSuspectRun(this->hosts[run.host], id, {run.prompt, phase}, this->now));
                this->report(run.host);
            }
            if (run.attempt == 1) {
                ++run.attempt;
                this->send(run);
            }
        }
    }

    void advanceRuns(unsigned index)
    {
        Target &target = this->targets[index];
        for (Run &run : target.runs) {
            const auto age = this->now - run.startedAt;
            if (isBad(run.prompt) && age >= beginAfter) {
                ++this->crashes;
                this->fifthAt = this->crashes == 5 ? this->now : this->fifthAt;
                this->end(index);
                return;
            }
            if (!run.sound && age >= beginAfter + soundEvents * eventInterval) {
                run.sound = true;
                const bool wasAccused = isAccused(this->hosts[run.host], run.prompt);
                static_cast<void>(recordSoundRun(this->hosts[run.host], run.prompt, this->now));
                if (wasAccused) {
                    this->report(run.host);
                }
            }
        }
        std::erase_if(target.runs, [this](const Run &run) {
            return this->now - run.startedAt >= runTime;
        });
    }

    void startRequests()
    {
        const double seconds = std::chrono::duration<double>(step).count();
        for (double left = this->requestsPerSecond * seconds; left > 0; left -= 1) {
            if (this->draw() >= left) {
                continue;
            }
            PromptParts prompt{{{0xa0U + this->pick(8)}, {0xb000U + this->pick(900)}}, {0x100000 + ++this->requests}};
            if (this->draw() < this->badShare) {
                prompt.shared = {first, {0xb000}, bad};
            }
            this->send({this->pick(this->hosts.size()), std::move(prompt), {}, 1});
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
            static_cast<void>(mergeReport(this->hosts[message.to], this->hosts[message.from].host, *message.report, this->now));
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
            if (this->draw() < this->endsPerSecond * std::chrono::duration<double>(step).count()) {
                this->end(this->pick(this->targets.size()));
            }
            for (unsigned i = 0; i < this->hosts.size(); ++i) {
                if ((round + static_cast<std::int64_t>(i)) % interval == 0) {
                    this->report(i);
                }
            }
            this->deliver();
        }
    }

    /** @return The quarantined parts of all hosts, for messages of failed checks. */
    [[nodiscard]] std::string describeQuarantines() const
    {
        std::string text;
        for (const CrashQuarantine &host : this->hosts) {
            for (const auto &[part, entry] : host.parts) {
                const auto since = std::chrono::duration_cast<milliseconds>(entry.since - (TimePoint{} + 1000s));
                text += host.host.value + ":" + hexText(part.value) + "@" + std::to_string(since.count()) + "ms ";
            }
        }
        return text;
    }

    /** @return Parts other than the crashing one that any host has quarantined. */
    [[nodiscard]] std::size_t wrongQuarantines() const
    {
        std::size_t count = 0;
        for (const CrashQuarantine &host : this->hosts) {
            count += host.parts.size() - (host.parts.contains(bad) ? 1 : 0);
        }
        return count;
    }
};

} // namespace skylark::test
