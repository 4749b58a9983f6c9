/** @file storage_host_func.h A host with a disk. It keeps no data, since jobs and results are in the key-value service, and answers requests to empty it. */
#pragma once

#include "core/id_type.h"
#include "metrics/metrics_func.h"
#include "store/kv_store_type.h"

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <memory>
#include <string>

namespace skylark {

/** Settings of a storage host. */
struct StorageSettings {
    HostId host; ///< Name of the host.
    std::string role; ///< Role, for logs.
    std::string retireKey; ///< Key by which operators ask for the host to be emptied.
    std::string retireStatusKey; ///< Key at which the host reports.
    std::string retireDone; ///< Report that the host holds nothing.
    std::function<std::shared_ptr<const KvStore>(const boost::asio::any_io_executor &executor, std::shared_ptr<MetricsRegistry> metrics)>
        makeStore; ///< Client of the service.
};

/** Runs the host until SIGTERM or SIGINT. @return Exit code. */
int runStorageHost(StorageSettings settings);

} // namespace skylark
