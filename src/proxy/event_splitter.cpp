/** @file event_splitter.cpp Splits a stream of server-sent events into complete events, in order. */
#include "proxy/event_splitter_base.h"

#include <charconv>

namespace skylark {

namespace {

/** Adds the field in @p line to @p event. @param line One line without its line end. @param hasData Whether @p event already has a data line. */
void parseLine(StreamEvent &event, std::string_view line, bool &hasData)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
        return;
    }
    const std::string_view name = line.substr(0, colon);
    std::string_view value = line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (name == "id") {
        std::from_chars(value.data(), value.data() + value.size(), event.id);
    } else if (name == "data") {
        event.data += hasData ? "\n" : "";
        event.data += value;
        hasData = true;
    }
}

StreamEvent parseEvent(std::string raw)
{
    StreamEvent event;
    bool hasData = false;
    std::string_view rest = raw;
    while (!rest.empty()) {
        const std::size_t end = rest.find('\n');
        std::string_view line = rest.substr(0, end);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        parseLine(event, line, hasData);
        rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    }
    event.raw = std::move(raw);
    return event;
}

/** @return Length of the first event including the empty line that ends it, in bytes; 0 when the event is not complete. */
std::size_t eventLength(std::string_view bytes)
{
    const std::size_t lineFeedEnd = bytes.find("\n\n");
    const std::size_t carriageReturnEnd = bytes.find("\r\n\r\n");
    if (lineFeedEnd == std::string_view::npos && carriageReturnEnd == std::string_view::npos) {
        return 0;
    }
    return carriageReturnEnd < lineFeedEnd ? carriageReturnEnd + 4 : lineFeedEnd + 2;
}

} // namespace

Result<std::vector<StreamEvent>> splitEvents(EventSplitter &splitter, std::string_view bytes)
{
    splitter.partial += bytes;
    std::vector<StreamEvent> events;
    for (std::size_t length = eventLength(splitter.partial); length > 0; length = eventLength(splitter.partial)) {
        StreamEvent event = parseEvent(splitter.partial.substr(0, length));
        const bool gap = event.id > splitter.lastId + 1;
        if (gap && !events.empty()) {
            // The events before the gap are valid; the next call reports the gap.
            return events;
        }
        splitter.partial.erase(0, length);
        if (event.id != 0 && event.id <= splitter.lastId) {
            continue;
        }
        if (gap) {
            return makeError(
                ErrorCode::ProtocolError, "received event " + std::to_string(event.id) + " after event " + std::to_string(splitter.lastId), RunState::Maybe);
        }
        splitter.lastId = event.id != 0 ? event.id : splitter.lastId;
        events.push_back(std::move(event));
    }
    if (splitter.partial.size() > maxEventBytes) {
        return makeError(ErrorCode::ProtocolError, "event exceeds the size limit", RunState::Maybe);
    }
    return events;
}

bool isAtEventBoundary(const EventSplitter &splitter)
{
    return splitter.partial.empty();
}

} // namespace skylark
