/** @file storage_host_func.h A host with a disk. It stores no data, since jobs and results are in the key-value service, and reports so when it is retired. */
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
    HostId host; ///< Host name, unique in the fleet.
    std::string role; ///< Role of the machine; only logged.
    std::string retireKey; ///< Key that operators write to retire the host.
    std::string retireStatusKey; ///< Key that the host writes its report to.
    std::string retireDoneValue; ///< Value of the report that the host holds no data.
    std::function<std::shared_ptr<const KvStore>(const boost::asio::any_io_executor &executor, std::shared_ptr<MetricsRegistry> metrics)>
        makeStore; ///< Creates a client of the key-value service that runs on the executor.
};

/** Runs the host until SIGTERM or SIGINT, and then exits the process with success. */
int runStorageHost(StorageSettings settings);

} // namespace skylark
