/** @file blob_store_base.h Internal state of the local blob store. */
#pragma once

#include "blob/blob_store_func.h"

#include <mutex>
#include <sqlite3.h>

namespace skylark {

struct BlobStore::Impl {
    std::mutex mutex; ///< Guards database.
    std::unique_ptr<sqlite3, int (*)(sqlite3 *)> database{nullptr, sqlite3_close};
    BlobId repairCursor; ///< Last id that repairBlobs() has checked; empty to start with the first blob.
};

/** @return At most @p limit stored ids greater than @p after, in ascending order. */
[[nodiscard]] Result<std::vector<BlobId>> listBlobsAfter(BlobStore &store, const BlobId &after, std::size_t limit);

/** @return Whether the content hash in @p id matches @p data. */
[[nodiscard]] bool hasContentHash(const BlobId &id, std::string_view data);

} // namespace skylark
