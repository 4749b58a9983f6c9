/** @file placement_simulation.h Hosts that place requests on shared targets with queues and prefix caches, in simulated time. */
#pragma once

#include "core/hash_func.h"
#include "policy/kept_prompt_func.h"
#include "policy/load_balance_func.h"
#include "policy/wait_bound_func.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <queue>

namespace skylark::test {

/** Size and load of a simulated deployment. */
struct PlacementScene {
    unsigned hosts{7};
    unsigned domains{3};
    unsigned targets{57};
    unsigned slots{8};
    double load{0.75}; ///< Mean of the arrivals, relative to the capacity.
    bool stepped{true}; ///< Whether arrivals vary between 0.38 and 1.85 of their mean, in steps of 3 s and 2.2 s.
    double slowShare{0.15}; ///< Share of the time for which each target is slow.
    double slowFactor{3.0};
    double stepMs{22.0}; ///< Time of one step; a request takes 1 to 60 of them.
    double latencyMs{300.0}; ///< Latency target.
    double deadlineMs{5000.0};
    double oldestCountsMs{700.0}; ///< Age at which counts of another host are replaced; new ones are 100 ms old.
    double warmUp{30.0}; ///< Seconds before the results count.
    double seconds{60.0};
    unsigned sharedParts{5558};
    std::uint32_t sharedTokens{200};
    std::uint32_t ownTokens{250};
    double tokensPerMs{100.0};
    std::uint64_t cacheTokens{101495};
    bool keptPrompts{false}; ///< Whether kept prompt parts are weighed; otherwise today's choice.
    bool boundedWait{false}; ///< Whether the wait is bounded by a time; otherwise today's bound.
    std::uint64_t seed{1};
};

/** What the callers of a simulation got. */
struct PlacementResult {
    unsigned callers{0};
    unsigned good{0}; ///< First event within the latency target of the attempt that was served.
    unsigned late{0}; ///< First event later.
    unsigned refused{0}; ///< Refused twice, or told to return too late.
    unsigned refusals{0}; ///< Refused attempts.
    unsigned onSlow{0}; ///< Served by a target that was slow when the request was sent.
    unsigned waited{0}; ///< Waited at a target although another one had a free slot.
    double firstMs{0}; ///< Mean time to the first event of served attempts.
    double unreadTokens{0}; ///< Mean number of prompt tokens that had to be read.
    unsigned placedByKept{0};
    unsigned urgentRefusals{0}; ///< Refused attempts of the more urgent kind, which half of the callers have.
    unsigned otherRefusals{0};
    unsigned largeRefusals{0}; ///< Refused attempts of the largest tenth.
    unsigned urgentServed{0};
    unsigned otherServed{0};
    unsigned largeServed{0};
    double lateMs{0}; ///< Sum of the times to the first event of late answers.
    unsigned largestShare{0}; ///< Largest number of requests that one target got.
};

constexpr unsigned largeSize = 54; ///< The largest tenth of the requests takes more steps.

/** The simulation; run() may be called once. */
struct PlacementSimulation {
    struct Request {
        unsigned host{0};
        unsigned size{1};
        unsigned target{0};
        unsigned attempts{0};
        unsigned priority{0};
        double sentAt{0}; ///< Arrival of the current attempt.
        double placedAt{0};
        double firstAt{0};
        double deadline{0};
        SentPrompt sent; ///< What the host expected.
        bool freeSlot{false}; ///< Whether it was placed on a free slot.
        PromptParts prompt;
    };
    struct Target {
        TargetId id;
        unsigned domain{0};
        std::vector<unsigned> running; ///< Requests in flight.
        std::deque<unsigned> queue;
        double slowUntil{0};
        double soundUntil{0};
        RecentParts<std::uint32_t> cache;
        std::uint64_t cached{0}; ///< Tokens in the cache.
        unsigned served{0};
        std::uint64_t random{0}; ///< Generator of its slow times, so that they do not depend on the choices.
    };
    struct Host {
        unsigned domain{0};
        std::vector<unsigned> own; ///< Requests in flight, by target.
        std::vector<std::vector<unsigned>> heard; ///< Last counts of each other host.
        std::vector<double> heardAt; ///< When they were taken.
        std::vector<double> firstMs; ///< Average time to the first answer, by target.
        KeptPrompts kept;
        ServiceLoad load;
    };
    enum class Kind : std::uint8_t { Arrival, First, End, Announce, Deliver, Return };
    struct Event {
        double at{0};
        std::uint64_t order{0};
        Kind kind{Kind::Arrival};
        unsigned subject{0};
        bool operator<(const Event &other) const
        {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    PlacementScene scene;
    PlacementResult result;
    std::vector<Target> targets;
    std::vector<Host> hosts;
    std::vector<std::vector<unsigned>> announced; ///< Counts on their way, by host.
    std::vector<Request> requests;
    std::priority_queue<Event> events;
    std::uint64_t order{0};
    std::uint64_t random; ///< Generator of the choices.
    std::uint64_t arrivalRandom; ///< Generator of the arrivals, which are the same whatever the choices are.
    double now{0};
    double factor{1.0};
    double factorUntil{0};
    bool longStep{false};
    bool warm{false}; ///< Whether the results count.

    explicit PlacementSimulation(const PlacementScene &params)
        : scene(params)
        , random(params.seed)
        , arrivalRandom(params.seed + 7)
    {
        for (unsigned i = 0; i < this->scene.targets; ++i) {
            this->targets.push_back({.id = TargetId{"target-" + std::to_string(i)}, .domain = i % this->scene.domains, .random = this->scene.seed * 1000 + i});
        }
        for (unsigned i = 0; i < this->scene.hosts; ++i) {
            const std::vector<unsigned> none(this->scene.targets, 0);
            this->hosts.push_back({i % this->scene.domains,
                                   none,
                                   std::vector<std::vector<unsigned>>(this->scene.hosts, none),
                                   std::vector<double>(this->scene.hosts, 0.0),
                                   std::vector<double>(this->scene.targets, 0.0)});
            this->schedule(uniform(this->arrivalRandom) * 600.0, Kind::Announce, i);
        }
        this->announced.resize(this->scene.hosts);
        this->schedule(0, Kind::Arrival, 0);
    }

    static double uniform(std::uint64_t &state)
    {
        return static_cast<double>(nextRandom(state) >> 11U) / static_cast<double>(1ULL << 53U);
    }

    void schedule(double at, Kind kind, unsigned subject)
    {
        this->events.push({at, ++this->order, kind, subject});
    }

    [[nodiscard]] TimePoint time() const
    {
        return TimePoint{} + std::chrono::hours(1) + std::chrono::microseconds(static_cast<std::int64_t>(this->now * 1000));
    }

    /** @return Requests a millisecond that all targets together can serve. */
    [[nodiscard]] double capacity() const
    {
        const double readMs = (this->scene.sharedTokens + this->scene.ownTokens) / this->scene.tokensPerMs;
        const double speed = 1.0 - this->scene.slowShare + this->scene.slowShare / this->scene.slowFactor;
        return this->scene.targets * this->scene.slots * speed / (30.5 * this->scene.stepMs + readMs);
    }

    /** @return How much slower @p target is than usual. Slow times last 2 to 6 s. */
    double slowFactorOf(Target &target)
    {
        while (this->scene.slowShare > 0 && this->now >= target.slowUntil) {
            const double slowFor = 2000.0 + 4000.0 * uniform(target.random);
            const double soundFor = slowFor * (1.0 / this->scene.slowShare - 1.0) * 2.0 * uniform(target.random);
            target.soundUntil = target.slowUntil + soundFor;
            target.slowUntil = target.soundUntil + slowFor;
        }
        return this->now >= target.soundUntil && this->now < target.slowUntil ? this->scene.slowFactor : 1.0;
    }

    void arrive()
    {
        if (this->now >= this->factorUntil) {
            this->longStep = !this->longStep;
            this->factorUntil = this->now + (this->longStep ? 3000.0 : 2200.0);
            // The exponent makes the mean of the factors 1.
            this->factor = this->scene.stepped ? 0.38 + 1.47 * std::pow(uniform(this->arrivalRandom), 1.37) : 1.0;
        }
        const double rate = this->capacity() * this->scene.load * this->factor;
        this->schedule(this->now - std::log(1.0 - uniform(this->arrivalRandom)) / rate, Kind::Arrival, 0);
        Request request;
        request.size = 1 + static_cast<unsigned>(uniform(this->arrivalRandom) * 60.0);
        request.deadline = this->now + this->scene.deadlineMs;
        // A few parts are in many requests: the density falls as the square root of the rank.
        const auto part = static_cast<std::uint64_t>(this->scene.sharedParts * std::pow(uniform(this->arrivalRandom), 2.0));
        request.prompt.shared = {promptPart(0x10000 + part)};
        request.prompt.sharedTokens = {this->scene.sharedTokens};
        request.prompt.own = promptPart(0x1000000 + this->requests.size());
        request.prompt.ownTokens = this->scene.ownTokens;
        request.priority = this->requests.size() % 2;
        this->requests.push_back(std::move(request));
        ++this->result.callers;
        this->place(static_cast<unsigned>(this->requests.size() - 1));
    }

    std::vector<BalanceCandidate> candidatesOf(Host &host)
    {
        std::vector<double> known;
        std::copy_if(host.firstMs.begin(), host.firstMs.end(), std::back_inserter(known), [](double value) {
            return value > 0;
        });
        std::nth_element(known.begin(), known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2), known.end());
        const double median = known.size() < 3 ? 0 : known[known.size() / 2];
        std::vector<double> ages(this->scene.domains, 0);
        for (unsigned peer = 0; peer < this->hosts.size(); ++peer) {
            double &age = ages[this->hosts[peer].domain];
            age = &this->hosts[peer] == &host ? age : std::max(age, this->now - host.heardAt[peer]);
        }
        std::vector<BalanceCandidate> candidates;
        for (unsigned i = 0; i < this->targets.size(); ++i) {
            BalanceCandidate candidate{.id = this->targets[i].id, .slots = this->scene.slots, .online = host.own[i]};
            for (const auto &counts : host.heard) {
                candidate.online += counts[i];
            }
            candidate.sameDomain = this->targets[i].domain == host.domain;
            candidate.countsAge = std::chrono::milliseconds(static_cast<int>(ages[this->targets[i].domain]));
            if (median > 0 && host.firstMs[i] > 0) {
                const double ratio = host.firstMs[i] / median;
                candidate.slowness = ratio < 1.2 ? 1.0 : std::min(ratio, 8.0);
            }
            candidates.push_back(std::move(candidate));
        }
        return candidates;
    }

    void place(unsigned number)
    {
        Request &request = this->requests[number];
        request.host = static_cast<unsigned>(nextRandom(this->random) % this->hosts.size());
        request.sentAt = this->now;
        ++request.attempts;
        Host &host = this->hosts[request.host];
        auto candidates = this->candidatesOf(host);
        if (this->scene.keptPrompts) {
            unsigned own = 0;
            for (const unsigned count : host.own) {
                own += count;
            }
            estimateKeptTokens(host.kept, request.prompt, {.cacheTokens = this->scene.cacheTokens, .ownOnline = own}, candidates, this->time());
        }
        BalanceLimits limits;
        if (this->scene.boundedWait) {
            limits = this->limitsOf(host, request, candidates);
        }
        const BalanceChoice choice = balanceRequest(candidates, limits, nextRandom(this->random));
        if (choice.target.empty()) {
            this->refuse(number, candidates, limits, choice);
            return;
        }
        this->send(number, choice);
    }

    /** Counts the request and bounds its wait as a host does. */
    BalanceLimits limitsOf(Host &host, const Request &request, const std::vector<BalanceCandidate> &candidates)
    {
        unsigned own = 0;
        unsigned all = 0;
        for (unsigned i = 0; i < candidates.size(); ++i) {
            own += host.own[i];
            all += candidates[i].online;
        }
        recordArrival(host.load, own, all, this->time());
        const WaitBoundInput input{.latencyTarget = toMs(this->scene.latencyMs),
                                   .timeLeft = toMs(request.deadline - this->now),
                                   .priority = request.priority,
                                   .slots = this->scene.targets * this->scene.slots};
        BalanceLimits limits;
        limits.serviceTime = host.load.serviceMs > 0 ? toMs(host.load.serviceMs) : limits.serviceTime;
        const AllowedWait allowed = allowedWait(host.load, input, this->time());
        limits.maxWait = allowed.usual;
        limits.lateWait = allowed.late;
        return limits;
    }

    static std::chrono::milliseconds toMs(double value)
    {
        return std::chrono::milliseconds(std::llround(value));
    }

    void refuse(unsigned number, const std::vector<BalanceCandidate> &candidates, const BalanceLimits &limits, const BalanceChoice &choice)
    {
        Request &request = this->requests[number];
        ++this->result.refusals;
        RefusalInput input{.remaining = std::chrono::milliseconds(static_cast<int>(request.deadline - this->now)), .draw = nextRandom(this->random)};
        for (const BalanceCandidate &candidate : candidates) {
            input.online += candidate.online;
            input.slots += candidate.slots;
        }
        auto delay = static_cast<double>(refusalDelay(input).count());
        if (limits.maxWait) {
            ServiceLoad &load = this->hosts[request.host].load;
            const ReturnInput returning{choice.wait, *limits.maxWait, toMs(request.deadline - this->now), input.slots};
            delay = static_cast<double>(returnDelay(load, returning, this->time()).count());
        }
        if (this->warm) {
            ++(request.priority == 0 ? this->result.urgentRefusals : this->result.otherRefusals);
            this->result.largeRefusals += request.size > largeSize ? 1 : 0;
        }
        if (request.attempts >= 2 || delay > (request.deadline - this->now) / 3) {
            ++this->result.refused;
            return;
        }
        this->schedule(this->now + delay, Kind::Return, number);
    }

    void send(unsigned number, const BalanceChoice &choice)
    {
        Request &request = this->requests[number];
        Host &host = this->hosts[request.host];
        request.target = static_cast<unsigned>(std::stoul(choice.target.value.substr(7)));
        request.placedAt = this->now;
        request.sent = {tokensOf(request.prompt), choice.keptTokens, choice.keptGuessed, choice.slowness > 1.0};
        request.freeSlot = choice.reason == BalanceReason::FreeSlot;
        this->result.placedByKept += choice.savedMs > 0 ? 1 : 0;
        if (this->scene.keptPrompts) {
            recordSentPrompt(host.kept, choice.target, request.prompt, this->scene.cacheTokens);
        }
        ++host.own[request.target];
        Target &target = this->targets[request.target];
        target.served += this->warm ? 1 : 0;
        this->result.largestShare = std::max(this->result.largestShare, target.served);
        this->result.onSlow += this->slowFactorOf(target) > 1.0 ? 1 : 0;
        if (target.running.size() < this->scene.slots) {
            this->start(number);
            return;
        }
        target.queue.push_back(number);
        this->result.waited += std::any_of(this->targets.begin(),
                                           this->targets.end(),
                                           [this](const Target &other) {
                                               return other.running.size() < this->scene.slots;
                                           })
                                   ? 1
                                   : 0;
    }

    /** @return Tokens that the target has to read; it keeps the prompt afterwards and drops the parts that were used least recently. */
    double readPrompt(Target &target, const PromptParts &prompt)
    {
        const std::array<std::pair<PromptPartId, std::uint32_t>, 2> parts{{{prompt.shared[0], prompt.sharedTokens[0]}, {prompt.own, prompt.ownTokens}}};
        double unread = 0;
        for (const auto &[part, tokens] : parts) {
            const bool held = target.cache.find(part) != nullptr;
            unread += held && unread <= 0 ? 0.0 : tokens;
            target.cache.use(part) = tokens;
            target.cached += held ? 0 : tokens;
        }
        const std::uint64_t used = target.running.size() * (this->scene.ownTokens + 60);
        while (target.cached + used > this->scene.cacheTokens && !target.cache.entries.empty()) {
            target.cached -= target.cache.entries.back().value;
            target.cache.dropOldest();
        }
        return unread;
    }

    void start(unsigned number)
    {
        Request &request = this->requests[number];
        Target &target = this->targets[request.target];
        const double unread = this->readPrompt(target, request.prompt);
        const double slow = this->slowFactorOf(target);
        target.running.push_back(number);
        this->result.unreadTokens += unread;
        const double firstAt = this->now + (unread / this->scene.tokensPerMs + this->scene.stepMs) * slow;
        this->schedule(firstAt, Kind::First, number);
        this->schedule(firstAt + (request.size - 1) * this->scene.stepMs * slow, Kind::End, number);
    }

    void onFirst(unsigned number)
    {
        Request &request = this->requests[number];
        request.firstAt = this->now;
        const double took = this->now - request.sentAt;
        ++(took <= this->scene.latencyMs ? this->result.good : this->result.late);
        this->result.firstMs += took;
        this->result.lateMs += took <= this->scene.latencyMs ? 0 : took;
        ++(request.priority == 0 ? this->result.urgentServed : this->result.otherServed);
        this->result.largeServed += request.size > largeSize ? 1 : 0;
        Host &host = this->hosts[request.host];
        const double ran = this->now - request.placedAt;
        const auto sample = this->scene.keptPrompts ? comparableFirstEvent(host.kept.fit, request.sent, ran) : std::optional(ran);
        if (request.freeSlot && sample) {
            double &average = host.firstMs[request.target];
            average = average <= 0 ? *sample : average + 0.2 * (*sample - average);
        }
        if (request.freeSlot && this->scene.keptPrompts) {
            addReadTime(host.kept.fit, request.sent, ran);
        }
    }

    void onEnd(unsigned number)
    {
        const Request &request = this->requests[number];
        Target &target = this->targets[request.target];
        std::erase(target.running, number);
        Host &host = this->hosts[request.host];
        --host.own[request.target];
        if (this->scene.boundedWait && request.freeSlot) {
            recordServiceTime(host.load, toMs(request.firstAt - request.placedAt), toMs(this->now - request.placedAt));
        }
        if (!target.queue.empty()) {
            const unsigned next = target.queue.front();
            target.queue.pop_front();
            this->start(next);
        }
    }

    /** Takes the counts of @p host, which the others get 100 ms later; the next ones arrive when these are oldestCountsMs old. */
    void announce(unsigned host)
    {
        this->announced[host] = this->hosts[host].own;
        this->schedule(this->now + 100.0, Kind::Deliver, host);
        this->schedule(this->now + this->scene.oldestCountsMs - 100.0, Kind::Announce, host);
    }

    void deliver(unsigned from)
    {
        for (unsigned i = 0; i < this->hosts.size(); ++i) {
            if (i != from) {
                this->hosts[i].heard[from] = this->announced[from];
                this->hosts[i].heardAt[from] = this->now - 100.0;
            }
        }
    }

    PlacementResult run()
    {
        while (!this->events.empty()) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            if (!this->warm && this->now >= this->scene.warmUp * 1000.0) {
                this->warm = true;
                this->result = {};
            }
            const bool open = this->now < this->scene.seconds * 1000.0;
            if (!open && (event.kind == Kind::Arrival || event.kind == Kind::Announce)) {
                continue;
            }
            switch (event.kind) {
            case Kind::Arrival:
                this->arrive();
                break;
            case Kind::First:
                this->onFirst(event.subject);
                break;
            case Kind::End:
                this->onEnd(event.subject);
                break;
            case Kind::Announce:
                this->announce(event.subject);
                break;
            case Kind::Deliver:
                this->deliver(event.subject);
                break;
            case Kind::Return:
                this->place(event.subject);
                break;
            }
        }
        const unsigned served = std::max(1U, this->result.good + this->result.late);
        this->result.firstMs /= served;
        this->result.unreadTokens /= served;
        return this->result;
    }
};

} // namespace skylark::test
