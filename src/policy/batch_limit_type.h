/** @file batch_limit_type.h Input and state of the batch limit of one target. */
#pragma once

#include <cstdint>

namespace skylark {

/** What the batch owner knows of a target when it computes the limit. */
struct BatchLimitInput {
    unsigned slots{0}; ///< Concurrent streams that the target runs.
    unsigned running{0}; ///< Streams running, from the load report.
    unsigned waiting{0}; ///< Streams waiting, from the load report.
    std::uint64_t reportSequence{0}; ///< Sequence of the load report.
    bool reportFresh{false}; ///< Whether the report is recent enough to start more work.
    unsigned ownOnline{0}; ///< Own online streams in flight.
    unsigned ownBatch{0}; ///< Own batch streams in flight.
    unsigned ownAtReport{0}; ///< Own streams of both kinds when the report arrived.
    unsigned onlineElsewhere{0}; ///< Online streams of other hosts, from status datagrams.
    double onlineMean{0}; ///< Recent mean of online streams in flight.
    double onlinePeak{0}; ///< Recent peak of online streams in flight.
    double firstTokenMs{0}; ///< Recent online time to first token in milliseconds; 0 when unknown.
    double tokenMs{0}; ///< Recent time per token in milliseconds; 0 when unknown.
    double tailWeight{0.5}; ///< Weight of the online tail, 0 to 1.
};

/** Adaptive part of the limit; kept by the owner between reports. */
struct BatchLimitState {
    double allowed{-1}; ///< Adaptive bound in streams; negative before the first report.
    std::uint64_t reportSequence{0}; ///< Last report that changed the bound.
    double firstTokenReferenceMs{0}; ///< Time to first token without batch; 0 when unknown.
    double tokenReferenceMs{0}; ///< Time per token without batch; 0 when unknown.
    unsigned foreignBefore{0}; ///< Streams of unknown hosts in the report before the last.
    unsigned foreignNow{0}; ///< Streams of unknown hosts in the last report.
};

/** Limit with the state for the next call. */
struct BatchLimit {
    unsigned streams{0}; ///< Batch streams that the owner may have in flight.
    unsigned headroom{0}; ///< Slots kept free for online requests.
    BatchLimitState state; ///< State for the next call.
};

} // namespace skylark
