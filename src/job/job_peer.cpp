/** @file job_peer.cpp Reads of a job at the host that runs it, which spare reads of the key-value service. */
#include "job/job_peer_func.h"

#include "core/json_member_func.h"
#include "job/job_record_func.h"

#include <boost/json/serialize.hpp>

namespace skylark {

namespace asio = boost::asio;

namespace {

/** Adds a result to the cache of a job, unless it holds the result or the cache is full. */
void cacheResult(JobRegistry &registry, KnownJob &known, std::uint64_t position, JobResult result)
{
    if (position < known.record.listed.size() && !known.results.contains(position) && registry.cachedBytes + result.text.size() <= maxCachedResultBytes) {
        registry.cachedBytes += result.text.size();
        known.results[position] = std::move(result);
    }
}

} // namespace

std::optional<std::string> encodeOwnedJob(const JobRegistry &registry, const JobId &job, std::uint64_t after)
{
    const auto found = registry.jobs.find(job);
    if (found == registry.jobs.end() || found->second.revision == 0 || found->second.record.owner != registry.session) {
        return std::nullopt;
    }
    const KnownJob &known = found->second;
    boost::json::array results;
    std::size_t bytes = 0;
    for (auto result = known.results.find(after); result != known.results.end() && result->first == after + results.size(); ++result) {
        bytes += result->second.text.size();
        if (bytes > maxOwnerAnswerBytes) {
            break;
        }
        results.push_back(boost::json::string(encodeJobResult(result->second)));
    }
    return boost::json::serialize(
        boost::json::object{{"revision", known.revision}, {"record", encodeStoredJob(known.record)}, {"first", after}, {"results", std::move(results)}});
}

Result<Done> applyOwnedJob(const std::shared_ptr<JobRegistry> &registry, const JobId &job, std::string_view document, TimePoint askedAt)
{
    const auto object = parseJsonObject(document);
    if (!object) {
        return makeError(ErrorCode::InvalidDocument, "answer of a job's owner is not an object");
    }
    const KvItem item{jobRecordKey(job), stringMember(*object, "record"), numberMember(*object, "revision"), false};
    const auto record = decodeStoredJob(item.value);
    if (!isOk(record) || valueOf(record).id != job || item.revision == 0) {
        return makeError(ErrorCode::InvalidDocument, "answer of a job's owner has no record of the job");
    }
    applyJobRecord(registry, item);
    KnownJob &known = registry->jobs.at(job);
    // The owner's answer counts as its announcement: it says nothing of changes by other hosts that the owner does not know of.
    known.ownerRevision = item.revision;
    known.ownerAnnouncedAt = std::max(known.ownerAnnouncedAt, askedAt);
    std::uint64_t position = numberMember(*object, "first");
    for (const auto &entry : arrayMember(*object, "results")) {
        const auto *text = entry.if_string();
        auto result = decodeJobResult(text != nullptr ? std::string_view(text->data(), text->size()) : std::string_view());
        if (!isOk(result)) {
            break;
        }
        cacheResult(*registry, known, position++, std::move(valueOf(result)));
    }
    return Done{};
}

asio::awaitable<Result<bool>> refreshJob(std::shared_ptr<JobRegistry> registry, JobId job, std::uint64_t after)
{
    const TimePoint askedAt = BootClock::now();
    const auto announcer = registry->announcers.find(job);
    if (registry->readFromHost && announcer != registry->announcers.end()) {
        const auto [host, at, announced] = announcer->second;
        const auto document = co_await registry->readFromHost(host, job, after);
        const bool applied = isOk(document) && isOk(applyOwnedJob(registry, job, valueOf(document), askedAt));
        // The owner may not know yet of a change by another host, which that host has announced.
        if (applied && registry->jobs.at(job).revision >= std::max(announced, registry->jobs.at(job).announcedRevision)) {
            co_return true;
        }
    }
    co_return co_await fetchJob(registry, job);
}

} // namespace skylark
