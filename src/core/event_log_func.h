/** @file event_log_func.h Structured event log: one JSON line per decision on standard output, through a bounded buffer that never blocks. */
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
    Start, ///< The process started.
    Stop, ///< A graceful shutdown started.
    Stopped, ///< The process exits.
    Reload, ///< The settings file was reloaded.
    Settings, ///< The settings file was rejected.
    UnexpectedError, ///< A handler or a task ended with an exception; the process goes on.
    Ready, ///< The readiness of this host changed.
    DependencyLost, ///< A dependency stopped answering.
    DependencyBack, ///< A dependency answers again.
    WatchReplaced, ///< A call that waited for changes of the service was replaced, because its answer may have been lost.
    ConfigAdopted, ///< A configuration was applied.
    ConfigRefused, ///< A configuration document was rejected.
    ConfigProof, ///< The configuration became proved to be the newest, or its proof became too old for requests with keys.
    TargetChanged, ///< A target was added, is leaving or was removed.
    VersionChanged, ///< A software version of a service was listed in the registry, or removed from it.
    TargetRefused, ///< A target entry was rejected.
    TargetEntryMissing, ///< The entry of a target is gone from the service.
    LinksChanged, ///< The links of this host to the targets were lost or restored.
    PeerChanged, ///< Another host was added or removed.
    Placed, ///< A request was sent to a target.
    AttemptFailed, ///< An attempt to run a request on a target failed.
    Resumed, ///< A broken stream was continued on another target.
    Relayed, ///< A request was relayed to another host, because this one has lost its links to the targets.
    RelayFailed, ///< A host to which a request was relayed gave no complete answer.
    CallerResumed, ///< A caller resumes a stream that an earlier attempt began.
    UnsolicitedBytes, ///< A target sent bytes that belong to no request.
    LimitChanged, ///< A target named another rate limit, or none any more.
    PartQuarantined, ///< Requests with a prompt part, or one request whenever it comes again, are rejected, because they crash targets.
    PartReleased, ///< A run with a quarantined prompt part, or of a quarantined request, was sound.
    Refused, ///< A request was refused and did not run.
    QuotaRefused, ///< A request was refused because of its workspace's quota, and did not run.
    QuotaRight, ///< This host's right to grant tokens of quotas began, was proved anew or ended.
    ClientLimited, ///< A client met a limit on memory or progress: it was refused, or its connection closed.
    Answered, ///< A request got its final response.
    JobAccepted, ///< A batch job was stored.
    JobRefused, ///< A batch job was refused.
    JobClaimed, ///< This host took over running the items of a job.
    JobDropped, ///< This host stopped running the items of a job because another host owns it or its caller ended it.
    JobEnded, ///< A caller cancelled a job.
    JobRead, ///< A caller read the results of a job.
    ItemStarted, ///< An item was sent to a target.
    ItemRestarted, ///< The output of an item was discarded, because no target of its software version takes the item.
    ItemYielded, ///< An item was preempted to free its slot for online requests.
    ItemFailed, ///< An attempt to run an item failed.
    ItemFinished, ///< The result of an item is available.
    ResultsListed, ///< Results were added to a job's list of results.
    Dropped, ///< Log lines were dropped because the reader of standard output is too slow.
    Count, ///< Number of kinds.
};

/** One field of a line. */
struct EventField {
    std::string_view name;
    boost::json::value value;

    /** @param content String, number or boolean. */
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

/** Starts the writer thread; lines logged before are discarded. @param host Value of the field "host" in every line. */
void openEventLog(std::string_view host);

inline constexpr std::chrono::milliseconds logFlushTimeout{200}; ///< Wait of a process that exits for its buffered lines to be written.

/** Writes the buffered lines, waiting at most @p wait for the reader of standard output, and stops the writer thread. */
void closeEventLog(std::chrono::milliseconds wait);

/**
 * Appends one line. Never blocks: when the buffer is full, the line is dropped and counted. Thread-safe.
 * @param id Identifier of the request, job or item; empty for none.
 */
void logEvent(EventKind kind, std::string_view id, std::initializer_list<EventField> fields);

/**
 * Like logEvent(), for events of every request. Above a rate limit only a sample of the lines is written;
 * each of them says how many lines it represents. Thread-safe.
 */
void logSampled(EventKind kind, std::string_view id, std::initializer_list<EventField> fields);

/** @return Number of lines dropped because the buffer was full. */
[[nodiscard]] std::uint64_t eventLinesDropped();

} // namespace skylark
