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
constexpr auto watchWait = 2500ms; // With the call timeout of 1.5 s, a silent watch is replaced within the 5 s of P9.
constexpr auto idleCheck = 500ms;
constexpr auto retryPause = 200ms; // Keeps a watch that fails at once from using up the rate of background calls.

/** Resolves and announces a state that moved forward or was confirmed. */
void announceConfig(const ControlPtr &control, std::string_view source)
{
    std::vector<ConfigMistake> mistakes;
    control->fleet = resolveConfig(control->config, mistakes);
    for (const ConfigMistake &mistake : mistakes) {
        LOG(ERROR) << "[config] committed document has a mistake; " << mistake.path << ": " << mistake.text;
    }
    LOG(INFO) << "[config] revision " << control->config.revision.value << " in force, from " << source;
    addCounter(*control->context.metrics, "skylark_config_adopted_total", {{"source", source.substr(0, source.find(' '))}});
    setGauge(*control->context.metrics, "skylark_config_revision", {}, static_cast<double>(control->config.revision.value));
    markChanged(control);
    pushStatus(control);
}

/** Announces the state if @p outcome or a first confirmation changed it. */
void noteOutcome(const ControlPtr &control, AdoptOutcome outcome, std::string_view source)
{
    if (outcome == AdoptOutcome::Adopted || (control->config.confirmed && !control->fleet)) {
        announceConfig(control, source);
    }
}

asio::awaitable<Result<std::vector<Document>>> readDocuments(ControlPtr control)
{
    auto page = co_await kvRangeAll(*control->kv, "config/doc/");
    notePlatform(*control);
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

/** Takes the value of the head key; an empty text means that there was no edit yet. */
asio::awaitable<Result<Done>> takeHeadText(ControlPtr control, std::string text, std::string source)
{
    if (text.empty()) {
        ConfigHead empty;
        co_return co_await takeHead(control, std::move(empty), std::move(source));
    }
    auto head = headFromJson(text);
    if (!isOk(head)) {
        LOG(ERROR) << "[config] the head cannot be parsed and is ignored; " << errorOf(head).detail;
        co_return errorOf(head);
    }
    co_return co_await takeHead(control, std::move(valueOf(head)), std::move(source));
}

/** Reads the head and its event cursor. */
asio::awaitable<Result<std::uint64_t>> readForWatch(ControlPtr control)
{
    auto page = co_await kvRange(*control->kv, std::string(headKey), "", 1);
    notePlatform(*control);
    if (!isOk(page)) {
        co_return errorOf(page);
    }
    const std::uint64_t cursor = valueOf(page).cursor;
    std::string text = valueOf(page).entries.empty() ? std::string() : valueOf(page).entries.front().value;
    const auto taken = co_await takeHeadText(control, std::move(text), "watch");
    if (!isOk(taken)) {
        co_return errorOf(taken);
    }
    co_return cursor;
}

/** Watches from @p cursor until an error, a gap or the end of the watcher role. */
asio::awaitable<void> watchFrom(ControlPtr control, std::uint64_t cursor)
{
    while (isWatcher(*control)) {
        co_await awaitPlatform(control);
        auto events = co_await kvWatch(*control->kv, std::string(headKey), cursor, watchWait);
        notePlatform(*control);
        if (!isOk(events) || valueOf(events).gap) {
            co_return;
        }
        cursor = valueOf(events).cursor;
        for (KvEntry &entry : valueOf(events).events) {
            if (!entry.value.empty()) {
                co_await takeHeadText(control, std::move(entry.value), "watch");
            }
        }
    }
}

} // namespace

asio::awaitable<Result<Done>> takeHead(ControlPtr control, ConfigHead head, std::string source)
{
    AdoptOutcome outcome = adoptHead(control->config, head);
    if (outcome == AdoptOutcome::NeedDocuments) {
        const auto documents = co_await readDocuments(control);
        if (!isOk(documents)) {
            co_return errorOf(documents);
        }
        outcome = adoptDocuments(control->config, head, valueOf(documents));
    }
    noteOutcome(control, outcome, source);
    if (outcome == AdoptOutcome::NeedHead) {
        co_return makeError(ErrorCode::VersionConflict, "a document is newer than the head that was read");
    }
    co_return Done{};
}

void takeBundle(const ControlPtr &control, const ConfigBundle &bundle, const HostId &peer)
{
    noteOutcome(control, adoptBundle(control->config, bundle), "peer " + peer.value);
}

asio::awaitable<void> runConfigWatch(ControlPtr control)
{
    while (!control->ended) {
        // Every host asks the service once at its start; after that only watchers do.
        if (control->config.confirmed && !isWatcher(*control)) {
            co_await waitFor(control, control->watchWakeup, idleCheck);
            continue;
        }
        co_await awaitPlatform(control);
        const auto cursor = co_await readForWatch(control);
        if (isOk(cursor)) {
            co_await watchFrom(control, valueOf(cursor));
        }
        co_await pauseFor(control, retryPause + randomBelow(*control, retryPause));
    }
}

} // namespace skylark
