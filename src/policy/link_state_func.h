/** @file link_state_func.h Decides whether this host can reach the targets, and which host serves its callers otherwise. */
#pragma once

#include "policy/link_state_type.h"

#include <cstdint>

namespace skylark {

constexpr std::chrono::milliseconds linkTroubleTime{1500}; ///< Time for which a connection that could not be opened counts.

/** @return Whether the links are to be tested: trouble with a single target can be its own. */
[[nodiscard]] bool suspectsLinks(const LinkTrouble &trouble);

/** @param lost Whether the links count as lost. @return Whether they do after the test. */
[[nodiscard]] bool judgeLinks(bool lost, const LinkTest &test);

/**
 * Chooses the host that gets a request. Hosts of the own failure domain are preferred unless most of them have no links, so that few are not overloaded.
 * @param draw Uniform random number.
 * @return Empty if no host has links.
 */
[[nodiscard]] HostId chooseRelayHost(const std::vector<RelayCandidate> &candidates, std::uint64_t draw);

} // namespace skylark
