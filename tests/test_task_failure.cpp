/** @file test_task_failure.cpp What the owner of a task does after an exception has ended it. */
#include "core/task_func.h"
#include "entry/peer_link_func.h"
#include "peer/status_exchange_func.h"
#include "store/key_mirror_func.h"
#include "support/jobs_fixture.h"

#include <stdexcept>

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;

namespace {

/** Throws in the first @p count calls. */
struct Failing {
    std::shared_ptr<unsigned> left;

    explicit Failing(unsigned count)
        : left(std::make_shared<unsigned>(count))
    {
    }

    void call() const
    {
        if (*this->left > 0) {
            --*this->left;
            throw std::length_error("unexpected");
        }
    }
};

/** Two hosts whose calls can be made to throw. */
struct TaskFailureFixture : JobsFixture {
    TaskFailureFixture()
    {
        this->setPlan({.events = 3, .step = 1ms});
    }

    /** Makes the first @p count reads of keys with @p prefix throw at @p host. */
    static void failReads(EntryTestHost &host, const std::string &prefix, unsigned count)
    {
        auto store = std::make_shared<KvStore>(*host.jobs->store);
        store->get = [inner = store->get, failing = Failing(count), prefix](std::string key, KvFreshness freshness) {
            if (key.starts_with(prefix)) {
                failing.call();
            }
            return inner(std::move(key), freshness);
        };
        host.jobs->store = std::move(store);
    }

    /** Makes the first @p count transactions that write a key with @p prefix throw at @p host. */
    static void failWrites(EntryTestHost &host, const std::string &prefix, unsigned count)
    {
        auto store = std::make_shared<KvStore>(*host.jobs->store);
        store->commit = [inner = store->commit, failing = Failing(count), prefix](KvTransaction transaction) {
            for (const KvWrite &write : transaction.writes) {
                if (write.key.starts_with(prefix)) {
                    failing.call();
                }
            }
            return inner(std::move(transaction));
        };
        host.jobs->store = std::move(store);
    }

    void checkCompleted(EntryTestHost &host, std::size_t items)
    {
        const auto read = this->results(host, "j1", items, 8s);
        REQUIRE(read.size() == items);
        for (const auto &entry : read) {
            CHECK(entry.at("state") == "completed");
        }
    }
};

} // namespace

// Guards against an accepted item that is neither run again nor listed after an exception has ended its run (review/8).
TEST_CASE_METHOD(TaskFailureFixture, "itemRun_endsWithAnException_isRunAgain")
{
    this->a->proxy->wire.encode = [inner = this->a->proxy->wire.encode, failing = Failing(2)](const ProxyCall &call, const TargetRequestParams &params) {
        failing.call();
        return inner(call, params);
    };
    REQUIRE(this->submit(*this->a, "j1", 3).status == 202);
    this->checkCompleted(*this->a, 3);
}

// Guards against results that are never listed, because the write of the first ones ended with an exception.
TEST_CASE_METHOD(TaskFailureFixture, "writeOfResults_endsWithAnException_isRepeated")
{
    REQUIRE(this->submit(*this->a, "j1", 2).status == 202);
    failWrites(*this->a, "results/", 1);
    this->checkCompleted(*this->a, 2);
}

// Guards against a job that its new owner never runs, because its first load ended with an exception.
TEST_CASE_METHOD(TaskFailureFixture, "loadOfAJob_endsWithAnException_isRepeated")
{
    this->a->runner.reset();
    REQUIRE(this->submit(*this->a, "j1", 2).status == 202);
    failReads(*this->b, "bodies/", 1);
    this->a.reset();
    this->publishAll();
    this->checkCompleted(*this->b, 2);
}

// Guards against a job that stays without an owner, because the first claim ended with an exception.
TEST_CASE_METHOD(TaskFailureFixture, "claimOfAJob_endsWithAnException_isRepeated")
{
    this->a->runner.reset();
    REQUIRE(this->submit(*this->a, "j1", 2).status == 202);
    failWrites(*this->b, "jobs/", 1);
    this->a.reset();
    this->publishAll();
    this->checkCompleted(*this->b, 2);
}

// Guards against items that never start, because the read that has to confirm the job's record ended with an exception.
TEST_CASE_METHOD(TaskFailureFixture, "readOfARecord_endsWithAnException_isRepeated")
{
    this->setPlan({.status = 503});
    REQUIRE(this->submit(*this->a, "j1", 1).status == 202);
    this->runFor(3s); // By now the record is too old for a start of items.
    failReads(*this->a, "jobs/", 1);
    this->setPlan({.events = 3, .step = 1ms});
    this->checkCompleted(*this->a, 1);
}

// Guards against a host that follows a prefix no longer, because one key in it could not be handled.
TEST_CASE_METHOD(TaskFailureFixture, "keyMirror_handlerThrowsForOneKey_otherKeysAreStillFollowed")
{
    const auto mirror = KeyMirror::create(standin::storeInterface(this->store), {.prefix = "t/"}, 1);
    std::map<std::string, std::string> handled;
    mirror->onUpdate = [&handled](const KeyMirrorUpdate &update) {
        for (const KvItem &item : update.changed) {
            if (item.value == "bad") {
                throw std::runtime_error("cannot be handled");
            }
            handled[item.key] = item.value;
        }
    };
    startLoop(this->loop.get_executor(), "test", [mirror] {
        return runKeyMirror(mirror);
    });
    putKey(*this->store, "t/a", "1");
    putKey(*this->store, "t/b", "bad");
    putKey(*this->store, "t/c", "1");
    this->runFor(100ms);
    putKey(*this->store, "t/a", "2");
    this->runFor(100ms);
    CHECK(handled["t/a"] == "2");
    CHECK(handled["t/c"] == "1");
    CHECK_FALSE(handled.contains("t/b"));
    mirror->stopped = true;
}

namespace {

/** A host that sends its status to a socket of the test. */
struct StatusFailureFixture : EntryFixture {
    EntryTestHost host{*this, "front-1", false};
    unsigned received{0}; ///< Statuses that the handler has taken.
    Failing handlerFailure{0}; ///< Failures of the handler.
    std::unique_ptr<StatusExchange> socket;
    std::unique_ptr<PeerLink> link;

    StatusFailureFixture()
    {
        StatusHandlers handlers;
        handlers.onStatus = [this](const HostStatus & /*status*/) {
            this->handlerFailure.call();
            ++this->received;
        };
        auto opened = StatusExchange::create(this->loop.get_executor(), {"127.0.0.1", 0}, std::move(handlers));
        REQUIRE(isOk(opened));
        this->socket = std::move(valueOf(opened));
    }

    /** Starts to send the status; the first @p failures statuses cannot be made. */
    void start(unsigned failures)
    {
        PeerLinkOptions options{HostId{"front-1"}, SessionId{"session-front-1"}, DomainId{"north"}, {"127.0.0.1", freePort()}};
        options.onStatus = [](const HostStatus & /*status*/) {
        };
        options.completeStatus = [failing = Failing(failures)](HostStatus & /*status*/) {
            failing.call();
        };
        auto snapshot = std::make_shared<FleetSnapshot>(*this->host.proxy->fleet);
        snapshot->peers = {{HostId{"front-2"}, SessionId{"session-front-2"}, DomainId{"north"}, {"127.0.0.1", listenPort(*this->socket)}}};
        applyFleet(*this->host.proxy, std::move(snapshot));
        auto created = PeerLink::create(this->host.proxy, std::move(options));
        REQUIRE(isOk(created));
        this->link = std::move(valueOf(created));
        updatePeers(*this->link);
    }
};

} // namespace

// Guards against a host that is taken for lost by all others, because one status could not be made.
TEST_CASE_METHOD(StatusFailureFixture, "statusOfAHost_endsWithAnException_isSentAgain")
{
    this->start(1);
    CHECK(this->runUntil(
        [this] {
            return this->received > 1;
        },
        2s));
}

// Guards against a host that hears of no other host any more, because it could not handle one datagram.
TEST_CASE_METHOD(StatusFailureFixture, "datagramOfAHost_handlerThrows_laterOnesAreReceived")
{
    this->handlerFailure = Failing(1);
    this->start(0);
    CHECK(this->runUntil(
        [this] {
            return this->received > 1;
        },
        2s));
}
