/** @file store_server_func.h HTTP server for an in-memory store, in the platform's wire format. */
#pragma once

#include "http/http_server_func.h"
#include "memory_store_base.h"

namespace skylark::standin {

/** The path from one caller to the service. */
struct StoreLink {
    bool silent{false}; ///< Whether no response gets through. A connection on which one is lost returns nothing further.
};

/**
 * Serves @p store on 127.0.0.1.
 * @param port Port; 0 for any free one.
 * @param link Path of the callers of this server; null for one that is never silent.
 * @return The running server, or why it cannot listen.
 */
[[nodiscard]] Result<std::unique_ptr<HttpServer>> serveStore(const std::shared_ptr<MemoryStore> &store,
                                                             std::uint16_t port = 0,
                                                             const std::shared_ptr<const StoreLink> &link = nullptr);

} // namespace skylark::standin
