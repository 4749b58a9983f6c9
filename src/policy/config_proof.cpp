/** @file config_proof.cpp Decides how old a proof of the configuration may be, who renews it, and which announcements count. */
#include "policy/config_proof_func.h"

#include "core/hash_func.h"

#include <algorithm>
#include <bit>

namespace skylark {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds admissionMargin{250}; ///< Covers the granularity of announced ages and the difference between the clocks of two hosts.
constexpr milliseconds announcementMargin{100}; ///< Covers the usual delay of a datagram, which its receiver cannot measure.
constexpr milliseconds senderProbation{1000}; ///< Datagrams arrive several times in this time, so that the shortest delay is known after it.
constexpr milliseconds longestSilence{3000}; ///< After a longer silence the sender is new: peer links forget the clocks of silent hosts.
constexpr milliseconds forgetDelay{60000}; ///< Senders that have been silent for this long are removed.
constexpr milliseconds longestRunGap{500}; ///< A longer pause of the thread means that datagrams may have waited for it.
constexpr int renewalsPerLimit = 4; ///< Two calls may fail before a proof is too old.
constexpr double stepShare = 0.07; ///< Step in parts of the revocation limit: 350 ms of 5 s cover a slow call of the service and a datagram.

} // namespace

milliseconds maxProofAge(const ConfigProofLimits &limits)
{
    return limits.revocationLimit - std::min(admissionMargin, limits.revocationLimit / renewalsPerLimit);
}

std::optional<std::chrono::nanoseconds> proofAge(const ConfigProofState &state, Revision inForce, TimePoint now)
{
    const bool valid = state.proof && state.proof->version <= inForce;
    return valid ? std::optional(now - state.proof->provenAt) : std::nullopt;
}

KeyDecision decideKey(const ConfigProofLimits &limits, bool known, std::optional<std::chrono::nanoseconds> age)
{
    if (!limits.kept) {
        return known ? KeyDecision::Admit : KeyDecision::Refuse;
    }
    if (known) {
        return age && *age < maxProofAge(limits) ? KeyDecision::Admit : KeyDecision::Undecided;
    }
    // The refusal is final for the caller, whose key may have been added since the proof.
    return age && *age < std::min(limits.configLimit, maxProofAge(limits)) ? KeyDecision::Refuse : KeyDecision::Undecided;
}

bool recordProof(ConfigProofState &state, const ConfigProof &proof, Revision inForce)
{
    if (proof.version > inForce || (state.proof && state.proof->provenAt >= proof.provenAt)) {
        return false;
    }
    state.proof = proof;
    return true;
}

void recordRun(ConfigProofState &state, TimePoint now)
{
    if (now - state.lastRunAt > longestRunGap) {
        for (auto &[host, sender] : state.senders) {
            sender.heardSince = now;
        }
    }
    state.lastRunAt = std::max(state.lastRunAt, now);
}

bool recordPeerProof(
    ConfigProofState &state, const HostId &sender, std::uint64_t incarnation, const std::optional<ConfigProof> &announced, Revision inForce, TimePoint now)
{
    recordRun(state, now);
    if (!state.senders.contains(sender)) {
        std::erase_if(state.senders, [now](const auto &entry) {
            return now - entry.second.heardAt > forgetDelay;
        });
    }
    ProofSender &known = state.senders[sender];
    if (known.incarnation != incarnation || now - known.heardAt > longestSilence) {
        known = {incarnation, now, now, false};
    }
    known.heardAt = now;
    known.trusted = known.trusted || now - known.heardSince >= senderProbation;
    if (!announced || !known.trusted) {
        return false;
    }
    return recordProof(state, {announced->version, announced->provenAt - announcementMargin}, inForce);
}

unsigned proofRank(const std::vector<HostId> &others, const HostId &own)
{
    constexpr std::string_view subject = "configuration proof";
    const std::uint64_t score = rendezvousScore(subject, own.value);
    return static_cast<unsigned>(std::count_if(others.begin(), others.end(), [&](const HostId &other) {
        return rendezvousScore(subject, other.value) > score;
    }));
}

milliseconds renewalDelay(const ConfigProofLimits &limits, unsigned rank)
{
    const auto step = std::chrono::duration_cast<milliseconds>(limits.revocationLimit * stepShare);
    return limits.revocationLimit / renewalsPerLimit + step * std::bit_width(rank);
}

bool mayAskForProof(const ConfigProofState &state, unsigned rank, TimePoint now)
{
    if (!state.limits.kept || state.asking) {
        return false;
    }
    const milliseconds delay = renewalDelay(state.limits, rank);
    if (state.failed && now - state.askedAt < delay) {
        return false;
    }
    return !state.proof || now - state.proof->provenAt >= delay;
}

} // namespace skylark
