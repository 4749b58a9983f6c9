/** @file test_revision.cpp Tests of revision adoption and edits under random delivery, restarts and concurrent edits. */
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

/** Simulated key-value service with the head and the document keys of the configuration. */
struct ConfigStore {
    ConfigHead head; ///< Current head.
    std::map<std::string, Document> documents; ///< Documents by key.
    std::vector<ConfigHead> published; ///< All heads written so far.

    bool compareAndSwap(Revision expected, const ConfigHead &next)
    {
        if (this->head.revision != expected) {
            return false;
        }
        // Encoded and decoded as JSON, as in the service, so that the test covers the codec.
        this->head = valueOf(headFromJson(headToJson(next)));
        this->published.push_back(this->head);
        return true;
    }

    void writeDocuments(const std::vector<Document> &documentsToWrite)
    {
        for (const Document &document : documentsToWrite) {
            Document &present = this->documents[documentKey(document.kind, document.name)];
            if (document.revision > present.revision) {
                present = document;
            }
        }
    }

    [[nodiscard]] std::vector<Document> readDocuments() const
    {
        std::vector<Document> found;
        for (const auto &[key, document] : this->documents) {
            found.push_back(document);
        }
        return found;
    }
};

/** Counts invariant violations instead of aborting. */
struct RevisionFixture {
    int violations{0};

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

    static void catchUp(ConfigState &state, const ConfigStore &store)
    {
        if (adoptHead(state, store.head) == AdoptOutcome::NeedDocuments) {
            RC_ASSERT(adoptDocuments(state, store.head, store.readDocuments()) == AdoptOutcome::Adopted);
        }
    }

    /** Commits an edit of a random document. */
    static void edit(ConfigStore &store, ConfigState &writer, std::uint64_t &random, const LogLimits &limits)
    {
        catchUp(writer, store);
        ConfigEdit edit{.kind = nextRandom(random) % 2 == 0 ? DocumentKind::Template : DocumentKind::Workspace,
                        .name = "d" + std::to_string(nextRandom(random) % 5),
                        .deleted = nextRandom(random) % 5 == 0,
                        .body = std::string(nextRandom(random) % 50, 'x'),
                        .writeId = WriteId{std::to_string(nextRandom(random))}};
        edit.expectedDocRevision = docRevisionOf(writer, edit.kind, edit.name);
        const EditPlan plan = planEdit(store.head, writer, edit, limits);
        const auto *write = std::get_if<EditWrite>(&plan);
        RC_ASSERT(write != nullptr);
        RC_ASSERT(write->next.log.size() <= limits.entries);
        store.writeDocuments(write->documentsToWrite);
        RC_ASSERT(store.compareAndSwap(store.head.revision, write->next));
    }

    static std::string describe(const ConfigState &state)
    {
        return bundleToJson(bundleSince(state, Revision{}));
    }
};

/** One of several concurrent edits, as a state machine whose calls may be lost. */
struct ConcurrentEdit {
    ConfigEdit edit;
    ConfigState state; ///< Configuration of the operator's host.
    ConfigHead lastRead; ///< Head of the last read.
    bool hasRead{false}; ///< Whether lastRead is not yet used for a write.
    bool committed{false}; ///< Whether the edit was reported as committed.
    bool conflicted{false}; ///< Whether the edit was reported as a conflict.
};

} // namespace

TEST_CASE_METHOD(RevisionFixture, "revision_randomDeliveryAndRestarts_neverDecreasesAndConverges")
{
    // Guards against a late watch event, a lagging peer or a restart that restores an old configuration.
    CHECK(propertyHolds({.seed = 4201, .cases = 300, .maxSize = 200}, [](std::uint64_t seed) {
        std::uint64_t random = seed;
        const LogLimits limits{.entries = 1 + nextRandom(random) % 6, .bytes = 3000};
        ConfigStore store;
        ConfigState writer;
        std::vector<ConfigState> hosts(4);
        const auto steps = nextRandom(random) % 120;
        for (std::uint64_t step = 0; step < steps; ++step) {
            ConfigState &host = hosts[nextRandom(random) % hosts.size()];
            const Revision before = host.revision;
            switch (nextRandom(random) % 6) {
            case 0:
            case 1:
                edit(store, writer, random, limits);
                break;
            case 2:
                if (!store.published.empty()) {
                    static_cast<void>(adoptHead(host, store.published[nextRandom(random) % store.published.size()]));
                }
                break;
            case 3:
                if (!store.published.empty()) {
                    // The documents are read after the head, which may be outdated by then.
                    static_cast<void>(adoptDocuments(host, store.published[nextRandom(random) % store.published.size()], store.readDocuments()));
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
        catchUp(writer, store);
        for (ConfigState &host : hosts) {
            catchUp(host, store);
            RC_ASSERT(describe(host) == describe(writer));
        }
    }));
    CHECK(this->violations == 0);
}

TEST_CASE_METHOD(RevisionFixture, "planEdit_concurrentEditsAndLostAnswers_oneCommitPerDocRevision")
{
    // Guards against two operators who are both told that their edit is committed, and against an edit that is committed twice.
    CHECK(propertyHolds({.seed = 77, .cases = 300, .maxSize = 200}, [](std::uint64_t seed) {
        std::uint64_t random = seed;
        ConfigStore store;
        std::vector<std::pair<Revision, ConfigHead>> delayed; // Writes that got no answer and may still be executed.
        std::vector<ConcurrentEdit> editors(2 + nextRandom(random) % 4);
        for (std::size_t i = 0; i < editors.size(); ++i) {
            editors[i].edit = {.name = "d" + std::to_string(nextRandom(random) % 2), .body = std::to_string(i), .writeId = WriteId{"w" + std::to_string(i)}};
        }
        std::size_t pending = editors.size();
        for (int step = 0; step < 10000 && pending > 0; ++step) {
            if (!delayed.empty() && nextRandom(random) % 3 == 0) {
                const std::size_t at = nextRandom(random) % delayed.size();
                static_cast<void>(store.compareAndSwap(delayed[at].first, delayed[at].second));
                delayed.erase(delayed.begin() + static_cast<std::ptrdiff_t>(at));
            }
            ConcurrentEdit &editor = editors[nextRandom(random) % editors.size()];
            if (editor.committed || editor.conflicted) {
                continue;
            }
            if (!editor.hasRead) {
                editor.lastRead = store.head;
                catchUp(editor.state, store);
                editor.hasRead = true;
                continue;
            }
            editor.hasRead = false;
            const EditPlan plan = planEdit(editor.lastRead, editor.state, editor.edit);
            if (const auto *write = std::get_if<EditWrite>(&plan)) {
                const auto chance = nextRandom(random) % 3;
                if (chance == 0) {
                    editor.committed = store.compareAndSwap(editor.lastRead.revision, write->next);
                } else if (chance == 1) {
                    static_cast<void>(store.compareAndSwap(editor.lastRead.revision, write->next));
                } else {
                    delayed.emplace_back(editor.lastRead.revision, write->next);
                }
            } else {
                editor.committed = std::holds_alternative<EditCommitted>(plan);
                editor.conflicted = !editor.committed;
            }
            pending -= editor.committed || editor.conflicted ? 1 : 0;
        }
        for (const auto &[expected, next] : delayed) {
            static_cast<void>(store.compareAndSwap(expected, next));
        }
        RC_ASSERT(pending == 0U);
        std::map<std::string, int> commits;
        for (const ConcurrentEdit &editor : editors) {
            RC_ASSERT(editor.committed == findWrite(store.head, editor.edit.writeId).has_value());
            commits[editor.edit.name] += editor.committed ? 1 : 0;
        }
        for (const auto &[name, count] : commits) {
            RC_ASSERT(count == 1);
        }
        RC_ASSERT(store.head.log.size() == commits.size());
    }));
    CHECK(this->violations == 0);
}

TEST_CASE_METHOD(RevisionFixture, "planEdit_staleDocRevision_conflictNamesCurrentOne")
{
    ConfigStore store;
    ConfigState state;
    std::uint64_t random = 1;
    for (int i = 0; i < 10; ++i) {
        edit(store, state, random, {});
    }
    catchUp(state, store);
    const Document present = state.documents.begin()->second;
    const EditPlan plan = planEdit(store.head, state, {.kind = present.kind, .name = present.name, .expectedDocRevision = 99, .writeId = WriteId{"w"}});
    REQUIRE(std::holds_alternative<EditConflict>(plan));
    CHECK(std::get<EditConflict>(plan).currentDocRevision == present.docRevision);
}

TEST_CASE_METHOD(RevisionFixture, "adoptBundle_startsAfterKnownRevision_ignored")
{
    // Guards against a bundle that lacks the changes in between, after which the host would treat its revision as complete.
    ConfigState state;
    CHECK(adoptBundle(state, {.since = Revision{3}, .revision = Revision{5}, .documents = {}}) == AdoptOutcome::Ignored);
    CHECK(state.revision == Revision{0});
    CHECK_FALSE(state.confirmed);
}

TEST_CASE_METHOD(RevisionFixture, "adoptBundle_revisionZero_confirmsState")
{
    // Guards against hosts of a new fleet, whose revision is 0 until the first edit, that never confirm their configuration.
    ConfigState state;
    CHECK(adoptBundle(state, {}) == AdoptOutcome::Ignored);
    CHECK(state.confirmed);
}
