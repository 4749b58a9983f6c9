/** @file placement.cpp Plans which models to load on which engines. */
#include "policy/placement_func.h"

#include "core/invariant_func.h"

#include <algorithm>

namespace skylark {

namespace {

bool hasModel(const PlacementTarget &target, const ModelId &name, const std::string &version)
{
    return std::find(target.models.begin(), target.models.end(), std::pair(name, version)) != target.models.end();
}

unsigned countReplicas(const std::vector<PlacementTarget> &targets, const WantedModel &model)
{
    return static_cast<unsigned>(std::count_if(targets.begin(), targets.end(), [&model](const PlacementTarget &target) {
        return target.usable && hasModel(target, model.name, model.version);
    }));
}

/** @return The usable engine without @p model and without an order that has the fewest models, then the fewest streams; null when there is none. */
const PlacementTarget *pickTarget(const std::vector<PlacementTarget> &targets, const WantedModel &model, const std::vector<PlacementOrder> &orders)
{
    const PlacementTarget *best = nullptr;
    for (const PlacementTarget &target : targets) {
        const bool ordered = std::any_of(orders.begin(), orders.end(), [&target](const PlacementOrder &order) {
            return order.target == target.id;
        });
        if (!target.usable || target.orderPending || ordered || hasModel(target, model.name, model.version)) {
            continue;
        }
        const auto rank = [](const PlacementTarget &candidate) {
            return std::tuple(candidate.models.size(), candidate.running, candidate.id.value);
        };
        if (best == nullptr || rank(target) < rank(*best)) {
            best = &target;
        }
    }
    return best;
}

void planLoads(const WantedModel &model, const std::vector<PlacementTarget> &targets, unsigned &maxLoads, std::vector<PlacementOrder> &orders)
{
    unsigned present = countReplicas(targets, model);
    const auto pending = static_cast<unsigned>(std::count_if(targets.begin(), targets.end(), [&model](const PlacementTarget &target) {
        return target.orderPending && !hasModel(target, model.name, model.version);
    }));
    present += pending;
    while (present < model.replicas && maxLoads > 0) {
        const PlacementTarget *target = pickTarget(targets, model, orders);
        if (target == nullptr) {
            return;
        }
        const std::string reason = std::to_string(present) + " of " + std::to_string(model.replicas) + " replicas loaded";
        orders.push_back({target->id, OrderKind::LoadModel, model.name, model.version, {}, reason});
        ++present;
        --maxLoads;
    }
}

void planAdapters(const WantedModel &model, const std::vector<PlacementTarget> &targets, unsigned &maxLoads, std::vector<PlacementOrder> &orders)
{
    for (const PlacementTarget &target : targets) {
        if (!target.usable || target.orderPending || !hasModel(target, model.name, model.version)) {
            continue;
        }
        for (const std::string &adapter : model.adapters) {
            const bool loaded = std::find(target.adapters.begin(), target.adapters.end(), adapter) != target.adapters.end();
            if (!loaded && maxLoads > 0) {
                orders.push_back({target.id, OrderKind::LoadAdapter, model.name, model.version, adapter, "adapter missing"});
                --maxLoads;
                break; // At most one order per target for this model; the other missing adapters follow in later plans.
            }
        }
    }
}

/** Unloads versions that no workspace wants, once the wanted versions of the same model have all their replicas. */
void planUnloads(const std::vector<WantedModel> &wanted, const std::vector<PlacementTarget> &targets, std::vector<PlacementOrder> &orders)
{
    for (const PlacementTarget &target : targets) {
        if (!target.usable || target.orderPending) {
            continue;
        }
        for (const auto &loaded : target.models) {
            const ModelId &name = loaded.first;
            const std::string &version = loaded.second;
            const auto sameName = [&name](const WantedModel &model) {
                return model.name == name && model.replicas > 0;
            };
            const bool versionWanted = std::any_of(wanted.begin(), wanted.end(), [&](const WantedModel &model) {
                return model.name == name && model.version == version;
            });
            const bool replaced = std::any_of(wanted.begin(), wanted.end(), sameName);
            const bool replacementReady = std::all_of(wanted.begin(), wanted.end(), [&](const WantedModel &model) {
                return !sameName(model) || countReplicas(targets, model) >= model.replicas;
            });
            if (!versionWanted && replaced && replacementReady) {
                orders.push_back({target.id, OrderKind::UnloadModel, name, version, {}, "version replaced"});
                break;
            }
        }
    }
}

} // namespace

std::vector<PlacementOrder> planPlacement(const std::vector<WantedModel> &wanted, const std::vector<PlacementTarget> &targets, unsigned maxLoads)
{
    std::vector<PlacementOrder> orders;
    for (const WantedModel &model : wanted) {
        planLoads(model, targets, maxLoads, orders);
    }
    if (orders.empty()) {
        for (const WantedModel &model : wanted) {
            planAdapters(model, targets, maxLoads, orders);
        }
    }
    if (orders.empty()) {
        planUnloads(wanted, targets, orders);
    }
    return orders;
}

Result<Done> orderAllowed(TimePoint leaseDeadline, std::chrono::milliseconds orderTimeout, TimePoint now)
{
    if (now + orderTimeout > leaseDeadline) {
        return makeError(ErrorCode::LeaseExpired, "lease may expire before the order takes effect");
    }
    SKY_INVARIANT(Promise::FencedOrder, now + orderTimeout <= leaseDeadline);
    return Done{};
}

} // namespace skylark
