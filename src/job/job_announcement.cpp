/** @file job_announcement.cpp Announces records of jobs that this host owns or has changed, and follows the announcements of other hosts. */
#include "job/job_record_func.h"
#include "job/job_registry_base.h"

#include <algorithm>

namespace skylark {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds confirmationTtl{700}; ///< Validity of an owner's announcement or of a read of a record, because readers may lag by at most a second.
constexpr milliseconds announceDuration{2000}; ///< A host announces a record for so long after changing it.
constexpr milliseconds announcerExpiry{10000}; ///< Time after which a job that is no longer announced has no announcer; several intervals of the largest fleet.

} // namespace

void announceChange(JobRegistry &registry, const KvItem &item)
{
    registry.recentChanges[jobOfRecordKey(item.key)] = {item.revision, BootClock::now() + announceDuration};
}

std::vector<std::pair<JobId, std::uint64_t>> jobRevisionsToAnnounce(JobRegistry &registry)
{
    const TimePoint now = BootClock::now();
    std::erase_if(registry.recentChanges, [now](const auto &entry) {
        return entry.second.until < now;
    });
    std::erase_if(registry.announcers, [now](const auto &entry) {
        return now - entry.second.at > announcerExpiry;
    });
    std::map<JobId, std::uint64_t> revisions;
    for (const auto &[job, known] : registry.jobs) {
        if (known.record.owner == registry.session && isOpen(known.record)) {
            revisions[job] = known.revision;
        }
    }
    for (const auto &[job, change] : registry.recentChanges) {
        revisions[job] = std::max(revisions[job], change.revision);
    }
    return {revisions.begin(), revisions.end()};
}

void applyAnnouncedRevisions(const std::shared_ptr<JobRegistry> &registry, const HostStatus &status)
{
    const TimePoint now = BootClock::now();
    for (const auto &[job, revision] : status.jobRevisions) {
        JobAnnouncer &announcer = registry->announcers[job];
        announcer = {status.host, now, std::max(announcer.revision, revision)};
        const auto found = registry->jobs.find(job);
        if (found == registry->jobs.end()) {
            continue;
        }
        KnownJob &known = found->second;
        const bool news = revision > std::max(known.announcedRevision, known.revision);
        known.announcedRevision = std::max(known.announcedRevision, revision);
        if (known.record.owner == status.session) {
            known.ownerAnnouncedAt = now;
            known.ownerRevision = revision;
        }
        if (known.record.owner == registry->session && revision > known.revision) {
            // A caller ended the job elsewhere, or another host claimed it.
            refreshRecord(registry, job);
        }
        if (news) {
            wakeWaitingReads(*registry);
        }
    }
}

bool isCurrent(const JobRegistry &registry, const KnownJob &known)
{
    const TimePoint now = BootClock::now();
    const bool announcedByOwner = known.ownerRevision == known.revision && now - known.ownerAnnouncedAt < confirmationTtl;
    const bool own = known.record.owner == registry.session;
    return known.announcedRevision <= known.revision && (announcedByOwner || own || now - known.confirmedAt < confirmationTtl);
}

} // namespace skylark
