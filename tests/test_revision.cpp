/** @file test_revision.cpp Revision adoption and edits under random delivery, restarts and races. */
#include "config/config_json_func.h"
#include "core/hash_func.h"
#include "core/invariant_func.h"
#include "policy/revision_func.h"
#include "support/property_func.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>

using namespace skylark;

namespace {

/** The key-value service's part in a configuration: the head cell and the document keys. */
struct Cell {
    ConfigHead head; ///< Present head.
    std::map<std::string, Document> documents; ///< Document keys.
    std::vector<ConfigHead> published; ///< Every head there ever was.

    bool swap(Revision expected, const ConfigHead &next)
    {
        if (this->head.revision != expected) {
            return false;
        }
        // Through JSON, as in the service, so that the codec takes part.
        this->head = valueOf(headFromJson(headToJson(next)));
        this->published.push_back(this->head);
        return true;
    }

    void materialise(const std::vector<Document> &leaving)
    {
        for (const Document &document : leaving) {
            Document &present = this->documents[documentKey(document.kind, document.name)];
            if (document.revision > present.revision) {
                present = document;
            }
        }
    }

    [[nodiscard]] std::vector<Document> range() const
    {
        std::vector<Document> found;
        for (const auto &[key, document] : this->documents) {
            found.push_back(document);
        }
        return found;
    }
};

/** Counts violated invariants instead of aborting. */
struct RevisionFixture {
    int violations{0}; ///< Violations seen.

    RevisionFixture()
    {
        setViolationHandler([this](Promise, std::string_view, std::string_view, int) {
            ++this->violations;
        });
    }
    ~RevisionFixture()
    {
        setViolationHandler({});
    }

    static void catchUp(ConfigState &state, const Cell &cell)
    {
        if (adoptHead(state, cell.head) == AdoptOutcome::NeedDocuments) {
            RC_ASSERT(adoptDocuments(state, cell.head, cell.range()) == AdoptOutcome::Adopted);
        }
    }

    /** Commits an edit of a random document. */
    static void edit(Cell &cell, ConfigState &writer, std::uint64_t &random, const LogLimits &limits)
    {
        catchUp(writer, cell);
        ConfigEdit edit{.kind = nextRandom(random) % 2 == 0 ? DocumentKind::Template : DocumentKind::Workspace,
                        .name = "d" + std::to_string(nextRandom(random) % 5),
                        .deleted = nextRandom(random) % 5 == 0,
                        .body = std::string(nextRandom(random) % 50, 'x'),
                        .writeId = WriteId{std::to_string(nextRandom(random))}};
        edit.expectedDocRevision = docRevisionOf(writer, edit.kind, edit.name);
        const EditPlan plan = planEdit(cell.head, writer, edit, limits);
        const auto *write = std::get_if<EditWrite>(&plan);
        RC_ASSERT(write != nullptr);
        RC_ASSERT(write->next.log.size() <= limits.entries);
        cell.materialise(write->materialise);
        RC_ASSERT(cell.swap(cell.head.revision, write->next));
    }

    static std::string describe(const ConfigState &state)
    {
        return bundleToJson(bundleSince(state, Revision{}));
    }
};

/** One operator's edit in a race, as a state machine over lossy calls. */
struct Racer {
    ConfigEdit edit; ///< Edit.
    ConfigState state; ///< Configuration of the operator's host.
    ConfigHead seen; ///< Head of the last read.
    bool hasRead{false}; ///< Whether seen may be used for a write.
    bool won{false}; ///< Reported as committed.
    bool lost{false}; ///< Reported as conflict.
};

} // namespace

TEST_CASE_METHOD(RevisionFixture, "delivery_randomOrderAndRestarts_neverLowersAndConverges")
{
    // Guards against a late watch event, a lagging peer or a restart that brings back an old configuration.
    CHECK(propertyHolds({.seed = 4201, .cases = 300, .maxSize = 200}, [](std::uint64_t seed) {
        std::uint64_t random = seed;
        const LogLimits limits{.entries = 1 + nextRandom(random) % 6, .bytes = 3000};
        Cell cell;
        ConfigState writer;
        std::vector<ConfigState> hosts(4);
        const auto steps = nextRandom(random) % 120;
        for (std::uint64_t step = 0; step < steps; ++step) {
            ConfigState &host = hosts[nextRandom(random) % hosts.size()];
            const Revision before = host.revision;
            switch (nextRandom(random) % 6) {
            case 0:
            case 1:
                edit(cell, writer, random, limits);
                break;
            case 2:
                if (!cell.published.empty()) {
                    static_cast<void>(adoptHead(host, cell.published[nextRandom(random) % cell.published.size()]));
                }
                break;
            case 3:
                if (!cell.published.empty()) {
                    // The documents are read after a head that may be old by now.
                    static_cast<void>(adoptDocuments(host, cell.published[nextRandom(random) % cell.published.size()], cell.range()));
                }
                break;
            case 4: {
                const ConfigState &peer = hosts[nextRandom(random) % hosts.size()];
                const Revision known{nextRandom(random) % (host.revision.value + 2)};
                const auto bundle = bundleFromJson(bundleToJson(bundleSince(peer, known)));
                RC_ASSERT(isOk(bundle));
                if (peer.confirmed) {
                    static_cast<void>(adoptBundle(host, valueOf(bundle)));
                }
                break;
            }
            default:
                host = ConfigState();
                continue;
            }
            RC_ASSERT(host.revision >= before);
            RC_ASSERT(host.confirmed || host.revision.value == 0);
        }
        catchUp(writer, cell);
        for (ConfigState &host : hosts) {
            catchUp(host, cell);
            RC_ASSERT(describe(host) == describe(writer));
        }
    }));
    CHECK(this->violations == 0);
}

TEST_CASE_METHOD(RevisionFixture, "race_withLostAnswers_hasOneWinnerForEachDocRevision")
{
    // Guards against two operators who both believe that their edit is in force, and against an edit committed twice.
    CHECK(propertyHolds({.seed = 77, .cases = 300, .maxSize = 200}, [](std::uint64_t seed) {
        std::uint64_t random = seed;
        Cell cell;
        std::vector<std::pair<Revision, ConfigHead>> delayed; // Writes whose answer was lost and that may still arrive.
        std::vector<Racer> racers(2 + nextRandom(random) % 4);
        for (std::size_t i = 0; i < racers.size(); ++i) {
            racers[i].edit = {.name = "d" + std::to_string(nextRandom(random) % 2), .body = std::to_string(i), .writeId = WriteId{"w" + std::to_string(i)}};
        }
        std::size_t open = racers.size();
        for (int step = 0; step < 10000 && open > 0; ++step) {
            if (!delayed.empty() && nextRandom(random) % 3 == 0) {
                const std::size_t at = nextRandom(random) % delayed.size();
                static_cast<void>(cell.swap(delayed[at].first, delayed[at].second));
                delayed.erase(delayed.begin() + static_cast<std::ptrdiff_t>(at));
            }
            Racer &racer = racers[nextRandom(random) % racers.size()];
            if (racer.won || racer.lost) {
                continue;
            }
            if (!racer.hasRead) {
                racer.seen = cell.head;
                catchUp(racer.state, cell);
                racer.hasRead = true;
                continue;
            }
            racer.hasRead = false;
            const EditPlan plan = planEdit(racer.seen, racer.state, racer.edit);
            if (const auto *write = std::get_if<EditWrite>(&plan)) {
                const auto chance = nextRandom(random) % 3;
                if (chance == 0) {
                    racer.won = cell.swap(racer.seen.revision, write->next);
                } else if (chance == 1) {
                    static_cast<void>(cell.swap(racer.seen.revision, write->next));
                } else {
                    delayed.emplace_back(racer.seen.revision, write->next);
                }
            } else {
                racer.won = std::holds_alternative<EditCommitted>(plan);
                racer.lost = !racer.won;
            }
            open -= racer.won || racer.lost ? 1 : 0;
        }
        for (const auto &[expected, next] : delayed) {
            static_cast<void>(cell.swap(expected, next));
        }
        RC_ASSERT(open == 0U);
        std::map<std::string, int> winners;
        for (const Racer &racer : racers) {
            RC_ASSERT(racer.won == findWrite(cell.head, racer.edit.writeId).has_value());
            winners[racer.edit.name] += racer.won ? 1 : 0;
        }
        for (const auto &[name, count] : winners) {
            RC_ASSERT(count == 1);
        }
        RC_ASSERT(cell.head.log.size() == winners.size());
    }));
    CHECK(this->violations == 0);
}

TEST_CASE_METHOD(RevisionFixture, "edit_withStaleDocRevision_namesTheCurrentOne")
{
    Cell cell;
    ConfigState state;
    std::uint64_t random = 1;
    for (int i = 0; i < 10; ++i) {
        edit(cell, state, random, {});
    }
    catchUp(state, cell);
    const Document present = state.documents.begin()->second;
    const EditPlan plan = planEdit(cell.head, state, {.kind = present.kind, .name = present.name, .expectedDocRevision = 99, .writeId = WriteId{"w"}});
    REQUIRE(std::holds_alternative<EditConflict>(plan));
    CHECK(std::get<EditConflict>(plan).currentDocRevision == present.docRevision);
}

TEST_CASE_METHOD(RevisionFixture, "bundle_startingAfterTheKnownRevision_isIgnored")
{
    // Such a bundle lacks the changes in between, and the host would take its revision for complete.
    ConfigState state;
    CHECK(adoptBundle(state, {.since = Revision{3}, .revision = Revision{5}, .documents = {}}) == AdoptOutcome::Ignored);
    CHECK(state.revision == Revision{0});
    CHECK_FALSE(state.confirmed);
}

TEST_CASE_METHOD(RevisionFixture, "bundle_ofFreshFleet_confirmsRevisionZero")
{
    ConfigState state;
    CHECK(adoptBundle(state, {}) == AdoptOutcome::Ignored);
    CHECK(state.confirmed);
}
