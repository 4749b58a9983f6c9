/** @file main.cpp Command line of skylarkctl. */
#include "ctl/command_func.h"
#include "ctl/ctl_http_func.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <iostream>
#include <unistd.h>

DEFINE_string(admin, "127.0.0.1:7001", "Admin addresses of hosts, comma-separated; tried in order until one answers");
DEFINE_string(api, "", "API addresses of hosts, comma-separated, for job commands");
DEFINE_string(api_key, "", "API key of the workspace, for job commands");
DEFINE_bool(json, false, "Print JSON instead of tables");
DEFINE_string(file, "", "File with a document or with job items; - reads standard input");
DEFINE_string(out, "", "Output file for job results; empty writes to standard output");
DEFINE_string(key, "", "Job key of a submission");
DEFINE_string(due, "", "Due time of a job, RFC 3339 or seconds from now");
DEFINE_string(by, "", "Operator's name in the history; empty takes the login name");
DEFINE_string(expect, "", "Document revision that the edit replaces, or \"current\"; empty for a new document");
DEFINE_uint64(revision, 0, "Fleet revision to wait for");
DEFINE_string(timeout, "10s", "Longest duration of a wait, such as 500ms, 10s or 2m");
DECLARE_bool(help);

namespace skylark {

namespace {

constexpr std::array commands{
    CtlCommand{"template", "validate", "NAME --file FILE", "Checks a template without applying it and lists every error.", validateCommand},
    CtlCommand{"template", "diff", "NAME --file FILE", "Shows how a file differs from the template in force.", diffCommand},
    CtlCommand{"template", "apply", "NAME --file FILE [--expect N]", "Creates a template, or replaces document revision N of it.", applyCommand},
    CtlCommand{"template", "show", "NAME", "Prints a template and its revisions.", showCommand},
    CtlCommand{"template", "list", "", "Lists all templates.", listCommand},
    CtlCommand{"template", "delete", "NAME --expect N", "Deletes a template that no workspace uses.", deleteCommand},
    CtlCommand{"template", "history", "[NAME]", "Lists the last changes of templates.", historyCommand},
    CtlCommand{"workspace", "validate", "NAME --file FILE", "Checks a workspace without applying it and lists every error.", validateCommand},
    CtlCommand{"workspace", "diff", "NAME --file FILE", "Shows how a file differs from the workspace in force.", diffCommand},
    CtlCommand{"workspace", "apply", "NAME --file FILE [--expect N]", "Creates a workspace, or replaces document revision N of it.", applyCommand},
    CtlCommand{"workspace", "show", "NAME", "Prints a workspace and its revisions.", showCommand},
    CtlCommand{"workspace", "list", "", "Lists all workspaces.", listCommand},
    CtlCommand{"workspace", "delete", "NAME --expect N", "Deletes a workspace.", deleteCommand},
    CtlCommand{"workspace", "history", "[NAME]", "Lists the last changes of workspaces.", historyCommand},
    CtlCommand{"revision",
               "wait",
               "--revision N [--timeout 10s]",
               "Waits until a fleet revision is in force on every host; names the hosts that do not have it.",
               revisionWaitCommand},
    CtlCommand{"hosts", "", "", "Lists the hosts as one host sees them.", hostsCommand},
    CtlCommand{"targets", "", "", "Lists the targets of all failure domains with their load.", targetsCommand},
    CtlCommand{"jobs", "", "", "Lists the batch jobs of all workspaces.", jobsCommand},
    CtlCommand{"job", "submit", "--file ITEMS.jsonl --key KEY [--due TIME]", "Submits a batch job; safe to repeat with the same key.", jobSubmitCommand},
    CtlCommand{"job", "watch", "JOB_ID", "Shows the progress of a job until it ends.", jobWatchCommand},
    CtlCommand{"job", "results", "JOB_ID [--out FILE]", "Prints the results of a job, one JSON line per item.", jobResultsCommand},
    CtlCommand{"job", "cancel", "JOB_ID", "Cancels a job.", jobCancelCommand},
    CtlCommand{"why", "", "REQUEST_ID", "Lists the decisions that hosts made about a request.", whyCommand},
    CtlCommand{"explain", "", "ID [--file LOG,...]", "Explains from structured log lines what happened to a request, job or item.", explainCommand},
    CtlCommand{"top",
               "",
               "HOST:PORT,...",
               "Shows rates, latency, status age and configuration version of entry hosts, read from their metrics addresses.",
               topCommand},
    CtlCommand{"decline", "", "", "Lists targets with their step time relative to peers and to their own baseline.", declineCommand},
};

std::string commandUsage(const CtlCommand &command)
{
    std::string text(command.first);
    text += command.second.empty() ? "" : " " + std::string(command.second);
    return text + (command.arguments.empty() ? "" : " " + std::string(command.arguments));
}

/** Prints the help of the commands whose words match; an empty word matches all. @return Whether a command matched. */
bool printHelp(const std::string &first, const std::string &second, std::ostream &out)
{
    bool found = false;
    for (const CtlCommand &command : commands) {
        if ((first.empty() || command.first == first) && (second.empty() || command.second == second)) {
            out << (found ? "" : "usage:\n") << "  skylarkctl " << commandUsage(command) << "\n      " << command.summary << "\n";
            found = true;
        }
    }
    return found;
}

void printGeneralHelp(std::ostream &out)
{
    printHelp("", "", out);
    out << "\noptions:\n"
           "  --admin HOST:PORT,...  admin addresses of hosts; tried in order until one answers\n"
           "  --api HOST:PORT,...    API addresses of hosts, for job commands\n"
           "  --api_key KEY          API key of the workspace, for job commands\n"
           "  --json                 print JSON instead of tables\n"
           "  --by NAME              operator's name in the history\n"
           "  --timeout 10s          longest duration of a wait\n"
           "\nexit codes: 0 done, 1 refused, 2 usage error, 3 no host answers or the key-value service is unavailable, 4 conflict\n";
}

std::optional<std::chrono::milliseconds> parseDuration(std::string_view text)
{
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    const std::string_view unit(parsed.ptr, static_cast<std::size_t>(text.data() + text.size() - parsed.ptr));
    if (parsed.ec != std::errc() || number > 1'000'000'000) {
        return std::nullopt;
    }
    const auto amount = static_cast<std::int64_t>(number);
    if (unit == "ms") {
        return std::chrono::milliseconds(amount);
    }
    if (unit == "s" || unit.empty()) {
        return std::chrono::seconds(amount);
    }
    if (unit == "m") {
        return std::chrono::minutes(amount);
    }
    return std::nullopt;
}

std::string operatorName()
{
    if (!FLAGS_by.empty()) {
        return FLAGS_by;
    }
    const char *login = std::getenv("USER");
    return login != nullptr && *login != '\0' ? login : "uid " + std::to_string(getuid());
}

/** @return The options; nothing, after an error message, when one is malformed. */
std::optional<CtlOptions> readOptions(int argc, char **argv)
{
    CtlOptions options;
    const auto admin = parseEndpoints(FLAGS_admin);
    const auto api = parseEndpoints(FLAGS_api);
    const auto timeout = parseDuration(FLAGS_timeout);
    if (!admin || !api || !timeout) {
        usageError(!timeout ? "--timeout needs a number with the unit ms, s or m" : "--admin and --api need comma-separated lists of ADDRESS:PORT");
        return std::nullopt;
    }
    options.admin = *admin;
    options.api = *api;
    options.timeout = *timeout;
    options.apiKey = FLAGS_api_key;
    options.json = FLAGS_json;
    options.file = FLAGS_file;
    options.out = FLAGS_out;
    options.key = FLAGS_key;
    options.due = FLAGS_due;
    options.by = operatorName();
    options.expect = FLAGS_expect;
    options.revision = FLAGS_revision;
    options.words.assign(argv + 1, argv + argc);
    return options;
}

ExitCode dispatch(const CtlOptions &options)
{
    if (options.words.empty()) {
        printGeneralHelp(std::cerr);
        return ExitCode::Usage;
    }
    if (options.word(0) == "help" || FLAGS_help) {
        const std::size_t first = options.word(0) == "help" ? 1 : 0;
        if (options.word(first).empty()) {
            printGeneralHelp(std::cout);
            return ExitCode::Ok;
        }
        const bool known = printHelp(options.word(first), options.word(first + 1), std::cout) || printHelp(options.word(first), "", std::cout);
        return known ? ExitCode::Ok : usageError("unknown command " + options.word(first));
    }
    const auto command = std::find_if(commands.begin(), commands.end(), [&options](const CtlCommand &candidate) {
        return candidate.first == options.word(0) && (candidate.second.empty() || candidate.second == options.word(1));
    });
    if (command != commands.end()) {
        return command->run(options);
    }
    if (!printHelp(options.word(0), "", std::cerr)) {
        return usageError("unknown command " + options.word(0) + "; see skylarkctl help");
    }
    return ExitCode::Usage;
}

} // namespace

} // namespace skylark

int main(int argc, char **argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    gflags::SetUsageMessage("operates a skylarkstage fleet; see skylarkctl help");
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (FLAGS_help && argc == 1) {
        skylark::printGeneralHelp(std::cout);
        return static_cast<int>(skylark::ExitCode::Ok);
    }
    const auto options = skylark::readOptions(argc, argv);
    return static_cast<int>(options ? skylark::dispatch(*options) : skylark::ExitCode::Usage);
}
