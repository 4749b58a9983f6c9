/** @file placement_type.h Input and output of model placement. */
#pragma once

#include "core/id_type.h"

#include <string>
#include <vector>

namespace skylark {

/** A model version that workspaces want loaded in a failure domain. */
struct WantedModel {
    ModelId name;
    std::string version;
    std::vector<std::string> adapters;
    unsigned replicas{0}; ///< Wanted number of engines with this version.
};

/** One engine as input of placement. */
struct PlacementTarget {
    TargetId id;
    std::vector<std::pair<ModelId, std::string>> models; ///< Loaded models with their versions.
    std::vector<std::string> adapters; ///< Loaded adapters.
    unsigned running{0}; ///< Number of running streams.
    bool usable{true}; ///< Whether it is neither leaving nor failing.
    bool orderPending{false}; ///< Whether an order is in progress.
};

/** What an order tells an engine to do. */
enum class OrderKind : std::uint8_t {
    LoadModel,
    UnloadModel,
    LoadAdapter, ///< Load an adapter of a loaded model.
};

/** One order to an engine. */
struct PlacementOrder {
    TargetId target;
    OrderKind kind{OrderKind::LoadModel};
    ModelId model;
    std::string version;
    std::string adapter; ///< Set for LoadAdapter only.
    std::string reason; ///< Free text for the log.
};

} // namespace skylark
