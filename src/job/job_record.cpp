/** @file job_record.cpp Stored form of jobs, results and checkpoints, and the keys under which they are stored. */
#include "job/job_record_func.h"

#include "core/hash_func.h"
#include "core/json_member_func.h"

#include <cstdio>
#include <optional>

namespace skylark {

namespace {

constexpr std::string_view recordPrefix = "jobs/record/";
constexpr std::string_view quotaPrefix = "jobs/quota/";

/** Appends @p number with at least six digits, so that keys sort by number. */
std::string appendNumber(std::string prefix, std::uint64_t number)
{
    std::array<char, 24> text{};
    const int length = std::snprintf(text.data(), text.size(), "%06llu", static_cast<unsigned long long>(number));
    return prefix.append(text.data(), static_cast<std::size_t>(length));
}

std::string_view stateName(ItemState state)
{
    return state == ItemState::Completed ? "completed" : "failed";
}

ItemState parseState(std::string_view name)
{
    return name == "completed" ? ItemState::Completed : ItemState::Failed;
}

/** @return The number in @p value as @p Number, or nothing when it is none or does not fit. */
template<typename Number>
std::optional<Number> numberIn(const boost::json::value &value)
{
    boost::system::error_code error;
    const Number number = value.to_number<Number>(error);
    return error ? std::nullopt : std::optional<Number>(number);
}

Error invalidRecord(std::string_view what)
{
    return makeError(ErrorCode::InvalidDocument, "job record: " + std::string(what));
}

} // namespace

std::string jobRecordKey(const JobId &job)
{
    return std::string(recordPrefix) + job.value;
}

JobId jobOfRecordKey(std::string_view key)
{
    return JobId{std::string(key.substr(recordPrefix.size()))};
}

bool isJobRecordKey(std::string_view key)
{
    return key.starts_with(recordPrefix);
}

std::string jobQuotaKey(std::string_view host, std::string_view prefix, const WorkspaceId &workspace)
{
    const std::string route = std::string(host) + ' ' + std::string(prefix);
    return std::string(quotaPrefix) + hash128Hex(workspace.empty() ? route : route + '\n' + workspace.value);
}

std::string encodeLedger(const WaitingLedger &ledger)
{
    boost::json::object jobs;
    for (const auto &[job, tokens] : ledger.tokens) {
        jobs[job.value] = tokens;
    }
    return boost::json::serialize(boost::json::object{{"jobs", std::move(jobs)}});
}

WaitingLedger decodeLedger(std::string_view value)
{
    WaitingLedger ledger;
    const auto object = parseJsonObject(value);
    const auto *jobs = object ? object->if_contains("jobs") : nullptr;
    if (jobs == nullptr || !jobs->is_object()) {
        return ledger;
    }
    for (const auto &entry : jobs->get_object()) {
        if (const auto tokens = numberIn<std::uint64_t>(entry.value())) {
            ledger.tokens[JobId{std::string(entry.key())}] = *tokens;
        }
    }
    return ledger;
}

std::string jobBodyKey(const JobId &job, std::uint32_t part)
{
    return appendNumber("bodies/" + job.value + '/', part);
}

std::string jobResultPrefix(const JobId &job)
{
    return "results/" + job.value + '/';
}

std::string jobResultKey(const JobId &job, std::uint64_t position)
{
    return appendNumber(jobResultPrefix(job), position);
}

std::string jobCheckpointKey(const JobId &job)
{
    return "outputs/" + job.value;
}

std::string encodeCheckpoints(const ItemCheckpoints &checkpoints, std::size_t maxBytes)
{
    boost::json::array items;
    std::size_t bytes = 0;
    for (const auto &[index, checkpoint] : checkpoints) {
        bytes += checkpoint.text.size();
        if (bytes > maxBytes) {
            break;
        }
        const ServiceVersion origin = checkpoint.origin.value_or(ServiceVersion());
        items.push_back(boost::json::array{
            index, checkpoint.lastEventId, checkpoint.events, checkpoint.failures, checkpoint.text, origin.service.value, origin.version.value});
    }
    return boost::json::serialize(items);
}

Result<ItemCheckpoints> decodeCheckpoints(std::string_view value)
{
    constexpr std::size_t fields = 7;
    constexpr std::size_t fieldsWithoutOrigin = 5; // As written by earlier releases.
    boost::system::error_code error;
    const auto parsed = boost::json::parse(boost::json::string_view(value.data(), value.size()), error);
    if (error || !parsed.is_array()) {
        return invalidRecord("checkpoints are not an array");
    }
    ItemCheckpoints checkpoints;
    for (const auto &entry : parsed.get_array()) {
        const auto *item = entry.if_array();
        const bool hasOrigin = item != nullptr && item->size() == fields && (*item)[5].is_string() && (*item)[6].is_string();
        if (item == nullptr || (!hasOrigin && item->size() != fieldsWithoutOrigin) || !(*item)[4].is_string()) {
            return invalidRecord("checkpoint is not an array of five fields with the text, or of seven with the version");
        }
        const auto index = numberIn<std::uint32_t>((*item)[0]);
        const auto lastEventId = numberIn<std::uint64_t>((*item)[1]);
        const auto events = numberIn<std::uint64_t>((*item)[2]);
        const auto failures = numberIn<unsigned>((*item)[3]);
        if (!index || !lastEventId || !events || !failures) {
            return invalidRecord("checkpoint has a field that is not a number");
        }
        checkpoints[*index] = {*lastEventId, *events, *failures, std::string((*item)[4].get_string())};
        if (hasOrigin && !(*item)[5].get_string().empty()) {
            checkpoints[*index].origin = ServiceVersion{std::string((*item)[5].get_string()), std::string((*item)[6].get_string())};
        }
    }
    return checkpoints;
}

std::string encodeStoredJob(const StoredJob &record)
{
    boost::json::array items;
    for (const ItemHead &item : record.items) {
        items.push_back(boost::json::array{item.id, item.tokens});
    }
    boost::json::array listed;
    for (const ResultEntry &entry : record.listed) {
        listed.push_back(boost::json::array{entry.index, entry.state == ItemState::Completed ? 1 : 0});
    }
    boost::json::object object{{"id", record.id.value},
                               {"host", record.host},
                               {"path", record.path},
                               {"digest", record.digest},
                               {"created_ms", record.created.time_since_epoch().count()},
                               {"owner", record.owner.value},
                               {"ended", record.ended},
                               {"body_parts", record.bodyParts},
                               {"items", std::move(items)},
                               {"listed", std::move(listed)}};
    if (!record.workspace.empty()) {
        object["workspace"] = record.workspace.value;
    }
    return boost::json::serialize(object);
}

Result<StoredJob> decodeStoredJob(std::string_view value)
{
    const auto object = parseJsonObject(value);
    if (!object) {
        return invalidRecord("not an object");
    }
    StoredJob record;
    record.id.value = stringMember(*object, "id");
    record.workspace.value = stringMember(*object, "workspace");
    record.host = stringMember(*object, "host");
    record.path = stringMember(*object, "path");
    record.digest = stringMember(*object, "digest");
    record.created = UnixTime(std::chrono::milliseconds(numberMember(*object, "created_ms")));
    record.owner.value = stringMember(*object, "owner");
    record.ended = boolMember(*object, "ended");
    record.bodyParts = static_cast<std::uint32_t>(numberMember(*object, "body_parts"));
    for (const auto &entry : arrayMember(*object, "items")) {
        const auto *pair = entry.if_array();
        if (pair == nullptr || pair->size() != 2 || !(*pair)[0].is_string()) {
            return invalidRecord("item is not a pair of identifier and tokens");
        }
        const auto tokens = numberIn<std::uint64_t>((*pair)[1]);
        if (!tokens) {
            return invalidRecord("tokens of an item are not a number");
        }
        record.items.push_back({std::string((*pair)[0].get_string()), *tokens});
    }
    for (const auto &entry : arrayMember(*object, "listed")) {
        const auto *pair = entry.if_array();
        if (pair == nullptr || pair->size() != 2) {
            return invalidRecord("result entry is not a pair of item index and state");
        }
        const auto index = numberIn<std::uint32_t>((*pair)[0]);
        const auto state = numberIn<int>((*pair)[1]);
        if (!index || !state || *index >= record.items.size()) {
            return invalidRecord("result entry of an unknown item or without a state");
        }
        record.listed.push_back({*index, *state == 1 ? ItemState::Completed : ItemState::Failed});
    }
    if (record.id.empty() || record.items.empty()) {
        return invalidRecord("no identifier or no items");
    }
    return record;
}

std::string encodeJobResult(const JobResult &result)
{
    return boost::json::serialize(boost::json::object{{"item", result.item}, {"state", stateName(result.state)}, {"text", result.text}});
}

Result<JobResult> decodeJobResult(std::string_view value)
{
    const auto object = parseJsonObject(value);
    if (!object) {
        return invalidRecord("result is not an object");
    }
    return JobResult{stringMember(*object, "item"), parseState(stringMember(*object, "state")), stringMember(*object, "text")};
}

} // namespace skylark
