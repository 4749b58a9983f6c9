/** @file prompt_placement.cpp Passes what this host knows of kept prompt parts to the choice of a target, and records what it sends. */
#include "policy/kept_prompt_func.h"
#include "proxy/forwarding_base.h"

#include <cmath>

namespace skylark {

using std::chrono::milliseconds;

namespace {

/** @return Tokens that a target of the request's service holds; 0 when they are not known or the route has no session affinity. */
std::uint64_t cacheTokensOf(const Forwarding &forwarding)
{
    const auto found = forwarding.config->services.find(forwarding.service);
    return forwarding.route->sessionAffinity && found != forwarding.config->services.end() ? found->second.cacheTokens : 0;
}

} // namespace

void weighKeptPrompt(const Forwarding &forwarding, milliseconds serviceTime, std::vector<BalanceCandidate> &candidates)
{
    Proxy &proxy = *forwarding.proxy;
    const std::uint64_t cacheTokens = cacheTokensOf(forwarding);
    if (cacheTokens == 0 || !proxy.fleet->targets) {
        return;
    }
    const KeptPromptInput input{.cacheTokens = cacheTokens, .ownOnline = ownOnline(proxy, forwarding.service), .serviceTime = serviceTime};
    estimateKeptTokens(proxy.keptPrompts[forwarding.service], forwarding.call.prompt, input, candidates, BootClock::now());
}

void recordPromptSent(Forwarding &forwarding, const BalanceChoice &choice)
{
    const std::uint64_t cacheTokens = cacheTokensOf(forwarding);
    const double tokens = tokensOf(forwarding.call.prompt);
    forwarding.sentPrompt = std::nullopt;
    if (cacheTokens == 0 || tokens <= 0) {
        return;
    }
    Proxy &proxy = *forwarding.proxy;
    // The whole answer of a plain request tells nothing of the time to read its prompt.
    if (forwarding.route->kind == CallKind::Stream) {
        forwarding.sentPrompt = SentPrompt{tokens, choice.keptTokens, choice.keptGuessed, choice.slowness > 1.0};
    }
    recordSentPrompt(proxy.keptPrompts[forwarding.service], choice.target, forwarding.call.prompt, cacheTokens);
    addCounter(*proxy.metrics, "skylark_kept_prompt_tokens_total", {{"service", forwarding.service.value}}, choice.keptTokens);
    if (choice.savedMs > 0) {
        addCounter(*proxy.metrics, "skylark_kept_prompt_placements_total", {{"service", forwarding.service.value}});
    }
}

void recordPromptFailure(const Forwarding &forwarding, const TargetId &target)
{
    const auto kept = forwarding.proxy->keptPrompts.find(forwarding.service);
    if (kept != forwarding.proxy->keptPrompts.end()) {
        forgetSentPrompt(kept->second, target, forwarding.call.prompt);
    }
}

std::optional<milliseconds> recordPromptRead(const Forwarding &forwarding, std::chrono::nanoseconds firstAnswer)
{
    const auto kept = forwarding.proxy->keptPrompts.find(forwarding.service);
    if (!forwarding.sentPrompt || kept == forwarding.proxy->keptPrompts.end()) {
        return std::chrono::duration_cast<milliseconds>(firstAnswer);
    }
    ReadTimeFit &fit = kept->second.fit;
    const SentPrompt &sent = *forwarding.sentPrompt;
    const double took = std::chrono::duration<double, std::milli>(firstAnswer).count();
    const auto comparable = comparableFirstEvent(fit, sent, took);
    addReadTime(fit, sent, took);
    const double perToken = timePerToken(fit).value_or(0.0);
    setGauge(*forwarding.proxy->metrics, "skylark_prompt_token_seconds", {{"service", forwarding.service.value}}, perToken / 1000.0);
    return comparable ? std::optional(milliseconds(std::llround(*comparable))) : std::nullopt;
}

} // namespace skylark
