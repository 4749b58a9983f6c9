/** @file link_state.cpp Decides whether this host can reach the targets, and which host serves its callers otherwise. */
#include "policy/link_state_func.h"

#include <algorithm>

namespace skylark {

namespace {

constexpr unsigned minTroubledTargets = 2;

} // namespace

bool suspectsLinks(const LinkTrouble &trouble)
{
    return trouble.targets >= minTroubledTargets && trouble.unreachable + trouble.silent >= minTroubledTargets;
}

bool judgeLinks(bool lost, const LinkTest &test)
{
    if (test.tried < minTroubledTargets) {
        return false;
    }
    return lost ? test.opened * 2 < test.tried : test.opened == 0;
}

HostId chooseRelayHost(const std::vector<RelayCandidate> &candidates, std::uint64_t draw)
{
    std::vector<HostId> linked;
    std::vector<HostId> linkedNearby;
    std::size_t nearby = 1; // This host, which has no links.
    for (const RelayCandidate &candidate : candidates) {
        nearby += candidate.sameDomain ? 1 : 0;
        if (candidate.linked) {
            linked.push_back(candidate.host);
        }
        if (candidate.linked && candidate.sameDomain) {
            linkedNearby.push_back(candidate.host);
        }
    }
    const std::vector<HostId> &chosen = linkedNearby.size() * 2 >= nearby ? linkedNearby : linked;
    return chosen.empty() ? HostId() : chosen[draw % chosen.size()];
}

} // namespace skylark
