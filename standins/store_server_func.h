/** @file store_server_func.h Serves a store in memory in the platform's wire form. */
#pragma once

#include "http/http_server_func.h"
#include "memory_store_base.h"

namespace skylark::standin {

/** @return A server for @p store on 127.0.0.1. */
[[nodiscard]] Result<std::unique_ptr<HttpServer>> serveStore(const std::shared_ptr<MemoryStore> &store, std::uint16_t port = 0);

} // namespace skylark::standin
