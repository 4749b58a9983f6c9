/** @file event_splitter.cpp Splits a body of server-sent events into whole events in order. */
#include "proxy/event_splitter_base.h"

#include <charconv>

namespace skylark {

namespace {

/** Takes one line of an event; @p line has no line end. */
void readLine(StreamEvent &event, std::string_view line, bool &hasData)
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
        readLine(event, line, hasData);
        rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
    }
    event.raw = std::move(raw);
    return event;
}

/** @return Bytes up to and with the empty line that ends the first event, or 0 when it is not complete. */
std::size_t eventLength(std::string_view bytes)
{
    const std::size_t plain = bytes.find("\n\n");
    const std::size_t carriage = bytes.find("\r\n\r\n");
    if (plain == std::string_view::npos && carriage == std::string_view::npos) {
        return 0;
    }
    return carriage < plain ? carriage + 4 : plain + 2;
}

} // namespace

Result<std::vector<StreamEvent>> splitEvents(EventSplitter &splitter, std::string_view bytes)
{
    splitter.partial += bytes;
    std::vector<StreamEvent> events;
    for (std::size_t length = eventLength(splitter.partial); length > 0; length = eventLength(splitter.partial)) {
        StreamEvent event = parseEvent(splitter.partial.substr(0, length));
        splitter.partial.erase(0, length);
        if (event.id != 0 && event.id <= splitter.last) {
            continue;
        }
        if (event.id != 0 && event.id != splitter.last + 1) {
            return makeError(ErrorCode::ProtocolError, "event " + std::to_string(event.id) + " after " + std::to_string(splitter.last), RunState::Maybe);
        }
        splitter.last = event.id != 0 ? event.id : splitter.last;
        events.push_back(std::move(event));
    }
    if (splitter.partial.size() > maxEventBytes) {
        return makeError(ErrorCode::ProtocolError, "event over the limit", RunState::Maybe);
    }
    return events;
}

bool endsWhole(const EventSplitter &splitter)
{
    return splitter.partial.empty();
}

} // namespace skylark
