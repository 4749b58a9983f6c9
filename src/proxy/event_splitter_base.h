/** @file event_splitter_base.h Splits a body of server-sent events into whole events in order. */
#pragma once

#include "core/result_type.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace skylark {

/** One whole event. */
struct StreamEvent {
    std::uint64_t id{0}; ///< Identifier; 0 when the event has none.
    std::string raw; ///< Bytes with the empty line that ends it.
    std::string data; ///< Data lines, joined by line feeds.
};

/** Splitter of one run of a target. */
struct EventSplitter {
    std::uint64_t last{0}; ///< Identifier of the last event that was passed on, also by earlier runs.
    std::string partial; ///< Bytes of an event that is not complete.
};

/** Largest event that is buffered, in bytes. */
inline constexpr std::size_t maxEventBytes = std::size_t{1} << 20U;

/**
 * Takes the next bytes of the body.
 * @return The events that follow the last one without a gap; events that were passed on before are left out. ProtocolError when one is missing.
 */
[[nodiscard]] Result<std::vector<StreamEvent>> splitEvents(EventSplitter &splitter, std::string_view bytes);

/** @return Whether the body may end here: no event is incomplete. */
[[nodiscard]] bool endsWhole(const EventSplitter &splitter);

} // namespace skylark
