/** @file crash_quarantine_base.h Quarantine state of a host whose threads share it. */
#pragma once

#include "policy/crash_quarantine_type.h"

#include <mutex>

namespace skylark {

/** Quarantine state behind a lock. */
struct SharedQuarantine {
    std::mutex mutex; ///< Guards state.
    CrashQuarantine state;
};

} // namespace skylark
