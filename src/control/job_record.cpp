/** @file job_record.cpp JSON forms of job records. */
#include "control/job_record_func.h"

#include <exception>

namespace skylark {

namespace json = boost::json;

namespace {

std::string textOf(const json::object &object, json::string_view name)
{
    return json::value_to<std::string>(object.at(name));
}

UnixTime timeOf(const json::object &object, json::string_view name)
{
    return UnixTime(std::chrono::milliseconds(object.at(name).to_number<std::int64_t>()));
}

JobState stateOf(const std::string &name)
{
    if (name == "cancelled") {
        return JobState::Cancelled;
    }
    return name == "done" ? JobState::Done : JobState::Active;
}

const char *stateName(JobState state)
{
    if (state == JobState::Cancelled) {
        return "cancelled";
    }
    return state == JobState::Done ? "done" : "active";
}

template<typename Id>
std::vector<Id> idsOf(const json::object &object, json::string_view name)
{
    std::vector<Id> ids;
    if (const json::value *list = object.if_contains(name)) {
        for (const json::value &id : list->as_array()) {
            ids.push_back(Id{json::value_to<std::string>(id)});
        }
    }
    return ids;
}

template<typename Id>
json::array arrayOf(const std::vector<Id> &ids)
{
    json::array array;
    for (const Id &id : ids) {
        array.emplace_back(id.value);
    }
    return array;
}

JobRecord recordOf(const json::object &object)
{
    JobRecord job;
    job.workspace = WorkspaceId{textOf(object, "workspace")};
    job.jobKey = textOf(object, "jobKey");
    job.contentHash = textOf(object, "contentHash");
    job.itemCount = object.at("itemCount").to_number<std::uint32_t>();
    job.groupCount = object.at("groupCount").to_number<std::uint32_t>();
    job.inputBlobs = idsOf<BlobId>(object, "inputBlobs");
    job.models = idsOf<ModelId>(object, "models");
    job.due = timeOf(object, "dueUnixMs");
    job.created = timeOf(object, "createdUnixMs");
    job.state = stateOf(textOf(object, "state"));
    job.writeId = WriteId{textOf(object, "writeId")};
    return job;
}

} // namespace

Result<JobRecord> jobFromRecord(JobId id, std::string_view text, KvVersion version)
{
    try {
        JobRecord job = recordOf(json::parse(json::string_view(text.data(), text.size())).as_object());
        job.id = std::move(id);
        job.version = version;
        return job;
    } catch (const std::exception &problem) {
        return makeError(ErrorCode::ProtocolError, "job/" + id.value + ": " + problem.what());
    }
}

json::object jobToJson(const JobRecord &job)
{
    return {{"id", job.id.value},
            {"version", job.version.value},
            {"workspace", job.workspace.value},
            {"jobKey", job.jobKey},
            {"contentHash", job.contentHash},
            {"itemCount", job.itemCount},
            {"groupCount", job.groupCount},
            {"inputBlobs", arrayOf(job.inputBlobs)},
            {"models", arrayOf(job.models)},
            {"dueUnixMs", job.due.time_since_epoch().count()},
            {"createdUnixMs", job.created.time_since_epoch().count()},
            {"state", stateName(job.state)},
            {"writeId", job.writeId.value}};
}

Result<JobRecord> jobFromJson(const json::value &value)
{
    try {
        const json::object &object = value.as_object();
        JobRecord job = recordOf(object);
        job.id = JobId{textOf(object, "id")};
        job.version = KvVersion{object.at("version").to_number<std::uint64_t>()};
        return job;
    } catch (const std::exception &problem) {
        return makeError(ErrorCode::ProtocolError, std::string("relayed job: ") + problem.what());
    }
}

} // namespace skylark
