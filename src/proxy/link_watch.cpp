/** @file link_watch.cpp Tests whether this host reaches the targets. */
#include "core/async_sleep_func.h"
#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "core/task_func.h"
#include "policy/link_state_func.h"
#include "proxy/proxy_base.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t testedTargets = 4; ///< Connections that are opened for a test.
constexpr milliseconds testTime{300}; ///< Many round trips between failure domains, and the time for which a process may not be scheduled.
constexpr milliseconds testInterval{500}; ///< Shortest time between two tests while the links hold.
constexpr milliseconds restoreInterval{250}; ///< The same while they are lost.

/** A test that is running. */
struct RunningTest {
    LinkTest result;
    unsigned pending{0}; ///< Connections that are being opened.
    asio::steady_timer finished; ///< Cancelled when all of them have opened or failed.
};

asio::awaitable<void> openOne(std::shared_ptr<Proxy> proxy, std::shared_ptr<RunningTest> test, Endpoint endpoint)
{
    const bool opened = co_await httpCanConnect(proxy->http, std::move(endpoint), testTime);
    test->result.opened += opened ? 1 : 0;
    if (--test->pending == 0) {
        test->finished.cancel();
    }
}

/** Opens connections to some targets, chosen at random, at the same time. */
asio::awaitable<LinkTest> testLinks(std::shared_ptr<Proxy> proxy)
{
    std::vector<Endpoint> endpoints;
    for (const auto &[id, entry] : *proxy->fleet->targets) {
        endpoints.push_back(entry.endpoint);
    }
    auto test = std::make_shared<RunningTest>(RunningTest{{}, 0, asio::steady_timer(proxy->executor)});
    test->finished.expires_after(testTime + testTime);
    while (!endpoints.empty() && test->result.tried < testedTargets) {
        std::swap(endpoints[nextRandom(proxy->random) % endpoints.size()], endpoints.back());
        ++test->result.tried;
        ++test->pending;
        startTask(proxy->executor, "test of a link", openOne(proxy, test, std::move(endpoints.back())));
        endpoints.pop_back();
    }
    if (test->pending > 0) {
        co_await test->finished.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return test->result;
}

LinkTrouble troubleOf(const Proxy &proxy, TimePoint now)
{
    LinkTrouble trouble;
    trouble.targets = static_cast<unsigned>(proxy.fleet->targets->size());
    for (const auto &[id, entry] : *proxy.fleet->targets) {
        const auto failed = proxy.links.unreachable.find(id);
        const auto health = proxy.health.find(id);
        if (failed != proxy.links.unreachable.end() && now - failed->second <= linkTroubleTime) {
            ++trouble.unreachable;
        } else if (health != proxy.health.end() && isSilent(health->second.silence, now)) {
            ++trouble.silent;
        }
    }
    return trouble;
}

/** Applies the result of a test. */
void applyTest(Proxy &proxy, const LinkTest &test, const LinkTrouble &trouble)
{
    const TimePoint now = BootClock::now();
    const bool lost = judgeLinks(proxy.links.lost, test);
    proxy.links.testedAt = now;
    addCounter(*proxy.metrics, "skylark_link_tests_total", {{"opened", std::to_string(test.opened)}});
    if (lost == proxy.links.lost) {
        return;
    }
    const auto lasted = std::chrono::duration_cast<milliseconds>(now - proxy.links.changedAt);
    logEvent(EventKind::LinksChanged,
             {},
             {{"lost", lost},
              {"tried", test.tried},
              {"opened", test.opened},
              {"unreachable", trouble.unreachable},
              {"silent", trouble.silent},
              {"lasted_ms", proxy.links.changedAt == TimePoint{} ? -1 : lasted.count()}});
    proxy.links.lost = lost;
    proxy.links.changedAt = now;
    proxy.links.unreachable.clear();
    if (proxy.onUrgentNews) {
        proxy.onUrgentNews();
    }
}

/** Tests the links once, and again as long as they are lost. */
asio::awaitable<void> testUntilRestored(std::shared_ptr<Proxy> proxy)
{
    for (;;) {
        const LinkTrouble trouble = troubleOf(*proxy, BootClock::now());
        const LinkTest test = co_await testLinks(proxy);
        applyTest(*proxy, test, trouble);
        if (!proxy->links.lost || proxy->stopping) {
            break;
        }
        co_await sleepFor(restoreInterval);
    }
    proxy->links.testing = false;
}

} // namespace

void recordUnreachable(Proxy &proxy, const TargetId &target)
{
    proxy.links.unreachable[target] = BootClock::now();
}

void recordReached(Proxy &proxy, const TargetId &target)
{
    proxy.links.unreachable.erase(target);
}

void watchLinks(const std::shared_ptr<Proxy> &proxy)
{
    const TimePoint now = BootClock::now();
    if (proxy->links.testing || proxy->stopping || !proxy->fleet->targets || now - proxy->links.testedAt < testInterval
        || !suspectsLinks(troubleOf(*proxy, now))) {
        return;
    }
    proxy->links.testing = true;
    startTask(proxy->executor, "test of the links", testUntilRestored(proxy), [proxy] {
        proxy->links.testing = false;
    });
}

} // namespace skylark
