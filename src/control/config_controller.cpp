/** @file config_controller.cpp Adoption of configuration from the key-value service and from peers. */
#include "config/config_json_func.h"
#include "control/controller_func.h"
#include "policy/revision_func.h"

#include <glog/logging.h>

namespace skylark {

namespace asio = boost::asio;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view headKey = "config/head";
// With the call timeout of 1.5 s, a watch on a silent connection is replaced within the 5 s in which an edit must reach all hosts (promise P9).
constexpr auto watchTimeout = 2500ms;
constexpr auto roleCheckInterval = 500ms;
constexpr auto retryDelay = 200ms; // A watch that fails immediately must not use up the rate limit of background calls.

/** Resolves the configuration after its revision increased or it was confirmed, and publishes it to other threads and peers. */
void activateConfig(const ControlPtr &control, std::string_view source)
{
    std::vector<ConfigMistake> mistakes;
    control->fleet = resolveConfig(control->config, mistakes);
    for (const ConfigMistake &mistake : mistakes) {
        LOG(ERROR) << "[config] committed document has a mistake; " << mistake.path << ": " << mistake.text;
    }
    LOG(INFO) << "[config] revision " << control->config.revision.value << " in force, from " << source;
    addCounter(*control->context.metrics, "skylark_config_adopted_total", {{"source", source.substr(0, source.find(' '))}});
    setGauge(*control->context.metrics, "skylark_config_revision", {}, static_cast<double>(control->config.revision.value));
    publishSoon(control);
    sendStatusSoon(control);
}

/** Activates the configuration if it was adopted or confirmed for the first time. */
void activateIfChanged(const ControlPtr &control, AdoptOutcome outcome, std::string_view source)
{
    if (outcome == AdoptOutcome::Adopted || (control->config.confirmed && !control->fleet)) {
        activateConfig(control, source);
    }
}

/** Reads the keys of all documents. */
asio::awaitable<Result<std::vector<Document>>> readDocuments(ControlPtr control)
{
    auto page = co_await kvRangeAll(*control->kv, "config/doc/");
    recordPlatformResult(*control);
    if (!isOk(page)) {
        co_return errorOf(page);
    }
    std::vector<Document> documents;
    for (const KvEntry &entry : valueOf(page).entries) {
        auto document = documentFromKey(entry.key, entry.value);
        if (!isOk(document)) {
            co_return errorOf(document);
        }
        documents.push_back(std::move(valueOf(document)));
    }
    co_return documents;
}

/** Applies the value of the head key. An empty text means that no edit was committed yet. */
asio::awaitable<Result<Done>> applyHeadText(ControlPtr control, std::string text, std::string source)
{
    if (text.empty()) {
        ConfigHead empty;
        co_return co_await applyHead(control, std::move(empty), std::move(source));
    }
    auto head = headFromJson(text);
    if (!isOk(head)) {
        LOG(ERROR) << "[config] the configuration head cannot be parsed and is ignored; " << errorOf(head).detail;
        co_return errorOf(head);
    }
    co_return co_await applyHead(control, std::move(valueOf(head)), std::move(source));
}

/** Reads and applies the head. @return The event cursor from which to watch it. */
asio::awaitable<Result<std::uint64_t>> readHeadForWatch(ControlPtr control)
{
    auto page = co_await kvRange(*control->kv, std::string(headKey), "", 1);
    recordPlatformResult(*control);
    if (!isOk(page)) {
        co_return errorOf(page);
    }
    const std::uint64_t cursor = valueOf(page).cursor;
    std::string text = valueOf(page).entries.empty() ? std::string() : valueOf(page).entries.front().value;
    const auto applied = co_await applyHeadText(control, std::move(text), "watch");
    if (!isOk(applied)) {
        co_return errorOf(applied);
    }
    co_return cursor;
}

/** Watches the head from @p cursor until a call fails, events are missing or this host is no longer a watcher. */
asio::awaitable<void> watchFrom(ControlPtr control, std::uint64_t cursor)
{
    while (isWatcher(*control)) {
        co_await acquirePlatformCall(control);
        auto events = co_await kvWatch(*control->kv, std::string(headKey), cursor, watchTimeout);
        recordPlatformResult(*control);
        if (!isOk(events) || valueOf(events).gap) {
            co_return;
        }
        cursor = valueOf(events).cursor;
        for (KvEntry &entry : valueOf(events).events) {
            if (!entry.value.empty()) {
                co_await applyHeadText(control, std::move(entry.value), "watch");
            }
        }
    }
}

} // namespace

asio::awaitable<Result<Done>> applyHead(ControlPtr control, ConfigHead head, std::string source)
{
    AdoptOutcome outcome = adoptHead(control->config, head);
    if (outcome == AdoptOutcome::NeedDocuments) {
        const auto documents = co_await readDocuments(control);
        if (!isOk(documents)) {
            co_return errorOf(documents);
        }
        outcome = adoptDocuments(control->config, head, valueOf(documents));
    }
    activateIfChanged(control, outcome, source);
    if (outcome == AdoptOutcome::NeedHead) {
        co_return makeError(ErrorCode::VersionConflict, "a document is newer than the head that was read");
    }
    co_return Done{};
}

void applyBundle(const ControlPtr &control, const ConfigBundle &bundle, const HostId &peer)
{
    activateIfChanged(control, adoptBundle(control->config, bundle), "peer " + peer.value);
}

asio::awaitable<void> runConfigWatch(ControlPtr control)
{
    while (!control->sessionEnded) {
        // Every host reads the head until its configuration is confirmed; after that, only watchers read it.
        if (control->config.confirmed && !isWatcher(*control)) {
            co_await waitFor(control, control->watchWakeup, roleCheckInterval);
            continue;
        }
        co_await acquirePlatformCall(control);
        const auto cursor = co_await readHeadForWatch(control);
        if (isOk(cursor)) {
            co_await watchFrom(control, valueOf(cursor));
        }
        co_await pauseFor(control, retryDelay + randomBelow(*control, retryDelay));
    }
}

} // namespace skylark
