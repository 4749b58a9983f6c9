/** @file quota_simulation.h Hosts that divide request quotas, with simulated clocks, messages, leases and faults. */
#pragma once

#include "core/hash_func.h"
#include "policy/request_quota_func.h"
#include "quota/quota_table_func.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>

namespace skylark::test {

/** One workspace and what its callers got. */
struct SimulatedWorkspace {
    struct Run {
        TimePoint sentAt{}; ///< When the caller sent the request.
        TimePoint runAt{}; ///< When it was admitted.
    };
    WorkspaceId id;
    double usual{1}; ///< Usual requests a second.
    double factor{1}; ///< Current load relative to the usual one.
    QuotaLimit limit;
    QuotaLimit before; ///< Limit before it was lowered.
    TimePoint loweredAt{}; ///< TimePoint{} if it was not.
    std::vector<Run> runs; ///< Admitted requests.
    std::vector<TimePoint> arrivals; ///< All requests.
    std::vector<std::pair<TimePoint, TimePoint>> refusals; ///< Time and time of return.
};

/** The fleet: hosts with their tables, the store with its leases, and callers. */
struct QuotaSimulation {
    using milliseconds = std::chrono::milliseconds;
    using nanoseconds = std::chrono::nanoseconds;
    static constexpr milliseconds leaseTtl{4500};
    static constexpr milliseconds leaseRenewal{1500};
    static constexpr milliseconds listDelay{2000}; ///< Longest time until a host knows of a change of the list.
    static constexpr milliseconds configDelay{3000}; ///< Longest time until a host applies a configuration.
    static constexpr unsigned domains = 3;

    struct Host {
        QuotaTable table;
        unsigned domain{0};
        unsigned process{0}; ///< Number of the process; 0 before the first.
        bool up{false};
        bool suspended{false};
        std::vector<std::function<void()>> inbox; ///< What arrived while the host was suspended.
    };
    struct Entry {
        unsigned process{0};
        TimePoint expiresAt{};
    };
    struct Event {
        TimePoint at{};
        std::uint64_t order{0};
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return this->at > other.at || (this->at == other.at && this->order > other.order);
        }
    };
    struct Request {
        std::size_t workspace{0};
        unsigned host{0};
        unsigned process{0};
        TimePoint sentAt{};
        QuotaAttempt attempt;
    };

    QuotaAllowance allowance;
    std::vector<Host> hosts;
    std::vector<SimulatedWorkspace> workspaces;
    std::map<WorkspaceId, QuotaLimit> limits; ///< Configuration in the store.
    std::map<unsigned, Entry> entries; ///< Entries of hosts in the store.
    std::priority_queue<Event> events;
    TimePoint now{TimePoint{} + std::chrono::seconds(1000)};
    std::uint64_t order{0};
    std::uint64_t random{1};
    int cutDomain{-1}; ///< Failure domain that is cut off from the others and the store; -1 for none.
    double lost{0.01}; ///< Share of datagrams that are lost.
    std::array<unsigned, 2> busyHosts{0, 3}; ///< Hosts that half of the callers use.
    std::uint64_t datagrams{0};
    double returning{0.5}; ///< Share of refused callers that return once.

    QuotaSimulation(unsigned count, std::uint64_t seed)
        : hosts(count)
        , random(hash64("quota", seed))
    {
        for (unsigned i = 0; i < count; ++i) {
            this->hosts[i].domain = i % domains;
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
    nanoseconds upTo(nanoseconds most)
    {
        return nanoseconds(static_cast<std::int64_t>(this->draw() * static_cast<double>(most.count())));
    }

    void at(TimePoint time, std::function<void()> action)
    {
        this->events.push({time, ++this->order, std::move(action)});
    }
    void after(nanoseconds delay, std::function<void()> action)
    {
        this->at(this->now + delay, std::move(action));
    }

    /** Runs an action of a process: not after its end, and after its suspension. */
    void runOn(unsigned host, unsigned process, std::function<void()> action)
    {
        Host &one = this->hosts[host];
        if (!one.up || one.process != process) {
            return;
        }
        if (one.suspended) {
            one.inbox.push_back([this, host, process, action = std::move(action)] {
                this->runOn(host, process, action);
            });
            return;
        }
        action();
    }
    void runOnAfter(nanoseconds delay, unsigned host, std::function<void()> action)
    {
        this->after(delay, [this, host, process = this->hosts[host].process, action = std::move(action)] {
            this->runOn(host, process, action);
        });
    }

    [[nodiscard]] bool isCut(unsigned host) const
    {
        return this->cutDomain >= 0 && this->hosts[host].domain == static_cast<unsigned>(this->cutDomain);
    }

    /** Delivers a datagram to the process that runs on a host, unless it is lost. */
    void send(unsigned from, unsigned to, std::function<void()> receive)
    {
        ++this->datagrams;
        if (this->isCut(from) != this->isCut(to) || this->draw() < this->lost) {
            return;
        }
        const bool sameDomain = this->hosts[from].domain == this->hosts[to].domain;
        this->runOnAfter(sameDomain ? nanoseconds(100000) : nanoseconds(3500000), to, std::move(receive));
    }

    // Store and leases.

    std::vector<QuotaPeer> listedHosts(unsigned reader)
    {
        std::vector<QuotaPeer> listed;
        for (unsigned i = 0; i < this->hosts.size(); ++i) {
            if (i == reader || this->entries.contains(i)) {
                const std::string name = std::to_string(i);
                listed.push_back({{HostId{"h" + name}, DomainId{"d" + std::to_string(this->hosts[i].domain)}}, {name, 1}});
            }
        }
        return listed;
    }

    void readList(unsigned host)
    {
        this->runOnAfter(this->upTo(listDelay), host, [this, host] {
            if (!this->isCut(host)) {
                setQuotaHosts(this->hosts[host].table, this->listedHosts(host), this->now);
            }
        });
    }

    void listChanged()
    {
        for (unsigned i = 0; i < this->hosts.size(); ++i) {
            this->readList(i);
        }
    }

    /** Removes the entry of a host when its lease ends. */
    void expireEntry(unsigned host)
    {
        const auto found = this->entries.find(host);
        if (found != this->entries.end() && found->second.expiresAt <= this->now) {
            this->entries.erase(found);
            this->listChanged();
        }
    }

    void keepLease(unsigned host, bool hasEntry)
    {
        const TimePoint start = this->now;
        const unsigned process = this->hosts[host].process;
        if (this->isCut(host)) {
            this->runOnAfter(leaseRenewal / 2, host, [this, host, hasEntry] {
                this->keepLease(host, hasEntry);
            });
            return;
        }
        this->after(milliseconds(2), [this, host, process, hasEntry, start] {
            this->expireEntry(host);
            const auto found = this->entries.find(host);
            const bool present = found != this->entries.end();
            const bool own = present && found->second.process == process;
            if (!hasEntry || own) {
                this->entries[host] = {process, this->now + leaseTtl};
                this->after(leaseTtl, [this, host] {
                    this->expireEntry(host);
                });
            }
            if (!hasEntry && !present) {
                this->listChanged();
            }
            this->after(milliseconds(2), [this, host, process, hasEntry, present, own, start] {
                this->runOn(host, process, [this, host, hasEntry, present, own, start] {
                    HostLease &lease = this->hosts[host].table.lease;
                    if (!hasEntry) {
                        lease = newEntryLease(lease, present, start, this->now, leaseTtl);
                    } else if (own) {
                        lease = renewedLease(lease, start, leaseTtl);
                    }
                    const bool remains = !hasEntry || own;
                    this->runOnAfter(remains ? leaseRenewal + this->upTo(milliseconds(200)) : nanoseconds(1), host, [this, host, remains] {
                        this->keepLease(host, remains);
                    });
                });
            });
        });
    }

    // Faults.

    void startHost(unsigned host)
    {
        Host &one = this->hosts[host];
        one.up = true;
        one.suspended = false;
        one.inbox.clear();
        ++one.process;
        one.table = QuotaTable{};
        one.table.host.value = "h" + std::to_string(host);
        one.table.domain.value = "d" + std::to_string(one.domain);
        one.table.allowance = this->allowance;
        one.table.random = nextRandom(this->random);
        one.table.lastNumber = nextRandom(this->random);
        this->runOnAfter(milliseconds(50) + this->upTo(milliseconds(100)), host, [this, host] {
            setQuotaLimits(this->hosts[host].table, this->limits, this->now);
            setQuotaHosts(this->hosts[host].table, this->listedHosts(host), this->now);
        });
        this->keepLease(host, false);
    }
    void killHost(unsigned host)
    {
        this->hosts[host].up = false;
    }
    void suspendHost(unsigned host, nanoseconds time)
    {
        this->hosts[host].suspended = true;
        const unsigned process = this->hosts[host].process;
        this->after(time, [this, host, process] {
            Host &one = this->hosts[host];
            if (one.process != process || !one.suspended) {
                return;
            }
            one.suspended = false;
            for (auto &action : std::exchange(one.inbox, {})) {
                action();
            }
        });
    }
    void cut(int domain)
    {
        this->cutDomain = domain;
        if (domain < 0) {
            this->listChanged();
        }
    }
    void lowerLimit(std::size_t index, double factor)
    {
        SimulatedWorkspace &workspace = this->workspaces[index];
        workspace.before = workspace.limit;
        workspace.loweredAt = this->now;
        workspace.limit = {workspace.limit.perSecond * factor, workspace.limit.burst * factor};
        this->limits[workspace.id] = workspace.limit;
        for (unsigned i = 0; i < this->hosts.size(); ++i) {
            this->runOnAfter(this->upTo(configDelay), i, [this, i] {
                setQuotaLimits(this->hosts[i].table, this->limits, this->now);
            });
        }
    }

    // Callers.

    void addWorkspace(double usual, double quotaFactor, double burst)
    {
        SimulatedWorkspace workspace;
        workspace.id.value = "w" + std::to_string(this->workspaces.size());
        workspace.usual = usual;
        workspace.limit = {usual * quotaFactor, burst};
        this->limits[workspace.id] = workspace.limit;
        this->workspaces.push_back(std::move(workspace));
        this->scheduleArrival(this->workspaces.size() - 1);
    }
    void scheduleArrival(std::size_t index)
    {
        // The load may rise between two arrivals, so they are drawn at eight times the usual rate and thinned out.
        constexpr double mostFactor = 8;
        const SimulatedWorkspace &workspace = this->workspaces[index];
        const double gap = -std::log(1 - this->draw()) / (workspace.usual * mostFactor);
        this->after(nanoseconds(static_cast<std::int64_t>(gap * 1e9)), [this, index] {
            if (this->draw() * mostFactor < this->workspaces[index].factor) {
                this->arrive(index, true);
            }
            this->scheduleArrival(index);
        });
    }
    void arrive(std::size_t index, bool first)
    {
        unsigned host = this->draw() < 0.5 ? this->busyHosts[this->pick(this->busyHosts.size())] : this->pick(this->hosts.size());
        for (unsigned i = 0; i < 100 && !this->hosts[host].up; ++i) {
            host = this->pick(this->hosts.size());
        }
        this->workspaces[index].arrivals.push_back(this->now);
        auto request = std::make_shared<Request>(Request{index, host, this->hosts[host].process, this->now, {}});
        this->runOn(host, request->process, [this, request, first] {
            if (this->hosts[request->host].table.epoch.number == 0) {
                return; // A host without a configuration answers 503.
            }
            request->attempt = beginAttempt(this->hosts[request->host].table, this->workspaces[request->workspace].id, this->now);
            this->advance(request, first);
        });
    }
    void advance(const std::shared_ptr<Request> &request, bool first)
    {
        QuotaTable &table = this->hosts[request->host].table;
        const QuotaStep step = nextStep(table, request->attempt, this->now);
        if (step.kind == QuotaStep::Kind::Admit) {
            this->workspaces[request->workspace].runs.push_back({request->sentAt, this->now});
            return;
        }
        if (step.kind != QuotaStep::Kind::Ask) {
            this->workspaces[request->workspace].refusals.emplace_back(this->now, this->now + step.wait);
            if (first && step.wait < std::chrono::seconds(3) && this->draw() < this->returning) {
                this->after(step.wait, [this, index = request->workspace] {
                    this->arrive(index, false);
                });
            }
            return;
        }
        this->ask(request, first, step);
    }
    void ask(const std::shared_ptr<Request> &request, bool first, const QuotaStep &step)
    {
        const unsigned from = request->host;
        const auto to = static_cast<unsigned>(std::stoul(step.holder.address));
        this->send(from, to, [this, from, to, request, first, message = step.message] {
            const QuotaGrantMessage grant = answerQuotaRequest(this->hosts[to].table, message, this->now);
            this->send(to, from, [this, from, request, first, grant] {
                const auto tokens = recordGrant(this->hosts[from].table, grant, this->now);
                if (tokens && *tokens > 0) {
                    recordAdmitted(this->hosts[from].table, this->workspaces[request->workspace].id, this->now);
                    this->workspaces[request->workspace].runs.push_back({request->sentAt, this->now});
                } else if (tokens) {
                    this->advance(request, first);
                }
            });
        });
        this->runOnAfter(step.wait, from, [this, from, request, first, number = step.message.number] {
            QuotaTable &table = this->hosts[from].table;
            if (table.pending.contains(number)) {
                recordSilence(table, number, this->now);
                this->advance(request, first);
            }
        });
    }

    void run(nanoseconds duration)
    {
        const TimePoint until = this->now + duration;
        while (!this->events.empty() && this->events.top().at <= until) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.action();
        }
        this->now = until;
    }

    // Results.

    [[nodiscard]] double allowedIn(const QuotaLimit &limit) const
    {
        return limit.perSecond * std::chrono::duration<double>(this->allowance.window).count() + limit.burst + allowedExcess(limit, this->allowance);
    }

    /** @return Largest share of the bound that was used in any window of a workspace; more than 1 means that the bound was broken. */
    [[nodiscard]] double worstWindow(SimulatedWorkspace &workspace) const
    {
        auto &runs = workspace.runs;
        std::sort(runs.begin(), runs.end(), [](const auto &a, const auto &b) {
            return a.sentAt < b.sentAt;
        });
        double worst = 0;
        for (std::size_t i = 0; i < runs.size(); ++i) {
            const TimePoint end = runs[i].sentAt + this->allowance.window;
            const auto last = std::upper_bound(runs.begin(), runs.end(), end, [](TimePoint time, const auto &run) {
                return time < run.sentAt;
            });
            const auto count = std::count_if(runs.begin() + static_cast<std::ptrdiff_t>(i), last, [end](const auto &run) {
                return run.runAt <= end;
            });
            const bool lowered = workspace.loweredAt != TimePoint{};
            const bool lower = lowered && runs[i].sentAt >= workspace.loweredAt + configDelay;
            const double allowed = this->allowedIn(lowered && !lower ? workspace.before : workspace.limit);
            worst = std::max(worst, static_cast<double>(count) / std::floor(allowed));
        }
        return worst;
    }

    /** Requests of a time, and how many of them were admitted. */
    struct Share {
        double within{0}; ///< Requests that one bucket for all hosts would admit.
        double admitted{0};
    };
    [[nodiscard]] Share admittedShare(const SimulatedWorkspace &workspace, TimePoint from, TimePoint to) const
    {
        Share share;
        // What was used shortly before counts too.
        const double capacity = std::max(workspace.limit.burst, 1.0);
        TokenBucket ideal{capacity, workspace.limit.perSecond, capacity, workspace.arrivals.empty() ? from : workspace.arrivals.front()};
        for (const TimePoint arrival : workspace.arrivals) {
            refillTokens(ideal, arrival);
            if (ideal.tokens >= 1) {
                ideal.tokens -= 1;
                share.within += arrival >= from && arrival < to ? 1 : 0;
            }
        }
        share.admitted = static_cast<double>(std::count_if(workspace.runs.begin(), workspace.runs.end(), [&](const auto &run) {
            return run.sentAt >= from && run.sentAt < to;
        }));
        return share;
    }
};

} // namespace skylark::test
