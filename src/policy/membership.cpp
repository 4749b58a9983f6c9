/** @file membership.cpp Host liveness and rendezvous hashing for ownership. */
#include "policy/membership_func.h"

#include "core/hash_func.h"

#include <algorithm>
#include <tuple>

namespace skylark {

namespace {

bool isNewer(const HostStatus &status, const HostStatus &known)
{
    return std::tie(status.incarnation, status.sequence) > std::tie(known.incarnation, known.sequence);
}

/** @return State of a host whose last status is @p age old. */
HostState stateAt(const MemberRecord &member, std::chrono::nanoseconds age, std::chrono::nanoseconds interval, const MembershipIntervals &intervals)
{
    if (age >= interval * intervals.forgetAfter) {
        return HostState::Unknown;
    }
    if (age >= interval * intervals.deadAfter) {
        return HostState::Dead;
    }
    if (member.status.leaving) {
        return HostState::Leaving;
    }
    return age >= interval * intervals.suspectAfter ? HostState::Suspect : HostState::Live;
}

/** Sorts by descending rendezvous score, then by id; @p idOf returns the id of an element. */
template<typename T, typename IdOf>
void sortByScore(std::string_view subject, std::vector<T> &elements, IdOf idOf)
{
    std::vector<std::pair<std::uint64_t, T>> scored;
    scored.reserve(elements.size());
    for (T &element : elements) {
        const std::uint64_t score = rendezvousScore(subject, idOf(element).value);
        scored.emplace_back(score, std::move(element));
    }
    std::sort(scored.begin(), scored.end(), [&idOf](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : idOf(left.second) < idOf(right.second);
    });
    for (std::size_t i = 0; i < scored.size(); ++i) {
        elements[i] = std::move(scored[i].second);
    }
}

} // namespace

StatusEffect observeStatus(MembershipView &view, const HostStatus &status, TimePoint now)
{
    const auto [found, isNew] = view.members.try_emplace(status.host);
    MemberRecord &member = found->second;
    if (!isNew && !isNewer(status, member.status)) {
        return StatusEffect::Ignored;
    }
    const bool joined = isNew || status.incarnation > member.status.incarnation;
    member = {status, now, status.leaving ? HostState::Leaving : HostState::Live};
    return joined ? StatusEffect::Joined : StatusEffect::Updated;
}

std::vector<MemberChange> expireHosts(MembershipView &view, TimePoint now, const MembershipIntervals &intervals)
{
    std::vector<MemberChange> changes;
    for (auto it = view.members.begin(); it != view.members.end();) {
        MemberRecord &member = it->second;
        const auto interval = member.status.domain == intervals.ownDomain ? intervals.withinDomain : intervals.acrossDomains;
        const HostState state = stateAt(member, now - member.heardAt, interval, intervals);
        if (state != member.state) {
            changes.push_back({it->first, member.state, state});
            member.state = state;
        }
        it = state == HostState::Unknown ? view.members.erase(it) : std::next(it);
    }
    return changes;
}

HostState hostState(const MembershipView &view, const HostId &host)
{
    const auto found = view.members.find(host);
    return found == view.members.end() ? HostState::Unknown : found->second.state;
}

std::chrono::milliseconds statusInterval(std::size_t domainHosts, std::chrono::milliseconds shortest, std::chrono::milliseconds perHost)
{
    return std::max(shortest, perHost * static_cast<std::int64_t>(domainHosts));
}

std::chrono::milliseconds crossDomainInterval(std::chrono::milliseconds sendInterval, std::size_t domainHosts)
{
    return sendInterval * static_cast<std::int64_t>(std::max<std::size_t>(domainHosts, 1));
}

std::optional<HostId> crossDomainReceiver(const HostId &self, const std::vector<HostId> &hosts, std::uint64_t round)
{
    if (hosts.empty()) {
        return std::nullopt;
    }
    // The starting position depends on the sender, so that not all hosts send to the same receiver in one round.
    return hosts[(hash64(self.value) % hosts.size() + round % hosts.size()) % hosts.size()];
}

std::vector<HostId> rankHosts(std::string_view subject, std::vector<HostId> hosts)
{
    sortByScore(subject, hosts, [](const HostId &host) -> const HostId & {
        return host;
    });
    return hosts;
}

std::optional<HostId> batchOwner(const TargetId &target, const std::vector<HostId> &liveHosts)
{
    std::vector<HostId> ranked = rankHosts(target.value, liveHosts);
    return ranked.empty() ? std::nullopt : std::optional(std::move(ranked.front()));
}

std::vector<HostId> configWatchers(const DomainId &domain, const std::vector<HostId> &liveHosts)
{
    std::vector<HostId> ranked = rankHosts(domain.value, liveHosts);
    ranked.resize(std::min<std::size_t>(ranked.size(), 2));
    return ranked;
}

std::vector<HostInfo> rankBlobHosts(const BlobId &id, std::vector<HostInfo> hosts)
{
    std::erase_if(hosts, [](const HostInfo &host) {
        return !host.hasDisk;
    });
    sortByScore(id.value, hosts, [](const HostInfo &host) -> const HostId & {
        return host.id;
    });
    return hosts;
}

std::vector<HostInfo> blobPlacement(const std::vector<HostInfo> &ranked)
{
    std::vector<HostInfo> placement;
    for (const HostInfo &host : ranked) {
        if (placement.empty() || (placement.size() == 1 && placement.front().domain != host.domain)) {
            placement.push_back(host);
        }
    }
    return placement;
}

} // namespace skylark
