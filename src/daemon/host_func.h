/** @file host_func.h One host: all parts wired together, its threads and its planned stop. */
#pragma once

#include "core/result_type.h"
#include "settings/settings_type.h"

#include <memory>

namespace skylark {

/** One running host. */
struct Host {
    struct Impl;
    std::unique_ptr<Impl> impl; ///< Hidden state.

    /** Creates all parts and binds all addresses; nothing runs yet. */
    static Result<std::unique_ptr<Host>> create(Settings settings);
    ~Host();
};

/** Runs the host until a planned stop (SIGTERM or SIGINT) is complete. The calling thread becomes the control thread. */
void runHost(Host &host);

} // namespace skylark
