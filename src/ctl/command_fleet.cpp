/** @file command_fleet.cpp Commands of skylarkctl on hosts, targets and recorded decisions. */
#include "ctl/command_func.h"
#include "ctl/ctl_http_func.h"
#include "ctl/ctl_output_func.h"

#include <algorithm>
#include <iostream>
#include <thread>

namespace skylark {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

/** Hosts on which the awaited revision is not in force; each with its id and failure domain. */
struct PendingHosts {
    std::vector<std::string> behind; ///< Hosts that answered with an older revision.
    std::vector<std::string> unanswered; ///< Hosts that did not answer.
};

/** Reads the revision from the host itself, because the view that other hosts have of it lags. @return Nothing when the host does not answer. */
std::optional<std::uint64_t> queryRevision(const json::value &host)
{
    const auto endpoints = parseEndpoints(textAt(host, {"admin"}));
    if (!endpoints || endpoints->empty()) {
        return std::nullopt;
    }
    HttpRequest request;
    request.target = "/admin/v1/config/in_force";
    const auto answer = callHost(endpoints->front(), request, 1s);
    if (!isOk(answer) || valueOf(answer).status != 200) {
        return std::nullopt;
    }
    return numberAt(valueOf(answer).json, "config_revision");
}

std::optional<PendingHosts> findPendingHosts(const CtlOptions &options, ExitCode &code)
{
    const auto answer = readAdmin(options, "/admin/v1/config/in_force?revision=" + std::to_string(options.revision), code, 1s);
    if (!answer) {
        return std::nullopt;
    }
    PendingHosts pending;
    for (const json::value &host : arrayAt(answer->json, "hosts")) {
        if (boolAt(host, "in_force")) {
            continue;
        }
        const auto revision = queryRevision(host);
        const std::string name = textAt(host, {"id"}) + " (" + textAt(host, {"domain"}) + ")";
        if (!revision) {
            pending.unanswered.push_back(name);
        } else if (*revision < options.revision) {
            pending.behind.push_back(name + " at revision " + std::to_string(*revision));
        }
    }
    return pending;
}

std::string lastHeardText(const json::value &host)
{
    const std::string text = textAt(host, {"heard_ms_ago"});
    return text.empty() || text.front() == '-' ? "never" : formatOneDecimal(static_cast<double>(numberAt(host, "heard_ms_ago")) / 1000.0) + " s";
}

std::string modelsText(const json::value &target)
{
    std::string text = textAt(target, {"service"});
    for (const json::value &model : arrayAt(target, "models")) {
        text += (text.empty() ? "" : ",") + textAt(model, {"name"}) + "@" + textAt(model, {"version"});
    }
    return text.empty() ? "-" : text;
}

double doubleAt(const json::value &value, const char *name)
{
    const json::object *object = value.if_object();
    const json::value *member = object == nullptr ? nullptr : object->if_contains(name);
    return member != nullptr && member->is_number() ? member->to_number<double>() : 0.0;
}

std::string stateText(const json::value &target)
{
    if (boolAt(target, "leaving")) {
        return "leaving";
    }
    return boolAt(target, "blocked") ? "blocked" : "serving";
}

std::vector<std::string> targetRow(const json::value &target)
{
    return {textAt(target, {"id"}),
            textAt(target, {"domain"}),
            textAt(target, {"kind"}),
            stateText(target),
            textAt(target, {"running"}),
            textAt(target, {"waiting"}),
            textAt(target, {"slots"}),
            formatOneDecimal(doubleAt(target, "step_ms")),
            textAt(target, {"batch_owner"}),
            modelsText(target)};
}

std::vector<std::string> declineRow(const json::value &target)
{
    return {textAt(target, {"id"}),
            textAt(target, {"domain"}),
            formatOneDecimal(doubleAt(target, "step_ms")),
            "x" + formatOneDecimal(doubleAt(target, "factor_to_peers")),
            "x" + formatOneDecimal(doubleAt(target, "factor_to_baseline")),
            boolAt(target, "declined") ? "yes" : "no"};
}

/** Prints the targets that the hosts of each failure domain list under @p path, each as one row or all as JSON. */
ExitCode printTargets(const CtlOptions &options,
                      const char *path,
                      std::vector<std::string> heading,
                      std::vector<std::string> (*makeRow)(const json::value &target))
{
    ExitCode code = ExitCode::Ok;
    const auto targets = readEachDomain(options, path, "targets", code);
    if (!targets) {
        return code;
    }
    if (options.json) {
        printJson(*targets);
        return ExitCode::Ok;
    }
    Table table{.heading = std::move(heading), .rows = {}};
    for (const json::value &target : *targets) {
        table.rows.push_back(makeRow(target));
    }
    printTable(table);
    return ExitCode::Ok;
}

} // namespace

ExitCode revisionWaitCommand(const CtlOptions &options)
{
    if (options.revision == 0) {
        return usageError("usage: skylarkctl revision wait --revision N [--timeout 10s]");
    }
    const auto deadline = std::chrono::steady_clock::now() + options.timeout;
    for (;;) {
        ExitCode code = ExitCode::Ok;
        const auto pending = findPendingHosts(options, code);
        if (pending && pending->behind.empty() && pending->unanswered.empty()) {
            std::cout << "revision " << options.revision << " is in force on all hosts\n";
            return ExitCode::Ok;
        }
        if (std::chrono::steady_clock::now() >= deadline) {
            if (!pending) {
                return code;
            }
            for (const std::string &host : pending->behind) {
                std::cerr << "skylarkctl: revision not in force on " << host << "\n";
            }
            for (const std::string &host : pending->unanswered) {
                std::cerr << "skylarkctl: no answer from " << host << "\n";
            }
            return ExitCode::Refused;
        }
        std::this_thread::sleep_for(200ms);
    }
}

ExitCode hostsCommand(const CtlOptions &options)
{
    ExitCode code = ExitCode::Ok;
    const auto answer = readAdmin(options, "/admin/v1/hosts", code);
    if (!answer) {
        return code;
    }
    if (options.json) {
        printJson(answer->json);
        return ExitCode::Ok;
    }
    Table table{.heading = {"HOST", "DOMAIN", "STATE", "READY", "REVISION", "HEARD", "ADMIN"}, .rows = {}};
    for (const json::value &host : arrayAt(answer->json, "hosts")) {
        table.rows.push_back({textAt(host, {"id"}),
                              textAt(host, {"domain"}),
                              textAt(host, {"state"}),
                              boolAt(host, "ready") ? "yes" : "no",
                              textAt(host, {"config_revision"}),
                              lastHeardText(host),
                              textAt(host, {"admin"})});
    }
    printTable(table);
    std::cout << "as seen by " << textAt(answer->json, {"self"}) << ", key-value service "
              << (boolAt(answer->json, "platform_reachable") ? "reachable" : "not reachable") << "\n";
    return ExitCode::Ok;
}

ExitCode targetsCommand(const CtlOptions &options)
{
    return printTargets(
        options, "/admin/v1/targets", {"TARGET", "DOMAIN", "KIND", "STATE", "RUNNING", "WAITING", "SLOTS", "STEP MS", "OWNER", "MODELS"}, targetRow);
}

ExitCode declineCommand(const CtlOptions &options)
{
    return printTargets(options, "/admin/v1/decline", {"TARGET", "DOMAIN", "STEP MS", "TO PEERS", "TO BASELINE", "DECLINED"}, declineRow);
}

ExitCode whyCommand(const CtlOptions &options)
{
    if (options.word(1).empty()) {
        return usageError("usage: skylarkctl why REQUEST_ID");
    }
    ExitCode code = ExitCode::Ok;
    const auto hosts = readAdmin(options, "/admin/v1/hosts", code);
    if (!hosts) {
        return code;
    }
    HttpRequest request;
    request.target = "/admin/v1/why?request=" + percentEncode(options.word(1));
    json::array found;
    for (const json::value &host : arrayAt(hosts->json, "hosts")) {
        const auto endpoints = parseEndpoints(textAt(host, {"admin"}));
        if (!endpoints || endpoints->empty() || textAt(host, {"state"}) == "dead") {
            continue;
        }
        const auto answer = callHost(endpoints->front(), request, 3s);
        if (!isOk(answer)) {
            std::cerr << "skylarkctl: host " << textAt(host, {"id"}) << " does not answer; its decisions are missing\n";
            continue;
        }
        for (json::value decision : arrayAt(valueOf(answer).json, "decisions")) {
            decision.as_object()["host"] = textAt(host, {"id"});
            found.push_back(std::move(decision));
        }
    }
    std::stable_sort(found.begin(), found.end(), [](const json::value &left, const json::value &right) {
        return numberAt(left, "at_unix_ms") < numberAt(right, "at_unix_ms");
    });
    if (options.json) {
        printJson(found);
    } else {
        Table table{.heading = {"TIME", "HOST", "PART", "DECISION"}, .rows = {}};
        for (const json::value &decision : found) {
            table.rows.push_back(
                {formatTime(numberAt(decision, "at_unix_ms")), textAt(decision, {"host"}), textAt(decision, {"part"}), textAt(decision, {"text"})});
        }
        printTable(table);
    }
    if (found.empty()) {
        std::cerr << "skylarkctl: no host has recorded a decision about request " << options.word(1) << "\n";
        return ExitCode::Refused;
    }
    return ExitCode::Ok;
}

} // namespace skylark
