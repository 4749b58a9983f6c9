/** @file id_type.h Strong types for identifiers and counters, so that different kinds cannot be confused. */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace skylark {

/** String identifier of one kind; identifiers of different kinds do not convert to each other. */
template<typename Tag>
struct StrongId {
    std::string value; ///< Identifier; empty means "none".

    // The constructors prevent the type from being an aggregate: g++ 12 copies aggregate temporaries in a co_await expression
    // bitwise and then destroys both copies, which frees the string twice.
    StrongId() noexcept
    {
    }
    StrongId(std::string text) // NOLINT(google-explicit-constructor): keeps braced initialisers of aggregates with identifiers short.
        : value(std::move(text))
    {
    }

    auto operator<=>(const StrongId &) const = default;
    [[nodiscard]] bool empty() const
    {
        return this->value.empty();
    }
};

/** Ordered number of one kind; 0 means "none". */
template<typename Tag>
struct StrongNumber {
    std::uint64_t value{0};

    auto operator<=>(const StrongNumber &) const = default;
};

using HostId = StrongId<struct HostIdTag>; ///< Entry host.
using DomainId = StrongId<struct DomainIdTag>; ///< Failure domain.
using TargetId = StrongId<struct TargetIdTag>; ///< Replica of a model engine or of a plain service.
using ServiceId = StrongId<struct ServiceIdTag>; ///< A group of interchangeable targets.
using SoftwareVersion = StrongId<struct SoftwareVersionTag>; ///< Version of a service's software, not of a model's weights.
using WorkspaceId = StrongId<struct WorkspaceIdTag>;
using SessionId = StrongId<struct SessionIdTag>; ///< One run of a host process; changes at each start.
using JobId = StrongId<struct JobIdTag>; ///< Batch job.
using RequestId = StrongId<struct RequestIdTag>; ///< Request; unique for each call to a target.
using ModelId = StrongId<struct ModelIdTag>; ///< Model name as seen by callers.
using BlobId = StrongId<struct BlobIdTag>; ///< Object in the blob store.
using WriteId = StrongId<struct WriteIdTag>; ///< Identifies one logical write, so that its writer recognises it when reading the value back.
using LeaseId = StrongId<struct LeaseIdTag>; ///< Lease of the key-value service.

using Revision = StrongNumber<struct RevisionTag>; ///< Configuration revision.
using KvVersion = StrongNumber<struct KvVersionTag>; ///< Version of one key in the key-value service; 0 means that the key is absent.
using Epoch = StrongNumber<struct EpochTag>; ///< Epoch of the claim on a batch group.
using Fencing = StrongNumber<struct FencingTag>; ///< Fencing number of an order sent to a target.

} // namespace skylark

template<typename Tag>
struct std::hash<skylark::StrongId<Tag>> {
    std::size_t operator()(const skylark::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value);
    }
};
