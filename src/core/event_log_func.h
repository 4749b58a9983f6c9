/** @file event_log_func.h Structured log: one JSON line on standard output for each decision, bounded and never blocking. */
#pragma once

#include <boost/json/string.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string_view>
#include <type_traits>

namespace skylark {

/** Events of the structured log; their names and fields are in table/event_table.h. */
enum class EventKind : std::uint8_t {
    Start, ///< Process began.
    Stop, ///< Planned stop began.
    Stopped, ///< Process ends.
    Reload, ///< Settings were read again.
    Settings, ///< Settings file could not be used.
    Ready, ///< Readiness changed.
    DependencyLost, ///< A dependency stopped answering.
    DependencyBack, ///< A dependency answers again.
    ConfigAdopted, ///< A configuration is in force.
    ConfigRefused, ///< A configuration document could not be used.
    TargetChanged, ///< A target appeared, is leaving or is gone.
    TargetRefused, ///< A target entry could not be used.
    PeerChanged, ///< Another host appeared or is gone.
    Placed, ///< A request was sent to a target.
    AttemptFailed, ///< A target did not answer a request as expected.
    Resumed, ///< A stream goes on at another target.
    Refused, ///< A request was refused without having run.
    Answered, ///< A request got its final answer.
    JobAccepted, ///< A batch job was stored.
    JobRefused, ///< A batch job was refused.
    JobClaimed, ///< This host runs the items of a job.
    JobDropped, ///< Another host runs the items of a job.
    JobEnded, ///< A caller ended a job.
    JobRead, ///< A caller read results.
    ItemStarted, ///< An item was sent to a target.
    ItemYielded, ///< An item gave up its slot to online requests.
    ItemFailed, ///< A run of an item failed.
    ItemFinished, ///< An item has a result.
    ResultsListed, ///< Results were stored at their positions.
    Dropped, ///< Lines were left out because the reader is too slow.
    Count, ///< Number of kinds.
};

/** One field of a line. */
struct EventField {
    std::string_view name; ///< Name.
    boost::json::value value; ///< Value.

    /** @param content Text, number or truth value. */
    template<typename Content>
    EventField(std::string_view field, const Content &content)
        : name(field)
    {
        if constexpr (std::is_convertible_v<const Content &, std::string_view>) {
            const std::string_view text = content;
            this->value = boost::json::string(text.data(), text.size());
        } else {
            this->value = boost::json::value(content);
        }
    }
};

/** Starts the writer. Before that, lines are discarded. @param host Name in every line. */
void openEventLog(std::string_view host);

/** Writes what is buffered, waiting at most @p wait, and stops the writer. */
void closeEventLog(std::chrono::milliseconds wait);

/**
 * Adds one line. It never blocks: when the buffer is full the line is counted and left out. Any thread may call it.
 * @param id Identifier of the request, job or item; empty for none.
 */
void logEvent(EventKind kind, std::string_view id, std::initializer_list<EventField> fields);

/**
 * Like logEvent() for events that come with every request. Above the sampling rate only a share of them is written; the line then says how many it stands for.
 */
void logSampled(EventKind kind, std::string_view id, std::initializer_list<EventField> fields);

/** @return Lines that were left out because the buffer was full. */
[[nodiscard]] std::uint64_t eventLinesDropped();

} // namespace skylark
