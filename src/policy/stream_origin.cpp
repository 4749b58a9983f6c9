/** @file stream_origin.cpp Decides which targets may continue a stream or the output of a batch item. */
#include "policy/stream_origin_func.h"

#include "core/hash_func.h"

#include <algorithm>

namespace skylark {

namespace {

constexpr std::chrono::milliseconds maxVersionWait{2000}; ///< An item takes about a second from the beginning.

} // namespace

OriginDecision findOrigin(const OriginEvidence &evidence, const std::vector<ServiceId> &services)
{
    if (evidence.recorded) {
        return {OriginReason::Recorded, evidence.recorded};
    }
    if (!evidence.served) {
        return {OriginReason::NotRead, std::nullopt};
    }
    std::optional<ServiceVersion> only;
    for (const ServiceVersion &served : *evidence.served) {
        if (served == only || std::find(services.begin(), services.end(), served.service) == services.end()) {
            continue;
        }
        if (only) {
            return {OriginReason::SeveralVersions, std::nullopt};
        }
        only = served;
    }
    return {only ? OriginReason::OnlyVersion : OriginReason::NotRead, only};
}

std::string_view originReasonName(OriginReason reason)
{
    switch (reason) {
    case OriginReason::Recorded:
        return "recorded";
    case OriginReason::OnlyVersion:
        return "only_version";
    case OriginReason::SeveralVersions:
        return "several_versions";
    case OriginReason::NotRead:
        return "not_read";
    }
    return "unknown";
}

bool mayContinueAt(const std::optional<ServiceVersion> &origin, const ServiceVersion &target)
{
    return !origin || *origin == target;
}

ContinuationOutlook outlookOf(const ServiceVersion &origin, const std::vector<ServiceVersion> &accepting)
{
    if (std::find(accepting.begin(), accepting.end(), origin) != accepting.end()) {
        return ContinuationOutlook::Possible;
    }
    return accepting.empty() ? ContinuationOutlook::NoTarget : ContinuationOutlook::VersionGone;
}

bool beginsAnew(const ServiceVersion &origin, const std::vector<ServiceVersion> &accepting, std::chrono::milliseconds missed)
{
    return outlookOf(origin, accepting) == ContinuationOutlook::VersionGone || missed >= maxVersionWait;
}

std::vector<HostId> recordKeepers(std::uint64_t stream, std::vector<RecordKeeper> hosts)
{
    const std::string subject = hexText(stream);
    std::sort(hosts.begin(), hosts.end(), [&subject](const RecordKeeper &left, const RecordKeeper &right) {
        return rendezvousScore(subject, left.host.value) > rendezvousScore(subject, right.host.value);
    });
    std::vector<HostId> keepers;
    if (hosts.empty()) {
        return keepers;
    }
    keepers.push_back(hosts.front().host);
    const auto other = std::find_if(hosts.begin(), hosts.end(), [&hosts](const RecordKeeper &keeper) {
        return keeper.domain != hosts.front().domain;
    });
    if (other != hosts.end()) {
        keepers.push_back(other->host);
    } else if (hosts.size() > 1) {
        keepers.push_back(hosts[1].host);
    }
    return keepers;
}

} // namespace skylark
