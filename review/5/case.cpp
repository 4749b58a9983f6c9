// UNASKED: the host that confirmed the end of a batch job is killed at once; the owner of the job runs its items on.
#include "kit.h"

namespace {

using namespace kit;

constexpr double cancelLimit = 3.0; ///< cancel_ms of the settings.
constexpr double staleness = 3.0; ///< Age of what serializable reads return.
constexpr unsigned rounds = 5;

} // namespace

int main(int argc, char **argv)
{
    begin(argc, argv);
    Site site;
    const std::vector<std::string> zones{"north", "central", "south"};
    site.store.put("op/config",
                   config(7,
                          json::array{route("batch",
                                            "/pule252/",
                                            "batch",
                                            "llm",
                                            {{"target_latency_ms", 400},
                                             {"completion_target_ms", 18000},
                                             {"retention_s", 60},
                                             {"max_count", 1600000},
                                             {"max_attempts", 3},
                                             {"timeout_ms", 15000}})},
                          {"llm"}));
    for (unsigned i = 0; i < 2; ++i) {
        Replica &replica = site.addReplica("i-" + std::to_string(i), "llm", zones[i]);
        replica.slots = 2;
        replica.events = 170;
        replica.step = 0.02 + 0.001 * i;
        site.list(replica);
    }
    for (const std::string &zone : zones) {
        site.addHost(zone, zones);
    }
    site.startAll();
    sleepFor(5);
    site.store.staleness = staleness;
    unsigned late = 0;
    unsigned confirmed = 0;
    for (unsigned round = 0; round < rounds; ++round) {
        Host &owner = *site.hosts[0];
        Host &other = *site.hosts[1];
        const Lot lot = makeLot(24, 1700);
        const int status = submit(owner, lot).status();
        record("job %s of %zu items handed in at %s: %d", lot.id.c_str(), lot.items.size(), owner.name.c_str(), status);
        sleepFor(0.25);
        const int ended = call(other.address, other.front, "DELETE", "/-/lots/" + lot.id, {{"Host", "ficu95.example"}}, "", 4.0).status();
        const double endedAt = now();
        if (hasTrouble()) {
            other.signal(SIGKILL);
            ::waitpid(other.pid, nullptr, 0);
            other.pid = 0;
        }
        record("end of job %s asked at %s: %d%s", lot.id.c_str(), other.name.c_str(), ended, hasTrouble() ? "; that host was killed" : "");
        if (status != 202 || ended != 200) {
            record("the job was not accepted or not ended");
            site.finish(exitNotRun);
        }
        ++confirmed;
        sleepFor(1.0);
        if (hasTrouble()) {
            site.start(other);
        }
        sleepUntil(endedAt + 8.0);
        unsigned after = 0;
        double last = 0;
        unsigned lateHere = 0;
        for (const auto &replica : site.replicas) {
            for (const Run &run : replica->allRuns()) {
                const bool own = std::find(lot.items.begin(), lot.items.end(), run.id) != lot.items.end();
                if (!own || run.at <= endedAt) {
                    continue;
                }
                ++after;
                last = std::max(last, run.at);
                if (run.at > endedAt + cancelLimit) {
                    ++lateHere;
                    record("late: item %s of the ended job began to run at replica %s %.3f s after the confirmation",
                           run.id.c_str(),
                           replica->id.c_str(),
                           run.at - endedAt);
                }
            }
        }
        record("round %u: %u items began after the confirmation, the last %.3f s after it; %u later than cancel_ms",
               round,
               after,
               after > 0 ? last - endedAt : 0.0,
               lateHere);
        late += lateHere;
    }
    record("%u jobs ended, %u of their items began to run later than cancel_ms after the confirmation", confirmed, late);
    site.finish(late > 0 ? exitBroken : exitHeld);
}
