/** @file version_upkeep.cpp Keeps the registry of served versions in the key-value service up to date. */
#include "fleet/version_upkeep_func.h"

#include "core/event_log_func.h"
#include "core/hash_func.h"
#include "fleet/stored_origins_func.h"
#include "store/key_mirror_func.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace skylark {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds checkInterval{1000}; ///< Interval at which versions that no longer serve are looked for.
constexpr milliseconds versionRetryDelay{200}; ///< Delay after a failed call; streams to targets of an unlisted version wait for it.

void logVersion(const ServiceVersion &version, std::string_view state)
{
    logEvent(EventKind::VersionChanged, {}, {{"state", state}, {"service", version.service.value}, {"version", version.version.value}});
}

/** Publishes the versions that are listed. */
void publishVersions(FleetController::Impl &impl)
{
    auto versions = std::make_shared<std::set<ServiceVersion>>();
    for (const auto &[version, entry] : impl.versions.listed) {
        versions->insert(version);
    }
    impl.state.listedVersions = std::move(versions);
    publishFleet(impl);
}

/** Reads all entries. @return Whether the service answered. */
asio::awaitable<bool> readEntries(FleetImplPtr impl)
{
    const auto page = co_await readAllKeys(impl->store, std::string(versionEntryPrefix), KvFreshness::Linearizable);
    if (!isOk(page)) {
        co_return false;
    }
    for (const KvItem &item : valueOf(page).items) {
        const auto version = decodeVersionEntry(item.value);
        if (isOk(version)) {
            impl->versions.listed[valueOf(version)] = {item.revision, BootClock::now()};
        }
    }
    impl->versions.read = true;
    publishVersions(*impl);
    co_return true;
}

/** Writes the entry of @p version. One that this host knew is written anew, so that no other host removes it. @return Whether there is one now. */
asio::awaitable<bool> listVersion(FleetImplPtr impl, ServiceVersion version)
{
    const auto known = impl->versions.listed.find(version);
    KvTransaction transaction;
    transaction.conditions.push_back({versionEntryKey(version), known != impl->versions.listed.end() ? known->second.revision : 0});
    transaction.writes.push_back({versionEntryKey(version), encodeVersionEntry(version), 0});
    const auto written = co_await impl->store->commit(std::move(transaction));
    if (!isOk(written)) {
        co_return false;
    }
    const KvTransactionResult &result = valueOf(written);
    const bool exists = result.applied || !result.currentItems.empty();
    if (exists) {
        impl->versions.listed[version] = {result.applied ? result.revision : result.currentItems.front().revision, BootClock::now()};
        logVersion(version, "listed");
    } else {
        impl->versions.listed.erase(version);
    }
    publishVersions(*impl);
    co_return exists;
}

/** Removes the entry of @p version, unless it was written again. @return Whether the service answered. */
asio::awaitable<bool> removeVersion(FleetImplPtr impl, ServiceVersion version)
{
    KvTransaction transaction;
    transaction.conditions.push_back({versionEntryKey(version), impl->versions.listed.at(version).revision});
    transaction.removals.push_back(versionEntryKey(version));
    const auto removed = co_await impl->store->commit(std::move(transaction));
    if (!isOk(removed)) {
        co_return false;
    }
    impl->versions.listed.erase(version);
    if (valueOf(removed).applied) {
        logVersion(version, "removed");
    }
    publishVersions(*impl);
    co_return true;
}

/** Makes the changes that are due. @return Whether the service answered all calls. */
asio::awaitable<bool> changeEntries(FleetImplPtr impl)
{
    const VersionChanges changes = updateServed(impl->versions, impl->usableTargets, BootClock::now());
    bool answered = true;
    for (const ServiceVersion &version : changes.missing) {
        const bool listed = co_await listVersion(impl, version);
        answered = answered && listed;
    }
    for (const ServiceVersion &version : changes.expired) {
        const bool removed = co_await removeVersion(impl, version);
        answered = answered && removed;
    }
    co_return answered;
}

} // namespace

asio::awaitable<void> maintainVersions(FleetImplPtr impl)
{
    while (!impl->leaving) {
        bool answered = impl->versions.read;
        if (!answered) {
            answered = co_await readEntries(impl);
        }
        if (answered) {
            answered = co_await changeEntries(impl);
        }
        // With jitter, because all hosts see the same change of the targets.
        const milliseconds jitter(nextRandom(impl->random) % 100U);
        impl->versionTimer.expires_after((answered ? checkInterval : versionRetryDelay) + jitter);
        co_await impl->versionTimer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

void checkVersions(FleetController::Impl &impl)
{
    const VersionChanges changes = updateServed(impl.versions, impl.usableTargets, BootClock::now());
    if (impl.versions.read && !changes.missing.empty()) {
        impl.versionTimer.cancel();
    }
}

} // namespace skylark
