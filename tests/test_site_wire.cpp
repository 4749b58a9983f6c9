/** @file test_site_wire.cpp The platform's wire formats: settings, documents, calls and jobs; the client of its store. */
#include "call_wire_func.h"
#include "documents_func.h"
#include "names.h"
#include "settings_func.h"
#include "store_client_func.h"
#include "store_server_func.h"
#include "support/process_func.h"
#include "support/target_entry.h"

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;

namespace {

constexpr const char *validSettings = R"(
node = "front-north-1"
role = "entry"
serves = ["front","control"]
ip = "10.1.0.35"
zone = "north"
internal_ports = [7660,7675]
unknown = { a = 1 }
[listen]
front = "10.1.0.35:8144"
readiness = "10.1.0.35:8140"
[limits]
memory_mb = 260
fds = 4200
[bounds]
grace_s = 8
[platform]
address = "10.200.1.7:8142"
)";

/** The store's client and a server of the store's wire format. */
struct StoreClientFixture : TestLoop {
    std::shared_ptr<MemoryStore> memory{MemoryStore::create(loop.get_executor())}; ///< Contents of the store.
    std::unique_ptr<HttpServer> server; ///< Serves the contents over HTTP.
    std::shared_ptr<const KvStore> store; ///< Client under test.

    StoreClientFixture()
    {
        auto served = serveStore(this->memory);
        REQUIRE(isOk(served));
        this->server = std::move(valueOf(served));
        this->store = platform::makeStoreClient(this->http, {"127.0.0.1", listenPort(*this->server)}, MetricsRegistry::create());
    }

    Result<KvTransactionResult> commit(const KvTransaction &transaction)
    {
        return this->run(this->store->commit(transaction));
    }
};

/** @return @p text without the rest of the line from the first occurrence of @p line. */
std::string textWithout(std::string text, const std::string &line)
{
    const std::size_t at = text.find(line);
    REQUIRE(at != std::string::npos);
    return text.erase(at, text.find('\n', at) - at);
}

} // namespace

TEST_CASE("settings_ofAnEntryHost_areRead", "[settings]")
{
    auto settings = platform::decodeSettings(validSettings);
    REQUIRE(isOk(settings));
    const auto &read = valueOf(settings);
    CHECK(read.servesCallers);
    CHECK(read.entry.host.value == "front-north-1");
    CHECK(read.entry.domain.value == "north");
    CHECK(read.entry.callers == Endpoint{"10.1.0.35", 8144});
    CHECK(read.entry.readiness == Endpoint{"10.1.0.35", 8140});
    CHECK(read.entry.peers == Endpoint{"10.1.0.35", 7660});
    CHECK(read.entry.stopLimit == 8s);
    CHECK(read.store == Endpoint{"10.200.1.7", 8142});
}

// Guards against limits on revocation that are not read, and against proofs in deployments that do not ask for them.
TEST_CASE("settings_boundsOfAccess_areReadOrHaveDefaults", "[settings]")
{
    const auto plain = platform::decodeSettings(validSettings);
    REQUIRE(isOk(plain));
    CHECK_FALSE(valueOf(plain).entry.access.revokesEverywhere);
    CHECK(valueOf(plain).entry.access.revocationLimit == 5000ms);
    CHECK(valueOf(plain).entry.access.configLimit == 3000ms);
    CHECK(valueOf(plain).entry.access.quotaOverage == 0.1);
    std::string text = validSettings;
    text.insert(text.find("grace_s"), "revoke_everywhere = true\nrevoke_ms = 6000\nconfig_apply_ms = 2000\nquota_overage = 0.2\n");
    const auto bounded = platform::decodeSettings(text);
    REQUIRE(isOk(bounded));
    CHECK(valueOf(bounded).entry.access.revokesEverywhere);
    CHECK(valueOf(bounded).entry.access.revocationLimit == 6000ms);
    CHECK(valueOf(bounded).entry.access.configLimit == 2000ms);
    CHECK(valueOf(bounded).entry.access.quotaOverage == 0.2);
}

// Guards against settings of client limits that have no effect, and against defaults that a legal client meets.
TEST_CASE("settings_clientLimits_areReadOrHaveDefaults", "[settings]")
{
    const auto defaults = platform::decodeSettings(validSettings);
    REQUIRE(isOk(defaults));
    CHECK(valueOf(defaults).entry.clients.memoryMegabytes == 0);
    CHECK(valueOf(defaults).entry.clients.memoryWait == 5s);
    CHECK(valueOf(defaults).entry.clients.body.stall == 30s);
    CHECK(valueOf(defaults).entry.clients.body.grace == 30s);
    CHECK(valueOf(defaults).entry.clients.body.minRate == 16384);
    const auto set = platform::decodeSettings(std::string(validSettings)
                                              + "\n[skylark]\ncaller_memory_mb = 20\nmemory_wait_ms = 700\nbody_stall_ms = 800\nbody_grace_ms = 900\n"
                                                "body_min_bytes_per_s = 1000\nunknown = 1\n");
    REQUIRE(isOk(set));
    CHECK(valueOf(set).entry.clients.memoryMegabytes == 20);
    CHECK(valueOf(set).entry.clients.memoryWait == 700ms);
    CHECK(valueOf(set).entry.clients.body.stall == 800ms);
    CHECK(valueOf(set).entry.clients.body.grace == 900ms);
    CHECK(valueOf(set).entry.clients.body.minRate == 1000);
}

TEST_CASE("settings_withMistakes_nameEachByItsKey", "[settings]")
{
    std::string text = textWithout(textWithout(validSettings, "zone ="), "readiness =");
    text = textWithout(text, "fds =") + "\n";
    text.replace(text.find("memory_mb = 260"), 15, "memory_mb = \"x\"");
    const auto refused = platform::decodeSettings(text);
    REQUIRE_FALSE(isOk(refused));
    for (const char *key : {"zone:", "listen.readiness:", "limits.memory_mb:"}) {
        CHECK(errorOf(refused).detail.find(key) != std::string::npos);
    }
    CHECK_FALSE(isOk(platform::decodeSettings("node = ")));
    CHECK_FALSE(isOk(platform::readSettings("/nowhere/settings.toml")));
}

TEST_CASE("config_withAllKindsOfRoutes_isRead", "[documents]")
{
    const auto decoded = platform::decodeConfig(R"({"version":7,"routes":[
        {"name":"r1","host":"h","prefix":"/a/","kind":"streaming","timeout_ms":5000,"target_latency_ms":300,"service":"s","max_attempts":2,"resumable":true},
        {"name":"r2","host":"h","prefix":"/b/","kind":"safe","timeout_ms":1000,"weighted_services":[{"service":"s","weight":90},{"service":"t","weight":10}]},
        {"name":"r3","host":"h","prefix":"/c/","kind":"batch","service":"s","completion_target_ms":18000,"retention_s":60.5,"max_count":1600000}],
        "services":[],"limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_timeout_ms":3000,"idle_timeout_ms":15000}})");
    REQUIRE(isOk(decoded));
    const RoutingConfig &config = valueOf(decoded);
    CHECK(config.version.value == 7);
    REQUIRE(config.routes.size() == 3);
    CHECK(config.routes[0].resumable);
    CHECK(config.routes[0].timeout == 5s);
    CHECK(config.routes[1].services.size() == 2);
    CHECK(config.routes[1].maxAttempts == 1);
    CHECK(config.routes[2].retention == 60500ms);
    CHECK(config.routes[2].maxWaitingTokens == 1600000);
    CHECK(config.limits.maxBodyBytes == 1000);
}

TEST_CASE("config_invalidInAnyPart_isRefusedAsAWhole", "[documents]")
{
    for (const char *document : {"",
                                 "7",
                                 "{}",
                                 R"({"version":1,"routes":[7]})",
                                 R"({"version":1,"routes":[{"host":"h","prefix":"/a/","kind":"odd","service":"s"}]})",
                                 R"({"version":1,"routes":[{"host":"h","prefix":"/a","kind":"safe","service":"s"}]})",
                                 R"({"version":1,"routes":[{"host":"h","prefix":"/a/","kind":"safe"}]})"}) {
        CHECK_FALSE(isOk(platform::decodeConfig(document)));
    }
}

TEST_CASE("targetEntry_startOfTheTarget_isReadOrTheEntryIsRefused", "[documents]")
{
    const auto decode = [](const std::string &members) {
        const std::string entry = boost::json::serialize(test::targetEntryObject());
        return platform::decodeTarget("i-1", entry.substr(0, entry.size() - 1) + members + "}");
    };
    for (const char *whole : {R"(,"born":1764892000123)", R"(,"born":1764892000123.0)"}) {
        const auto entry = decode(whole);
        REQUIRE(isOk(entry));
        CHECK(valueOf(entry).born == UnixTime(1764892000123ms));
    }
    const auto without = decode("");
    REQUIRE(isOk(without));
    CHECK_FALSE(valueOf(without).born);
    for (const char *invalid : {R"(,"born":"1764892000123")", R"(,"born":1.5)", R"(,"born":-1)", R"(,"born":null)", R"(,"born":1e300)"}) {
        CHECK_FALSE(isOk(decode(invalid)));
    }
}

// Guards against requests to a target whose entry another writer has overwritten with one that lacks fields (review/4).
TEST_CASE("targetEntry_withoutAFieldOfTheFormat_isRefused", "[documents]")
{
    for (const char *name : {"service", "address", "zone", "version", "slots", "state", "cold_remaining_ms", "sequence"}) {
        INFO(name);
        boost::json::object entry = test::targetEntryObject();
        entry.erase(name);
        const auto without = platform::decodeTarget("i-1", boost::json::serialize(entry));
        REQUIRE_FALSE(isOk(without));
        CHECK(errorOf(without).param == name);
        CHECK(errorOf(without).detail.find(name) != std::string::npos);
        for (const boost::json::value &odd : {boost::json::value(nullptr), boost::json::value(boost::json::array{1}), boost::json::value(true)}) {
            CHECK_FALSE(isOk(platform::decodeTarget("i-1", boost::json::serialize(test::targetEntryWith(name, odd)))));
        }
    }
}

TEST_CASE("targetEntry_fieldOfAnotherType_isRefused", "[documents]")
{
    const std::vector<std::pair<std::string, boost::json::value>> fields{{"service", ""},
                                                                         {"service", 7},
                                                                         {"address", "nowhere"},
                                                                         {"address", "127.0.0.1:0"},
                                                                         {"address", "target.example:80"},
                                                                         {"zone", ""},
                                                                         {"zone", 3},
                                                                         {"version", 1},
                                                                         {"slots", 0},
                                                                         {"slots", -4},
                                                                         {"slots", "4"},
                                                                         {"slots", 1.5},
                                                                         {"slots", 5000000000},
                                                                         {"state", "asleep"},
                                                                         {"cold_remaining_ms", "0"},
                                                                         {"cold_remaining_ms", -1},
                                                                         {"sequence", "4"},
                                                                         {"sequence", -1},
                                                                         {"sequence", 1.5}};
    for (const auto &[name, value] : fields) {
        const std::string entry = boost::json::serialize(test::targetEntryWith(name, value));
        INFO(entry);
        CHECK_FALSE(isOk(platform::decodeTarget("i-1", entry)));
    }
}

TEST_CASE("targetEntry_withUnknownFields_isRead", "[documents]")
{
    const auto entry = platform::decodeTarget("i-1", boost::json::serialize(test::targetEntryWith("stage", "combined")));
    REQUIRE(isOk(entry));
    CHECK(valueOf(entry).service.value == "s");
    CHECK(valueOf(entry).domain.value == "north");
    CHECK(valueOf(entry).slots == 4);
    CHECK_FALSE(valueOf(entry).leaving);
}

TEST_CASE("call_toATarget_hasSystemHeadersAndNoHopByHopHeaders", "[calls]")
{
    const CallWire wire = platform::makeCallWire();
    HttpRequest request;
    request.method = "POST";
    request.target = "/a/b?c=d";
    request.headers = {{"Host", "h.example"},
                       {"X-Skylarkstage-Request-Id", "q1"},
                       {"X-Skylarkstage-Deadline-Ms", "5000"},
                       {"Last-Event-Id", "12"},
                       {"Connection", "keep-alive, X-Hop"},
                       {"X-Hop", "1"},
                       {"X-Custom", "v"},
                       {"X-Skylarkstage-Expect-Instance", "forged"}};
    auto decoded = wire.decode(request);
    REQUIRE(isOk(decoded));
    const auto &call = std::get<ProxyCall>(valueOf(decoded));
    CHECK(call.callerTimeout == 5000ms);
    CHECK(call.lastEventId == 12);
    const HttpRequest sent = wire.encode(call, {TargetId{"i-1"}, 4200ms, 15});
    CHECK(headerValue(sent.headers, "Host") == "h.example");
    CHECK(headerValue(sent.headers, "X-Skylarkstage-Expect-Instance") == "i-1");
    CHECK(headerValue(sent.headers, "X-Skylarkstage-Deadline-Ms") == "4200");
    CHECK(headerValue(sent.headers, "Last-Event-Id") == "15");
    CHECK(headerValue(sent.headers, "X-Custom") == "v");
    CHECK(headerValue(sent.headers, "X-Hop").empty());
    CHECK(headerValue(sent.headers, "Connection").empty());
    CHECK(sent.target == "/a/b?c=d");
}

// Guards against a number with trailing text that is read as the number in front of it.
TEST_CASE("call_numberHeaderWithTrailingText_isIgnored", "[calls]")
{
    const CallWire wire = platform::makeCallWire();
    HttpRequest request;
    request.method = "POST";
    request.target = "/a/b";
    request.headers = {{"Host", "h.example"}, {"X-Skylarkstage-Request-Id", "q1"}, {"X-Skylarkstage-Deadline-Ms", "5000abc"}, {"Last-Event-Id", "12 x"}};
    auto decoded = wire.decode(request);
    REQUIRE(isOk(decoded));
    CHECK_FALSE(std::get<ProxyCall>(valueOf(decoded)).callerTimeout);
    CHECK(std::get<ProxyCall>(valueOf(decoded)).lastEventId == 0);
}

TEST_CASE("answerHead_fromATarget_statesWhetherTheRequestRan", "[calls]")
{
    const CallWire wire = platform::makeCallWire();
    CHECK(wire.readAnswerHead(503, {{"X-Skylarkstage-Not-Executed", "1"}}).notRun);
    CHECK(wire.readAnswerHead(421, {}).notRun);
    CHECK_FALSE(wire.readAnswerHead(503, {}).notRun);
    CHECK_FALSE(wire.readAnswerHead(500, {{"X-Skylarkstage-Request-Id", "q"}}).notRun);
}

// Guards against a rate limit of another instance, at an address that has changed hands, that is taken as the target's own.
TEST_CASE("answerHead_ofAnotherInstance_namesNoRateLimit", "[calls]")
{
    const CallWire wire = platform::makeCallWire();
    CHECK(wire.readAnswerHead(503, {{"Server-Limit", "2.5"}}).rateLimit == 2.5);
    CHECK_FALSE(wire.readAnswerHead(421, {{"Server-Limit", "2.5"}}).rateLimit);
}

// Guards against a target that is taken as leaving because another instance at its address says so.
TEST_CASE("answerHead_saysThatTheTargetLeaves_unlessAnotherInstanceMayHaveAnswered", "[calls]")
{
    const CallWire wire = platform::makeCallWire();
    for (const int status : {200, 404, 429, 500, 503}) {
        CHECK(wire.readAnswerHead(status, {{"server-leaving", "1"}}).leaving);
        CHECK_FALSE(wire.readAnswerHead(status, {}).leaving);
        CHECK_FALSE(wire.readAnswerHead(status, {{"Server-Leaving", "0"}}).leaving);
    }
    CHECK_FALSE(wire.readAnswerHead(421, {{"Server-Leaving", "1"}}).leaving);
    CHECK(wire.readAnswerHead(200, {{"X-Skylarkstage-Instance-Id", "i-2"}}).instance == TargetId{"i-2"});
    CHECK(wire.readAnswerHead(200, {}).instance.empty());
}

TEST_CASE("submission_items_areDecodedOrNamed", "[jobs]")
{
    const CallWire wire = platform::makeCallWire();
    ProxyCall call;
    call.body = R"({"items":[{"id":"e5","path":"/p/3","headers":{"X-Skylarkstage-Model":"m"},"body":"q83vEjRWeJA=","tokens":940}]})";
    auto submission = wire.decodeSubmission(call);
    REQUIRE(isOk(submission));
    const JobItem &item = valueOf(submission).items.at(0);
    CHECK(item.body == "\xab\xcd\xef\x12\x34\x56\x78\x90");
    CHECK(item.tokens == 940);
    CHECK(headerValue(item.headers, "X-Skylarkstage-Model") == "m");
    for (const char *body :
         {"", "{}", R"({"items":[]})", R"({"items":[7]})", R"({"items":[{"id":"a","path":"no slash"}]})", R"({"items":[{"id":"a","path":"/p","body":"*"}]})"}) {
        call.body = body;
        CHECK_FALSE(isOk(wire.decodeSubmission(call)));
    }
}

TEST_CASE("page_ofResults_hasThePlatformsWireFormat", "[jobs]")
{
    JobPage page{40, 14, {{"a", ItemState::Completed, "x\ny"}, {"b", ItemState::Failed, ""}}};
    CHECK(platform::makeCallWire().encodePage(page)
          == R"({"total":40,"next":14,"results":[{"id":"a","state":"completed","text":"x\ny"},{"id":"b","state":"dead_letter","text":""}]})");
}

TEST_CASE_METHOD(StoreClientFixture, "storeClient_keysAndRanges_keepAnyBytes")
{
    const std::string bytes("\0\xff\n\"x", 5);
    KvTransaction write;
    write.conditions = {{"p/a", 0}};
    write.writes = {{"p/a", bytes, 0}, {"p/b", "2", 0}};
    auto made = this->commit(write);
    REQUIRE(isOk(made));
    CHECK(valueOf(made).applied);
    auto item = this->run(this->store->get("p/a", KvFreshness::Linearizable));
    REQUIRE(isOk(item));
    REQUIRE(valueOf(item));
    CHECK(valueOf(item)->value == bytes);
    CHECK(valueOf(item)->revision == valueOf(made).revision);
    auto none = this->run(this->store->get("p/none", KvFreshness::Stale));
    REQUIRE(isOk(none));
    CHECK_FALSE(valueOf(none));
    auto page = this->run(this->store->range("p/", "p/a", KvFreshness::Linearizable));
    REQUIRE(isOk(page));
    CHECK(valueOf(page).items.size() == 1);
}

TEST_CASE_METHOD(StoreClientFixture, "storeClient_conditionFails_returnsThePresentItems")
{
    putKey(*this->memory, "p/a", "1");
    KvTransaction write;
    write.conditions = {{"p/a", 0}, {"p/absent", 0}};
    write.writes = {{"p/a", "2", 0}};
    auto refused = this->commit(write);
    REQUIRE(isOk(refused));
    CHECK_FALSE(valueOf(refused).applied);
    REQUIRE(valueOf(refused).currentItems.size() == 1);
    CHECK(valueOf(refused).currentItems[0].value == "1");
}

TEST_CASE_METHOD(StoreClientFixture, "storeClient_watch_reportsChangesAndCompaction")
{
    putKey(*this->memory, "p/a", "1");
    auto changes = this->run(this->store->watch("p/", 0, 1s, nullptr));
    REQUIRE(isOk(changes));
    REQUIRE(valueOf(changes).items.size() == 1);
    const std::uint64_t seen = valueOf(changes).storeRevision;
    auto nothing = this->run(this->store->watch("p/", seen, 100ms, nullptr));
    REQUIRE(isOk(nothing));
    CHECK(valueOf(nothing).items.empty());
    removeKey(*this->memory, "p/a");
    auto removed = this->run(this->store->watch("p/", seen, 1s, nullptr));
    REQUIRE(isOk(removed));
    CHECK(valueOf(removed).items.at(0).deleted);
    this->memory->compactedTo = this->memory->revision;
    auto gone = this->run(this->store->watch("p/", seen, 1s, nullptr));
    REQUIRE(isOk(gone));
    CHECK(valueOf(gone).compacted);
}

TEST_CASE_METHOD(StoreClientFixture, "storeClient_leases_endWithTheirKeys")
{
    auto lease = this->run(this->store->grantLease(5s));
    REQUIRE(isOk(lease));
    KvTransaction write;
    write.writes = {{"p/a", "1", valueOf(lease)}};
    REQUIRE(isOk(this->commit(write)));
    CHECK(isOk(this->run(this->store->renewLease(valueOf(lease)))));
    CHECK(isOk(this->run(this->store->endLease(valueOf(lease)))));
    const auto renewed = this->run(this->store->renewLease(valueOf(lease)));
    REQUIRE_FALSE(isOk(renewed));
    CHECK(errorOf(renewed).code == ErrorCode::LeaseExpired);
    const auto late = this->commit(write);
    REQUIRE_FALSE(isOk(late));
    CHECK(errorOf(late).code == ErrorCode::LeaseExpired);
}

// Guards against a write that may have taken effect being reported as not done, and against a read being reported with an unknown outcome.
TEST_CASE_METHOD(StoreClientFixture, "storeClient_failures_sayWhetherAWriteMayHaveTakenEffect")
{
    KvTransaction write;
    write.writes = {{"p/a", "1", 0}};
    this->memory->faults.down = true;
    const auto refused = this->commit(write);
    REQUIRE_FALSE(isOk(refused));
    CHECK(errorOf(refused).code == ErrorCode::PlatformUnavailable);
    this->memory->faults.down = false;
    const auto abortingServer =
        HttpServer::create(this->loop.get_executor(), {.listen = {"127.0.0.1", 0}}, [](HttpRequest, HttpResponder &responder) -> boost::asio::awaitable<void> {
            abortConnection(responder);
            co_return;
        });
    REQUIRE(isOk(abortingServer));
    const auto other = platform::makeStoreClient(this->http, {"127.0.0.1", listenPort(*valueOf(abortingServer))}, MetricsRegistry::create());
    const auto unknown = this->run(other->commit(write));
    REQUIRE_FALSE(isOk(unknown));
    CHECK(errorOf(unknown).code == ErrorCode::OutcomeUnknown);
    const auto read = this->run(other->get("p/a", KvFreshness::Linearizable));
    REQUIRE_FALSE(isOk(read));
    CHECK(errorOf(read).code == ErrorCode::PlatformUnavailable);
}

TEST_CASE_METHOD(StoreClientFixture, "storeClient_garbage_isAnErrorAndNotAnEmptyAnswer")
{
    const auto garbageServer =
        HttpServer::create(this->loop.get_executor(), {.listen = {"127.0.0.1", 0}}, [](HttpRequest, HttpResponder &responder) -> boost::asio::awaitable<void> {
            HttpResponse response;
            response.body = "garbage";
            co_await sendResponse(responder, std::move(response));
        });
    REQUIRE(isOk(garbageServer));
    const auto other = platform::makeStoreClient(this->http, {"127.0.0.1", listenPort(*valueOf(garbageServer))}, MetricsRegistry::create());
    CHECK_FALSE(isOk(this->run(other->get("k", KvFreshness::Linearizable))));
    CHECK_FALSE(isOk(this->run(other->range("k", "", KvFreshness::Stale))));
    CHECK_FALSE(isOk(this->run(other->watch("k", 1, 100ms, nullptr))));
    KvTransaction write;
    write.writes = {{"p/a", "1", 0}};
    const auto made = this->commit(write);
    CHECK(isOk(made));
    const auto unknown = this->run(other->commit(write));
    REQUIRE_FALSE(isOk(unknown));
    CHECK(errorOf(unknown).code == ErrorCode::OutcomeUnknown);
}
