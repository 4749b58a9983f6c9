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
    HostId id; ///< Host name, unique in the fleet.
    DomainId domain; ///< Failure domain.
    Endpoint http; ///< Listen address for callers (TCP).
    Endpoint admin; ///< Listen address for operators (TCP).
    Endpoint peerRpc; ///< Listen address for Cap'n Proto RPC (TCP).
    Endpoint status; ///< Listen address for status datagrams (UDP).
    bool hasDisk{false}; ///< Whether the host has a data folder.
};

/** Network link from this host's failure domain to another one. */
struct DomainLink {
    DomainId domain; ///< The other failure domain.
    std::chrono::milliseconds oneWayDelay{3}; ///< Typical one-way network delay.
    double costFactor{1.0}; ///< Relative cost of traffic over the link, from 1 to 1000; 1 for traffic that is free.
};

/** Settings of one daemon; read by parseSettings(). */
struct Settings {
    HostId host; ///< This host; one of @c hosts.
    std::vector<HostInfo> hosts; ///< All hosts of the fleet, including this one.
    std::vector<DomainLink> links; ///< Links to other failure domains.
    Endpoint platform; ///< Address of the platform's key-value service and host list.
    std::string dataFolder; ///< Folder for bulk data; required on a host with a disk, empty without one.
    std::string logFolder; ///< Folder for log files; empty for logging to standard error.
    std::chrono::milliseconds statusInterval{500}; ///< Shortest interval between status datagrams.
    std::chrono::milliseconds statusPerHost{90}; ///< Interval added for each host of the failure domain; bounds the bytes per second of status traffic.
    std::chrono::milliseconds loadPollInterval{500}; ///< Interval of load polls of each target that this host owns.
    std::chrono::milliseconds hostListInterval{2000}; ///< Interval of reads of the platform's host list.
    std::chrono::milliseconds leaseTtl{10000}; ///< Lifetime of the host's session lease without renewal.
    std::chrono::milliseconds leaseRenew{3000}; ///< Interval of lease renewals.
    std::chrono::milliseconds leaseMargin{2000}; ///< The host treats its lease as expired this long before the earliest expiry at the service.
    std::chrono::milliseconds lameDuck{5000}; ///< Time in a planned stop in which the host still serves while the load balancer takes it out of rotation.
    std::chrono::milliseconds drainTimeout{60000}; ///< Longest wait for running requests in a planned stop; afterwards they get a final answer.
    std::size_t maxRequestBody{std::size_t{8} << 20U}; ///< Largest online request body in bytes.
    std::size_t maxJobBody{std::size_t{512} << 20U}; ///< Largest job submission in bytes.
    std::chrono::milliseconds declineWindow{10000}; ///< Length of one sampling window of the decline detection.
    unsigned platformCallsPerSecond{5}; ///< Rate limit of this host's background calls to the key-value service; 360 hosts make at most 1,800 a second.
    PolicyMode policyMode{PolicyMode::Adaptive}; ///< Routing and batch policy. The modes other than Adaptive are baselines for measurements only.
    std::uint64_t seed{0}; ///< Seed of the random number generator; 0 takes one from the operating system.

    /** @return The entry of this host; null when it is not in @c hosts. */
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
