/** @file batch_limit_type.h Input, state and result of the batch limit of one target. */
#pragma once

#include <cstdint>

namespace skylark {

/** Input of the batch limit, as known to the batch owner of the target. */
struct BatchLimitInput {
    unsigned slots{0}; ///< Concurrent streams that the target runs.
    unsigned running{0}; ///< Streams running, from the load report.
    unsigned waiting{0}; ///< Streams waiting, from the load report.
    std::uint64_t reportSequence{0}; ///< Sequence number of the load report.
    bool reportFresh{false}; ///< Whether the report is recent enough to start more batch streams.
    unsigned ownOnline{0}; ///< Online streams of this host in flight.
    unsigned ownBatch{0}; ///< Batch streams of this host in flight.
    unsigned ownAtReport{0}; ///< Online and batch streams of this host when the report arrived.
    unsigned onlineElsewhere{0}; ///< Online streams of other hosts, from their status datagrams.
    double onlineMean{0}; ///< Recent mean of online streams in flight.
    double onlinePeak{0}; ///< Recent peak of online streams in flight.
    double firstTokenMs{0}; ///< Recent online time to first token in milliseconds; 0 when unknown.
    double tokenMs{0}; ///< Recent time per token in milliseconds; 0 when unknown.
    double tailWeight{0.5}; ///< Weight of online tail latency, 0 to 1.
};

/** Adaptive state of the limit, kept by the batch owner between load reports. */
struct BatchLimitState {
    double adaptiveLimit{-1}; ///< Upper bound in streams; negative before the first report.
    std::uint64_t reportSequence{0}; ///< Sequence number of the last report that was applied.
    double firstTokenReferenceMs{0}; ///< Average time to first token without batch, in milliseconds; 0 when unknown.
    double tokenReferenceMs{0}; ///< Average time per token without batch, in milliseconds; 0 when unknown.
    unsigned unattributedPrevious{0}; ///< unattributedLatest of the report before.
    unsigned unattributedLatest{0}; ///< Streams of the last report that are neither streams of this host nor known online streams of others.
};

/** Result of decideBatchLimit(). */
struct BatchLimit {
    unsigned streams{0}; ///< Batch streams that the batch owner may have in flight.
    unsigned headroom{0}; ///< Slots kept free for online requests.
    BatchLimitState state; ///< State to pass to the next call.
};

} // namespace skylark
