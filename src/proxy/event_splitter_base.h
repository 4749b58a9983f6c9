/** @file event_splitter_base.h Splits a stream of server-sent events into complete events, in order. */
#pragma once

#include "core/result_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace skylark {

/** One complete event. */
struct StreamEvent {
    std::uint64_t id{0}; ///< Number of the event in its stream, from 1; 0 when the event has none.
    std::string raw; ///< Bytes as received, including the empty line that ends the event.
    std::string data; ///< Values of the data lines, joined by line feeds.
};

/** State of splitting one stream, which may continue on another target. */
struct EventSplitter {
    std::uint64_t lastId{0}; ///< Identifier of the last event that was parsed or that the caller has already received; kept across attempts on other targets.
    std::string partial; ///< Bytes of the event that is not complete yet.
};

/** Maximum size of an incomplete event in the buffer, in bytes. */
inline constexpr std::size_t maxEventBytes = std::size_t{1} << 20U;

/**
 * Parses the next bytes of the body.
 * @return The events that were completed by @p bytes, without those whose identifier is not above lastId, up to the first skipped identifier.
 * ProtocolError when the first of them skips an identifier, or when the incomplete event exceeds maxEventBytes.
 */
[[nodiscard]] Result<std::vector<StreamEvent>> splitEvents(EventSplitter &splitter, std::string_view bytes);

/** @return Whether the body may end here, because no incomplete event is buffered. */
[[nodiscard]] bool isAtEventBoundary(const EventSplitter &splitter);

} // namespace skylark
