/** @file soak_site.cpp Store, targets and host processes of a soak test, and the operator who changes configuration, targets and hosts. */
#include "support/soak_site.h"

#include "core/async_sleep_func.h"
#include "names.h"
#include "support/soak_client_func.h"
#include "support/soak_crash_func.h"

#include <boost/asio/detached.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <fstream>
#include <unistd.h>

namespace skylark::test {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace skylark::standin;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds otherTimeout{8000}; ///< Timeout of the routes whose timeout does not change.
constexpr milliseconds processPollInterval{20};
constexpr unsigned targetSlots = 16;
constexpr milliseconds loopTick{5};
constexpr milliseconds storeReadInterval{50};
constexpr milliseconds slowStep{40}; ///< Delay before each event of an answer that is slow.

json::object routeObject(const std::string &name, const std::string &kind, const std::string &service, milliseconds timeout, bool resumable)
{
    return {{"name", name},
            {"host", "h.example"},
            {"prefix", "/" + name + "/"},
            {"kind", kind},
            {"service", service},
            {"timeout_ms", timeout.count()},
            {"target_latency_ms", 300},
            {"max_attempts", 2},
            {"resumable", resumable},
            {"completion_target_ms", 18000},
            {"retention_s", 60}};
}

std::string configText(const SoakConfig &config)
{
    json::object chat = routeObject("chat", "streaming", config.chatService, config.chatTimeout, true);
    if (config.otherWeight > 0) {
        const std::string other = config.chatService == "llm" ? "llm-b" : "llm";
        chat["weighted_services"] =
            json::array{json::object{{"service", config.chatService}, {"weight", 10}}, json::object{{"service", other}, {"weight", config.otherWeight}}};
    }
    json::array routes{chat,
                       routeObject("tell", "streaming", "llm", otherTimeout, false),
                       routeObject("order", "unsafe", "ledger", otherTimeout, false),
                       routeObject("lookup", "safe", "ledger", otherTimeout, false),
                       routeObject("job", "batch", "llm", otherTimeout, true)};
    for (unsigned number = 0; number < config.addedRoutes; ++number) {
        routes.push_back(routeObject("added-" + std::to_string(number), "safe", "ledger", otherTimeout, false));
    }
    const json::array tenants{json::object{{"name", "t"}, {"api_keys", json::array{soakApiKey}}, {"max_count", config.tenantTokens}}};
    const json::object limits{
        {"max_header_bytes", 16384}, {"max_body_bytes", 1000000}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", config.idleLimit.count()}};
    return json::serialize(
        json::object{{"version", config.version}, {"routes", routes}, {"services", json::array()}, {"tenants", tenants}, {"limits", limits}});
}

void writeConfig(SoakSite &site, const SoakConfig &config)
{
    site.configs.push_back({BootClock::now(), config});
    putKey(*site.store, std::string(platform::keyConfig), configText(config));
}

/** Writes the current configuration with one value of @p change drawn anew. */
void changeConfig(SoakSite &site, SoakChange change)
{
    SoakConfig config = site.configs.back().config;
    config.version += drawNumber(site.random, 1, 3);
    switch (change) {
    case SoakChange::Route:
        config.chatService = config.chatService == "llm" ? "llm-b" : "llm";
        break;
    case SoakChange::Weights:
        config.otherWeight = static_cast<unsigned>(drawNumber(site.random, 0, 10));
        break;
    case SoakChange::Timeout:
        config.chatTimeout = milliseconds(drawNumber(site.random, 4, 8) * 1000);
        break;
    case SoakChange::Idle:
        config.idleLimit = milliseconds(drawNumber(site.random, 2, 8) * 1000);
        break;
    case SoakChange::Tenant:
        config.tenantTokens = static_cast<unsigned>(drawNumber(site.random, 1000, 100000));
        break;
    case SoakChange::ManyRoutes:
        config.addedRoutes = config.addedRoutes > 0 ? 0 : static_cast<unsigned>(drawNumber(site.random, 100, 350));
        break;
    }
    writeConfig(site, config);
}

SoakChange drawChange(SoakSite &site)
{
    return static_cast<SoakChange>(drawNumber(site.random, 0, static_cast<std::uint64_t>(SoakChange::ManyRoutes)));
}

/** Reports a request whose body is not the one that its caller sent. */
void checkBody(SoakSite &site, const HttpRequest &request)
{
    const std::string id(headerValue(request.headers, platform::headerRequestId));
    const std::string size(headerValue(request.headers, soakBodySizeHeader));
    const bool intact = size == std::to_string(request.body.size()) && request.body == soakBody(id, request.body.size());
    if (!intact && !isCrashInducing(request.body) && !request.target.starts_with("/job/")) {
        site.problems.push_back("another body than the caller's: " + id);
    }
}

AnswerScript scriptOf(SoakSite &site, const HttpRequest &request)
{
    checkBody(site, request);
    AnswerScript script{.stream = !request.target.starts_with("/order/") && !request.target.starts_with("/lookup/"), .events = soakEvents};
    script.firstDelay = drawTime(site.random, 5ms, 40ms);
    script.step = drawNumber(site.random, 1, 15) == 1 ? slowStep : script.step;
    script.endsWithConnection = drawNumber(site.random, 1, 10) == 1;
    script.refused = drawNumber(site.random, 1, 50) == 1;
    script.crashes = headerValue(request.headers, platform::headerPromptParts).starts_with("dead");
    if (script.crashes || drawNumber(site.random, 1, 60) == 1) {
        script.breakAfter = static_cast<unsigned>(drawNumber(site.random, 1, soakEvents - 1));
    }
    if (isCrashInducing(request.body)) {
        script.crashes = true;
        script.refused = false;
        script.breakAfter = drawNumber(site.random, 0, 1) == 0 ? 0 : script.breakAfter + 1;
    }
    return script;
}

void startTarget(SoakSite &site, const std::string &service)
{
    auto target = ScriptedTarget::create(site.loop.get_executor(), "i-" + std::to_string(site.targetNumber++), service);
    REQUIRE(target);
    target->script = [&site](const HttpRequest &request) {
        return scriptOf(site, request);
    };
    const Endpoint endpoint = endpointOf(*target);
    const json::object entry{{"service", service},
                             {"address", endpoint.address + ":" + std::to_string(endpoint.port)},
                             {"zone", "north"},
                             {"version", "v1"},
                             {"slots", targetSlots},
                             {"state", "ready"},
                             {"cold_remaining_ms", 0},
                             {"sequence", 1}};
    putKey(*site.store, std::string(platform::prefixTargets) + target->id, json::serialize(entry));
    site.targets.push_back(std::move(target));
}

/** Removes the entry of a crashed target after a while and starts a new target in its place. */
asio::awaitable<void> replaceTarget(SoakSite &site, std::shared_ptr<ScriptedTarget> crashed)
{
    co_await sleepFor(drawTime(site.random, 200ms, 800ms));
    removeKey(*site.store, std::string(platform::prefixTargets) + crashed->id);
    co_await sleepFor(drawTime(site.random, 0ms, site.longestRestart));
    startTarget(site, crashed->service);
}

/** Replaces the crashed targets by new ones, each after a while of its own. */
asio::awaitable<void> replaceCrashed(SoakSite &site)
{
    while (!site.ending) {
        co_await sleepFor(100ms);
        const auto crashed = std::stable_partition(site.targets.begin(), site.targets.end(), [](const auto &target) {
            return target->acceptor.is_open();
        });
        for (auto each = crashed; each != site.targets.end(); ++each) {
            site.crashedTargets.push_back(*each);
            asio::co_spawn(site.loop, replaceTarget(site, *each), asio::detached);
        }
        site.targets.erase(crashed, site.targets.end());
    }
}

/** Makes a drawn set of targets silent for about a second, all of it or one after the other. */
asio::awaitable<void> silenceTargets(SoakSite &site)
{
    const auto share = drawNumber(site.random, 1, 4);
    const bool together = drawNumber(site.random, 0, 1) == 0;
    const auto targets = site.targets;
    for (const auto &target : targets) {
        const TimePoint now = BootClock::now();
        if (drawNumber(site.random, 1, 4) > share || target->silentUntil + 300ms > now) {
            continue;
        }
        target->silentUntil = now + drawTime(site.random, 800ms, 1300ms);
        if (!together) {
            co_await sleepFor(drawTime(site.random, 0ms, 200ms));
        }
    }
}

void startHost(SoakHost &host)
{
    auto started = ChildProcess::create({"skylark-host", {"--settings=" + host.settings}, host.output});
    REQUIRE(isOk(started));
    host.process = std::move(valueOf(started));
    host.stopping = false;
}

void addHost(SoakSite &site, const std::string &name, const std::string &address)
{
    SoakHost host;
    host.name = name;
    host.address = address;
    host.callers = {address, freePort()};
    host.readiness = {address, freePort()};
    host.settings = (site.folder / (name + ".toml")).string();
    host.output = (site.folder / (name + ".log")).string();
    std::ofstream(host.settings) << "node = \"" << name << "\"\nrole = \"entry\"\nserves = [\"front\"]\nip = \"" << address << "\"\nzone = \"north\"\n"
                                 << "internal_ports = [" << freePort() << "]\n[listen]\nfront = \"" << address << ':' << host.callers.port
                                 << "\"\nreadiness = \"" << address << ':' << host.readiness.port << "\"\n[bounds]\ngrace_s = " << soakStopLimit / 1s
                                 << "\n[platform]\naddress = \"127.0.0.1:" << listenPort(*site.storeServer) << "\"\n";
    site.hosts.push_back(std::move(host));
}

asio::awaitable<bool> waitReady(SoakSite &site, SoakHost &host)
{
    for (unsigned attempt = 0; attempt < 300; ++attempt) {
        HttpRequest request;
        request.target = "/-/ready";
        const auto answer = co_await httpCall(site.http, host.readiness, std::move(request), HttpTimeouts{}, ConnectionUse::Fresh);
        if (isOk(answer) && valueOf(answer).status == 200) {
            host.ready = true;
            co_return true;
        }
        co_await sleepFor(processPollInterval);
    }
    co_return false;
}

/** Stops a host with SIGTERM, at times sent twice, waits until its process has ended and starts it again. */
asio::awaitable<void> restartHost(SoakSite &site, SoakHost &host)
{
    const TimePoint stoppedAt = BootClock::now();
    host.stops.push_back(stoppedAt);
    host.stopping = true;
    sendSignal(*host.process, SIGTERM);
    std::optional<TimePoint> secondAt = stoppedAt + drawTime(site.random, 0ms, 4 * soakStopLimit / 5);
    while (isRunning(*host.process)) {
        if (secondAt && BootClock::now() >= *secondAt) {
            sendSignal(*host.process, SIGTERM);
            secondAt.reset();
        }
        if (BootClock::now() - stoppedAt > soakStopLimit) {
            site.problems.push_back(host.name + " still runs after the stop limit");
            killProcess(*host.process);
        }
        co_await sleepFor(processPollInterval);
    }
    host.ready = false;
    if (waitExit(*host.process, 1s) != 0) {
        site.problems.push_back(host.name + " did not end with status 0");
    }
    startHost(host);
    const bool ready = co_await waitReady(site, host);
    if (!ready) {
        site.problems.push_back(host.name + " is not ready after its restart");
    }
}

/** Restarts @p count hosts from number @p first on, each a moment after the one before, and waits until all are ready. */
asio::awaitable<void> restartTogether(SoakSite &site, std::size_t first, std::size_t count)
{
    std::size_t running = 0;
    for (std::size_t i = 0; i < count; ++i) {
        ++running;
        asio::co_spawn(site.loop, restartHost(site, site.hosts[(first + i) % site.hosts.size()]), [&running](const std::exception_ptr & /*failure*/) {
            --running;
        });
        co_await sleepFor(drawTime(site.random, 0ms, 400ms));
    }
    while (running > 0) {
        co_await sleepFor(processPollInterval);
    }
}

/** @return Loopback address number @p number of this test process: the port of metrics is fixed, and several such tests may run at once. */
std::string loopbackAddress(unsigned number)
{
    const auto process = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(100 + number) + '.' + std::to_string(process / 250 % 250) + '.' + std::to_string(1 + process % 250);
}

/** @return When all hosts use a configuration that was written at @p writtenAt, as far as is known at @p at: a store that answers late delays it. */
TimePoint latestAdoption(const SoakSite &site, TimePoint writtenAt, TimePoint at)
{
    return writtenAt + soakAdoptionTime + longestLateness(site.storeDelays, writtenAt, at);
}

/** @return The first of the configurations that may be in force at @p at. */
std::size_t firstInForce(const SoakSite &site, TimePoint at)
{
    std::size_t first = 0;
    while (first + 1 < site.configs.size() && latestAdoption(site, site.configs[first + 1].at, at) <= at) {
        ++first;
    }
    return first;
}

} // namespace

SoakSite::SoakSite(std::uint64_t seed, unsigned hostCount, std::filesystem::path where)
    : folder(std::move(where))
    , random(seed)
{
    std::filesystem::create_directories(this->folder);
    auto served = serveStore(this->store);
    REQUIRE(isOk(served));
    this->storeServer = std::move(valueOf(served));
    writeConfig(*this, {});
    for (unsigned round = 0; round < (hostCount + 1) / 2; ++round) {
        for (const char *service : {"llm", "llm", "llm", "llm", "llm-b", "llm-b", "llm-b", "ledger", "ledger", "ledger"}) {
            startTarget(*this, service);
        }
    }
    for (unsigned number = 1; number <= hostCount; ++number) {
        addHost(*this, "front-" + std::to_string(number), loopbackAddress(number));
    }
    for (SoakHost &host : this->hosts) {
        startHost(host);
        REQUIRE(this->run(waitReady(*this, host)));
    }
}

SoakSite::~SoakSite()
{
    for (SoakHost &host : this->hosts) {
        killProcess(*host.process);
    }
}

std::uint64_t drawNumber(std::mt19937_64 &random, std::uint64_t least, std::uint64_t most)
{
    return least + random() % (most - least + 1);
}

milliseconds drawTime(std::mt19937_64 &random, milliseconds least, milliseconds most)
{
    return milliseconds(drawNumber(random, static_cast<std::uint64_t>(least.count()), static_cast<std::uint64_t>(most.count())));
}

asio::awaitable<void> runOperator(SoakSite &site)
{
    while (!site.ending) {
        co_await sleepFor(drawTime(site.random, 200ms, 900ms));
        const bool storm = drawNumber(site.random, 1, 4) == 1;
        for (auto left = storm ? drawNumber(site.random, 4, 10) : 1; left > 0 && !site.ending; --left) {
            changeConfig(site, drawChange(site));
            co_await sleepFor(drawTime(site.random, 60ms, 250ms));
        }
    }
}

asio::awaitable<void> troubleTargets(SoakSite &site)
{
    asio::co_spawn(site.loop, replaceCrashed(site), asio::detached);
    while (!site.ending) {
        co_await sleepFor(drawTime(site.random, 200ms, 800ms));
        if (site.targets.empty() || drawNumber(site.random, 1, 5) > 1) {
            co_await silenceTargets(site);
        } else {
            crashTarget(*site.targets[drawNumber(site.random, 0, site.targets.size() - 1)]);
        }
    }
}

asio::awaitable<void> restartHosts(SoakSite &site)
{
    std::size_t next = drawNumber(site.random, 0, site.hosts.size() - 1);
    while (!site.ending) {
        co_await sleepFor(drawTime(site.random, 300ms, 2000ms));
        const auto count = drawNumber(site.random, 1, 4) == 1 ? drawNumber(site.random, 1, site.hosts.size()) : 1;
        co_await restartTogether(site, next, site.ending ? 0 : count);
        next = (next + count) % site.hosts.size();
    }
}

asio::awaitable<void> reloadHosts(SoakSite &site)
{
    while (!site.ending) {
        co_await sleepFor(drawTime(site.random, 100ms, 800ms));
        SoakHost &host = site.hosts[drawNumber(site.random, 0, site.hosts.size() - 1)];
        const bool series = drawNumber(site.random, 1, 4) == 1;
        for (auto left = series ? drawNumber(site.random, 3, 8) : 1; left > 0; --left) {
            // A process that is not ready may not handle signals yet.
            if (host.ready) {
                std::ofstream(host.settings, std::ios::app) << "# changed\n";
                sendSignal(*host.process, SIGHUP);
            }
            co_await sleepFor(drawTime(site.random, 1ms, 80ms));
        }
    }
}

asio::awaitable<void> watchLoop(SoakSite &site)
{
    while (!site.ending) {
        const TimePoint due = BootClock::now() + loopTick;
        co_await sleepFor(loopTick);
        const auto late = std::chrono::duration_cast<milliseconds>(BootClock::now() - due);
        if (late >= loopTick) {
            site.stalls.emplace_back(BootClock::now(), late);
        }
    }
}

asio::awaitable<void> watchStore(SoakSite &site)
{
    const Endpoint store{"127.0.0.1", listenPort(*site.storeServer)};
    while (!site.ending) {
        HttpRequest request;
        request.target = std::string(platform::pathKey) + "?key=" + std::string(platform::keyConfig);
        const TimePoint since = BootClock::now();
        co_await httpCall(site.http, store, std::move(request), HttpTimeouts{}, ConnectionUse::Pooled);
        const TimePoint now = BootClock::now();
        site.storeDelays.emplace_back(now, std::chrono::duration_cast<milliseconds>(now - since));
        co_await sleepFor(storeReadInterval);
    }
}

milliseconds longestLateness(const LateTimes &times, TimePoint from, TimePoint until)
{
    milliseconds longest{0};
    for (const auto &[at, late] : times) {
        longest = at >= from && at - late <= until ? std::max(longest, late) : longest;
    }
    return longest;
}

milliseconds idleLimitAt(const SoakSite &site, TimePoint at)
{
    milliseconds least = milliseconds::max();
    for (std::size_t i = firstInForce(site, at); i < site.configs.size() && site.configs[i].at <= at; ++i) {
        least = std::min(least, site.configs[i].config.idleLimit);
    }
    return least;
}

milliseconds routeTimeoutAt(const SoakSite &site, const std::string &route, TimePoint at)
{
    milliseconds least = otherTimeout;
    for (std::size_t i = firstInForce(site, at); i < site.configs.size() && site.configs[i].at <= at; ++i) {
        least = route == "chat" ? std::min(least, site.configs[i].config.chatTimeout) : least;
    }
    return least;
}

} // namespace skylark::test
