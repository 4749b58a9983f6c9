/** @file test_workspaces.cpp Callers with API keys: admission, the workspace's name at targets, and the configuration that lists them. */
#include "core/hash_func.h"
#include "documents_func.h"
#include "fleet/workspace_func.h"
#include "support/entry_fixture.h"

#include <boost/algorithm/string/predicate.hpp>

using namespace skylark;
using namespace skylark::test;
using namespace skylark::standin;
using namespace std::chrono_literals;

namespace {

constexpr const char *apiKey = "X-Api-Key";
constexpr const char *tenant = "X-Skylarkstage-Tenant";

WorkspaceRule workspace(const std::string &name, std::vector<std::string> keys, unsigned priority = 0)
{
    WorkspaceRule rule;
    rule.id.value = name;
    rule.keys = std::move(keys);
    rule.priority = priority;
    return rule;
}

/** One host and one replica; the route "lookup" needs a key, "order" is public. */
struct KeyFixture : EntryFixture {
    standin::Replica &replica{this->addReplica("i-1")};
    std::unique_ptr<EntryTestHost> host;

    KeyFixture()
    {
        this->config->workspaces = {workspace("acme", {"key-a1", "key-a2"}), workspace("beta", {"key-b"})};
        this->routeNamed("order").isPublic = true;
        this->replica.plan = [](const HttpRequest & /*request*/, unsigned /*number*/) {
            return ReplicaPlan{.stream = false};
        };
        this->host = std::make_unique<EntryTestHost>(*this, "front-1", false);
    }

    int statusOf(const std::string &id, const std::string &path, const HttpHeaders &headers)
    {
        HttpRequest request = EntryTestHost::request(id, path);
        request.headers.insert(request.headers.end(), headers.begin(), headers.end());
        return this->host->send(std::move(request)).status;
    }

    /** @return Values of the header @p name in the last run, separated by commas. */
    [[nodiscard]] std::string lastRunHeader(const std::string &name) const
    {
        REQUIRE(!this->replica.runs.empty());
        std::string values;
        for (const HttpHeader &header : this->replica.runs.back()->headers) {
            if (boost::algorithm::iequals(header.name, name)) {
                values += (values.empty() ? "" : ",") + header.value;
            }
        }
        return values;
    }
};

std::string documentWith(const std::string &members)
{
    return R"({"version":1,"routes":[])" + members + "}";
}

} // namespace

// Guards against a key that reaches a target, and a target that does not learn the workspace.
TEST_CASE_METHOD(KeyFixture, "key_known_targetGetsTheWorkspaceAndNotTheKey")
{
    CHECK(this->statusOf("r1", "/lookup/1", {{apiKey, "key-a2"}}) == 200);
    CHECK(this->lastRunHeader(tenant) == "acme");
    CHECK(this->lastRunHeader(apiKey).empty());
    CHECK(this->statusOf("r2", "/lookup/1", {{"x-API-key", "key-b"}}) == 200);
    CHECK(this->lastRunHeader(tenant) == "beta");
    CHECK(this->lastRunHeader(apiKey).empty());
}

// Guards against callers without a valid key, and against any reading of the header but the key itself.
TEST_CASE_METHOD(KeyFixture, "key_missingUnknownRepeatedOrDecorated_isRefusedAndNotRun")
{
    CHECK(this->statusOf("r1", "/lookup/1", {}) == 401);
    CHECK(this->statusOf("r2", "/lookup/1", {{apiKey, "key-x"}}) == 401);
    CHECK(this->statusOf("r3", "/lookup/1", {{apiKey, "key-a1"}, {apiKey, "key-a1"}}) == 401);
    CHECK(this->statusOf("r4", "/lookup/1", {{apiKey, "Bearer key-a1"}}) == 401);
    CHECK(this->statusOf("r5", "/lookup/1", {{apiKey, "key-a1, key-a2"}}) == 401);
    CHECK(this->statusOf("r6", "/lookup/1", {{apiKey, ""}}) == 401);
    CHECK(this->statusOf("r7", "/lookup/1", {{"Authorization", "key-a1"}}) == 401);
    CHECK(this->replica.arrivals == 0);
}

// Guards against a caller that names a workspace itself.
TEST_CASE_METHOD(KeyFixture, "workspace_namedByTheCaller_isReplacedOrDropped")
{
    CHECK(this->statusOf("r1", "/lookup/1", {{apiKey, "key-a1"}, {tenant, "beta"}, {"x-skylarkstage-tenant", "beta"}}) == 200);
    CHECK(this->lastRunHeader(tenant) == "acme");
    CHECK(this->statusOf("r2", "/order/1", {{tenant, "beta"}}) == 200);
    CHECK(this->lastRunHeader(tenant).empty());
}

// Guards against an examination of the key on a public route, and against its way to the target.
TEST_CASE_METHOD(KeyFixture, "publicRoute_anyKey_isServedWithoutWorkspaceAndKey")
{
    CHECK(this->statusOf("r1", "/order/1", {}) == 200);
    CHECK(this->statusOf("r2", "/order/1", {{apiKey, "key-x"}, {apiKey, "key-y"}}) == 200);
    CHECK(this->statusOf("r3", "/order/1", {{apiKey, "key-a1"}}) == 200);
    CHECK(this->lastRunHeader(apiKey).empty());
    CHECK(this->lastRunHeader(tenant).empty());
}

// Guards against a change for deployments without workspaces, where both headers belong to the callers and targets.
TEST_CASE_METHOD(KeyFixture, "noWorkspaces_headers_areForwardedAsReceived")
{
    this->config->workspaces.reset();
    this->host->publish({});
    CHECK(this->statusOf("r1", "/lookup/1", {{apiKey, "own"}, {tenant, "own"}}) == 200);
    CHECK(this->lastRunHeader(apiKey) == "own");
    CHECK(this->lastRunHeader(tenant) == "own");
}

// Guards against a final refusal by a host that does not know the keys yet.
TEST_CASE_METHOD(KeyFixture, "noConfiguration_keyedRequest_isRefusedForNow")
{
    this->host->proxy->fleet = std::make_shared<const FleetSnapshot>();
    CHECK(this->statusOf("r1", "/lookup/1", {{apiKey, "key-a1"}}) == 503);
}

// Guards against a key that stays usable, or does not become usable, after a change of the configuration.
TEST_CASE_METHOD(KeyFixture, "configuration_changesKeys_nextRequestFollows")
{
    this->config->workspaces = {workspace("acme", {"key-a2", "key-new"})};
    this->config->version.value = 2;
    this->host->publish({});
    CHECK(this->statusOf("r1", "/lookup/1", {{apiKey, "key-a1"}}) == 401);
    CHECK(this->statusOf("r2", "/lookup/1", {{apiKey, "key-new"}}) == 200);
    CHECK(this->lastRunHeader(tenant) == "acme");
}

// Guards against a body or a metric that repeats the key.
TEST_CASE_METHOD(KeyFixture, "key_refused_isNotRepeatedInTheAnswerOrTheMetrics")
{
    HttpRequest request = EntryTestHost::request("r1", "/lookup/1");
    request.headers.push_back({apiKey, "sk-unknown-4711"});
    const HttpResponse answer = this->host->send(std::move(request));
    CHECK(answer.status == 401);
    CHECK(answer.body.find("4711") == std::string::npos);
    CHECK(renderMetrics(*this->host->proxy->metrics).find("4711") == std::string::npos);
}

// Guards against requests of two callers that count as repeats of one.
TEST_CASE("requestIdentity_keys_tellCallersApart", "[calls]")
{
    const CallWire wire = platform::makeCallWire();
    const auto identity = [&wire](const std::string &key) {
        HttpRequest request = EntryTestHost::request("r1", "/lookup/1");
        request.headers.push_back({apiKey, key});
        auto call = wire.decode(std::move(request));
        REQUIRE(isOk(call));
        return std::get<ProxyCall>(valueOf(call)).prompt.request;
    };
    CHECK(identity("key-a1") == identity("key-a1"));
    CHECK(identity("key-a1") != identity("key-b"));
}

// Guards against a search through all keys: 10,000 keys must cost what one costs.
TEST_CASE("findWorkspace_tenThousandKeys_examinesOneEntry", "[keys]")
{
    RoutingConfig config;
    config.workspaces.emplace();
    for (unsigned i = 0; i < 80; ++i) {
        config.workspaces->push_back(workspace("w" + std::to_string(i), {}));
        for (unsigned k = 0; k < 125; ++k) {
            config.workspaces->back().keys.push_back("key-" + std::to_string(i) + "-" + std::to_string(k));
        }
    }
    indexWorkspaces(config);
    REQUIRE(config.keys->entries.size() == 10000);
    CHECK(config.keys->entries.max_load_factor() <= 1.0F);
    std::size_t examined = 0;
    for (const WorkspaceRule &rule : *config.workspaces) {
        for (const std::string &key : rule.keys) {
            const WorkspaceRule *found = findWorkspace(config, key);
            REQUIRE(found != nullptr);
            CHECK(found->id == rule.id);
            examined = std::max(examined, config.keys->entries.count(hash64(key, config.keys->seed)));
        }
    }
    CHECK(examined <= 2);
    CHECK(findWorkspace(config, "key-0-125") == nullptr);
    CHECK(findWorkspace(config, "") == nullptr);
}

TEST_CASE("findWorkspace_keyOfTwoWorkspaces_belongsToTheFirst", "[keys]")
{
    RoutingConfig config;
    config.workspaces = {workspace("first", {"k"}), workspace("second", {"k", "own"})};
    indexWorkspaces(config);
    CHECK(findWorkspace(config, "k")->id.value == "first");
    CHECK(findWorkspace(config, "own")->id.value == "second");
    CHECK(config.keys->repeated == 1);
}

TEST_CASE("equalsInConstantTime_anyDifference_isFound", "[keys]")
{
    CHECK(equalsInConstantTime("abc", "abc"));
    CHECK_FALSE(equalsInConstantTime("abc", "abd"));
    CHECK_FALSE(equalsInConstantTime("abc", "xbc"));
    CHECK_FALSE(equalsInConstantTime("abc", "ab"));
    CHECK(equalsInConstantTime("", ""));
}

TEST_CASE("priorityOf_workspace_goesBeforeTheRoute", "[keys]")
{
    RoutingConfig config;
    RouteRule route;
    route.priority = 3;
    CHECK(priorityOf(config, route, WorkspaceId{"acme"}) == 3);
    config.workspaces = {workspace("acme", {"k"}, 1)};
    CHECK(priorityOf(config, route, WorkspaceId{"acme"}) == 1);
    CHECK(priorityOf(config, route, WorkspaceId{}) == 3);
    CHECK(priorityOf(config, route, WorkspaceId{"gone"}) == 3);
}

TEST_CASE("config_tenants_areRead", "[documents]")
{
    CHECK_FALSE(valueOf(platform::decodeConfig(documentWith(""))).workspaces);
    const auto decoded = platform::decodeConfig(
        documentWith(R"(,"tenants":[{"name":"acme","api_keys":["k1","k2"],"priority":2,"rate_per_s":2.5,"burst":10,"later":1},{"name":"beta"}])"));
    REQUIRE(isOk(decoded));
    const auto &workspaces = valueOf(decoded).workspaces;
    REQUIRE(workspaces);
    REQUIRE(workspaces->size() == 2);
    CHECK((*workspaces)[0].id.value == "acme");
    CHECK((*workspaces)[0].keys == std::vector<std::string>{"k1", "k2"});
    CHECK((*workspaces)[0].priority == 2);
    CHECK((*workspaces)[0].ratePerSecond == 2.5);
    CHECK((*workspaces)[0].burst == 10);
    CHECK((*workspaces)[1].keys.empty());
    // An empty list is a list: every route that is not public then refuses all callers.
    CHECK(valueOf(platform::decodeConfig(documentWith(R"(,"tenants":[])"))).workspaces);
}

// Guards against a key in the text of an error, which is logged.
TEST_CASE("config_invalidTenant_isRefusedWithoutItsKeys", "[documents]")
{
    for (const char *members : {R"(,"tenants":[{"api_keys":["sk-4711"]}])",
                                R"(,"tenants":[{"name":"acme","api_keys":["sk-4711",""]}])",
                                R"(,"tenants":[{"name":"acme","api_keys":["sk-4711",7]}])",
                                R"(,"tenants":["sk-4711"])",
                                R"(,"tenants":"sk-4711")"}) {
        const auto decoded = platform::decodeConfig(documentWith(members));
        REQUIRE_FALSE(isOk(decoded));
        CHECK(errorOf(decoded).detail.find("4711") == std::string::npos);
    }
}
