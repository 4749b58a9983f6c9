/** @file test_forward_changes.cpp Requests during which the configuration or the list of targets changes, and answers that break off after their head. */
#include "core/async_sleep_func.h"
#include "support/entry_fixture.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;

namespace {

/** Two replicas and one host whose configuration or targets change while a request runs. */
struct ChangeFixture : EntryFixture {
    Replica &first{this->addReplica("i-1")};
    Replica &second{this->addReplica("i-2")};
    EntryTestHost host{*this, "front-1", false}; ///< Host without a job runner.

    ChangeFixture()
    {
        this->host.publish({});
    }

    /** Makes the first request that arrives at either replica follow @p firstPlan, and all later ones @p laterPlan. */
    void setPlans(const ReplicaPlan &firstPlan, const ReplicaPlan &laterPlan)
    {
        const auto seen = std::make_shared<unsigned>(0);
        for (Replica *replica : {&this->first, &this->second}) {
            replica->plan = [seen, firstPlan, laterPlan](const HttpRequest & /*request*/, unsigned /*number*/) {
                return (*seen)++ == 0 ? firstPlan : laterPlan;
            };
        }
    }

    /** Calls @p change and publishes the result after @p delay. */
    void changeAfter(std::chrono::milliseconds delay, std::function<void()> change)
    {
        auto task = [](ChangeFixture &fixture, std::chrono::milliseconds wait, std::function<void()> apply) -> boost::asio::awaitable<void> {
            co_await sleepFor(wait);
            apply();
            fixture.host.publish({});
        };
        boost::asio::co_spawn(this->loop, task(*this, delay, std::move(change)), boost::asio::detached);
    }

    /** @return Whether the stream of request @p id is complete. */
    bool streamIsWhole(const std::string &id)
    {
        const auto answer = this->call(this->host.endpoint, EntryTestHost::request(id, "/chat/x"));
        if (!isOk(answer)) {
            return false;
        }
        bool whole = valueOf(answer).status == 200;
        for (unsigned number = 1; number <= 10; ++number) {
            whole = whole && valueOf(answer).body.find(eventData(id, number)) != std::string::npos;
        }
        return whole;
    }
};

/** A target that answers each request with the same bytes and then resets the connection. */
struct ResettingTarget {
    boost::asio::ip::tcp::acceptor acceptor;
    std::string answer; ///< Bytes that are sent.
    unsigned answered{0}; ///< Number of connections answered.

    explicit ResettingTarget(boost::asio::io_context &loop)
        : acceptor(loop, {boost::asio::ip::make_address("127.0.0.1"), 0})
    {
        boost::asio::co_spawn(loop, this->serve(), boost::asio::detached);
    }

    boost::asio::awaitable<void> serve()
    {
        for (;;) {
            auto socket = co_await this->acceptor.async_accept(boost::asio::use_awaitable);
            std::array<char, 8192> request{};
            co_await socket.async_read_some(boost::asio::buffer(request), boost::asio::use_awaitable);
            ++this->answered;
            co_await boost::asio::async_write(socket, boost::asio::buffer(this->answer), boost::asio::use_awaitable);
            co_await sleepFor(50ms);
            socket.set_option(boost::asio::socket_base::linger(true, 0));
            socket.close(); // The destructor would not reset the connection.
        }
    }
};

} // namespace

// Guards against a running request that is cut, or gets another deadline, because the configuration that it came under is replaced.
TEST_CASE_METHOD(ChangeFixture, "forward_configurationChangesDuringARun_requestKeepsRouteAndDeadline")
{
    this->setPlans({.firstDelay = 800ms}, {});
    SECTION("route is removed")
    {
        this->changeAfter(200ms, [this] {
            this->config->routes.clear();
        });
    }
    SECTION("shorter timeout and other service")
    {
        this->changeAfter(200ms, [this] {
            this->routeNamed("chat").timeout = 300ms;
            this->routeNamed("chat").services = {{ServiceId{"other"}, 1}};
        });
    }
    CHECK(this->streamIsWhole("s1"));
    CHECK(this->runsOf("s1") == 1);
}

// Guards against a stream that cannot continue because its route is gone from the new configuration.
TEST_CASE_METHOD(ChangeFixture, "forward_routeRemovedBetweenRuns_streamContinuesUnderItsOwnConfiguration")
{
    this->setPlans({.step = 50ms, .breakAfter = 6}, {});
    this->changeAfter(150ms, [this] {
        this->config->routes.clear();
    });
    CHECK(this->streamIsWhole("s1"));
    CHECK(this->runsOf("s1") == 2);
}

// Guards against a stream that fails because no target is listed when its target breaks it off.
TEST_CASE_METHOD(ChangeFixture, "forward_targetsVanishBetweenRuns_streamContinuesWhenTheyAreBack")
{
    this->setPlans({.step = 50ms, .breakAfter = 6}, {});
    const TargetMap known = *this->targets;
    this->changeAfter(150ms, [this] {
        this->targets->clear();
    });
    this->changeAfter(1000ms, [this, known] {
        *this->targets = known;
    });
    CHECK(this->streamIsWhole("s1"));
    CHECK(this->runsOf("s1") == 2);
}

// Guards against a whole answer that breaks off after its head and is passed on as complete, or ends the request although another target could answer.
TEST_CASE_METHOD(ChangeFixture, "forward_wholeAnswerBreaksOffAfterItsHead_anotherTargetAnswers")
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-Skylarkstage-Request-Id: q1\r\nX-Skylarkstage-Server-Signature: x\r\n";
    ResettingTarget target(this->loop);
    this->setPlans({.stream = false}, {.stream = false});
    this->targets->at(TargetId{"i-1"}).endpoint = {"127.0.0.1", target.acceptor.local_endpoint().port()};
    this->host.proxy->loadTracker.own[TargetId{"i-2"}].online = 5; // The request goes to the other target first.
    this->host.publish({});
    SECTION("with a length")
    {
        target.answer = head + "Content-Length: 100\r\n\r\npart of the body";
    }
    SECTION("without a length")
    {
        target.answer = head + "\r\npart of the body";
    }
    const HttpResponse answer = this->host.send(EntryTestHost::request("q1", "/lookup/x"));
    CHECK(answer.status == 200);
    CHECK(answer.body == wholeText("q1", 10));
    CHECK(target.answered == 1);
}

// Guards against a part of an answer that is passed on as complete because its target resets the connection while it is still being sent the request.
TEST_CASE_METHOD(ChangeFixture, "forward_targetAnswersInPartAndResetsDuringTheUpload_isNotTakenAsTheAnswer")
{
    ResettingTarget target(this->loop);
    target.answer = "HTTP/1.1 200 OK\r\nX-Skylarkstage-Request-Id: q1\r\nX-Skylarkstage-Server-Signature: x\r\n\r\npart of the body";
    this->setPlans({.stream = false}, {.stream = false});
    this->targets->at(TargetId{"i-1"}).endpoint = {"127.0.0.1", target.acceptor.local_endpoint().port()};
    this->host.proxy->loadTracker.own[TargetId{"i-2"}].online = 5; // The request goes to the other target first.
    this->host.publish({});
    const bool isRepeatable = GENERATE(true, false);
    HttpRequest request = EntryTestHost::request("q1", isRepeatable ? "/lookup/x" : "/order/x");
    request.body.assign(std::size_t{4} << 20U, 'x');
    const HttpResponse answer = this->host.send(std::move(request));
    CHECK(answer.status == (isRepeatable ? 200 : 502));
    CHECK((answer.body == wholeText("q1", 10)) == isRepeatable);
    CHECK(target.answered == 1);
}
