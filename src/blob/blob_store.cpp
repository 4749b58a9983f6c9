/** @file blob_store.cpp Local blob store on SQLite. */
#include "blob/blob_store_base.h"
#include "core/hash_func.h"

#include <filesystem>
#include <glog/logging.h>
#include <limits>
#include <optional>

namespace skylark {

namespace {

using Statement = std::unique_ptr<sqlite3_stmt, int (*)(sqlite3_stmt *)>;

/** With a write-ahead log and full synchronisation, a transaction is durable on disk when its commit returns. */
constexpr const char *openSql = "PRAGMA journal_mode=WAL;"
                                "PRAGMA synchronous=FULL;"
                                "CREATE TABLE IF NOT EXISTS blobs(id TEXT PRIMARY KEY NOT NULL, data BLOB NOT NULL);";

/** Maximum wait for a lock held by another process, such as a previous instance that is still stopping. */
constexpr int busyTimeoutMs = 2000;

Error storageError(BlobStore::Impl &impl, std::string_view action)
{
    return makeError(ErrorCode::StorageFailed, std::string(action) + ": " + sqlite3_errmsg(impl.database.get()));
}

Statement prepare(BlobStore::Impl &impl, const char *sql)
{
    sqlite3_stmt *statement = nullptr;
    sqlite3_prepare_v2(impl.database.get(), sql, -1, &statement, nullptr);
    return {statement, sqlite3_finalize};
}

void bindText(const Statement &statement, int index, const std::string &text)
{
    sqlite3_bind_text64(statement.get(), index, text.data(), text.size(), SQLITE_STATIC, SQLITE_UTF8);
}

/** @return Text or blob in @p column; valid until the next step of the statement. */
std::string_view columnBytes(const Statement &statement, int column)
{
    const auto *bytes = static_cast<const char *>(sqlite3_column_blob(statement.get(), column));
    return {bytes == nullptr ? "" : bytes, static_cast<std::size_t>(sqlite3_column_bytes(statement.get(), column))};
}

/** Runs a statement that returns no rows. @param action Name of the operation for the error detail. */
Result<Done> execute(BlobStore::Impl &impl, const Statement &statement, std::string_view action)
{
    if (!statement || sqlite3_step(statement.get()) != SQLITE_DONE) {
        return storageError(impl, action);
    }
    return Done{};
}

/** @return Stored data of @p id without verification of its hash; nothing if it is absent. */
Result<std::optional<std::string>> readRow(BlobStore::Impl &impl, const BlobId &id)
{
    const Statement statement = prepare(impl, "SELECT data FROM blobs WHERE id=?1");
    if (!statement) {
        return storageError(impl, "read");
    }
    bindText(statement, 1, id.value);
    const int step = sqlite3_step(statement.get());
    if (step == SQLITE_DONE) {
        return std::optional<std::string>();
    }
    if (step != SQLITE_ROW) {
        return storageError(impl, "read");
    }
    return std::optional<std::string>(columnBytes(statement, 0));
}

Result<Done> removeRow(BlobStore::Impl &impl, const BlobId &id)
{
    const Statement statement = prepare(impl, "DELETE FROM blobs WHERE id=?1");
    bindText(statement, 1, id.value);
    return execute(impl, statement, "remove");
}

Result<std::vector<BlobId>> readIds(BlobStore::Impl &impl, const BlobId &after, std::int64_t limit)
{
    const Statement statement = prepare(impl, "SELECT id FROM blobs WHERE id>?1 ORDER BY id LIMIT ?2");
    if (!statement) {
        return storageError(impl, "list");
    }
    bindText(statement, 1, after.value);
    sqlite3_bind_int64(statement.get(), 2, limit);
    std::vector<BlobId> ids;
    int step = sqlite3_step(statement.get());
    for (; step == SQLITE_ROW; step = sqlite3_step(statement.get())) {
        ids.push_back(BlobId{std::string(columnBytes(statement, 0))});
    }
    if (step != SQLITE_DONE) {
        return storageError(impl, "list");
    }
    return ids;
}

} // namespace

Result<std::shared_ptr<BlobStore>> BlobStore::create(const std::string &folder)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error) {
        return makeError(ErrorCode::StorageFailed, folder + ": " + error.message());
    }
    auto store = std::make_shared<BlobStore>();
    store->impl = std::make_shared<Impl>();
    sqlite3 *database = nullptr;
    const std::string path = std::filesystem::path(folder) / "blobs.sqlite";
    const int opened = sqlite3_open_v2(path.c_str(), &database, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_FULLMUTEX, nullptr);
    store->impl->database.reset(database);
    if (opened != SQLITE_OK) {
        return storageError(*store->impl, path);
    }
    sqlite3_busy_timeout(database, busyTimeoutMs);
    if (sqlite3_exec(database, openSql, nullptr, nullptr, nullptr) != SQLITE_OK) {
        return storageError(*store->impl, path);
    }
    return store;
}

Result<Done> putBlob(BlobStore &store, const BlobId &id, std::string_view data)
{
    if (!hasContentHash(id, data)) {
        return makeError(ErrorCode::InvalidRequest, "content does not match blob id " + id.value);
    }
    const std::scoped_lock lock(store.impl->mutex);
    const auto stored = readRow(*store.impl, id);
    // A stored copy that differs is damaged and is replaced; otherwise a copy that cannot be read would be counted as stored.
    if (isOk(stored) && valueOf(stored) && *valueOf(stored) == data) {
        return Done{};
    }
    const Statement statement = prepare(*store.impl, "INSERT OR REPLACE INTO blobs(id,data) VALUES(?1,?2)");
    bindText(statement, 1, id.value);
    sqlite3_bind_blob64(statement.get(), 2, data.data() == nullptr ? "" : data.data(), data.size(), SQLITE_STATIC);
    return execute(*store.impl, statement, "write");
}

Result<std::string> getBlob(BlobStore &store, const BlobId &id)
{
    const std::scoped_lock lock(store.impl->mutex);
    auto row = readRow(*store.impl, id);
    if (!isOk(row)) {
        return errorOf(row);
    }
    if (!valueOf(row)) {
        return makeError(ErrorCode::BlobNotFound, id.value);
    }
    if (!hasContentHash(id, *valueOf(row))) {
        // The damaged copy is removed, so that a repair by another host stores an intact one here.
        LOG(ERROR) << "[blob] stored blob " << id.value << " does not match its content hash and is removed";
        const auto removed = removeRow(*store.impl, id);
        LOG_IF(ERROR, !isOk(removed)) << "[blob] damaged blob " << id.value << " cannot be removed: " << errorOf(removed).detail;
        return makeError(ErrorCode::StorageFailed, "damaged blob " + id.value);
    }
    return std::move(*valueOf(row));
}

bool hasBlob(BlobStore &store, const BlobId &id)
{
    const std::scoped_lock lock(store.impl->mutex);
    const Statement statement = prepare(*store.impl, "SELECT 1 FROM blobs WHERE id=?1");
    if (!statement) {
        return false;
    }
    bindText(statement, 1, id.value);
    return sqlite3_step(statement.get()) == SQLITE_ROW;
}

Result<std::vector<BlobId>> listBlobs(BlobStore &store)
{
    const std::scoped_lock lock(store.impl->mutex);
    return readIds(*store.impl, {}, std::numeric_limits<std::int64_t>::max());
}

Result<std::vector<BlobId>> listBlobsAfter(BlobStore &store, const BlobId &after, std::size_t limit)
{
    const std::scoped_lock lock(store.impl->mutex);
    return readIds(*store.impl, after, static_cast<std::int64_t>(limit));
}

Result<Done> removeJobBlobs(BlobStore &store, const JobId &job)
{
    const std::scoped_lock lock(store.impl->mutex);
    const Statement statement = prepare(*store.impl, "DELETE FROM blobs WHERE id>=?1 AND id<?2");
    const std::string first = job.value + "/";
    const std::string end = job.value + static_cast<char>('/' + 1);
    bindText(statement, 1, first);
    bindText(statement, 2, end);
    return execute(*store.impl, statement, "remove");
}

BlobId makeBlobId(const JobId &job, std::uint32_t group, std::string_view kind, std::string_view data)
{
    return BlobId{job.value + "/" + std::to_string(group) + "/" + std::string(kind) + "/" + hash128Hex(data)};
}

bool hasContentHash(const BlobId &id, std::string_view data)
{
    const std::size_t slash = id.value.rfind('/');
    return slash != std::string::npos && std::string_view(id.value).substr(slash + 1) == hash128Hex(data);
}

} // namespace skylark
