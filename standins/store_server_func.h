/** @file store_server_func.h HTTP server for an in-memory store, in the platform's wire format. */
#pragma once

#include "http/http_server_func.h"
#include "memory_store_base.h"

namespace skylark::standin {

/** Serves @p store on 127.0.0.1. @param port Port; 0 for any free one. @return The running server, or why it cannot listen. */
[[nodiscard]] Result<std::unique_ptr<HttpServer>> serveStore(const std::shared_ptr<MemoryStore> &store, std::uint16_t port = 0);

} // namespace skylark::standin
