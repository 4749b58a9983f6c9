/** @file kept_prompt.cpp Prompt parts that targets probably still hold, and the time that they save. */
#include "policy/kept_prompt_func.h"

#include "core/hash_func.h"

#include <algorithm>
#include <cmath>

namespace skylark {

namespace {

constexpr std::size_t maxKeptParts = 32768; ///< Parts in the histories of all targets of a service: about 4 MB.
constexpr std::size_t minPartsPerTarget = 16; ///< Parts in the history of a target however many there are; 1,700 targets stay within the bound above.
constexpr std::size_t maxCountedParts = 4096; ///< Bounds the memory of the counts of uses.
constexpr double sentConfidence = 0.9; ///< Probability that a target holds a part that this host sent it.
constexpr double homeConfidence = 0.8; ///< Probability that a target which hosts prefer for a part holds it, if the memory of all targets holds all parts.
constexpr double nextShare = 0.5; ///< The same for the targets next in the ranking, which take requests while those are full, relative to it.
constexpr std::chrono::minutes useExpiry{2}; ///< Time after which a part that was not named again no longer counts as in use.
constexpr std::size_t nextTargets = 1; ///< Number of targets in the ranking after those that are preferred.
constexpr double useMemorySeconds = 10.0; ///< Time constant of the counts of uses.
constexpr double homeShare = 0.5; ///< Share of a target's slots that the requests with one part may take before they spread over one more target.
constexpr double averageWeight = 0.05; ///< Weight of a new value in a moving average.
constexpr double maxHostScale = 400.0; ///< Largest number of hosts whose requests are inferred from this host's own.
constexpr double outputFactor = 1.0; ///< Memory of a running request that kept parts cannot use, relative to its prompt.
constexpr double fitMemory = 1000.0; ///< Number of requests that the fit remembers.
constexpr double minFitWeight = 50.0; ///< Number of requests before a slope counts as known.
constexpr double maxGuessMs = 10.0; ///< A guess of more than this changes a time to the first event too much.
constexpr double minExpectedMs = 5.0; ///< Bounds the correction when the fitted line comes near zero.
constexpr double outlierDeviations = 3.0; ///< Positive residuals are bounded at this many standard deviations: a target may be slow before it is known to be.
constexpr double standardErrors = 2.0; ///< Number of standard errors that are taken off the slope.

/** @return Requests of all hosts for each request of this host, at least 1. */
double hostScale(const KeptPrompts &kept)
{
    return std::clamp((kept.allOnline + 0.5) / (kept.ownOnline + 0.5), 1.0, maxHostScale);
}

/** @return Tokens of the shared part with the index @p i; 0 when unknown. */
double sharedTokens(const PromptParts &prompt, std::size_t i)
{
    return i < prompt.sharedTokens.size() ? prompt.sharedTokens[i] : 0;
}

bool isHeld(const TargetHistory &history, PromptPartId part, double room)
{
    const KeptPart *kept = history.parts.find(part);
    return kept != nullptr && history.readTokens - kept->usedAt < room;
}

/** Sets the tokens of @p prompt that the candidate is expected to hold. A part counts only as far as all parts before it are held. */
void estimateTokens(BalanceCandidate &candidate, const TargetHistory *history, const PromptParts &prompt, double room, double homeOdds)
{
    candidate.keptTokens = 0;
    candidate.keptGuessed = false;
    double odds = 1.0;
    for (std::size_t i = 0; i < prompt.shared.size(); ++i) {
        const bool sent = history != nullptr && isHeld(*history, prompt.shared[i], room);
        odds *= sent ? sentConfidence : homeOdds;
        candidate.keptTokens += odds * sharedTokens(prompt, i);
        candidate.keptGuessed = candidate.keptGuessed || (!sent && odds > 0);
    }
    const bool ownHeld = history != nullptr && prompt.own != PromptPartId{} && isHeld(*history, prompt.own, room);
    candidate.keptTokens += ownHeld ? odds * sentConfidence * prompt.ownTokens : 0;
}

/** Counts a use of @p part. @return Requests of all hosts with this part that hold a slot at a time. */
double countUse(KeptPrompts &kept, PromptPartId part, std::chrono::milliseconds serviceTime, TimePoint now)
{
    PartUse &use = kept.uses.use(part);
    const double elapsed = std::chrono::duration<double>(now - use.countedAt).count();
    use.count = 1.0 + (use.count > 0 ? use.count * std::exp(-elapsed / useMemorySeconds) : 0.0);
    use.countedAt = now;
    while (kept.uses.entries.size() > maxCountedParts || kept.uses.entries.back().value.countedAt + useExpiry < now) {
        kept.uses.dropOldest();
    }
    // The request itself is no evidence of a rate.
    return (use.count - 1.0) / useMemorySeconds * hostScale(kept) * std::chrono::duration<double>(serviceTime).count();
}

TargetHistory &historyOf(KeptPrompts &kept, const TargetId &target)
{
    const auto [found, created] = kept.targets.try_emplace(target);
    if (created) {
        found->second.hash = hash64(target.value);
    }
    return found->second;
}

/** @return Whether the target may be one that hosts prefer for a part. */
bool mayBePreferred(const BalanceCandidate &candidate)
{
    return !candidate.silent && !candidate.suspect && !candidate.tried && !candidate.rateLimited && candidate.slowness <= 1.0;
}

/** @return Indices of the candidates that hosts prefer for @p part, in the order of the ranking: at most @p count. */
std::vector<std::size_t> rankTargets(KeptPrompts &kept, PromptPartId part, const std::vector<BalanceCandidate> &candidates, std::size_t count)
{
    std::vector<std::pair<std::uint64_t, std::size_t>> scores;
    scores.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (mayBePreferred(candidates[i])) {
            std::uint64_t state = historyOf(kept, candidates[i].id).hash ^ part.value;
            scores.emplace_back(nextRandom(state), i);
        }
    }
    count = std::min(count, scores.size());
    std::partial_sort(scores.begin(), scores.begin() + static_cast<std::ptrdiff_t>(count), scores.end(), std::greater<>());
    std::vector<std::size_t> ranking;
    for (std::size_t i = 0; i < count; ++i) {
        ranking.push_back(scores[i].second);
    }
    return ranking;
}

/** @return Probability that a target which hosts prefer for a part of @p tokens holds it: lower where the parts in use exceed the memory of all targets. */
double homeOdds(const KeptPrompts &kept, double tokens, const std::vector<BalanceCandidate> &candidates, std::uint64_t cacheTokens)
{
    double room = 0;
    for (const BalanceCandidate &candidate : candidates) {
        room += std::max(0.0, static_cast<double>(cacheTokens) - candidate.online * kept.meanTokens * outputFactor);
    }
    return homeConfidence * std::min(1.0, room / std::max(1.0, tokens * static_cast<double>(kept.uses.entries.size())));
}

/** Updates the averages from the requests in flight. */
void observeLoad(KeptPrompts &kept, const PromptParts &prompt, const KeptPromptInput &input, const std::vector<BalanceCandidate> &candidates)
{
    double all = 0;
    for (const BalanceCandidate &candidate : candidates) {
        all += candidate.online;
    }
    kept.ownOnline += averageWeight * (input.ownOnline - kept.ownOnline);
    kept.allOnline += averageWeight * (all - kept.allOnline);
    kept.meanTokens += (kept.meanTokens > 0 ? averageWeight : 1.0) * (tokensOf(prompt) - kept.meanTokens);
}

/** @return Variance of the times about the fitted line. */
double residualVariance(const ReadTimeFit &fit)
{
    return std::max(0.0, fit.timeSquared - fit.product * fit.product / fit.tokensSquared) / (fit.weight - 2.0);
}

} // namespace

double tokensOf(const PromptParts &prompt)
{
    double tokens = prompt.ownTokens;
    for (const std::uint32_t part : prompt.sharedTokens) {
        tokens += part;
    }
    return tokens;
}

void estimateKeptTokens(KeptPrompts &kept, const PromptParts &prompt, const KeptPromptInput &input, std::vector<BalanceCandidate> &candidates, TimePoint now)
{
    if (input.cacheTokens == 0 || (prompt.shared.empty() && prompt.own == PromptPartId{})) {
        return;
    }
    observeLoad(kept, prompt, input, candidates);
    std::vector<double> odds(candidates.size(), 0.0);
    if (!prompt.shared.empty() && !candidates.empty()) {
        const double load = countUse(kept, prompt.shared.back(), input.serviceTime, now);
        const auto homes = 1 + static_cast<std::size_t>(load / (homeShare * std::max(1U, candidates.front().slots)));
        const auto ranking = rankTargets(kept, prompt.shared.back(), candidates, homes + nextTargets);
        const double home = homeOdds(kept, tokensOf(prompt) - prompt.ownTokens, candidates, input.cacheTokens);
        for (std::size_t rank = 0; rank < ranking.size(); ++rank) {
            odds[ranking[rank]] = rank < homes ? home : home * nextShare;
        }
    }
    const auto perToken = timePerToken(kept.fit);
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        BalanceCandidate &candidate = candidates[i];
        const auto found = kept.targets.find(candidate.id);
        const double room = static_cast<double>(input.cacheTokens) - candidate.online * kept.meanTokens * outputFactor;
        estimateTokens(candidate, found == kept.targets.end() ? nullptr : &found->second, prompt, room, room > tokensOf(prompt) ? odds[i] : 0.0);
        candidate.keptShare = candidate.keptTokens / std::max(1.0, tokensOf(prompt));
        candidate.savedMs = candidate.keptTokens * perToken.value_or(0.0);
    }
}

void recordSentPrompt(KeptPrompts &kept, const TargetId &target, const PromptParts &prompt, std::uint64_t cacheTokens)
{
    if (cacheTokens == 0) {
        return;
    }
    TargetHistory &history = historyOf(kept, target);
    const auto room = static_cast<double>(cacheTokens);
    double unread = 0;
    for (std::size_t i = 0; i < prompt.shared.size(); ++i) {
        unread += unread > 0 || !isHeld(history, prompt.shared[i], room) ? sharedTokens(prompt, i) : 0.0;
    }
    unread += unread > 0 || !isHeld(history, prompt.own, room) ? prompt.ownTokens : 0.0;
    history.readTokens += unread * hostScale(kept);
    for (const PromptPartId part : prompt.shared) {
        history.parts.use(part).usedAt = history.readTokens;
    }
    if (prompt.own != PromptPartId{}) {
        history.parts.use(prompt.own).usedAt = history.readTokens;
    }
    auto &entries = history.parts.entries;
    const std::size_t maxParts = std::max(minPartsPerTarget, maxKeptParts / kept.targets.size());
    while (!entries.empty() && (entries.size() > maxParts || history.readTokens - entries.back().value.usedAt >= room)) {
        history.parts.dropOldest();
    }
}

void forgetSentPrompt(KeptPrompts &kept, const TargetId &target, const PromptParts &prompt)
{
    const auto found = kept.targets.find(target);
    if (found == kept.targets.end()) {
        return;
    }
    for (const PromptPartId part : prompt.shared) {
        found->second.parts.erase(part);
    }
    found->second.parts.erase(prompt.own);
}

void addReadTime(ReadTimeFit &fit, const SentPrompt &prompt, double firstEvent)
{
    if (prompt.slow || prompt.guessed) {
        return;
    }
    const double unreadTokens = prompt.tokens - prompt.keptTokens;
    const double decay = 1.0 - 1.0 / fitMemory;
    fit.weight = fit.weight * decay + 1.0;
    fit.tokensSquared *= decay;
    fit.timeSquared *= decay;
    fit.product *= decay;
    if (fit.weight >= minFitWeight && fit.tokensSquared > 0) {
        const double slope = fit.product / fit.tokensSquared;
        const double expected = fit.time + slope * (unreadTokens - fit.tokens);
        const double limit = outlierDeviations * std::sqrt(residualVariance(fit));
        firstEvent = std::min(firstEvent, expected + limit);
    }
    const double tokensBefore = unreadTokens - fit.tokens;
    const double timeBefore = firstEvent - fit.time;
    fit.tokens += tokensBefore / fit.weight;
    fit.time += timeBefore / fit.weight;
    fit.tokensSquared += tokensBefore * (unreadTokens - fit.tokens);
    fit.timeSquared += timeBefore * (firstEvent - fit.time);
    fit.product += tokensBefore * (firstEvent - fit.time);
}

std::optional<double> timePerToken(const ReadTimeFit &fit)
{
    if (fit.weight < minFitWeight || fit.tokensSquared <= 0) {
        return std::nullopt;
    }
    const double slope = fit.product / fit.tokensSquared;
    const double cautious = slope - standardErrors * std::sqrt(residualVariance(fit) / fit.tokensSquared);
    return cautious > 0 ? std::optional(cautious) : std::nullopt;
}

std::optional<double> comparableFirstEvent(const ReadTimeFit &fit, const SentPrompt &prompt, double firstEvent)
{
    const auto perToken = timePerToken(fit);
    if (!perToken) {
        return firstEvent;
    }
    if (prompt.guessed && *perToken * prompt.keptTokens > maxGuessMs) {
        return std::nullopt;
    }
    const double expected = fit.time + fit.product / fit.tokensSquared * (prompt.tokens - prompt.keptTokens - fit.tokens);
    return firstEvent * fit.time / std::max(expected, minExpectedMs);
}

} // namespace skylark
