/** @file settings_table.h Optional settings with their permitted ranges. */
#pragma once

#include "settings/settings_type.h"

#include <array>
#include <string_view>

namespace skylark {

/** A setting that is a time in milliseconds. */
struct DurationSetting {
    std::string_view key; ///< JSON name.
    std::chrono::milliseconds Settings::*member; ///< Member set.
    std::chrono::milliseconds min; ///< Smallest permitted value.
    std::chrono::milliseconds max; ///< Largest permitted value.
};

inline constexpr std::chrono::milliseconds longestInterval{std::chrono::minutes(10)}; ///< Upper bound of all times; a larger one is taken for a unit mistake.

/** All times. Intervals that send traffic have a lower bound of 10 ms so that a mistake cannot load the network or the service. */
inline constexpr std::array durationSettings{
    DurationSetting{"status_interval_ms", &Settings::statusInterval, std::chrono::milliseconds(10), longestInterval},
    DurationSetting{"status_per_host_ms", &Settings::statusPerHost, std::chrono::milliseconds(0), longestInterval},
    DurationSetting{"load_poll_interval_ms", &Settings::loadPollInterval, std::chrono::milliseconds(10), longestInterval},
    DurationSetting{"host_list_interval_ms", &Settings::hostListInterval, std::chrono::milliseconds(10), longestInterval},
    DurationSetting{"lease_ttl_ms", &Settings::leaseTtl, std::chrono::milliseconds(100), longestInterval},
    DurationSetting{"lease_renew_ms", &Settings::leaseRenew, std::chrono::milliseconds(10), longestInterval},
    DurationSetting{"lease_margin_ms", &Settings::leaseMargin, std::chrono::milliseconds(1), longestInterval},
    DurationSetting{"decline_window_ms", &Settings::declineWindow, std::chrono::milliseconds(100), longestInterval},
    DurationSetting{"lame_duck_ms", &Settings::lameDuck, std::chrono::milliseconds(0), longestInterval},
    DurationSetting{"drain_timeout_ms", &Settings::drainTimeout, std::chrono::milliseconds(0), longestInterval},
};

} // namespace skylark
