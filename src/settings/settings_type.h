/** @file settings_type.h Settings of the daemon. */
#pragma once

#include "core/id_type.h"
#include "http/http_type.h"
#include "policy/baseline_type.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace skylark {

/** One host of the fleet with its addresses. */
struct HostInfo {
    HostId id; ///< Host name.
    DomainId domain; ///< Failure domain.
    Endpoint http; ///< Callers' address (TCP).
    Endpoint admin; ///< Operators' address (TCP).
    Endpoint peerRpc; ///< Cap'n Proto RPC address (TCP).
    Endpoint status; ///< Status datagrams (UDP).
    bool hasDisk{false}; ///< Whether the host has a data folder.
};

/** Cost of reaching another failure domain. */
struct DomainLink {
    DomainId domain; ///< Other failure domain.
    std::chrono::milliseconds oneWayDelay{3}; ///< Usual one-way delay.
    double costFactor{1.0}; ///< Relative cost of traffic; 1 is free.
};

/** Settings of one daemon; read from JSON with comments. */
struct Settings {
    HostId host; ///< This host's id, one of hosts.
    std::vector<HostInfo> hosts; ///< All hosts of the fleet.
    std::vector<DomainLink> links; ///< Links to other failure domains.
    Endpoint platform; ///< Key-value service and host list.
    std::string dataFolder; ///< Folder for bulk data; empty without a disk.
    std::string logFolder; ///< Folder for log files; empty logs to standard error.
    std::chrono::milliseconds statusInterval{500}; ///< Shortest interval between status datagrams.
    std::chrono::milliseconds statusPerHost{90}; ///< Interval added for each host of the domain; bounds the bytes a second.
    std::chrono::milliseconds loadPollInterval{500}; ///< Interval between load polls of an owned target.
    std::chrono::milliseconds hostListInterval{2000}; ///< Interval between reads of the platform's host list.
    std::chrono::milliseconds leaseTtl{10000}; ///< Session lease.
    std::chrono::milliseconds leaseRenew{3000}; ///< Interval between renewals.
    std::chrono::milliseconds leaseMargin{2000}; ///< Safety margin before the end of the lease.
    std::chrono::milliseconds lameDuck{5000}; ///< Time for the load balancer to notice a planned stop.
    std::chrono::milliseconds drainTimeout{60000}; ///< Longest wait for running requests in a planned stop.
    std::size_t maxRequestBody{std::size_t{8} << 20U}; ///< Largest online request body in bytes.
    std::size_t maxJobBody{std::size_t{512} << 20U}; ///< Largest job submission in bytes.
    std::chrono::milliseconds declineWindow{10000}; ///< Window of the decline detection.
    unsigned platformCallsPerSecond{5}; ///< Bound on background calls to the key-value service; 360 hosts then make at most 1,800 a second.
    PolicyMode policyMode{PolicyMode::Adaptive}; ///< Routing and batch policy; the others are baselines meant for measurements only.
    std::uint64_t seed{0}; ///< Seed of random decisions; 0 takes one from the system.

    [[nodiscard]] const HostInfo *self() const
    {
        for (const HostInfo &info : this->hosts) {
            if (info.id == this->host) {
                return &info;
            }
        }
        return nullptr;
    }
};

} // namespace skylark
