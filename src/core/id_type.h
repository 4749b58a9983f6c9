/** @file id_type.h Strong types for identifiers and counters that must not be mixed up. */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace skylark {

/** A textual identifier of one kind; identifiers of different kinds do not convert into one another. */
template<typename Tag>
struct StrongId {
    std::string value; ///< Identifier text.

    // The constructors keep the type from being an aggregate: g++ 12 copies aggregate temporaries in a co_await expression
    // bitwise and then destroys both, which frees the string twice.
    StrongId() noexcept
    {
    }
    StrongId(std::string text) // NOLINT(google-explicit-constructor): braced aggregates of identifiers stay short.
        : value(std::move(text))
    {
    }

    auto operator<=>(const StrongId &) const = default;
    [[nodiscard]] bool empty() const
    {
        return this->value.empty();
    }
};

/** A number of one kind, ordered; 0 means "none". */
template<typename Tag>
struct StrongNumber {
    std::uint64_t value{0}; ///< Number.

    auto operator<=>(const StrongNumber &) const = default;
};

using HostId = StrongId<struct HostIdTag>; ///< One entry host of the system.
using DomainId = StrongId<struct DomainIdTag>; ///< One failure domain.
using TargetId = StrongId<struct TargetIdTag>; ///< One model engine replica or plain service replica.
using WorkspaceId = StrongId<struct WorkspaceIdTag>; ///< One workspace.
using SessionId = StrongId<struct SessionIdTag>; ///< One run of a host process; new at each start.
using JobId = StrongId<struct JobIdTag>; ///< One batch job.
using RequestId = StrongId<struct RequestIdTag>; ///< One request, unique for each call to a target.
using ModelId = StrongId<struct ModelIdTag>; ///< Model name as callers see it.
using BlobId = StrongId<struct BlobIdTag>; ///< Bulk data object.
using WriteId = StrongId<struct WriteIdTag>; ///< Recognises one logical write when it is read back.
using LeaseId = StrongId<struct LeaseIdTag>; ///< Lease of the key-value service.

using Revision = StrongNumber<struct RevisionTag>; ///< Configuration revision.
using KvVersion = StrongNumber<struct KvVersionTag>; ///< Version of one key; 0 means the key is absent.
using Epoch = StrongNumber<struct EpochTag>; ///< Claim epoch of a batch group.
using Fencing = StrongNumber<struct FencingTag>; ///< Fencing number of an order.

} // namespace skylark

template<typename Tag>
struct std::hash<skylark::StrongId<Tag>> {
    std::size_t operator()(const skylark::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value);
    }
};
