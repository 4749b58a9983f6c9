/** @file main.cpp Measures in process the CPU time and memory of control-plane functions at several sizes; prints one JSON object. */
#include "blob/blob_store_func.h"
#include "config/config_func.h"
#include "config/config_json_func.h"
#include "peer/status_codec_func.h"
#include "policy/batch_limit_func.h"
#include "policy/claim_func.h"
#include "policy/decline_func.h"
#include "policy/membership_func.h"
#include "policy/revision_func.h"
#include "policy/routing_func.h"
#include "sample_func.h"

#include <filesystem>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <iostream>

DEFINE_string(folder, "", "folder for the blob store; empty skips its measurement");

namespace json = boost::json;

namespace skylark::capacity {

namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{std::chrono::hours(1)};

/** @return The measured times of a case with its sizes added. */
json::object withSizes(json::object times, std::initializer_list<std::pair<json::string_view, double>> sizes)
{
    for (const auto &[name, value] : sizes) {
        times[name] = value;
    }
    return times;
}

HostStatus makeStatus(std::size_t targets, std::size_t online, std::size_t models)
{
    HostStatus status;
    status.host.value = "host-112";
    status.domain.value = "domain-07";
    status.session.value = std::string(32, 'a');
    status.incarnation = 1770000000000;
    status.sequence = 123456;
    status.configRevision.value = 4711;
    status.jobsCursor = 4711;
    for (std::size_t i = 0; i < targets; ++i) {
        TargetStatus &target = status.targets.emplace_back();
        target.target.value = "engine-" + std::to_string(1000 + i);
        target.baselineStepMs = 31.7;
        target.report = {.sequence = 99000 + i,
                         .slots = 64,
                         .running = 40,
                         .waiting = 1,
                         .stepMs = 31.4,
                         .models = {{ModelId{"model-17"}, "3", {"house-style"}}},
                         .receivedAt = start};
    }
    for (std::size_t i = 0; i < online; ++i) {
        status.onlineInFlight.emplace_back(TargetId{"engine-" + std::to_string(1000 + i)}, 3);
    }
    for (std::size_t i = 0; i < models; ++i) {
        status.freeByModel.emplace_back(ModelId{"model-" + std::to_string(10 + i)}, 120);
    }
    return status;
}

json::array statusCases()
{
    struct Size {
        std::size_t targets;
        std::size_t online;
        std::size_t models;
    };
    json::array cases;
    for (const Size size : {Size{0, 0, 0}, {1, 0, 0}, {5, 0, 0}, {20, 0, 0}, {0, 20, 0}, {0, 155, 0}, {0, 0, 27}, {5, 40, 0}, {5, 40, 27}, {155, 155, 27}}) {
        const HostStatus status = makeStatus(size.targets, size.online, size.models);
        const std::string bytes = encodeStatus(status, start);
        cases.emplace_back(json::object{{"targets", size.targets},
                                        {"online", size.online},
                                        {"models", size.models},
                                        {"bytes", bytes.size()},
                                        {"encode",
                                         measureCpu(2000,
                                                    [&status] {
                                                        (void)encodeStatus(status, start);
                                                    })},
                                        {"decode", measureCpu(2000, [&bytes] {
                                             (void)decodeDatagram(bytes, start);
                                         })}});
    }
    return cases;
}

json::array membershipCases()
{
    json::array cases;
    for (const std::size_t hosts : {7U, 33U, 120U, 360U}) {
        MembershipView view;
        HostStatus status = makeStatus(5, 40, 27);
        for (std::size_t i = 0; i < hosts; ++i) {
            status.host.value = "host-" + std::to_string(i);
            (void)observeStatus(view, status, start);
        }
        const MembershipIntervals intervals{DomainId{"domain-07"}, 2970ms, 66000ms};
        cases.emplace_back(json::object{{"hosts", hosts},
                                        {"observe",
                                         measureCpu(2000,
                                                    [&view, &status] {
                                                        ++status.sequence;
                                                        (void)observeStatus(view, status, start);
                                                    })},
                                        {"expire", measureCpu(2000, [&view, &intervals] {
                                             (void)expireHosts(view, start + 1s, intervals);
                                         })}});
    }
    return cases;
}

json::array routingCases()
{
    json::array cases;
    for (const std::size_t candidates : {4U, 12U, 40U, 155U}) {
        RouteInput question;
        for (std::size_t i = 0; i < candidates; ++i) {
            question.candidates.push_back(
                {.id = TargetId{"engine-" + std::to_string(1000 + i)}, .slots = 64, .occupied = static_cast<unsigned>(i % 60), .affinity = i % 7 / 10.0});
        }
        for (int i = 0; i < 10; ++i) {
            question.remotes.push_back({.domain = DomainId{"domain-" + std::to_string(i)}, .freeSlots = 100, .roundTrip = 6ms});
        }
        cases.emplace_back(withSizes(measureCpu(2000,
                                                [&question] {
                                                    ++question.seed;
                                                    (void)chooseTarget(question);
                                                }),
                                     {{"candidates", candidates}}));
    }
    return cases;
}

ConfigState makeConfig(std::size_t workspaces)
{
    ConfigState state;
    state.confirmed = true;
    const auto add = [&state](DocumentKind kind, const std::string &name, std::string body) {
        ++state.revision.value;
        state.documents[{kind, name}] = {kind, name, state.revision, 1, false, std::move(body)};
    };
    for (int i = 0; i < 27; ++i) {
        add(DocumentKind::Template,
            "template-" + std::to_string(i),
            R"({"models":[{"name":"model-)" + std::to_string(i)
                + R"(","version":"3","adapters":[],"replicas":0}],"services":[{"name":"shop","calls":[{"method":"POST","path_prefix":"/orders","repeatable":false}]}],"online":{"deadline_ms":10000},"batch":{"share":1.0,"tail_weight":0.5,"default_due_s":3600,"max_attempts":4}})");
    }
    for (std::size_t i = 0; i < workspaces; ++i) {
        const std::string number = std::to_string(i);
        add(DocumentKind::Workspace,
            "workspace-" + number,
            R"({"template":"template-)" + std::to_string(i % 27) + R"(","api_keys":["key-of-workspace-)" + number + R"("]})");
    }
    return state;
}

json::array configCases()
{
    json::array cases;
    for (const std::size_t workspaces : {100U, 1000U, 3300U}) {
        const double before = residentKib();
        const ConfigState state = makeConfig(workspaces);
        const double withState = residentKib();
        std::vector<ConfigMistake> mistakes;
        const auto fleet = resolveConfig(state, mistakes);
        const double withFleet = residentKib();
        const std::string fullBundle = bundleToJson(bundleSince(state, Revision{}));
        const Revision previous{state.revision.value - 1};
        cases.emplace_back(json::object{{"workspaces", workspaces},
                                        {"resolved", fleet->workspaces.size()},
                                        {"mistakes", mistakes.size()},
                                        {"state_kib", withState - before},
                                        {"fleet_kib", withFleet - withState},
                                        {"resolve",
                                         measureCpu(3,
                                                    [&state, &mistakes] {
                                                        (void)resolveConfig(state, mistakes);
                                                    })},
                                        {"bundle_bytes", fullBundle.size()},
                                        {"bundle_write",
                                         measureCpu(3,
                                                    [&state] {
                                                        (void)bundleToJson(bundleSince(state, Revision{}));
                                                    })},
                                        {"bundle_read",
                                         measureCpu(3,
                                                    [&fullBundle] {
                                                        (void)bundleFromJson(fullBundle);
                                                    })},
                                        {"change_bytes", bundleToJson(bundleSince(state, previous)).size()},
                                        {"change_write", measureCpu(20, [&state, previous] {
                                             (void)bundleToJson(bundleSince(state, previous));
                                         })}});
    }
    return cases;
}

/** Measures the copying of a snapshot with its targets, hosts and jobs, as publishing does. Publishing also looks them up by id, which is not measured. */
json::array snapshotCases()
{
    struct Size {
        std::size_t targets;
        std::size_t hosts;
        std::size_t models;
        std::size_t jobs;
    };
    json::array cases;
    for (const Size size : {Size{7, 7, 2, 0}, {155, 7, 2, 0}, {155, 33, 27, 0}, {155, 360, 0, 0}, {155, 360, 27, 0}, {155, 360, 27, 2200}}) {
        ControlSnapshot snapshot;
        const HostStatus status = makeStatus(size.targets, 0, size.models);
        for (const TargetStatus &target : status.targets) {
            snapshot.targets.push_back({.info = {.id = target.target, .domain = status.domain}, .report = target.report, .batchOwner = status.host});
        }
        snapshot.hosts.assign(size.hosts, {.info = {.id = status.host, .domain = status.domain}, .session = status.session, .freeByModel = status.freeByModel});
        snapshot.jobs.assign(size.jobs, std::make_shared<const JobRecord>());
        cases.emplace_back(json::object{
            {"targets", size.targets}, {"hosts", size.hosts}, {"models", size.models}, {"jobs", size.jobs}, {"copy", measureCpu(300, [&snapshot] {
                                                                                                                 (void)std::make_shared<ControlSnapshot>(
                                                                                                                     snapshot);
                                                                                                             })}});
    }
    return cases;
}

json::object batchCases()
{
    const GroupContext context{SessionId{std::string(32, 'a')}, start, start + 8s, JobState::Active};
    const WriteId writeId{std::string(32, 'b')};
    const std::optional<VersionedGroup> absent;
    const auto claim = decideClaim(absent, nullptr, context, writeId);
    const VersionedGroup held{claim.write, KvVersion{1}};
    const GroupOutcome outcome{BlobId{std::string(60, 'c')}, 256, 0};
    const BatchLimitInput input{.slots = 64,
                                .running = 40,
                                .reportSequence = 1,
                                .reportFresh = true,
                                .ownOnline = 3,
                                .ownBatch = 20,
                                .ownAtReport = 23,
                                .onlineElsewhere = 8,
                                .onlineMean = 9,
                                .onlinePeak = 14};
    return {{"claim",
             measureCpu(20000,
                        [&] {
                            (void)decideClaim(absent, nullptr, context, writeId);
                        })},
            {"completion",
             measureCpu(20000,
                        [&] {
                            (void)decideCompletion(held, held.record.epoch, context, outcome, writeId);
                        })},
            {"limit", measureCpu(20000, [&] {
                 (void)decideBatchLimit({}, input);
             })}};
}

json::array declineCases()
{
    json::array cases;
    for (const std::size_t targets : {5U, 12U, 40U, 155U}) {
        DeclineTable table;
        const DeclineSettings settings;
        TimePoint now = start;
        (void)closeWindow(table, settings, now);
        cases.emplace_back(withSizes(measureCpu(10,
                                                [&] {
                                                    for (std::size_t i = 0; i < targets * 20; ++i) {
                                                        recordStep(table,
                                                                   TargetId{"engine-" + std::to_string(i % targets)},
                                                                   ModelId{"model-" + std::to_string(i % targets % 4)},
                                                                   10 + i % 30,
                                                                   30 + i % 3);
                                                    }
                                                    now += settings.window;
                                                    (void)closeWindow(table, settings, now);
                                                }),
                                     {{"targets", targets}, {"samples_per_target", 20}}));
    }
    return cases;
}

json::array blobCases()
{
    json::array cases;
    if (FLAGS_folder.empty()) {
        return cases;
    }
    auto store = BlobStore::create(FLAGS_folder);
    if (!isOk(store)) {
        return cases;
    }
    std::uint32_t group = 0;
    for (const std::size_t itemBytes : {256U, 1024U, 4096U}) {
        std::string data(256 * itemBytes, 'x');
        std::size_t failed = 0;
        json::object times = measureCpu(10, [&] {
            data[group % data.size()] = static_cast<char>('a' + group % 26);
            ++group;
            failed += isOk(putBlob(*valueOf(store), makeBlobId(JobId{"job"}, group, "input", data), data)) ? 0 : 1;
        });
        cases.emplace_back(withSizes(std::move(times), {{"items", 256}, {"bytes", data.size()}, {"failed", failed}}));
    }
    return cases;
}

} // namespace

json::object measureAll()
{
    json::object all;
    all["config"] = configCases(); // Runs first: memory freed by other cases would be reused and hide the growth that this case measures.
    all["status"] = statusCases();
    all["membership"] = membershipCases();
    all["routing"] = routingCases();
    all["snapshot_copy"] = snapshotCases();
    all["batch"] = batchCases();
    all["decline_window"] = declineCases();
    all["blob_put"] = blobCases();
    return all;
}

} // namespace skylark::capacity

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("measures in process the CPU time and memory of control-plane functions at several sizes");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    google::InitGoogleLogging(argv[0]);
    std::cout << json::serialize(skylark::capacity::measureAll()) << "\n";
    return 0;
}
