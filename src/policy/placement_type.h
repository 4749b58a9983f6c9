/** @file placement_type.h Input and output of the placement decision. */
#pragma once

#include "core/id_type.h"

#include <string>
#include <vector>

namespace skylark {

/** A model that workspaces want loaded in a failure domain. */
struct WantedModel {
    ModelId name; ///< Model.
    std::string version; ///< Version.
    std::vector<std::string> adapters; ///< Adapters.
    unsigned replicas{0}; ///< Wanted replicas.
};

/** One engine as placement sees it. */
struct PlacementTarget {
    TargetId id; ///< Target.
    std::vector<std::pair<ModelId, std::string>> models; ///< Loaded models with their versions.
    std::vector<std::string> adapters; ///< Loaded adapters.
    unsigned running{0}; ///< Streams running.
    bool usable{true}; ///< Neither leaving nor failing.
    bool orderPending{false}; ///< Whether an order is under way.
};

/** Kind of an order. */
enum class OrderKind : std::uint8_t {
    LoadModel, ///< Load a model version.
    UnloadModel, ///< Unload a model version.
    LoadAdapter, ///< Load an adapter of a loaded model.
};

/** One order with its reason. */
struct PlacementOrder {
    TargetId target; ///< Target.
    OrderKind kind{OrderKind::LoadModel}; ///< Kind.
    ModelId model; ///< Model.
    std::string version; ///< Version.
    std::string adapter; ///< Adapter, for LoadAdapter.
    std::string reason; ///< For the log.
};

} // namespace skylark
