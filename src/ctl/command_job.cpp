/** @file command_job.cpp Commands of skylarkctl on batch jobs. */
#include "ctl/command_func.h"
#include "ctl/ctl_http_func.h"
#include "ctl/ctl_output_func.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <thread>
#include <unistd.h>

namespace skylark {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

HttpRequest apiRequest(const CtlOptions &options, std::string method, std::string target)
{
    HttpRequest request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.headers.push_back({"Authorization", "Bearer " + options.apiKey});
    return request;
}

/** @return Whether --api and --api_key are given; prints an error message otherwise. */
bool checkApiOptions(const CtlOptions &options)
{
    if (options.api.empty() || options.apiKey.empty()) {
        usageError("job commands need --api HOST:PORT and --api_key KEY");
        return false;
    }
    return true;
}

/** @return The request path of the job that word 2 names; empty, after an error message, when an option or the job id is missing. */
std::string jobTarget(const CtlOptions &options)
{
    if (!checkApiOptions(options)) {
        return {};
    }
    if (options.word(2).empty()) {
        usageError("usage: skylarkctl job " + options.word(1) + " JOB_ID");
        return {};
    }
    return "/v1/jobs/" + percentEncode(options.word(2));
}

std::vector<std::string> jobRow(const json::value &job)
{
    return {textAt(job, {"id"}),
            textAt(job, {"job_key"}),
            textAt(job, {"state"}),
            textAt(job, {"finished"}) + "/" + textAt(job, {"items"}),
            textAt(job, {"failed"}),
            textAt(job, {"due"}),
            boolAt(job, "due_risk") ? "yes" : "no"};
}

void printJobs(const json::array &jobs)
{
    Table table{.heading = {"JOB", "KEY", "STATE", "FINISHED", "FAILED", "DUE", "DUE RISK"}, .rows = {}};
    for (const json::value &job : jobs) {
        table.rows.push_back(jobRow(job));
    }
    printTable(table);
}

ExitCode printJobAnswer(const CtlOptions &options, const Result<CtlAnswer> &answer)
{
    const ExitCode code = reportAnswer(answer);
    if (code != ExitCode::Ok) {
        return code;
    }
    if (options.json) {
        printJson(valueOf(answer).json);
    } else {
        printJobs({valueOf(answer).json});
    }
    return ExitCode::Ok;
}

/** @return A line such as "[#####.....] 512/2000 finished, 3 failed, 40.0 items/s". */
std::string progressLine(const json::value &job, double rate)
{
    constexpr std::uint64_t width = 30;
    const std::uint64_t items = std::max<std::uint64_t>(numberAt(job, "items"), 1);
    const std::uint64_t finished = std::min(numberAt(job, "finished"), items);
    std::string line = "[" + std::string(finished * width / items, '#') + std::string(width - finished * width / items, '.') + "] ";
    line +=
        std::to_string(finished) + "/" + std::to_string(items) + " finished, " + textAt(job, {"failed"}) + " failed, " + formatOneDecimal(rate) + " items/s";
    return line + (boolAt(job, "due_risk") ? ", due time at risk" : "");
}

/** Prints the progress of a job: overwrites one line on a terminal, otherwise prints a line for each change. */
struct ProgressPrinter {
    std::string last; ///< Last line printed.
    std::uint64_t initialFinished{0}; ///< Items finished at the first poll; the rate counts from there.
    std::chrono::steady_clock::time_point start{std::chrono::steady_clock::now()}; ///< Start of the polling.
    bool started{false}; ///< Whether a poll was printed.

    void print(const json::value &job)
    {
        const std::uint64_t finished = numberAt(job, "finished");
        if (!this->started) {
            this->started = true;
            this->initialFinished = finished;
        }
        const double seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - this->start).count();
        const std::uint64_t finishedSince = finished - std::min(finished, this->initialFinished);
        const std::string line = progressLine(job, seconds > 0 ? static_cast<double>(finishedSince) / seconds : 0.0);
        if (isatty(STDOUT_FILENO) != 0) {
            std::cout << "\r" << line << std::string(this->last.size() > line.size() ? this->last.size() - line.size() : 0, ' ') << std::flush;
        } else if (line != this->last) {
            std::cout << line << std::endl;
        }
        this->last = line;
    }
};

} // namespace

ExitCode jobsCommand(const CtlOptions &options)
{
    ExitCode code = ExitCode::Ok;
    const auto answer = readAdmin(options, "/admin/v1/jobs", code);
    if (!answer) {
        return code;
    }
    if (options.json) {
        printJson(answer->json);
        return ExitCode::Ok;
    }
    Table table{.heading = {"JOB", "WORKSPACE", "ITEMS DONE", "GROUPS", "HELD HERE", "DUE", "DUE RISK"}, .rows = {}};
    for (const json::value &job : answer->json.is_array() ? answer->json.get_array() : arrayAt(answer->json, "jobs")) {
        table.rows.push_back({textAt(job, {"id"}),
                              textAt(job, {"workspace"}),
                              textAt(job, {"itemsDone"}) + "/" + textAt(job, {"items"}),
                              textAt(job, {"groups"}),
                              textAt(job, {"groupsHeldHere"}),
                              formatTime(numberAt(job, "dueUnixMs")),
                              boolAt(job, "dueRisk") ? "yes" : "no"});
    }
    printTable(table);
    return ExitCode::Ok;
}

ExitCode jobSubmitCommand(const CtlOptions &options)
{
    if (!checkApiOptions(options)) {
        return ExitCode::Usage;
    }
    if (options.file.empty() || options.key.empty()) {
        return usageError("usage: skylarkctl job submit --file ITEMS.jsonl --key JOB_KEY [--due TIME]");
    }
    auto text = readWholeFile(options.file);
    if (!text) {
        return usageError("cannot read " + options.file);
    }
    // The job key makes the submission safe to repeat on the next host, which finds the record of the first submission.
    HttpRequest request = apiRequest(options, "POST", "/v1/jobs");
    request.headers.push_back({"Content-Type", "application/jsonl"});
    request.headers.push_back({"x-job-key", options.key});
    if (!options.due.empty()) {
        request.headers.push_back({"x-due", options.due});
    }
    request.body = std::move(*text);
    return printJobAnswer(options, callAny(options.api, request));
}

ExitCode jobWatchCommand(const CtlOptions &options)
{
    constexpr auto pollInterval = 500ms;
    constexpr int maxFailedPolls = 20; // Consecutive failed polls after which watching ends; the job continues without this program.
    const std::string target = jobTarget(options);
    if (target.empty()) {
        return ExitCode::Usage;
    }
    ProgressPrinter printer;
    int failures = 0;
    for (;;) {
        const auto answer = callAny(options.api, apiRequest(options, "GET", target));
        const bool unavailable = !isOk(answer) || valueOf(answer).status == 503;
        if (unavailable && ++failures < maxFailedPolls) {
            std::this_thread::sleep_for(pollInterval);
            continue;
        }
        const ExitCode code = reportAnswer(answer);
        if (code != ExitCode::Ok) {
            return code;
        }
        failures = 0;
        printer.print(valueOf(answer).json);
        const std::string state = textAt(valueOf(answer).json, {"state"});
        if (state != "active") {
            std::cout << "\njob is " << state << "\n";
            return state == "done" ? ExitCode::Ok : ExitCode::Refused;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

ExitCode jobResultsCommand(const CtlOptions &options)
{
    const std::string target = jobTarget(options);
    if (target.empty()) {
        return ExitCode::Usage;
    }
    std::ofstream file;
    if (!options.out.empty()) {
        file.open(options.out, std::ios::binary | std::ios::trunc);
        if (!file) {
            return usageError("cannot write " + options.out);
        }
    }
    std::ostream &out = options.out.empty() ? std::cout : file;
    Result<CtlAnswer> answer = makeError(ErrorCode::ConnectFailed, "no host address is given");
    bool written = false;
    for (const Endpoint &endpoint : options.api) {
        answer = streamHost(endpoint, apiRequest(options, "GET", target + "/results"), [&](const std::string &chunk) {
            written = true;
            out << chunk;
        });
        // Once output was written, no other host is tried, because its results would repeat lines.
        if (written || (isOk(answer) && valueOf(answer).status != 503)) {
            break;
        }
    }
    out.flush();
    if (written && !isOk(answer)) {
        std::cerr << "skylarkctl: the results are incomplete: " << errorOf(answer).detail << "\n";
        return ExitCode::Unreachable;
    }
    return reportAnswer(answer);
}

ExitCode jobCancelCommand(const CtlOptions &options)
{
    const std::string target = jobTarget(options);
    if (target.empty()) {
        return ExitCode::Usage;
    }
    return printJobAnswer(options, callAny(options.api, apiRequest(options, "POST", target + "/cancel")));
}

} // namespace skylark
