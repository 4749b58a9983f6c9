/** @file test_settings.cpp Validation of the daemon's settings. */
#include "settings/settings_func.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <unistd.h>

using namespace skylark;
using namespace std::chrono_literals;

namespace {

/** Valid settings of two hosts, and helpers that replace one part of them and return the reported mistakes. */
struct SettingsFixture {
    std::string valid = R"({
        // Two hosts in two failure domains.
        "host": "a1",
        "hosts": [
            {"id": "a1", "domain": "a", "http": "127.0.0.1:8080", "admin": "127.0.0.1:8081", "peer_rpc": "127.0.0.1:8082", "status": "127.0.0.1:8083"},
            {"id": "b1", "domain": "b", "http": "[::1]:8080", "admin": "127.0.0.2:8081", "peer_rpc": "127.0.0.2:8082", "status": "127.0.0.2:8083",
             "has_disk": true},
        ],
        "links": [{"domain": "b", "one_way_delay_ms": 7, "cost_factor": 2.5}],
        "platform": "127.0.0.1:9000",
        "lease_ttl_ms": 8000, /* shorter than the default */
        "seed": 42
    })";

    [[nodiscard]] std::string with(const std::string &old, const std::string &replacement) const
    {
        std::string text = this->valid;
        const std::size_t at = text.find(old);
        REQUIRE(at != std::string::npos);
        return text.replace(at, old.size(), replacement);
    }

    static std::string mistakesOf(const std::string &text)
    {
        const auto settings = parseSettings(text);
        REQUIRE(!isOk(settings));
        CHECK(errorOf(settings).code == ErrorCode::InvalidSettings);
        return errorOf(settings).detail;
    }
};

} // namespace

// Guards against a valid file being rejected, and against values or defaults that are stored in the wrong member.
TEST_CASE_METHOD(SettingsFixture, "settings_validFile_valuesAndDefaults")
{
    const auto result = parseSettings(this->valid);
    INFO((isOk(result) ? "" : errorOf(result).detail));
    REQUIRE(isOk(result));
    const Settings &settings = valueOf(result);
    CHECK(settings.self()->domain.value == "a");
    CHECK(settings.hosts.at(1).http == Endpoint{"::1", 8080});
    CHECK(settings.hosts.at(1).hasDisk);
    CHECK(settings.hosts.at(0).status == Endpoint{"127.0.0.1", 8083});
    CHECK(settings.links.at(0).oneWayDelay == 7ms);
    CHECK(settings.links.at(0).costFactor == 2.5);
    CHECK(settings.platform == Endpoint{"127.0.0.1", 9000});
    CHECK(settings.leaseTtl == 8s);
    CHECK(settings.leaseRenew == 3s);
    CHECK(settings.seed == 42);
}

// Guards against a baseline policy that runs by default, and an unknown mode that falls back to the default without an error.
TEST_CASE_METHOD(SettingsFixture, "settings_policyMode_knownNamesOnly")
{
    CHECK(valueOf(parseSettings(this->valid)).policyMode == PolicyMode::Adaptive);
    const auto mode = [this](const std::string &name) {
        return this->with("\"seed\": 42", "\"seed\": 42, \"policy_mode\": \"" + name + "\"");
    };
    CHECK(valueOf(parseSettings(mode("adaptive"))).policyMode == PolicyMode::Adaptive);
    CHECK(valueOf(parseSettings(mode("round_robin"))).policyMode == PolicyMode::RoundRobin);
    CHECK(valueOf(parseSettings(mode("static_split"))).policyMode == PolicyMode::StaticSplit);
    CHECK(mistakesOf(mode("random")).starts_with("policy_mode: "));
    CHECK(mistakesOf(mode("")).starts_with("policy_mode: "));
}

// Guards against a mistake that is accepted without an error, or reported without its path.
TEST_CASE_METHOD(SettingsFixture, "settings_oneMistake_namedWithPath")
{
    CHECK(mistakesOf(with("\"seed\": 42", "\"sede\": 42")) == "sede: unknown key");
    CHECK(mistakesOf(with("\"seed\": 42", "\"seed\": \"x\"")) == "seed: must be a number");
    CHECK(mistakesOf(with("\"seed\": 42", "\"status_interval_ms\": 1")).starts_with("status_interval_ms: must be a whole number from 10 to"));
    CHECK(mistakesOf(with("\"seed\": 42", "\"lame_duck_ms\": 1.5")).starts_with("lame_duck_ms: must be a whole number"));
    CHECK(mistakesOf(with("\"seed\": 42", "\"seed\": -1")).starts_with("seed: must be a whole number"));
    CHECK(mistakesOf(with("\"host\": \"a1\"", "\"host\": \"zz\"")) == "host: \"zz\" is not in hosts");
    CHECK(mistakesOf(with("\"host\": \"a1\",", "")) == "host: missing");
    CHECK(mistakesOf(with("\"id\": \"b1\"", "\"id\": \"a1\"")) == "hosts[1].id: duplicate host \"a1\"");
    CHECK(mistakesOf(with("127.0.0.2:8081", "b1.local:8081")) == "hosts[1].admin.address: \"b1.local\" is not an IP number");
    CHECK(mistakesOf(with("127.0.0.2:8081", "127.0.0.2:70000")) == "hosts[1].admin.port: must be a number from 1 to 65535");
    CHECK(mistakesOf(with("127.0.0.2:8081", "127.0.0.2")) == "hosts[1].admin: must be \"ip:port\"");
    CHECK(mistakesOf(with("\"has_disk\": true", "\"has_disk\": 1")) == "hosts[1].has_disk: must be true or false");
    CHECK(mistakesOf(with("\"has_disk\": true", "\"disk\": true")) == "hosts[1].disk: unknown key");
    CHECK(mistakesOf(with("2.5", "0.5")) == "links[0].cost_factor: must be from 1 to 1000");
    CHECK(mistakesOf(with("{\"domain\": \"b\", \"one", "{\"domain\": \"c\", \"one")) == "links[0].domain: no host is in \"c\"");
    CHECK(mistakesOf(with("\"lease_ttl_ms\": 8000", "\"lease_ttl_ms\": 4000")).starts_with("lease_renew_ms: "));
    CHECK(mistakesOf(with("\"host\": \"a1\"", "\"host\": \"b1\"")).starts_with("data_folder: missing"));
    CHECK(mistakesOf(with("\"platform\": \"127.0.0.1:9000\"", "\"platform\": 9000")) == "platform: must be a string");
    CHECK(mistakesOf("[1]") == "must be a JSON object");
    CHECK(mistakesOf("{").starts_with("not valid JSON"));
}

// Guards against validation that stops at the first mistake.
TEST_CASE_METHOD(SettingsFixture, "settings_severalMistakes_allNamed")
{
    CHECK(mistakesOf(R"({"host": 1, "hosts": [{"id": "a1", "http": "x:1"}, 7], "extra": 1})")
          == "host: must be a string\n"
             "hosts[0].domain: missing\n"
             "hosts[0].http.address: \"x\" is not an IP number\n"
             "hosts[0].admin: missing\n"
             "hosts[0].peer_rpc: missing\n"
             "hosts[0].status: missing\n"
             "hosts[1]: must be an object\n"
             "platform: missing\n"
             "extra: unknown key");
}

// Guards against a file that is read only in part, and an unreadable file that is reported as a syntax error.
TEST_CASE_METHOD(SettingsFixture, "settings_file_isLoadedOrReportedAsUnreadable")
{
    const std::string path = std::filesystem::temp_directory_path() / ("skylark-settings-" + std::to_string(::getpid()) + ".json");
    std::ofstream(path) << this->valid;
    CHECK(isOk(loadSettings(path)));
    std::filesystem::remove(path);
    const auto missing = loadSettings(path);
    REQUIRE(!isOk(missing));
    CHECK(errorOf(missing).detail.find("cannot be read") != std::string::npos);
}
