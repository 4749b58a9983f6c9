/** @file test_leaving_target.cpp Targets that say in their answers that they are shutting down: they get no further requests and items from the host. */
#include "support/entry_fixture.h"

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;

namespace {

/** An entry of the target i-1, and what is remembered of it. */
struct LifetimeFixture {
    static constexpr UnixTime born{1764892000000ms};

    TargetEntry entry{.id = TargetId{"i-1"}, .endpoint = {"10.0.0.1", 80}, .born = born};
    LeavingTargets leaving;
    TimePoint now{BootClock::now()};

    /** @return Whether a target that was born at @p start at the address @p address accepts no requests. */
    [[nodiscard]] bool isLeavingAt(std::optional<UnixTime> start, const std::string &address = "10.0.0.1") const
    {
        TargetEntry other = this->entry;
        other.born = start;
        other.endpoint.address = address;
        return isLeaving(this->leaving, other);
    }

    /** @return The map of the listed targets when only this one is listed. */
    [[nodiscard]] TargetMap listed() const
    {
        return {{this->entry.id, this->entry}};
    }
};

/** A target that says that it is leaving, another one that is not listed at first, and a host that knows of the former only from its answers. */
struct LeavingFixture : EntryFixture {
    static constexpr UnixTime firstBorn{1764892000000ms}; ///< Start of the first lifetime of the leaving target.

    Replica &leaving{this->addReplica("i-leaving")};
    Replica &other{this->addReplica("i-other")};
    TargetEntry otherEntry{this->targets->at(TargetId{"i-other"})};
    std::unique_ptr<EntryTestHost> host;
    unsigned requests{0}; ///< Requests sent so far, which number their identifiers.

    LeavingFixture()
    {
        this->leaving.leaving = true;
        this->leavingEntry().born = firstBorn;
        this->targets->erase(this->otherEntry.id);
        this->host = std::make_unique<EntryTestHost>(*this, "front-1");
    }

    TargetEntry &leavingEntry()
    {
        return (*this->targets)[TargetId{"i-leaving"}];
    }

    void publish()
    {
        this->host->publish({SessionId{"session-front-1"}});
    }

    void listOther()
    {
        (*this->targets)[this->otherEntry.id] = this->otherEntry;
        this->publish();
    }

    static void setPlan(Replica &replica, const ReplicaPlan &plan)
    {
        replica.plan = [plan](const HttpRequest & /*request*/, unsigned /*number*/) {
            return plan;
        };
    }

    HttpResponse send(const std::string &path = "/chat/x")
    {
        return this->host->send(EntryTestHost::request("r" + std::to_string(++this->requests), path));
    }

    /** Lets the leaving target answer one request that follows @p plan, and lists the other target afterwards. */
    void hearFromLeaving(const ReplicaPlan &plan = {.events = 2}, const std::string &path = "/chat/x")
    {
        setPlan(this->leaving, plan);
        static_cast<void>(this->send(path));
        REQUIRE(this->leaving.arrivals == 1);
        setPlan(this->leaving, {.events = 2});
        setPlan(this->other, {.events = 2});
        this->listOther();
    }

    /** Sends requests of all kinds. @return Number of them that were answered with success. */
    unsigned sendMany()
    {
        unsigned served = 0;
        for (unsigned i = 0; i < 5; ++i) {
            for (const char *path : {"/chat/x", "/lookup/x", "/order/x", "/once/x"}) {
                served += this->send(path).status == 200 ? 1 : 0;
            }
        }
        return served;
    }

    void submitJob(const std::string &job, unsigned items)
    {
        std::string body;
        for (unsigned i = 0; i < items; ++i) {
            const std::string id = job + "-" + std::to_string(i);
            boost::json::object item{{"id", id}, {"path", "/batch/" + id}, {"headers", boost::json::object{}}, {"body", "cXdlcnQ="}, {"tokens", 100}};
            body.append(i > 0 ? "," : "").append(boost::json::serialize(item));
        }
        HttpRequest request = EntryTestHost::request(job, "/batch/" + job);
        request.body = R"({"items":[)" + body + "]}";
        const HttpResponse answer = this->host->send(std::move(request));
        REQUIRE(answer.status == 202);
    }

    [[nodiscard]] std::size_t idleConnectionsToLeaving()
    {
        return this->host->proxy->http->idle[this->leavingEntry().endpoint].size();
    }
};

constexpr unsigned manyRequests = 20; ///< Number of requests that sendMany() sends.

} // namespace

TEST_CASE_METHOD(LifetimeFixture, "isLeaving_entrySaysSo_holdsForItsEntryOnly")
{
    CHECK_FALSE(isLeaving(this->leaving, this->entry));
    this->entry.leaving = true;
    CHECK(isLeaving(this->leaving, this->entry));
    this->entry.leaving = false;
    CHECK_FALSE(isLeaving(this->leaving, this->entry));
}

TEST_CASE_METHOD(LifetimeFixture, "isLeaving_afterTheNews_holdsUntilALaterLifetime")
{
    CHECK(recordLeaving(this->leaving, this->entry, this->now));
    CHECK_FALSE(recordLeaving(this->leaving, this->entry, this->now));
    CHECK(this->isLeavingAt(born));
    CHECK(this->isLeavingAt(born - 1ms));
    CHECK(this->isLeavingAt(born, "10.0.0.2"));
    CHECK_FALSE(this->isLeavingAt(born + 1ms));
}

TEST_CASE_METHOD(LifetimeFixture, "isLeaving_startNotKnown_addressTellsLifetimesApart")
{
    CHECK(recordLeaving(this->leaving, this->entry, this->now));
    CHECK(this->isLeavingAt({}));
    CHECK_FALSE(this->isLeavingAt({}, "10.0.0.2"));
    this->entry.born.reset();
    this->leaving = {};
    CHECK(recordLeaving(this->leaving, this->entry, this->now));
    CHECK(this->isLeavingAt({}));
    CHECK(this->isLeavingAt(born));
    CHECK_FALSE(this->isLeavingAt(born, "10.0.0.2"));
}

// Guards against late news of a previous lifetime that replaces what is known of the present one.
TEST_CASE_METHOD(LifetimeFixture, "recordLeaving_newsOfEarlierLifetime_keepsTheLaterOne")
{
    TargetEntry later = this->entry;
    later.born = born + 5s;
    CHECK(recordLeaving(this->leaving, later, this->now));
    CHECK_FALSE(recordLeaving(this->leaving, this->entry, this->now));
    CHECK(this->isLeavingAt(born + 5s));
}

TEST_CASE_METHOD(LifetimeFixture, "recordLeaving_startLearnedLater_endsWithTheNextLifetime")
{
    this->entry.born.reset();
    CHECK(recordLeaving(this->leaving, this->entry, this->now));
    this->entry.born = born;
    CHECK_FALSE(recordLeaving(this->leaving, this->entry, this->now));
    CHECK(this->isLeavingAt(born));
    CHECK_FALSE(this->isLeavingAt(born + 1ms));
}

// Guards against a memory that grows with every target that ever left, and against one that is lost while the target is listed.
TEST_CASE_METHOD(LifetimeFixture, "forgetGoneTargets_notListedForTheRetentionTime_isForgotten")
{
    REQUIRE(recordLeaving(this->leaving, this->entry, this->now));
    const TimePoint later = this->now + 2 * this->leaving.retention;
    forgetGoneTargets(this->leaving, this->listed(), later);
    CHECK(this->isLeavingAt(born));
    forgetGoneTargets(this->leaving, {}, later + this->leaving.retention);
    CHECK(this->isLeavingAt(born));
    forgetGoneTargets(this->leaving, {}, later + this->leaving.retention + 1ms);
    CHECK(this->leaving.lifetimes.empty());
}

// Guards against requests to a target that has told the host that it leaves, while the list of targets does not say so: the host may be cut off from the store.
TEST_CASE_METHOD(LeavingFixture, "forward_targetSaidItLeaves_getsNoFurtherRequest")
{
    this->hearFromLeaving();
    CHECK(this->sendMany() == manyRequests);
    CHECK(this->leaving.arrivals == 1);
}

TEST_CASE_METHOD(LeavingFixture, "forward_refusalSaysTargetLeaves_getsNoFurtherRequest")
{
    this->hearFromLeaving({.status = 503});
    this->runFor(500ms); // The refusal itself keeps requests away for a shorter time.
    CHECK(this->sendMany() == manyRequests);
    CHECK(this->leaving.arrivals == 1);
}

TEST_CASE_METHOD(LeavingFixture, "forward_errorAnswerSaysTargetLeaves_getsNoFurtherRequest")
{
    this->hearFromLeaving({.status = 500, .stream = false}, "/order/x");
    CHECK(this->sendMany() == manyRequests);
    CHECK(this->leaving.arrivals == 1);
}

TEST_CASE_METHOD(LeavingFixture, "forward_answerThatBreaksOffSaysTargetLeaves_getsNoFurtherRequest")
{
    setPlan(this->leaving, {.events = 2, .breakAfter = 1});
    CHECK_FALSE(isOk(this->call(this->host->endpoint, EntryTestHost::request("r0", "/once/x"))));
    this->listOther();
    CHECK(this->sendMany() == manyRequests);
    CHECK(this->leaving.arrivals == 1);
}

// Guards against a repeat of a failed request at the leaving target, which is the only one that the request has not tried.
TEST_CASE_METHOD(LeavingFixture, "forward_repeatWhenOnlyLeavingTargetIsUntried_isNotSentThere")
{
    this->hearFromLeaving();
    setPlan(this->other, {.stream = false, .breakAfter = 1});
    CHECK(this->send("/lookup/x").status == 502);
    CHECK(this->other.arrivals == 1);
    CHECK(this->leaving.arrivals == 1);
}

TEST_CASE_METHOD(LeavingFixture, "forward_brokenStream_isNotResumedOnLeavingTarget")
{
    this->hearFromLeaving();
    this->other.plan = [](const HttpRequest & /*request*/, unsigned number) {
        return ReplicaPlan{.events = 6, .breakAfter = number == 0 ? 3U : 0U};
    };
    CHECK(this->send().status == 200);
    CHECK(this->other.arrivals == 2);
    CHECK(this->leaving.arrivals == 1);
}

// Guards against a stream that waits for a target to continue it and goes back to the one that said in the stream's own head that it leaves.
TEST_CASE_METHOD(LeavingFixture, "forward_streamWaitsForTarget_continuesOnlyOnOneThatStays")
{
    setPlan(this->leaving, {.events = 6, .breakAfter = 3});
    std::optional<Result<HttpResponse>> answer;
    boost::asio::co_spawn(this->loop,
                          httpCall(this->http, this->host->endpoint, EntryTestHost::request("r0", "/chat/x"), HttpTimeouts{1s, 3s, 3s, 3s}),
                          [&answer](const std::exception_ptr & /*thrown*/, Result<HttpResponse> result) {
                              answer = std::move(result);
                          });
    this->runFor(300ms);
    CHECK_FALSE(answer);
    setPlan(this->leaving, {.events = 6});
    setPlan(this->other, {.events = 6});
    this->listOther();
    REQUIRE(this->runUntil([&answer] {
        return answer.has_value();
    }));
    CHECK(isOk(*answer));
    CHECK(this->other.arrivals == 1);
    CHECK(this->leaving.arrivals == 1);
}

// Guards against requests that wait until their deadline although every target of the service has said that it leaves.
TEST_CASE_METHOD(LeavingFixture, "forward_allTargetsSaidTheyLeave_refusedAtOnce")
{
    this->other.leaving = true;
    this->hearFromLeaving();
    REQUIRE(this->send().status == 200);
    for (const char *path : {"/chat/x", "/lookup/x", "/order/x"}) {
        const TimePoint begun = BootClock::now();
        const HttpResponse answer = this->send(path);
        CHECK(answer.status == 503);
        CHECK_FALSE(headerValue(answer.headers, "Retry-After").empty());
        CHECK(BootClock::now() - begun < 500ms);
    }
    CHECK(this->leaving.arrivals == 1);
    CHECK(this->other.arrivals == 1);
}

// Guards against idle connections to a leaving target, which would carry the next request there and keep descriptors of both sides.
TEST_CASE_METHOD(LeavingFixture, "forward_targetSaidItLeaves_noConnectionToItStaysIdle")
{
    this->leaving.leaving = false;
    setPlan(this->leaving, {.stream = false});
    unsigned answered = 0;
    for (unsigned i = 0; i < 3; ++i) {
        boost::asio::co_spawn(this->loop,
                              httpCall(this->http,
                                       this->host->endpoint,
                                       EntryTestHost::request("p" + std::to_string(i), "/lookup/x"),
                                       HttpTimeouts{1s, 3s, 3s, 3s},
                                       ConnectionUse::Fresh),
                              [&answered](const std::exception_ptr & /*thrown*/, const Result<HttpResponse> &result) {
                                  answered += isOk(result) ? 1 : 0;
                              });
    }
    REQUIRE(this->runUntil([&answered] {
        return answered == 3;
    }));
    REQUIRE(this->idleConnectionsToLeaving() > 1);
    this->leaving.leaving = true;
    CHECK(this->send("/lookup/x").status == 200);
    CHECK(this->idleConnectionsToLeaving() == 0);
}

TEST_CASE_METHOD(LeavingFixture, "forward_entryOfLeavingTargetRemovedAndBack_isStillAvoided")
{
    this->hearFromLeaving();
    const TargetEntry entry = this->leavingEntry();
    this->targets->erase(entry.id);
    this->publish();
    CHECK(this->sendMany() == manyRequests);
    (*this->targets)[entry.id] = entry;
    this->publish();
    CHECK(this->sendMany() == manyRequests);
    CHECK(this->leaving.arrivals == 1);
}

TEST_CASE_METHOD(LeavingFixture, "forward_leavingTargetRestartsUnderItsIdentifier_servesAgain")
{
    this->hearFromLeaving();
    this->targets->erase(this->otherEntry.id);
    this->leaving.leaving = false;
    this->leavingEntry().born = firstBorn + 9s;
    this->publish();
    CHECK(this->sendMany() == manyRequests);
    CHECK(this->leaving.arrivals == 1 + manyRequests);
}

// Guards against a restarted target that is avoided because its previous lifetime's answer arrives late.
TEST_CASE_METHOD(LeavingFixture, "forward_lateAnswerOfPreviousLifetime_doesNotConcernTheNewOne")
{
    setPlan(this->leaving, {.stream = false, .firstDelay = 300ms});
    std::optional<Result<HttpResponse>> answer;
    boost::asio::co_spawn(this->loop,
                          httpCall(this->http, this->host->endpoint, EntryTestHost::request("r0", "/order/x"), HttpTimeouts{1s, 3s, 3s, 3s}),
                          [&answer](const std::exception_ptr & /*thrown*/, Result<HttpResponse> result) {
                              answer = std::move(result);
                          });
    this->runFor(100ms);
    this->leavingEntry().born = firstBorn + 9s;
    this->publish();
    REQUIRE(this->runUntil([&answer] {
        return answer.has_value();
    }));
    this->leaving.leaving = false;
    setPlan(this->leaving, {.events = 2});
    CHECK(this->sendMany() == manyRequests);
}

// Guards against a target that is avoided because another instance, at an address that has changed hands, says that it leaves.
TEST_CASE_METHOD(LeavingFixture, "forward_otherInstanceAtTheAddressSaysItLeaves_targetIsNotAvoided")
{
    this->leaving.id = "i-another";
    CHECK(this->send("/lookup/x").status == 503);
    REQUIRE(this->leaving.arrivals > 0);
    this->leaving.id = "i-leaving";
    this->leaving.leaving = false;
    setPlan(this->leaving, {.events = 2});
    CHECK(this->sendMany() == manyRequests);
}

TEST_CASE_METHOD(LeavingFixture, "forward_listSaysTargetLeaves_getsNoRequestAndNoItem")
{
    this->leavingEntry().leaving = true;
    this->listOther();
    setPlan(this->other, {.events = 2});
    CHECK(this->sendMany() == manyRequests);
    this->submitJob("j1", 6);
    CHECK(this->runUntil([this] {
        return this->other.runs.size() == manyRequests + 6;
    }));
    CHECK(this->leaving.arrivals == 0);
}

TEST_CASE_METHOD(LeavingFixture, "item_targetSaidItLeaves_runsElsewhere")
{
    this->hearFromLeaving();
    this->submitJob("j1", 8);
    CHECK(this->runUntil([this] {
        return this->other.runs.size() == 8;
    }));
    CHECK(this->leaving.arrivals == 1);
}

// Guards against items that go on reaching a target which said that it leaves in the answer to an item, or in a refusal of one.
TEST_CASE_METHOD(LeavingFixture, "item_answerToAnItemSaysTargetLeaves_getsNoFurtherItemOrRequest")
{
    setPlan(this->leaving, {.status = GENERATE(200, 500, 503), .events = 2});
    this->submitJob("j1", 1);
    REQUIRE(this->runUntil([this] {
        return this->leaving.arrivals == 1;
    }));
    this->runFor(100ms);
    this->submitJob("j2", 3);
    this->runFor(500ms);
    CHECK(this->leaving.arrivals == 1);
    setPlan(this->other, {.events = 2});
    this->listOther();
    CHECK(this->sendMany() == manyRequests);
    CHECK(this->runUntil([this] {
        return this->other.runs.size() >= manyRequests + 3;
    }));
    CHECK(this->leaving.arrivals == 1);
}

// Guards against a new target under a known identifier that is avoided, or takes no requests, because of what another one did before it.
TEST_CASE_METHOD(LeavingFixture, "target_otherServiceAddressOrStartUnderItsIdentifier_isANewTarget")
{
    Proxy &proxy = *this->host->proxy;
    const TargetEntry listed = this->leavingEntry();
    std::vector<TargetEntry> others(3, listed);
    others[0].service.value = "other";
    others[1].endpoint.port = 1;
    others[2].born = firstBorn + 1s;
    for (const TargetEntry &other : others) {
        this->leavingEntry() = listed;
        this->publish();
        recordTargetFailure(proxy, listed);
        this->publish();
        REQUIRE(proxy.health.contains(listed.id));
        this->leavingEntry() = other;
        this->publish();
        CHECK_FALSE(proxy.health.contains(listed.id));
    }
    CHECK(recordLeaving(proxy.leavingTargets, listed, BootClock::now()));
    CHECK(isLeaving(proxy.leavingTargets, listed));
    CHECK_FALSE(isLeaving(proxy.leavingTargets, others[0]));
}
