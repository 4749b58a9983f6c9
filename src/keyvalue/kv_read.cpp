/** @file kv_read.cpp Reads of keys and ranges of the key-value service, and its watch. */
#include "keyvalue/kv_call_func.h"

#include "core/json_member_func.h"

#include <algorithm>

namespace skylark {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned pageSize = 500;

KvEntry parseEntry(const json::value &value)
{
    KvEntry entry;
    if (const json::object *object = value.if_object()) {
        entry.key = stringMember(*object, "key");
        entry.value = stringMember(*object, "value");
        entry.version.value = numberMember(*object, "version");
    }
    return entry;
}

std::vector<KvEntry> parseEntries(const json::array &array)
{
    std::vector<KvEntry> entries;
    entries.reserve(array.size());
    for (const json::value &value : array) {
        entries.push_back(parseEntry(value));
    }
    return entries;
}

} // namespace

asio::awaitable<Result<std::optional<KvEntry>>> kvGet(KvClient &client, std::string key)
{
    HttpRequest request;
    request.target = "/kv/" + percentEncode(key);
    auto answer = co_await kvCall(client, KvCallKind::Read, std::move(request));
    if (!isOk(answer)) {
        co_return errorOf(answer);
    }
    HttpResponse &response = valueOf(answer);
    if (response.status == 404) {
        co_return std::optional<KvEntry>();
    }
    const KvVersion version = versionOf(response);
    if (response.status != 200 || version.value == 0) {
        co_return unexpectedResponse(KvCallKind::Read, response);
    }
    KvEntry entry{std::move(key), std::move(response.body), version};
    co_return std::optional<KvEntry>(std::move(entry));
}

asio::awaitable<Result<KvPage>> kvRange(KvClient &client, std::string prefix, std::string after, unsigned limit)
{
    HttpRequest request;
    request.target = "/range?prefix=" + percentEncode(prefix) + "&after=" + percentEncode(after) + "&limit=" + std::to_string(limit);
    const auto answer = co_await kvCallForObject(client, KvCallKind::Read, std::move(request));
    if (!isOk(answer)) {
        co_return errorOf(answer);
    }
    KvPage page;
    page.entries = parseEntries(arrayMember(valueOf(answer), "entries"));
    page.more = boolMember(valueOf(answer), "more");
    page.cursor = numberMember(valueOf(answer), "cursor");
    co_return page;
}

// Keeps the cursor of the first page, so that a watch reports the changes made between two pages.
asio::awaitable<Result<KvPage>> kvRangeAll(KvClient &client, std::string prefix)
{
    auto page = co_await kvRange(client, prefix, {}, pageSize);
    if (!isOk(page)) {
        co_return errorOf(page);
    }
    KvPage all = std::move(valueOf(page));
    while (all.more && !all.entries.empty()) {
        std::string after = all.entries.back().key;
        auto next = co_await kvRange(client, prefix, std::move(after), pageSize);
        if (!isOk(next)) {
            co_return errorOf(next);
        }
        std::move(valueOf(next).entries.begin(), valueOf(next).entries.end(), std::back_inserter(all.entries));
        all.more = valueOf(next).more && !valueOf(next).entries.empty();
    }
    co_return all;
}

asio::awaitable<Result<KvEvents>> kvWatch(KvClient &client, std::string prefix, std::uint64_t cursor, std::chrono::milliseconds wait)
{
    HttpRequest request;
    request.target = "/watch?prefix=" + percentEncode(prefix) + "&after=" + std::to_string(cursor) + "&wait_ms=" + std::to_string(wait.count());
    const auto answer = co_await kvCallForObject(client, KvCallKind::Watch, std::move(request), wait);
    if (!isOk(answer)) {
        co_return errorOf(answer);
    }
    KvEvents events;
    events.events = parseEntries(arrayMember(valueOf(answer), "events"));
    events.cursor = numberMember(valueOf(answer), "cursor");
    events.gap = boolMember(valueOf(answer), "gap");
    co_return events;
}

} // namespace skylark
