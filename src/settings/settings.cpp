/** @file settings.cpp Reads and validates the daemon's settings file. */
#include "settings/settings_func.h"

#include "settings/table/settings_table.h"

#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>

namespace skylark {

namespace json = boost::json;

namespace {

using Mistakes = std::vector<std::string>;

/** One JSON object under validation. */
struct ObjectReader {
    const json::object &object; ///< The object that is read.
    std::string path; ///< Path of the object; empty for the root.
    Mistakes &mistakes; ///< Receives every mistake with its path; shared by all readers of the file.
    std::set<std::string, std::less<>> known; ///< Keys that were looked up; any other key of the object is reported as unknown.
};

/** Whether a missing key is a mistake. */
enum class Need : std::uint8_t {
    Required,
    Optional,
};

/** @return Path of @p key in the file, such as "hosts[2].http". */
std::string pathOf(const ObjectReader &reader, std::string_view key)
{
    return reader.path.empty() ? std::string(key) : reader.path + "." + std::string(key);
}

void addMistake(const ObjectReader &reader, std::string_view key, const std::string &text)
{
    reader.mistakes.push_back(pathOf(reader, key) + ": " + text);
}

/** @return The value of @p key; null when it is missing. */
const json::value *find(ObjectReader &reader, std::string_view key, Need need)
{
    reader.known.emplace(key);
    const json::value *value = reader.object.if_contains(json::string_view(key.data(), key.size()));
    if (value == nullptr && need == Need::Required) {
        addMistake(reader, key, "missing");
    }
    return value;
}

void reportUnknownKeys(const ObjectReader &reader)
{
    for (const auto &entry : reader.object) {
        const std::string_view key(entry.key().data(), entry.key().size());
        if (!reader.known.contains(key)) {
            addMistake(reader, key, "unknown key");
        }
    }
}

std::string readString(ObjectReader &reader, std::string_view key, Need need)
{
    const json::value *value = find(reader, key, need);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string()) {
        addMistake(reader, key, "must be a string");
        return {};
    }
    std::string text(value->as_string().data(), value->as_string().size());
    if (text.empty() && need == Need::Required) {
        addMistake(reader, key, "must not be empty");
    }
    return text;
}

/** @return An optional whole number; nothing when it is missing, or invalid and reported as a mistake. */
std::optional<std::uint64_t> readInteger(ObjectReader &reader, std::string_view key, std::uint64_t min, std::uint64_t max)
{
    const json::value *value = find(reader, key, Need::Optional);
    if (value == nullptr) {
        return std::nullopt;
    }
    if (!value->is_number()) {
        addMistake(reader, key, "must be a number");
        return std::nullopt;
    }
    json::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    if (error || number < min || number > max) {
        addMistake(reader, key, "must be a whole number from " + std::to_string(min) + " to " + std::to_string(max));
        return std::nullopt;
    }
    return number;
}

void readBool(ObjectReader &reader, std::string_view key, bool &out)
{
    const json::value *value = find(reader, key, Need::Optional);
    if (value == nullptr) {
        return;
    }
    if (!value->is_bool()) {
        addMistake(reader, key, "must be true or false");
        return;
    }
    out = value->as_bool();
}

void readMilliseconds(ObjectReader &reader, std::string_view key, std::chrono::milliseconds min, std::chrono::milliseconds max, std::chrono::milliseconds &out)
{
    if (const auto number = readInteger(reader, key, static_cast<std::uint64_t>(min.count()), static_cast<std::uint64_t>(max.count()))) {
        out = std::chrono::milliseconds(*number);
    }
}

/** Reads "ip:port". An IPv6 address is written in brackets; host names are not accepted. */
Endpoint readEndpoint(ObjectReader &reader, std::string_view key)
{
    const std::string text = readString(reader, key, Need::Required);
    if (text.empty()) {
        return {};
    }
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) {
        addMistake(reader, key, "must be \"ip:port\"");
        return {};
    }
    Endpoint endpoint{text.substr(0, colon), 0};
    if (endpoint.address.size() > 2 && endpoint.address.front() == '[' && endpoint.address.back() == ']') {
        endpoint.address = endpoint.address.substr(1, endpoint.address.size() - 2);
    }
    boost::system::error_code error;
    boost::asio::ip::make_address(endpoint.address, error);
    if (error) {
        addMistake(reader, std::string(key) + ".address", "\"" + endpoint.address + "\" is not an IP number");
    }
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, endpoint.port);
    if (parsed.ec != std::errc() || parsed.ptr != end || endpoint.port == 0) {
        addMistake(reader, std::string(key) + ".port", "must be a number from 1 to 65535");
    }
    return endpoint;
}

/** Calls @p read with a reader for each object of the array at @p key, and reports the keys that @p read did not look up. */
template<typename Read>
void readObjects(ObjectReader &reader, std::string_view key, Need need, Read read)
{
    const json::value *value = find(reader, key, need);
    if (value == nullptr) {
        return;
    }
    if (!value->is_array()) {
        addMistake(reader, key, "must be an array");
        return;
    }
    const json::array &array = value->as_array();
    for (std::size_t i = 0; i < array.size(); ++i) {
        const std::string path = pathOf(reader, key) + "[" + std::to_string(i) + "]";
        if (!array[i].is_object()) {
            reader.mistakes.push_back(path + ": must be an object");
            continue;
        }
        ObjectReader element{array[i].as_object(), path, reader.mistakes, {}};
        read(element);
        reportUnknownKeys(element);
    }
}

HostInfo readHost(ObjectReader &reader)
{
    HostInfo info;
    info.id.value = readString(reader, "id", Need::Required);
    info.domain.value = readString(reader, "domain", Need::Required);
    info.http = readEndpoint(reader, "http");
    info.admin = readEndpoint(reader, "admin");
    info.peerRpc = readEndpoint(reader, "peer_rpc");
    info.status = readEndpoint(reader, "status");
    readBool(reader, "has_disk", info.hasDisk);
    return info;
}

DomainLink readLink(ObjectReader &reader)
{
    DomainLink link;
    link.domain.value = readString(reader, "domain", Need::Required);
    readMilliseconds(reader, "one_way_delay_ms", std::chrono::milliseconds(0), maxInterval, link.oneWayDelay);
    if (const json::value *value = find(reader, "cost_factor", Need::Optional)) {
        json::error_code error;
        const double factor = value->is_number() ? value->to_number<double>(error) : -1;
        if (!value->is_number()) {
            addMistake(reader, "cost_factor", "must be a number");
        } else if (error || !(factor >= 1.0 && factor <= 1000.0)) {
            addMistake(reader, "cost_factor", "must be from 1 to 1000");
        } else {
            link.costFactor = factor;
        }
    }
    return link;
}

void readHosts(ObjectReader &reader, Settings &settings)
{
    std::set<HostId> ids;
    readObjects(reader, "hosts", Need::Required, [&settings, &ids](ObjectReader &element) {
        HostInfo info = readHost(element);
        if (!info.id.empty() && !ids.insert(info.id).second) {
            addMistake(element, "id", "duplicate host \"" + info.id.value + "\"");
        }
        settings.hosts.push_back(std::move(info));
    });
    if (!settings.host.empty() && !ids.contains(settings.host)) {
        addMistake(reader, "host", "\"" + settings.host.value + "\" is not in hosts");
    }
}

void readLinks(ObjectReader &reader, Settings &settings)
{
    std::set<DomainId> hostDomains;
    std::set<DomainId> linked;
    for (const HostInfo &info : settings.hosts) {
        hostDomains.insert(info.domain);
    }
    readObjects(reader, "links", Need::Optional, [&](ObjectReader &element) {
        DomainLink link = readLink(element);
        if (!link.domain.empty() && !hostDomains.contains(link.domain)) {
            addMistake(element, "domain", "no host is in \"" + link.domain.value + "\"");
        }
        if (!link.domain.empty() && !linked.insert(link.domain).second) {
            addMistake(element, "domain", "duplicate link to \"" + link.domain.value + "\"");
        }
        settings.links.push_back(std::move(link));
    });
}

void readNumbers(ObjectReader &reader, Settings &settings)
{
    for (const DurationSetting &setting : durationSettings) {
        readMilliseconds(reader, setting.key, setting.min, setting.max, settings.*setting.member);
    }
    constexpr std::uint64_t gibibyte = std::uint64_t{1} << 30U;
    settings.maxRequestBody = readInteger(reader, "max_request_body", 1, gibibyte).value_or(settings.maxRequestBody);
    settings.maxJobBody = readInteger(reader, "max_job_body", 1, 4 * gibibyte).value_or(settings.maxJobBody);
    settings.platformCallsPerSecond =
        static_cast<unsigned>(readInteger(reader, "platform_calls_per_second", 1, 2000).value_or(settings.platformCallsPerSecond));
    settings.seed = readInteger(reader, "seed", 0, std::numeric_limits<std::uint64_t>::max()).value_or(settings.seed);
}

void readPolicyMode(ObjectReader &reader, Settings &settings)
{
    const std::string text = readString(reader, "policy_mode", Need::Optional);
    if (text == "round_robin") {
        settings.policyMode = PolicyMode::RoundRobin;
    } else if (text == "static_split") {
        settings.policyMode = PolicyMode::StaticSplit;
    } else if (text != "adaptive" && reader.object.contains("policy_mode")) {
        addMistake(reader, "policy_mode", "must be \"adaptive\", \"round_robin\" or \"static_split\"");
    }
}

/** Checks constraints between several settings. */
void checkCombinations(const ObjectReader &reader, const Settings &settings)
{
    // A host suspends batch work leaseMargin before its lease expires. A renewal after that would suspend batch work in every renewal period.
    if (settings.leaseRenew + settings.leaseMargin >= settings.leaseTtl) {
        addMistake(reader, "lease_renew_ms", "lease_renew_ms + lease_margin_ms must be less than lease_ttl_ms");
    }
    const HostInfo *self = settings.self();
    if (self != nullptr && self->hasDisk && settings.dataFolder.empty()) {
        addMistake(reader, "data_folder", "missing, but host \"" + settings.host.value + "\" has a disk");
    }
}

std::string joinLines(const Mistakes &mistakes)
{
    std::string text;
    for (const std::string &mistake : mistakes) {
        text += (text.empty() ? "" : "\n") + mistake;
    }
    return text;
}

} // namespace

Result<Settings> parseSettings(std::string_view text)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::error_code error;
    const json::value root = json::parse(json::string_view(text.data(), text.size()), error, {}, options);
    if (error) {
        return makeError(ErrorCode::InvalidSettings, "not valid JSON: " + error.message());
    }
    if (!root.is_object()) {
        return makeError(ErrorCode::InvalidSettings, "must be a JSON object");
    }
    Mistakes mistakes;
    ObjectReader reader{root.as_object(), {}, mistakes, {}};
    Settings settings;
    settings.host.value = readString(reader, "host", Need::Required);
    readHosts(reader, settings);
    readLinks(reader, settings);
    settings.platform = readEndpoint(reader, "platform");
    settings.dataFolder = readString(reader, "data_folder", Need::Optional);
    settings.logFolder = readString(reader, "log_folder", Need::Optional);
    readNumbers(reader, settings);
    readPolicyMode(reader, settings);
    reportUnknownKeys(reader);
    checkCombinations(reader, settings);
    if (!mistakes.empty()) {
        return makeError(ErrorCode::InvalidSettings, joinLines(mistakes));
    }
    return settings;
}

Result<Settings> loadSettings(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        return makeError(ErrorCode::InvalidSettings, path + ": cannot be read");
    }
    Result<Settings> settings = parseSettings(text.str());
    if (!isOk(settings)) {
        std::get<Error>(settings).param = path;
    }
    return settings;
}

} // namespace skylark
