/** @file host_func.h Creates and runs a host with all its components. */
#pragma once

#include "core/result_type.h"
#include "settings/settings_type.h"

#include <memory>

namespace skylark {

/** A host with all its components. */
struct Host {
    struct Impl;
    std::unique_ptr<Impl> impl;

    /** Creates all components and binds all addresses; runHost() starts them. */
    static Result<std::unique_ptr<Host>> create(Settings settings);
    ~Host();
};

/** Runs the host until a planned stop (SIGTERM or SIGINT) is complete. The calling thread becomes the control thread. */
void runHost(Host &host);

} // namespace skylark
