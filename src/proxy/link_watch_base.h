/** @file link_watch_base.h Whether this host reaches the targets. */
#pragma once

#include "core/clock_func.h"
#include "core/id_type.h"

#include <map>
#include <memory>

namespace skylark {

struct Proxy;

/** What this host knows of its links to the targets. */
struct LinkWatch {
    bool lost{false}; ///< Whether no target can be reached.
    bool testing{false}; ///< Whether a test is running, or repeated while the links are lost.
    TimePoint testedAt{}; ///< End of the last test.
    TimePoint changedAt{}; ///< When the links were lost or restored.
    std::map<TargetId, TimePoint> unreachable; ///< When a connection to a target last could not be opened.
};

/** Records that no connection to @p target could be opened. */
void recordUnreachable(Proxy &proxy, const TargetId &target);

/** Records that @p target has responded. */
void recordReached(Proxy &proxy, const TargetId &target);

/** Starts a test of the links if there is trouble with several targets. */
void watchLinks(const std::shared_ptr<Proxy> &proxy);

} // namespace skylark
