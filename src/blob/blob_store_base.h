/** @file blob_store_base.h State of the local blob store. */
#pragma once

#include "blob/blob_store_func.h"

#include <mutex>
#include <sqlite3.h>

namespace skylark {

struct BlobStore::Impl {
    std::mutex mutex; ///< Serialises all use of database.
    std::unique_ptr<sqlite3, int (*)(sqlite3 *)> database{nullptr, sqlite3_close}; ///< Open database.
    BlobId repairCursor; ///< Last id that the repair has checked; empty at the beginning.
};

/** @return At most @p limit ids greater than @p after, in order. */
[[nodiscard]] Result<std::vector<BlobId>> listBlobsAfter(BlobStore &store, const BlobId &after, std::size_t limit);

/** @return Whether the content hash in @p id is that of @p data. */
[[nodiscard]] bool hasContentHash(const BlobId &id, std::string_view data);

} // namespace skylark
