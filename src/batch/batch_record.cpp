/** @file batch_record.cpp JSON encoding of job and group records in the key-value service. */
#include "batch/batch_record_func.h"

#include "core/hash_func.h"

#include <array>
#include <boost/json.hpp>

namespace skylark {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 3> jobStateNames{"active", "cancelled", "done"};
constexpr std::array<std::string_view, 3> groupStateNames{"claimed", "released", "done"};
constexpr std::string_view inputKindPrefix = "input";

template<typename State, std::size_t Count>
std::optional<State> stateFrom(const std::array<std::string_view, Count> &names, std::string_view name)
{
    for (std::size_t i = 0; i < Count; ++i) {
        if (names[i] == name) {
            return static_cast<State>(i);
        }
    }
    return std::nullopt;
}

std::optional<json::object> parseObject(std::string_view text)
{
    boost::system::error_code error;
    json::value value = json::parse(text, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    return std::move(value.as_object());
}

std::string textOf(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::int64_t numberOf(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(name);
    boost::system::error_code error;
    const auto number = value != nullptr && value->is_number() ? value->to_number<std::int64_t>(error) : 0;
    return error ? 0 : number;
}

template<typename Id>
std::vector<Id> idsOf(const json::object &object, std::string_view name)
{
    std::vector<Id> ids;
    const json::value *value = object.if_contains(name);
    if (value == nullptr || !value->is_array()) {
        return ids;
    }
    ids.reserve(value->as_array().size());
    for (const json::value &entry : value->as_array()) {
        ids.push_back(Id{entry.is_string() ? std::string(entry.as_string()) : std::string()});
    }
    return ids;
}

template<typename Id>
json::array arrayOf(const std::vector<Id> &ids)
{
    json::array array;
    array.reserve(ids.size());
    for (const Id &id : ids) {
        array.emplace_back(id.value);
    }
    return array;
}

} // namespace

JobId batchJobId(const WorkspaceId &workspace, std::string_view jobKey)
{
    return {hash128Hex(workspace.value + "\n" + std::string(jobKey))};
}

std::string batchJobKey(const JobId &job)
{
    return "job/" + job.value;
}

std::string batchGroupPrefix(const JobId &job)
{
    return "group/" + job.value + "/";
}

std::string batchGroupKey(const JobId &job, std::uint32_t group)
{
    return batchGroupPrefix(job) + std::to_string(group);
}

std::string renderBatchJob(const JobRecord &record)
{
    json::object object;
    object["workspace"] = record.workspace.value;
    object["jobKey"] = record.jobKey;
    object["contentHash"] = record.contentHash;
    object["itemCount"] = record.itemCount;
    object["groupCount"] = record.groupCount;
    object["inputBlobs"] = arrayOf(record.inputBlobs);
    object["models"] = arrayOf(record.models);
    object["dueUnixMs"] = record.due.time_since_epoch().count();
    object["createdUnixMs"] = record.created.time_since_epoch().count();
    object["state"] = jobStateNames[static_cast<std::size_t>(record.state)];
    object["writeId"] = record.writeId.value;
    return json::serialize(object);
}

Result<JobRecord> parseBatchJob(const JobId &id, std::string_view text, KvVersion version)
{
    const auto object = parseObject(text);
    const auto state = object ? stateFrom<JobState>(jobStateNames, textOf(*object, "state")) : std::nullopt;
    if (!state) {
        return makeError(ErrorCode::ProtocolError, "job record is not a JSON object with a valid state: job " + id.value);
    }
    JobRecord record;
    record.id = id;
    record.workspace = {textOf(*object, "workspace")};
    record.jobKey = textOf(*object, "jobKey");
    record.contentHash = textOf(*object, "contentHash");
    record.itemCount = static_cast<std::uint32_t>(numberOf(*object, "itemCount"));
    record.groupCount = static_cast<std::uint32_t>(numberOf(*object, "groupCount"));
    record.inputBlobs = idsOf<BlobId>(*object, "inputBlobs");
    record.models = idsOf<ModelId>(*object, "models");
    record.due = UnixTime(std::chrono::milliseconds(numberOf(*object, "dueUnixMs")));
    record.created = UnixTime(std::chrono::milliseconds(numberOf(*object, "createdUnixMs")));
    record.state = *state;
    record.writeId = {textOf(*object, "writeId")};
    record.version = version;
    return record;
}

std::string renderBatchGroup(const GroupRecord &record)
{
    json::object object;
    object["state"] = groupStateNames[static_cast<std::size_t>(record.state)];
    object["session"] = record.session.value;
    object["epoch"] = record.epoch.value;
    object["resultBlob"] = record.resultBlob.value;
    object["finished"] = record.finished;
    object["failed"] = record.failed;
    object["partialBlob"] = record.partialBlob.value;
    object["writeId"] = record.writeId.value;
    return json::serialize(object);
}

Result<GroupRecord> parseBatchGroup(std::string_view text)
{
    const auto object = parseObject(text);
    const auto state = object ? stateFrom<GroupState>(groupStateNames, textOf(*object, "state")) : std::nullopt;
    if (!state) {
        return makeError(ErrorCode::ProtocolError, "group record is not a JSON object with a valid state");
    }
    GroupRecord record;
    record.state = *state;
    record.session = {textOf(*object, "session")};
    record.epoch.value = static_cast<std::uint64_t>(numberOf(*object, "epoch"));
    record.resultBlob = {textOf(*object, "resultBlob")};
    record.finished = static_cast<std::uint32_t>(numberOf(*object, "finished"));
    record.failed = static_cast<std::uint32_t>(numberOf(*object, "failed"));
    record.partialBlob = {textOf(*object, "partialBlob")};
    record.writeId = {textOf(*object, "writeId")};
    return record;
}

std::string inputBlobKind(std::size_t model)
{
    return std::string(inputKindPrefix) + std::to_string(model);
}

ModelId modelOfGroup(const JobRecord &record, std::uint32_t group)
{
    for (std::size_t i = 0; record.models.size() > 1 && group < record.inputBlobs.size() && i < record.models.size(); ++i) {
        const std::string part = "/" + inputBlobKind(i) + "/";
        if (record.inputBlobs[group].value.find(part) != std::string::npos) {
            return record.models[i];
        }
    }
    return record.models.empty() ? ModelId{} : record.models.front();
}

} // namespace skylark
