/** @file test_placement.cpp Tests of model placement. */
#include "policy/placement_func.h"

#include <catch2/catch.hpp>

using namespace skylark;
using namespace std::chrono_literals;

namespace {

/** Engines of one failure domain that execute every order at once. */
struct PlacementFixture {
    std::vector<PlacementTarget> targets;

    explicit PlacementFixture(int count = 4)
    {
        for (int i = 0; i < count; ++i) {
            this->targets.push_back({TargetId{"e" + std::to_string(i)}, {}, {}, 0, true, false});
        }
    }

    PlacementTarget &find(const TargetId &id)
    {
        return *std::find_if(this->targets.begin(), this->targets.end(), [&id](const PlacementTarget &target) {
            return target.id == id;
        });
    }

    unsigned replicas(const std::string &version) const
    {
        return static_cast<unsigned>(std::count_if(this->targets.begin(), this->targets.end(), [&version](const PlacementTarget &target) {
            return std::find(target.models.begin(), target.models.end(), std::pair(ModelId{"m"}, version)) != target.models.end();
        }));
    }

    void executeOrders(const std::vector<PlacementOrder> &orders)
    {
        for (const PlacementOrder &order : orders) {
            PlacementTarget &target = this->find(order.target);
            if (order.kind == OrderKind::LoadModel) {
                target.models.emplace_back(order.model, order.version);
            } else if (order.kind == OrderKind::UnloadModel) {
                std::erase(target.models, std::pair(order.model, order.version));
            } else {
                target.adapters.push_back(order.adapter);
            }
        }
    }
};

} // namespace

TEST_CASE_METHOD(PlacementFixture, "placement_replicasWanted_loadedWithinWeightStoreRate")
{
    const std::vector<WantedModel> wanted{{ModelId{"m"}, "1", {}, 3}};
    const auto first = planPlacement(wanted, this->targets, 2);
    REQUIRE(first.size() == 2);
    this->executeOrders(first);
    this->executeOrders(planPlacement(wanted, this->targets, 2));
    CHECK(this->replicas("1") == 3);
    CHECK(planPlacement(wanted, this->targets, 2).empty());
}

// Guards against a version change that unloads the old version before the new one has its replicas.
TEST_CASE_METHOD(PlacementFixture, "placement_versionChanges_modelNeverWithoutReplica")
{
    this->executeOrders(planPlacement({{ModelId{"m"}, "1", {}, 4}}, this->targets, 10));
    REQUIRE(this->replicas("1") == 4);
    const std::vector<WantedModel> wanted{{ModelId{"m"}, "2", {"glaze"}, 2}};
    for (int i = 0; i < 20; ++i) {
        const auto orders = planPlacement(wanted, this->targets, 1);
        this->executeOrders(orders);
        CHECK(this->replicas("1") + this->replicas("2") >= 2);
    }
    CHECK(this->replicas("2") == 2);
    CHECK(this->replicas("1") == 0);
    CHECK(planPlacement(wanted, this->targets, 1).empty());
}

TEST_CASE_METHOD(PlacementFixture, "placement_targetLeaving_replicaMovesElsewhere")
{
    const std::vector<WantedModel> wanted{{ModelId{"m"}, "1", {}, 2}};
    this->executeOrders(planPlacement(wanted, this->targets, 10));
    this->targets[0].usable = false;
    const auto orders = planPlacement(wanted, this->targets, 10);
    REQUIRE(orders.size() == 1);
    CHECK(orders[0].target.value != "e0");
}

// Guards against an order that a target executes after its sender's lease has expired.
TEST_CASE("orderAllowed_leaseShorterThanOrderTimeout_refused")
{
    const TimePoint now{10s};
    CHECK(isOk(orderAllowed(now + 1000ms, 1000ms, now)));
    CHECK_FALSE(isOk(orderAllowed(now + 999ms, 1000ms, now)));
    CHECK_FALSE(isOk(orderAllowed(now - 1ms, 0ms, now)));
}
