/** @file explain.cpp Explains what happened to one request, job or item from the structured log lines of several hosts. */
#include "explain/explain_func.h"

#include "core/json_member_func.h"

#include <algorithm>
#include <array>
#include <boost/json/serialize.hpp>
#include <limits>
#include <set>

namespace skylark {

namespace {

constexpr std::int64_t contextWindowMs = 3000; ///< Changes up to this long before a request's first line may have caused its outcome: a lease and a watch.

/** @return Text of the field @p name; empty when it is missing or not a string. */
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

/** @return Whether @p line is about its host as a whole: its start and stop, readiness, configuration or a dependency. */
bool isHostEvent(const LogLine &line)
{
    static constexpr std::array names{"dependency_lost", "dependency_back", "config_adopted", "config_refused", "stop", "stopped", "start", "ready"};
    return std::any_of(names.begin(), names.end(), [&line](const char *name) {
        return line.event == name;
    });
}

/** Hosts, targets and time span of the lines about a request. */
struct ContextScope {
    std::set<std::string> hosts; ///< Hosts that wrote lines about the request.
    std::set<std::string> targets; ///< Targets named in these lines.
    std::int64_t from{0}; ///< Time of the first line in Unix milliseconds.
    std::int64_t to{0}; ///< Time of the last line in Unix milliseconds.
};

/** @param lines Lines about a request; at least one. */
ContextScope contextScopeOf(const std::vector<LogLine> &lines)
{
    ContextScope scope{{}, {}, lines.front().timeMs, lines.front().timeMs};
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

/** @return Whether @p line is a change that may have affected the request with the scope @p scope. */
bool isContext(const LogLine &line, const ContextScope &scope)
{
    if (line.timeMs < scope.from - contextWindowMs || line.timeMs > scope.to || !scope.hosts.contains(line.host)) {
        return false;
    }
    return isHostEvent(line) || (line.event == "target_changed" && scope.targets.contains(line.id));
}

/** Maps a log line to the cause of an outcome. */
struct CauseRule {
    std::string_view event; ///< Event of the line.
    std::string_view field; ///< Field that must have @c value; empty when the event alone decides.
    std::string_view value; ///< Required text of the field.
    std::string_view cause; ///< Sentence shown to the operator.
};

/** Rules in order of precedence: the first one that matches any line names the cause. */
constexpr std::array causeRules{
    CauseRule{"refused", "reason", "full", "every target already had as many online requests as it can serve in time; the request did not run"},
    CauseRule{"refused", "reason", "quarantined", "it or a part of its prompt crashes targets and is quarantined; the request did not run"},
    CauseRule{
        "refused", "reason", "rate_limited", "every target that was not full had a rate limit of which this host had used its share; the request did not run"},
    CauseRule{"refused", "reason", "no_target", "no target of the service was known; the request did not run"},
    CauseRule{"refused", "reason", "targets_refused", "the targets that were tried were unreachable or reported that they did not run the request"},
    CauseRule{"refused", "reason", "deadline", "the deadline of the request passed before a target ran it"},
    CauseRule{"refused", "reason", "no_route", "no route of the configuration in force matches the host and path"},
    CauseRule{"job_refused", "reason", "limit", "the waiting tokens of the route would have exceeded its limit"},
    CauseRule{"job_refused", "reason", "outcome_unknown", "the store did not answer the write of the job; it may have been accepted"},
    CauseRule{"job_refused", "reason", "platform_unavailable", "the store could not be reached"},
    CauseRule{"item_finished", "state", "failed", "the item cannot be processed or was given up; see the item_failed lines for each failed run"},
    CauseRule{"answered", "outcome", "broken_off", "the target broke the stream off and no other target could continue it in time"},
    CauseRule{"answered", "outcome", "timeout", "the target did not answer before the timeout of the route or the caller's deadline"},
    CauseRule{"answered", "outcome", "caller_gone", "the caller closed its connection"},
    CauseRule{"answered", "outcome", "target_failure", "the target itself answered with an error"},
    CauseRule{"answered", "outcome", "failed", "the target failed, and the request must not be retried or all attempts of its route were used"},
    CauseRule{"job_claimed", "", "", "the host that ran the job was lost; another host continued it from the saved outputs"},
    CauseRule{"item_yielded", "", "", "the item released its slot to online requests"},
    CauseRule{"resumed", "", "", "a target broke off the stream; another target continued it"},
    CauseRule{"answered", "outcome", "ok", "the request was answered in full"},
};

/** @return Whether the lines show that the request was placed on a target, but not how it ended. */
bool lacksFinalLine(const std::vector<LogLine> &lines)
{
    const auto has = [&lines](std::initializer_list<std::string_view> events) {
        return std::any_of(lines.begin(), lines.end(), [&events](const LogLine &line) {
            return !line.context && std::find(events.begin(), events.end(), line.event) != events.end();
        });
    };
    return has({"placed"}) && !has({"answered", "refused"});
}

/** @return The line of the first start of the host of @p last after that line; null when there is none. */
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

/** @return Time of the last line of @p host before @p endMs in Unix milliseconds; 0 when there is none. */
std::int64_t lastLineBefore(const std::vector<LogLine> &lines, const std::string &host, std::int64_t endMs)
{
    std::int64_t last = 0;
    for (const LogLine &line : lines) {
        last = line.host == host && line.timeMs < endMs ? std::max(last, line.timeMs) : last;
    }
    return last;
}

/**
 * Names the cause when a request was placed but has no final line: its host ended, or the line of a successful answer was sampled out. The request's host is
 * assumed to have ended when it logged nothing between the request's deadline and its own next start. Adds the line of the host's restart to @p explanation.
 */
std::string findCauseOfMissingEnd(const std::vector<LogLine> &lines, Explanation &explanation)
{
    const LogLine last = explanation.lines.back();
    const std::int64_t deadlineMs = last.timeMs + static_cast<std::int64_t>(numberMember(last.fields, "left_ms"));
    const LogLine *restart = restartAfter(lines, last);
    const std::int64_t lastLineMs = lastLineBefore(lines, last.host, restart != nullptr ? restart->timeMs : std::numeric_limits<std::int64_t>::max());
    if (lastLineMs >= deadlineMs) {
        return "the lines name no failure; complete answers above 50 a second are sampled";
    }
    if (restart == nullptr) {
        return "host " + last.host + " wrote nothing later than " + std::to_string(lastLineMs - last.timeMs)
               + " ms after this line: it was lost while it handled the request, or its log ends there";
    }
    explanation.lines.push_back(*restart);
    explanation.lines.back().context = true;
    return "host " + last.host + " ended while it handled the request and started again " + std::to_string(restart->timeMs - last.timeMs)
           + " ms after this line";
}

/** @return The cause by the first rule that matches a line, or why there is none. */
std::string findCause(const std::vector<LogLine> &lines)
{
    for (const CauseRule &rule : causeRules) {
        for (const LogLine &line : lines) {
            const bool matches = !line.context && line.event == rule.event && (rule.field.empty() || fieldText(line, rule.field) == rule.value);
            if (matches) {
                return std::string(rule.cause);
            }
        }
    }
    return lines.empty() ? "no line has this identifier; successes above 50 a second are sampled" : "the lines name no failure";
}

/** @return @p text with each control character replaced by a question mark. */
std::string printableText(std::string_view text)
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

Explanation explain(const std::vector<LogLine> &lines, std::string_view id)
{
    Explanation explanation;
    for (const LogLine &line : lines) {
        if (isAbout(line, id)) {
            explanation.lines.push_back(line);
        }
    }
    if (!explanation.lines.empty()) {
        const ContextScope scope = contextScopeOf(explanation.lines);
        for (const LogLine &line : lines) {
            if (!isAbout(line, id) && isContext(line, scope)) {
                explanation.lines.push_back(line);
                explanation.lines.back().context = true;
            }
        }
    }
    std::stable_sort(explanation.lines.begin(), explanation.lines.end(), [](const LogLine &left, const LogLine &right) {
        return left.timeMs < right.timeMs;
    });
    explanation.cause = lacksFinalLine(explanation.lines) ? findCauseOfMissingEnd(lines, explanation) : findCause(explanation.lines);
    return explanation;
}

std::string formatLogLine(const LogLine &line, std::int64_t begin)
{
    std::string text =
        (line.context ? "  . " : "  * ") + std::to_string(line.timeMs - begin) + " ms  " + printableText(line.host) + "  " + printableText(line.event);
    for (const auto &field : line.fields) {
        const std::string_view name(field.key().data(), field.key().size());
        if (name == "ts" || name == "host" || name == "part" || name == "event") {
            continue;
        }
        text += ' ';
        text += printableText(name);
        text += '=';
        text += boost::json::serialize(field.value());
    }
    return text;
}

} // namespace skylark
