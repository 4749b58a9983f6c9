/** @file test_link_state.cpp Decisions of a host that may have lost its links to the targets. */
#include "policy/link_state_func.h"

#include <catch2/catch.hpp>
#include <map>

using namespace skylark;

// Guards against a sound target that is silent for a second, or a single one that is down, being taken for lost links.
TEST_CASE("suspectsLinks_troubleWithOneTarget_isNoSuspicion")
{
    CHECK_FALSE(suspectsLinks({.targets = 12, .unreachable = 1}));
    CHECK_FALSE(suspectsLinks({.targets = 12, .silent = 1}));
    CHECK_FALSE(suspectsLinks({.targets = 1, .unreachable = 1}));
    CHECK(suspectsLinks({.targets = 12, .unreachable = 1, .silent = 1}));
    CHECK(suspectsLinks({.targets = 2, .unreachable = 2}));
}

// Guards against links that count as lost while a target can be reached, and against a return on a single lucky connection.
TEST_CASE("judgeLinks_someConnectionsOpen_areLostOnlyWithoutAnyAndBackWithHalf")
{
    CHECK(judgeLinks(false, {.tried = 4, .opened = 0}));
    CHECK_FALSE(judgeLinks(false, {.tried = 4, .opened = 1}));
    CHECK(judgeLinks(true, {.tried = 4, .opened = 1}));
    CHECK_FALSE(judgeLinks(true, {.tried = 4, .opened = 2}));
    CHECK_FALSE(judgeLinks(true, {.tried = 0, .opened = 0}));
}

// Guards against all hosts of a domain sending their requests to the one that has its links.
TEST_CASE("chooseRelayHost_fewHostsOfTheDomainAreLinked_allLinkedHostsShareTheLoad")
{
    std::vector<RelayCandidate> candidates{{HostId{"near-1"}, true, true}, {HostId{"near-2"}, true, false}, {HostId{"near-3"}, true, false}};
    for (unsigned i = 0; i < 4; ++i) {
        candidates.push_back({HostId{"far-" + std::to_string(i)}, false, true});
    }
    std::map<HostId, unsigned> chosen;
    for (std::uint64_t draw = 0; draw < 1000; ++draw) {
        ++chosen[chooseRelayHost(candidates, draw)];
    }
    CHECK(chosen.size() == 5);
    CHECK(chosen[HostId{"near-1"}] == 200);
    candidates[1].linked = true;
    CHECK(chooseRelayHost(candidates, 7).value.starts_with("near"));
    CHECK(chooseRelayHost({{HostId{"near-1"}, true, false}}, 7).empty());
    CHECK(chooseRelayHost({}, 7).empty());
}
