// DRAIN: the store cuts the waiting watches once; 1.3 s later a replica is replaced, and its entry is removed.
#include "kit.h"

namespace {

using namespace kit;

constexpr double drainLimit = 2.0; ///< drain_ms of the settings.
constexpr double serveOn = 0.4; ///< Time beyond drainLimit for which a replica serves before it exits.
constexpr unsigned rounds = 4;

std::atomic<bool> ending{false};
std::atomic<unsigned> sent{0};
std::atomic<unsigned> served{0};
std::atomic<unsigned> lost{0};

/** A client that sends one chat request after the other to one host. @param path Path of a route; /lohu930/2f may be resumed, /pufi791/2f not. */
void runClient(const Host &host, const char *path)
{
    while (!ending) {
        const std::string id = randomId();
        ++sent;
        const Message answer = call(host.address,
                                    host.front,
                                    "POST",
                                    path,
                                    {{"Host", "ficu95.example"},
                                     {"X-Skylarkstage-Request-Id", id},
                                     {"X-Skylarkstage-Model", "m"},
                                     {"X-Skylarkstage-Token-Usage", "350,80"},
                                     {"X-Skylarkstage-Prompt-Prefix", "5c1e07a2:100," + id + ":250"},
                                     {"X-Skylarkstage-Deadline-Ms", "5000"}},
                                    "hello",
                                    6.0);
        const bool whole = answer.status() == 200 && answer.complete;
        served += whole ? 1 : 0;
        if (!whole) {
            ++lost;
            record("request %s on %s got status %d and no complete answer", id.c_str(), path, answer.status());
        }
        sleepFor(0.02);
    }
}

} // namespace

int main(int argc, char **argv)
{
    begin(argc, argv);
    Site site;
    const std::vector<std::string> zones{"north", "central", "south"};
    std::vector<Replica *> listed;
    unsigned number = 0;
    const auto addReplica = [&] {
        const std::string zone = zones[number % 3];
        Replica &replica = site.addReplica("i-" + std::to_string(++number), "llm", zone);
        replica.events = 10;
        site.list(replica);
        return &replica;
    };
    site.store.put("op/config",
                   config(7,
                          json::array{route("chat", "/lohu930/", "streaming", "llm", {{"resumable", true}, {"gap_target_ms", 400}, {"session_affinity", true}}),
                                      route("colour",
                                            "/pufi791/",
                                            "streaming",
                                            "llm",
                                            {{"max_attempts", 1}, {"resumable", false}, {"gap_target_ms", 400}, {"session_affinity", true}})},
                          {"llm"}));
    for (unsigned i = 0; i < 4; ++i) {
        listed.push_back(addReplica());
    }
    for (const std::string &zone : zones) {
        site.addHost(zone, zones);
    }
    site.startAll();
    sleepFor(5); // Longer than contact_ms after the start.
    std::vector<std::thread> clients;
    for (const auto &host : site.hosts) {
        for (unsigned i = 0; i < 6; ++i) {
            clients.emplace_back(runClient, std::cref(*host), i % 2 == 0 ? "/lohu930/2f" : "/pufi791/2f");
        }
    }
    sleepFor(1);
    unsigned late = 0;
    for (unsigned round = 0; round < rounds; ++round) {
        const double cutAt = now();
        if (hasTrouble()) {
            site.store.cutWatches();
            record("the store cut the waiting watches");
        }
        sleepUntil(cutAt + 1.30);
        listed.push_back(addReplica());
        record("replica %s was listed", listed.back()->id.c_str());
        sleepUntil(cutAt + 1.33);
        Replica &old = *listed.front();
        listed.erase(listed.begin());
        site.store.remove("servers/" + old.id);
        const double removedAt = now();
        record("the store removed the entry of replica %s, which serves on", old.id.c_str());
        sleepUntil(removedAt + drainLimit + serveOn);
        old.exit();
        record("replica %s exited", old.id.c_str());
        sleepUntil(cutAt + 7);
        unsigned after = 0;
        unsigned lateHere = 0;
        double last = 0;
        for (const Run &run : old.allRuns()) {
            if (run.at <= removedAt) {
                continue;
            }
            ++after;
            last = run.at;
            if (run.at > removedAt + drainLimit) {
                ++lateHere;
                record("late: request %s reached replica %s at %.3f, %.3f s after its removal and %.3f s after the cut",
                       run.id.c_str(),
                       old.id.c_str(),
                       run.at,
                       run.at - removedAt,
                       run.at - cutAt);
            }
        }
        record("round %u: %u requests reached %s after its removal, the last %.3f s after it; %u later than drain_ms",
               round,
               after,
               old.id.c_str(),
               after > 0 ? last - removedAt : 0.0,
               lateHere);
        late += lateHere;
    }
    ending = true;
    for (std::thread &client : clients) {
        client.join();
    }
    record("%u requests sent, %u served, %u without a complete answer, %u reached a replica later than drain_ms after the store had confirmed its removal",
           sent.load(),
           served.load(),
           lost.load(),
           late);
    site.finish(served == 0 ? exitNotRun : late > 0 ? exitBroken : exitHeld);
}
