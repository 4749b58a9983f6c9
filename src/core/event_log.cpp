/** @file event_log.cpp Structured log: one JSON line on standard output for each decision, bounded and never blocking. */
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

constexpr std::size_t bufferBytes = std::size_t{256} << 10U; ///< Lines waiting for the reader; 2 s at 500 lines/s of 250 bytes.
constexpr std::size_t batchBytes = std::size_t{16} << 10U; ///< The writer waits for this much or for the flush interval, which saves system calls.
constexpr std::chrono::milliseconds flushInterval{200}; ///< Longest time that a line waits for others.
constexpr std::uint64_t sampledPerSecond = 50; ///< Lines of logSampled() a second that are written in full.
constexpr std::uint64_t sampledShare = 20; ///< Above that rate, one line in so many is written.
constexpr int pollMs = 100; ///< How often the writer looks for the end while the reader is stopped.

/** Lines on their way to standard output. */
struct LogBuffer {
    std::mutex mutex; ///< Protects all members.
    std::condition_variable wake; ///< Signals the writer.
    std::string pending; ///< Lines not yet taken by the writer.
    std::string host; ///< Name in every line.
    std::thread writer; ///< Writes to standard output.
    bool open{false}; ///< Whether lines are taken.
    bool stopping{false}; ///< Whether the writer ends when nothing is pending.
    std::chrono::steady_clock::time_point stopBy; ///< Time at which the writer gives up.
    std::uint64_t dropped{0}; ///< Lines left out since the start.
    std::uint64_t droppedTold{0}; ///< Of these, lines already reported.
    std::chrono::steady_clock::time_point sampleWindow; ///< Begin of the present second of sampling.
    std::uint64_t sampledInWindow{0}; ///< Lines of logSampled() in it.
};

LogBuffer &logBuffer()
{
    static LogBuffer buffer;
    return buffer;
}

/** Writes @p text; gives up when the process is stopping and the reader does not read. */
void writeAll(LogBuffer &buffer, const std::string &text)
{
    std::size_t done = 0;
    while (done < text.size()) {
        pollfd ready{STDOUT_FILENO, POLLOUT, 0};
        const int answer = ::poll(&ready, 1, pollMs);
        if (answer > 0) {
            // A pipe that is ready for writing takes at least PIPE_BUF (4096) bytes without blocking.
            const std::size_t piece = std::min<std::size_t>(text.size() - done, 4096);
            const auto written = ::write(STDOUT_FILENO, text.data() + done, piece);
            if (written < 0 && errno != EINTR && errno != EAGAIN) {
                return;
            }
            done += written > 0 ? static_cast<std::size_t>(written) : 0;
            continue;
        }
        const std::lock_guard lock(buffer.mutex);
        if (buffer.stopping && std::chrono::steady_clock::now() >= buffer.stopBy) {
            return;
        }
    }
}

void runWriter(LogBuffer &buffer)
{
    std::unique_lock lock(buffer.mutex);
    for (;;) {
        buffer.wake.wait(lock, [&buffer] {
            return !buffer.pending.empty() || buffer.stopping;
        });
        if (buffer.pending.empty()) {
            return;
        }
        buffer.wake.wait_for(lock, flushInterval, [&buffer] {
            return buffer.pending.size() >= batchBytes || buffer.stopping;
        });
        std::string taken;
        taken.swap(buffer.pending);
        lock.unlock();
        writeAll(buffer, taken);
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

void append(LogBuffer &buffer, const std::string &line)
{
    if (buffer.pending.size() + line.size() > bufferBytes) {
        ++buffer.dropped;
        return;
    }
    const bool wasEmpty = buffer.pending.empty();
    buffer.pending += line;
    if (wasEmpty || buffer.pending.size() >= batchBytes) {
        buffer.wake.notify_one();
    }
}

void addLine(LogBuffer &buffer, EventKind kind, std::string_view id, std::initializer_list<EventField> fields, std::uint64_t standsFor)
{
    if (buffer.dropped > buffer.droppedTold && buffer.pending.size() < bufferBytes / 2) {
        const std::uint64_t lines = buffer.dropped - buffer.droppedTold;
        buffer.droppedTold = buffer.dropped;
        append(buffer, formatLine(buffer, EventKind::Dropped, {}, {{"lines", lines}}, 1));
    }
    append(buffer, formatLine(buffer, kind, id, fields, standsFor));
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
        buffer.stopBy = std::chrono::steady_clock::now() + wait;
        buffer.wake.notify_one();
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
    if (now - buffer.sampleWindow >= std::chrono::seconds(1)) {
        buffer.sampleWindow = now;
        buffer.sampledInWindow = 0;
    }
    const std::uint64_t number = ++buffer.sampledInWindow;
    if (number <= sampledPerSecond) {
        addLine(buffer, kind, id, fields, 1);
    } else if (number % sampledShare == 0) {
        addLine(buffer, kind, id, fields, sampledShare);
    }
}

std::uint64_t eventLinesDropped()
{
    LogBuffer &buffer = logBuffer();
    const std::lock_guard lock(buffer.mutex);
    return buffer.dropped;
}

} // namespace skylark
