/** @file test_config.cpp Validation, resolution and serialization of template and workspace documents. */
#include "config/config_func.h"
#include "config/config_json_func.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace skylark;
using namespace std::chrono_literals;

namespace {

constexpr auto chatTemplate = R"({
    // Shared by all shops.
    "models": [{"name": "design-brief", "version": "v3", "adapters": ["mask"], "replicas": 4}],
    "services": [{"name": "web-shop", "calls": [{"method": "GET", "path_prefix": "/items", "repeatable": true}]}],
    "online": {"deadline_ms": 4000, "idle_timeout_ms": 1500, "hedge": true},
    "batch": {"share": 2, "tail_weight": 0.8, "shop_hours": {"from_minute": 300, "to_minute": 900}, "default_due_s": 3600}
})";

/** A fleet with one template and two workspaces. */
struct ConfigFixture {
    ConfigState state;
    std::shared_ptr<const FleetConfig> config; ///< Resolved from state.
    std::vector<ConfigMistake> mistakes; ///< Mistakes of the last resolution.

    ConfigFixture()
    {
        this->put(DocumentKind::Template, "chat", chatTemplate);
        this->put(DocumentKind::Workspace, "atelier", R"({"template": "chat", "api_keys": ["key-atelier"]})");
        this->put(DocumentKind::Workspace,
                  "shop",
                  R"({"template": "chat", "api_keys": ["key-shop-1", "key-shop-2"], "online": {"deadline_ms": 9000}, "models": [],
                      "when_record_unavailable": "pass"})");
    }

    void put(DocumentKind kind, const std::string &name, const std::string &body)
    {
        ++this->state.revision.value;
        this->state.documents[{kind, name}] = {.kind = kind, .name = name, .revision = this->state.revision, .docRevision = 1, .body = body};
        this->mistakes.clear();
        this->config = resolveConfig(this->state, this->mistakes);
    }

    /** @return The paths of all mistakes of a document. */
    [[nodiscard]] std::vector<std::string> pathsOf(DocumentKind kind, const std::string &name, const std::string &body) const
    {
        std::vector<std::string> paths;
        for (const ConfigMistake &mistake : validateDocument(*this->config, Document{.kind = kind, .name = name, .body = body})) {
            paths.push_back(mistake.path);
        }
        return paths;
    }
};

} // namespace

TEST_CASE_METHOD(ConfigFixture, "workspace_override_replacesOnlyNamedMembers")
{
    // Guards against an override of one member that resets the other members of its object to the built-in defaults.
    REQUIRE(this->mistakes.empty());
    const WorkspaceConfig &shop = this->config->workspaces.at(WorkspaceId{"shop"});
    CHECK(shop.online.deadline == 9000ms);
    CHECK(shop.online.idleTimeout == 1500ms);
    CHECK(shop.online.hedge);
    CHECK(shop.models.empty());
    CHECK(shop.services.size() == 1);
    CHECK(shop.batch.share == 2.0);
    CHECK(shop.batch.shopHours.toMinute == 900);
    CHECK(shop.whenRecordUnavailable == RecordUnavailable::Pass);
    CHECK(this->config->workspaces.at(WorkspaceId{"atelier"}).models.at(0).adapters == std::vector<std::string>{"mask"});
    CHECK(this->config->workspaceByKey.at("key-shop-2") == WorkspaceId{"shop"});
}

TEST_CASE_METHOD(ConfigFixture, "template_withSeveralMistakes_listsEachWithItsPath")
{
    // Guards against validation that stops at the first mistake.
    const auto paths = this->pathsOf(DocumentKind::Template, "chat", R"({
        "models": [{"name": "a", "version": "1"}, {"name": "a", "replicas": -1}, 5],
        "services": [{"name": "s", "calls": [{"method": "get", "path_prefix": "items", "repeatable": "yes"}]}],
        "online": {"deadline_ms": 0, "dead_line": 1},
        "batch": {"tail_weight": 1.5, "shop_hours": {"from_minute": 1441}},
        "when_record_unavailable": "maybe",
        "api_keys": ["key-of-a-template"]
    })");
    const std::vector<std::string> expected{"models[1].replicas",
                                            "models[1].version",
                                            "models[2]",
                                            "models[1].name",
                                            "services[0].calls[0].repeatable",
                                            "services[0].calls[0].method",
                                            "services[0].calls[0].path_prefix",
                                            "online.deadline_ms",
                                            "online.dead_line",
                                            "batch.tail_weight",
                                            "batch.shop_hours.from_minute",
                                            "batch.shop_hours.to_minute",
                                            "when_record_unavailable",
                                            "api_keys"};
    CHECK(std::is_permutation(paths.begin(), paths.end(), expected.begin(), expected.end()));
}

TEST_CASE_METHOD(ConfigFixture, "document_withSyntaxErrorOrBadName_isRefused")
{
    CHECK(this->pathsOf(DocumentKind::Template, "chat", "{").size() == 1);
    CHECK(this->pathsOf(DocumentKind::Template, "chat", "[]").size() == 1);
    CHECK(this->pathsOf(DocumentKind::Template, "a/b", "{}") == std::vector<std::string>{"name"});
    CHECK(this->pathsOf(DocumentKind::Template, "", "{}") == std::vector<std::string>{"name"});
    CHECK(this->pathsOf(DocumentKind::Template, "big", std::string(100000, ' ') + "{}").size() == 1);
}

TEST_CASE_METHOD(ConfigFixture, "workspace_withUnknownTemplate_isRefused")
{
    CHECK(this->pathsOf(DocumentKind::Workspace, "new", R"({"template": "none"})") == std::vector<std::string>{"template"});
    CHECK(this->pathsOf(DocumentKind::Workspace, "new", "{}") == std::vector<std::string>{"template"});
}

TEST_CASE_METHOD(ConfigFixture, "apiKey_usedTwice_isRefused")
{
    // Guards against an API key of two workspaces, with which the callers of one could act as the other.
    CHECK(this->pathsOf(DocumentKind::Workspace, "new", R"({"template": "chat", "api_keys": ["key-new-1", "key-atelier"]})")
          == std::vector<std::string>{"api_keys[1]"});
    CHECK(this->pathsOf(DocumentKind::Workspace, "new", R"({"template": "chat", "api_keys": ["key-new-1", "key-new-1"]})")
          == std::vector<std::string>{"api_keys[1]"});
    CHECK(this->pathsOf(DocumentKind::Workspace, "atelier", R"({"template": "chat", "api_keys": ["key-atelier"]})").empty());
}

TEST_CASE_METHOD(ConfigFixture, "template_inUse_isNotDeleted")
{
    Document deletion{.kind = DocumentKind::Template, .name = "chat", .deleted = true};
    CHECK(validateDocument(*this->config, deletion).size() == 2);
    this->put(DocumentKind::Template, "spare", "{}");
    deletion.name = "spare";
    CHECK(validateDocument(*this->config, deletion).empty());
    deletion.name = "none";
    CHECK(validateDocument(*this->config, deletion).size() == 1);
}

TEST_CASE_METHOD(ConfigFixture, "resolution_withBrokenWorkspace_keepsTheOthers")
{
    // Guards against one invalid document, which an older version may have accepted, that makes the configuration of the whole fleet unusable.
    this->put(DocumentKind::Workspace, "broken", R"({"template": "chat", "online": 5})");
    CHECK(this->mistakes.size() == 1);
    CHECK(this->config->workspaces.size() == 2);
    CHECK(this->config->workspaceByKey.size() == 3);
}

TEST_CASE_METHOD(ConfigFixture, "records_roundTripThroughJson_areEqual")
{
    ConfigChange change;
    change.document = this->state.documents.at({DocumentKind::Template, "chat"});
    change.by = "an \"operator\"";
    change.writeId = WriteId{"w1"};
    change.at = UnixTime(12345ms);
    const ConfigHead head{.revision = change.document.revision, .writeId = change.writeId, .log = {change}};
    const auto parsed = headFromJson(headToJson(head));
    REQUIRE(isOk(parsed));
    CHECK(headToJson(valueOf(parsed)) == headToJson(head));
    CHECK(valueOf(parsed).log.at(0).document.body == chatTemplate);
    const auto document = documentFromKey("config/doc/template/chat", documentToJson(change.document));
    REQUIRE(isOk(document));
    CHECK(valueOf(document).docRevision == 1);
    CHECK_FALSE(isOk(documentFromKey("config/doc/template/other", documentToJson(change.document))));
    CHECK_FALSE(isOk(headFromJson("{}")));
    CHECK_FALSE(isOk(headFromJson("nonsense")));
    CHECK_FALSE(isOk(bundleFromJson(R"({"since": 0, "revision": 1, "documents": [{"kind": "odd"}]})")));
}
