/** @file kept_prompt_base.h Parts of prompts that targets probably still hold in their prefix caches, and the time that reading a prompt takes. */
#pragma once

#include "core/clock_func.h"
#include "policy/prompt_part_type.h"

#include <list>
#include <unordered_map>

namespace skylark {

/** A map with a bounded number of entries; the least recently used ones are dropped first. */
template<typename Value>
struct RecentParts {
    struct Entry {
        PromptPartId part;
        Value value;
    };
    std::list<Entry> entries; ///< Most recently used first.
    std::unordered_map<std::uint64_t, typename std::list<Entry>::iterator> index;

    /** @return The value of @p part, without counting as a use; null when there is none. */
    [[nodiscard]] const Value *find(PromptPartId part) const
    {
        const auto found = this->index.find(part.value);
        return found == this->index.end() ? nullptr : &found->second->value;
    }

    /** @return The value of @p part, which becomes the most recently used one and is created if there is none. */
    Value &use(PromptPartId part)
    {
        const auto [found, created] = this->index.try_emplace(part.value);
        if (created) {
            this->entries.push_front({part, Value{}});
            found->second = this->entries.begin();
        } else {
            this->entries.splice(this->entries.begin(), this->entries, found->second);
        }
        return found->second->value;
    }

    void erase(PromptPartId part)
    {
        if (const auto found = this->index.find(part.value); found != this->index.end()) {
            this->entries.erase(found->second);
            this->index.erase(found);
        }
    }

    /** Drops the least recently used entry. */
    void dropOldest()
    {
        this->index.erase(this->entries.back().part.value);
        this->entries.pop_back();
    }
};

/** A part that this host's requests have made a target read. */
struct KeptPart {
    double usedAt{0}; ///< Value of TargetHistory::readTokens at its last use.
};

/** What this host has sent to one target. */
struct TargetHistory {
    std::uint64_t hash{0}; ///< Hash of the target's identifier, for rendezvous hashing.
    double readTokens{0}; ///< Estimated tokens that the target has read for requests of all hosts; a clock for the eviction of its parts.
    RecentParts<KeptPart> parts;
};

/** How often this host's requests name a part, as a count that decays. */
struct PartUse {
    double count{0};
    TimePoint countedAt{};
};

/** Sums of a weighted least squares fit of the time to the first event over the number of prompt tokens that had to be read. */
struct ReadTimeFit {
    double weight{0};
    double tokens{0}; ///< Weighted mean of the tokens.
    double time{0}; ///< Weighted mean of the times, in milliseconds.
    double tokensSquared{0}; ///< Weighted sum of the squared deviations of the tokens.
    double timeSquared{0}; ///< Weighted sum of the squared deviations of the times.
    double product{0}; ///< Weighted sum of the products of both deviations.
};

/** Kept prompt parts of the targets of one service. */
struct KeptPrompts {
    std::unordered_map<TargetId, TargetHistory> targets;
    RecentParts<PartUse> uses; ///< How often the last shared part of prompts was named.
    ReadTimeFit fit;
    double ownOnline{0}; ///< Moving average of this host's online requests in flight.
    double allOnline{0}; ///< The same of all hosts.
    double meanTokens{0}; ///< Moving average of the tokens of a prompt.
};

} // namespace skylark
