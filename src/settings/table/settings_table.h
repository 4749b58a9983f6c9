/** @file settings_table.h Time settings and their permitted ranges. */
#pragma once

#include "settings/settings_type.h"

#include <array>
#include <string_view>

namespace skylark {

/** An optional setting that is a time in milliseconds. */
struct DurationSetting {
    std::string_view key; ///< JSON key.
    std::chrono::milliseconds Settings::*member; ///< Member that receives the value.
    std::chrono::milliseconds min; ///< Smallest permitted value.
    std::chrono::milliseconds max; ///< Largest permitted value.
};

inline constexpr std::chrono::milliseconds maxInterval{
    std::chrono::minutes(10)}; ///< Upper bound of all times; a larger value is most likely in the wrong unit.

/** All time settings. Intervals of periodic traffic are at least 10 ms, so that a mistake cannot overload the network or the key-value service. */
inline constexpr std::array durationSettings{
    DurationSetting{"status_interval_ms", &Settings::statusInterval, std::chrono::milliseconds(10), maxInterval},
    DurationSetting{"status_per_host_ms", &Settings::statusPerHost, std::chrono::milliseconds(0), maxInterval},
    DurationSetting{"load_poll_interval_ms", &Settings::loadPollInterval, std::chrono::milliseconds(10), maxInterval},
    DurationSetting{"host_list_interval_ms", &Settings::hostListInterval, std::chrono::milliseconds(10), maxInterval},
    DurationSetting{"lease_ttl_ms", &Settings::leaseTtl, std::chrono::milliseconds(100), maxInterval},
    DurationSetting{"lease_renew_ms", &Settings::leaseRenew, std::chrono::milliseconds(10), maxInterval},
    DurationSetting{"lease_margin_ms", &Settings::leaseMargin, std::chrono::milliseconds(1), maxInterval},
    DurationSetting{"decline_window_ms", &Settings::declineWindow, std::chrono::milliseconds(100), maxInterval},
    DurationSetting{"lame_duck_ms", &Settings::lameDuck, std::chrono::milliseconds(0), maxInterval},
    DurationSetting{"drain_timeout_ms", &Settings::drainTimeout, std::chrono::milliseconds(0), maxInterval},
};

} // namespace skylark
