/** @file explain.cpp Finds in structured log lines of several hosts what happened to one request, job or item. */
#include "explain/explain_func.h"

#include "core/json_member_func.h"

#include <algorithm>
#include <array>
#include <boost/json/serialize.hpp>
#include <limits>
#include <set>

namespace skylark {

namespace {

constexpr std::int64_t contextMs = 3000; ///< Changes so long before a line about the request may have caused it: a lease and a watch.

std::string_view fieldText(const LogLine &line, std::string_view name)
{
    const auto *value = line.fields.if_contains(name);
    return value != nullptr && value->is_string() ? std::string_view(value->get_string().data(), value->get_string().size()) : std::string_view();
}

/** @return Whether @p line is about the request, job or item @p id, or about an item of the job. */
bool isAbout(const LogLine &line, std::string_view id)
{
    return line.id == id || fieldText(line, "job") == id;
}

/** @return Whether @p line is about a dependency of the hosts as a whole. */
bool isHostEvent(const LogLine &line)
{
    static constexpr std::array names{"dependency_lost", "dependency_back", "config_adopted", "config_refused", "stop", "stopped", "start", "ready"};
    return std::any_of(names.begin(), names.end(), [&line](const char *name) {
        return line.event == name;
    });
}

/** Which hosts and targets a story is about, and when. */
struct Scope {
    std::set<std::string> hosts; ///< Hosts that wrote lines about the request.
    std::set<std::string> targets; ///< Targets named in them.
    std::int64_t from{0}; ///< First line.
    std::int64_t to{0}; ///< Last line.
};

Scope scopeOf(const std::vector<LogLine> &lines)
{
    Scope scope{{}, {}, lines.front().timeMs, lines.front().timeMs};
    for (const LogLine &line : lines) {
        scope.hosts.insert(line.host);
        if (const auto target = fieldText(line, "target"); !target.empty()) {
            scope.targets.emplace(target);
        }
        scope.from = std::min(scope.from, line.timeMs);
        scope.to = std::max(scope.to, line.timeMs);
    }
    return scope;
}

bool inContext(const LogLine &line, const Scope &scope)
{
    if (line.timeMs < scope.from - contextMs || line.timeMs > scope.to || !scope.hosts.contains(line.host)) {
        return false;
    }
    return isHostEvent(line) || (line.event == "target_changed" && scope.targets.contains(line.id));
}

/** One rule that names a cause. */
struct CauseRule {
    std::string_view event; ///< Event of the deciding line.
    std::string_view field; ///< Field that decides; empty for any.
    std::string_view value; ///< Value of that field.
    std::string_view cause; ///< Cause.
};

/** Rules from the most to the least telling. */
constexpr std::array causeRules{
    CauseRule{"refused", "reason", "full", "every target held as many online requests as can be served in time; the request did not run"},
    CauseRule{"refused", "reason", "no_target", "no target of the service was known; the request did not run"},
    CauseRule{"refused", "reason", "targets_refused", "the targets that were tried could not be reached or said that they did not run it"},
    CauseRule{"refused", "reason", "deadline", "the time of the request was over before a target ran it"},
    CauseRule{"refused", "reason", "no_route", "no route of the configuration in force matches the host and path"},
    CauseRule{"job_refused", "reason", "limit", "the tokens that wait on the route would have exceeded its limit"},
    CauseRule{"job_refused", "reason", "outcome_unknown", "the store did not answer the write of the job; it may have been accepted"},
    CauseRule{"job_refused", "reason", "platform_unavailable", "the store could not be reached"},
    CauseRule{"item_finished", "state", "failed", "the item can never be done or was given up; see the item_failed lines for each run"},
    CauseRule{"answered", "outcome", "broken_off", "the target broke the stream off and no other one could go on in time"},
    CauseRule{"answered", "outcome", "timeout", "the target did not answer before the timeout of the route or the caller's deadline"},
    CauseRule{"answered", "outcome", "caller_gone", "the caller closed its connection"},
    CauseRule{"answered", "outcome", "target_failure", "the target itself answered with a failure"},
    CauseRule{"answered", "outcome", "failed", "the target failed and the request may not be repeated, or all attempts of its route were used"},
    CauseRule{"job_claimed", "", "", "the host that ran the job was lost; another one went on from the kept outputs"},
    CauseRule{"item_yielded", "", "", "the item gave its slot up to online requests"},
    CauseRule{"resumed", "", "", "a target broke off; the stream went on at another one"},
    CauseRule{"answered", "outcome", "ok", "it was answered in full"},
};

/** @return Whether the lines tell how the request or item was placed, but not how it ended. */
bool lacksEnd(const std::vector<LogLine> &lines)
{
    const auto has = [&lines](std::initializer_list<std::string_view> events) {
        return std::any_of(lines.begin(), lines.end(), [&events](const LogLine &line) {
            return !line.context && std::find(events.begin(), events.end(), line.event) != events.end();
        });
    };
    return has({"placed"}) && !has({"answered", "refused"});
}

/** @return The first start of the host of @p last after that line, or null. */
const LogLine *restartAfter(const std::vector<LogLine> &lines, const LogLine &last)
{
    const LogLine *first = nullptr;
    for (const LogLine &line : lines) {
        const bool later = line.host == last.host && line.event == "start" && line.timeMs > last.timeMs;
        if (later && (first == nullptr || line.timeMs < first->timeMs)) {
            first = &line;
        }
    }
    return first;
}

/** @return Time of the last line of @p host before @p endMs. */
std::int64_t lastLineBefore(const std::vector<LogLine> &lines, const std::string &host, std::int64_t endMs)
{
    std::int64_t last = 0;
    for (const LogLine &line : lines) {
        last = line.host == host && line.timeMs < endMs ? std::max(last, line.timeMs) : last;
    }
    return last;
}

/** Tells a host that ended while it handled the request from an answer whose line was left out. Adds the line of the restart to the story. */
std::string causeOfMissingEnd(const std::vector<LogLine> &lines, Story &story)
{
    const LogLine last = story.lines.back();
    const std::int64_t limit = last.timeMs + static_cast<std::int64_t>(numberMember(last.fields, "left_ms"));
    const LogLine *restart = restartAfter(lines, last);
    const std::int64_t silentFrom = lastLineBefore(lines, last.host, restart != nullptr ? restart->timeMs : std::numeric_limits<std::int64_t>::max());
    if (silentFrom >= limit) {
        return "the lines name no failure; answers in full above 50 a second are left out of the log";
    }
    if (restart == nullptr) {
        return "host " + last.host + " wrote nothing later than " + std::to_string(silentFrom - last.timeMs)
               + " ms after this line: it was lost while it handled the request, or its log ends there";
    }
    story.lines.push_back(*restart);
    story.lines.back().context = true;
    return "host " + last.host + " ended while it handled the request and started again " + std::to_string(restart->timeMs - last.timeMs)
           + " ms after this line";
}

std::string causeOf(const std::vector<LogLine> &lines)
{
    for (const CauseRule &rule : causeRules) {
        for (const LogLine &line : lines) {
            const bool fits = !line.context && line.event == rule.event && (rule.field.empty() || fieldText(line, rule.field) == rule.value);
            if (fits) {
                return std::string(rule.cause);
            }
        }
    }
    return lines.empty() ? "no line bears this identifier; successes above 50 a second are sampled" : "the lines name no failure";
}

std::string escaped(std::string_view text)
{
    std::string safe;
    for (const char character : text) {
        safe += static_cast<unsigned char>(character) < 0x20 || character == 0x7f ? '?' : character;
    }
    return safe;
}

} // namespace

LogLine parseLogLine(std::string_view text)
{
    LogLine line;
    const std::size_t begin = text.find("{\"ts\"");
    if (begin == std::string_view::npos) {
        return line;
    }
    const auto object = parseJsonObject(text.substr(begin));
    if (!object) {
        return line;
    }
    line.timeMs = static_cast<std::int64_t>(numberMember(*object, "ts"));
    line.host = stringMember(*object, "host");
    line.event = stringMember(*object, "event");
    line.id = stringMember(*object, "id");
    line.fields = *object;
    return line;
}

void readLogLines(std::istream &in, std::vector<LogLine> &lines)
{
    std::string text;
    while (std::getline(in, text)) {
        LogLine line = parseLogLine(text);
        if (!line.event.empty()) {
            lines.push_back(std::move(line));
        }
    }
}

Story explain(const std::vector<LogLine> &lines, std::string_view id)
{
    Story story;
    for (const LogLine &line : lines) {
        if (isAbout(line, id)) {
            story.lines.push_back(line);
        }
    }
    if (!story.lines.empty()) {
        const Scope scope = scopeOf(story.lines);
        for (const LogLine &line : lines) {
            if (!isAbout(line, id) && inContext(line, scope)) {
                story.lines.push_back(line);
                story.lines.back().context = true;
            }
        }
    }
    std::stable_sort(story.lines.begin(), story.lines.end(), [](const LogLine &left, const LogLine &right) {
        return left.timeMs < right.timeMs;
    });
    story.cause = lacksEnd(story.lines) ? causeOfMissingEnd(lines, story) : causeOf(story.lines);
    return story;
}

std::string formatLogLine(const LogLine &line, std::int64_t begin)
{
    std::string text = (line.context ? "  . " : "  * ") + std::to_string(line.timeMs - begin) + " ms  " + escaped(line.host) + "  " + escaped(line.event);
    for (const auto &field : line.fields) {
        const std::string_view name(field.key().data(), field.key().size());
        if (name == "ts" || name == "host" || name == "part" || name == "event") {
            continue;
        }
        text += ' ';
        text += escaped(name);
        text += '=';
        text += boost::json::serialize(field.value());
    }
    return text;
}

} // namespace skylark
