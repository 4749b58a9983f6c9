/** @file test_rate_limit.cpp Several hosts between callers and targets that name a rate limit for all of them together. */
#include "support/entry_fixture.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;

namespace {

/** One target that names a limit, one that names none, and three hosts that share them. */
struct LimitFixture : EntryFixture {
    static constexpr double limit = 2.0; ///< Requests a second.
    static constexpr auto window = 4s; ///< Bound of the issue: in some 4 s one and a half times the limit, and 5 requests more.
    static constexpr std::size_t maxInWindow = static_cast<std::size_t>(1.5 * limit * 4) + 5;
    static constexpr auto noticeTime = 3s; ///< Time from the first answer with a limit, after which the bound holds.

    Replica &limited{this->addReplica("i-limited", 8)};
    Replica &other{this->addReplica("i-other", 8)};
    std::vector<std::unique_ptr<EntryTestHost>> hosts;
    std::vector<TimePoint> arrivals; ///< At the limited target.
    unsigned requests{0};

    LimitFixture()
    {
        this->limited.plan = [this](const HttpRequest & /*request*/, unsigned /*number*/) {
            this->arrivals.push_back(BootClock::now());
            return ReplicaPlan{.events = 3, .headers = {{std::string(platform::headerServerLimit), "2.0"}}};
        };
        this->other.plan = [](const HttpRequest & /*request*/, unsigned /*number*/) {
            return ReplicaPlan{.events = 3};
        };
        for (unsigned i = 1; i <= 3; ++i) {
            this->hosts.push_back(std::make_unique<EntryTestHost>(*this, "front-" + std::to_string(i)));
        }
        for (const auto &host : this->hosts) {
            host->publish({SessionId{"session-front-1"}, SessionId{"session-front-2"}, SessionId{"session-front-3"}});
        }
    }

    /** Sends requests to the hosts in turn. @param path Selects the route. @return Number of requests answered with success. */
    unsigned load(std::chrono::milliseconds duration, std::chrono::milliseconds interval, const std::string &path = "/chat/x")
    {
        const auto served = std::make_shared<unsigned>(0);
        const TimePoint until = BootClock::now() + duration;
        while (BootClock::now() < until) {
            EntryTestHost &host = *this->hosts[this->requests % this->hosts.size()];
            HttpRequest request = EntryTestHost::request("r" + std::to_string(++this->requests), path);
            boost::asio::co_spawn(
                this->loop,
                [](std::shared_ptr<HttpClient> client, Endpoint to, HttpRequest message, std::shared_ptr<unsigned> count) -> boost::asio::awaitable<void> {
                    const HttpTimeouts timeouts{1s, 3s, 3s, 3s};
                    const auto answer = co_await httpCall(client, to, std::move(message), timeouts);
                    *count += isOk(answer) && valueOf(answer).status == 200 ? 1 : 0;
                }(this->http, host.endpoint, std::move(request), served),
                boost::asio::detached);
            this->runFor(interval);
        }
        this->runFor(300ms);
        return *served;
    }

    /** @return Largest number of requests that reached the limited target in a window that begins noticeTime after the first one. */
    [[nodiscard]] std::size_t mostInWindow() const
    {
        std::size_t most = 0;
        for (auto begin = this->arrivals.begin(); begin != this->arrivals.end(); ++begin) {
            if (*begin - this->arrivals.front() < noticeTime) {
                continue;
            }
            const auto end = std::upper_bound(begin, this->arrivals.end(), *begin + window);
            most = std::max(most, static_cast<std::size_t>(end - begin));
        }
        return most;
    }
};

} // namespace

// Guards against a target that gets more requests from all hosts together than the rate limit that it names.
TEST_CASE_METHOD(LimitFixture, "forward_targetNamesRateLimit_allHostsTogetherKeepToIt")
{
    const unsigned served = this->load(8s, 20ms);
    CHECK(this->mostInWindow() <= maxInWindow);
    CHECK(served > this->requests * 9 / 10);
}
