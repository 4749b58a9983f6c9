/** @file event_log.cpp Structured event log: one JSON line per decision on standard output, through a bounded buffer that never blocks. */
#include "core/event_log_func.h"

#include "core/clock_func.h"
#include "core/table/event_table.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <poll.h>
#include <string>
#include <thread>
#include <unistd.h>

namespace skylark {

namespace {

constexpr std::size_t bufferBytes = std::size_t{256} << 10U; ///< Limit of buffered lines; holds 2 s at 500 lines/s of 250 bytes.
constexpr std::size_t batchBytes = std::size_t{16} << 10U; ///< The writer waits until this much is buffered or flushInterval has passed, to save system calls.
constexpr std::chrono::milliseconds flushInterval{200}; ///< Longest time that a line is buffered before it is written.
constexpr std::uint64_t sampledPerSecond = 50; ///< Number of lines of logSampled() per second before sampling starts.
constexpr std::uint64_t linesPerSample = 20; ///< Above sampledPerSecond, one of this many lines is written.
constexpr int pollIntervalMs = 100; ///< Interval at which the writer checks its stop deadline while standard output is not writable.

/** Lines buffered for standard output, and the state of the writer thread. */
struct LogBuffer {
    std::mutex mutex; ///< Protects all members.
    std::condition_variable writerWakeup; ///< Wakes the writer.
    std::string pending; ///< Lines that the writer has not fetched yet.
    std::string host; ///< Value of the field "host" in every line.
    std::thread writer; ///< Thread of runWriter().
    bool open{false}; ///< Whether lines are accepted.
    bool stopping{false}; ///< Whether the writer exits once nothing is pending.
    std::chrono::steady_clock::time_point stopDeadline; ///< Deadline after which a stopping writer discards what the reader has not taken.
    std::uint64_t dropped{0}; ///< Lines dropped since the process started.
    std::uint64_t droppedReported{0}; ///< Dropped lines already reported by an EventKind::Dropped line.
    std::chrono::steady_clock::time_point sampleWindowStart; ///< Start of the current one-second sampling window.
    std::uint64_t sampledInWindow{0}; ///< Calls of logSampled() in the current window.
};

LogBuffer &logBuffer()
{
    static LogBuffer buffer;
    return buffer;
}

/** Writes @p text; gives up when the log is closing and standard output is still not writable at the stop deadline. */
void writeAll(LogBuffer &buffer, const std::string &text)
{
    std::size_t done = 0;
    while (done < text.size()) {
        pollfd ready{STDOUT_FILENO, POLLOUT, 0};
        const int answer = ::poll(&ready, 1, pollIntervalMs);
        if (answer > 0) {
            // A pipe that poll() reports as writable accepts at least PIPE_BUF (4096) bytes without blocking.
            const std::size_t piece = std::min<std::size_t>(text.size() - done, 4096);
            const auto written = ::write(STDOUT_FILENO, text.data() + done, piece);
            if (written < 0 && errno != EINTR && errno != EAGAIN) {
                return;
            }
            done += written > 0 ? static_cast<std::size_t>(written) : 0;
            continue;
        }
        const std::lock_guard lock(buffer.mutex);
        if (buffer.stopping && std::chrono::steady_clock::now() >= buffer.stopDeadline) {
            return;
        }
    }
}

void runWriter(LogBuffer &buffer)
{
    std::unique_lock lock(buffer.mutex);
    for (;;) {
        buffer.writerWakeup.wait(lock, [&buffer] {
            return !buffer.pending.empty() || buffer.stopping;
        });
        if (buffer.pending.empty()) {
            return;
        }
        buffer.writerWakeup.wait_for(lock, flushInterval, [&buffer] {
            return buffer.pending.size() >= batchBytes || buffer.stopping;
        });
        std::string outgoing;
        outgoing.swap(buffer.pending);
        lock.unlock();
        writeAll(buffer, outgoing);
        lock.lock();
    }
}

std::string formatLine(const LogBuffer &buffer, EventKind kind, std::string_view id, std::initializer_list<EventField> fields, std::uint64_t standsFor)
{
    const EventInfo &info = eventTable[static_cast<std::size_t>(kind)];
    boost::json::object line;
    line["ts"] = unixNow().time_since_epoch().count();
    line["host"] = buffer.host;
    line["part"] = info.part;
    line["event"] = info.name;
    if (!id.empty()) {
        line["id"] = id;
    }
    for (const EventField &field : fields) {
        line[field.name] = field.value;
    }
    if (standsFor > 1) {
        line["stands_for"] = standsFor;
    }
    return boost::json::serialize(line) + '\n';
}

void appendToBuffer(LogBuffer &buffer, const std::string &line)
{
    if (buffer.pending.size() + line.size() > bufferBytes) {
        ++buffer.dropped;
        return;
    }
    const bool wasEmpty = buffer.pending.empty();
    buffer.pending += line;
    if (wasEmpty || buffer.pending.size() >= batchBytes) {
        buffer.writerWakeup.notify_one();
    }
}

void addLine(LogBuffer &buffer, EventKind kind, std::string_view id, std::initializer_list<EventField> fields, std::uint64_t standsFor)
{
    if (buffer.dropped > buffer.droppedReported && buffer.pending.size() < bufferBytes / 2) {
        const std::uint64_t lines = buffer.dropped - buffer.droppedReported;
        buffer.droppedReported = buffer.dropped;
        appendToBuffer(buffer, formatLine(buffer, EventKind::Dropped, {}, {{"lines", lines}}, 1));
    }
    appendToBuffer(buffer, formatLine(buffer, kind, id, fields, standsFor));
}

} // namespace

void openEventLog(std::string_view host)
{
    LogBuffer &buffer = logBuffer();
    const std::lock_guard lock(buffer.mutex);
    if (buffer.open) {
        return;
    }
    buffer.host = host;
    buffer.open = true;
    buffer.stopping = false;
    buffer.writer = std::thread([&buffer] {
        runWriter(buffer);
    });
}

void closeEventLog(std::chrono::milliseconds wait)
{
    LogBuffer &buffer = logBuffer();
    {
        const std::lock_guard lock(buffer.mutex);
        if (!buffer.open) {
            return;
        }
        buffer.open = false;
        buffer.stopping = true;
        buffer.stopDeadline = std::chrono::steady_clock::now() + wait;
        buffer.writerWakeup.notify_one();
    }
    buffer.writer.join();
}

void logEvent(EventKind kind, std::string_view id, std::initializer_list<EventField> fields)
{
    LogBuffer &buffer = logBuffer();
    const std::lock_guard lock(buffer.mutex);
    if (buffer.open) {
        addLine(buffer, kind, id, fields, 1);
    }
}

void logSampled(EventKind kind, std::string_view id, std::initializer_list<EventField> fields)
{
    LogBuffer &buffer = logBuffer();
    const std::lock_guard lock(buffer.mutex);
    if (!buffer.open) {
        return;
    }
    const auto now = std::chrono::steady_clock::now();
    if (now - buffer.sampleWindowStart >= std::chrono::seconds(1)) {
        buffer.sampleWindowStart = now;
        buffer.sampledInWindow = 0;
    }
    const std::uint64_t number = ++buffer.sampledInWindow;
    if (number <= sampledPerSecond) {
        addLine(buffer, kind, id, fields, 1);
    } else if (number % linesPerSample == 0) {
        addLine(buffer, kind, id, fields, linesPerSample);
    }
}

std::uint64_t eventLinesDropped()
{
    LogBuffer &buffer = logBuffer();
    const std::lock_guard lock(buffer.mutex);
    return buffer.dropped;
}

} // namespace skylark
