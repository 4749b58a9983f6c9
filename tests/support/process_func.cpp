/** @file process_func.cpp Child processes, free ports and blocking HTTP calls for tests. */
#include "support/process_func.h"

#include <arpa/inet.h>
#include <array>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <functional>
#include <netinet/in.h>
#include <set>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace skylark::test {

namespace {

constexpr std::chrono::milliseconds pollInterval{5};

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    return address;
}

/** Runs in the child after fork(): redirects its output and executes @p program. Calls only async-signal-safe functions. */
[[noreturn]] void runChild(const char *program, char *const *arguments, const char *outputFile, pid_t parent)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    // If the parent ended before prctl(), its death sends no signal.
    if (::getppid() != parent) {
        ::_exit(126);
    }
    const int output = ::open(outputFile, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (output >= 0) {
        ::dup2(output, STDOUT_FILENO);
        if (std::string_view(outputFile) != "/dev/null") {
            ::dup2(output, STDERR_FILENO);
        }
    }
    // Connections of the parent would otherwise stay open in the child after the parent has closed them.
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execv(program, arguments);
    ::_exit(127);
}

/** Collects the status of a child that has ended. @param options Options of waitpid(). @return Whether the child was reaped, now or before. */
bool reap(ChildProcess &process, int options)
{
    if (process.pid < 0) {
        return true;
    }
    int status = 0;
    if (::waitpid(process.pid, &status, options) != process.pid) {
        return false;
    }
    process.pid = -1;
    process.status = status;
    return true;
}

} // namespace

ChildProcess::~ChildProcess()
{
    killProcess(*this);
}

Result<std::unique_ptr<ChildProcess>> ChildProcess::create(const ProcessOptions &options)
{
    std::string program = options.program.find('/') == std::string::npos ? programPath(options.program) : options.program;
    if (::access(program.c_str(), X_OK) != 0) {
        return makeError(ErrorCode::InvalidSettings, program + " is not an executable program");
    }
    std::vector<std::string> texts = options.arguments;
    std::vector<char *> arguments{program.data()};
    for (std::string &text : texts) {
        arguments.push_back(text.data());
    }
    arguments.push_back(nullptr);
    const std::string output = options.outputFile.empty() ? "/dev/null" : options.outputFile;
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid == 0) {
        runChild(program.c_str(), arguments.data(), output.c_str(), parent);
    }
    if (pid < 0) {
        return makeError(ErrorCode::InvalidSettings, "cannot start " + program);
    }
    auto process = std::make_unique<ChildProcess>();
    process->pid = pid;
    return process;
}

void sendSignal(ChildProcess &process, int signal)
{
    if (process.pid > 0) {
        ::kill(process.pid, signal);
    }
}

std::optional<int> waitExit(ChildProcess &process, std::chrono::milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!reap(process, WNOHANG)) {
        if (std::chrono::steady_clock::now() >= end) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return WIFSIGNALED(process.status) ? 128 + WTERMSIG(process.status) : WEXITSTATUS(process.status);
}

bool isRunning(ChildProcess &process)
{
    return !reap(process, WNOHANG);
}

void killProcess(ChildProcess &process)
{
    if (reap(process, WNOHANG)) {
        return;
    }
    ::kill(process.pid, SIGKILL);
    reap(process, 0);
}

std::uint16_t freePort()
{
    static std::set<std::uint16_t> issued;
    for (;;) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = loopback(0);
        socklen_t length = sizeof(address);
        const bool bound =
            ::bind(socket, reinterpret_cast<sockaddr *>(&address), length) == 0 && ::getsockname(socket, reinterpret_cast<sockaddr *>(&address), &length) == 0;
        ::close(socket);
        REQUIRE(bound);
        const std::uint16_t port = ntohs(address.sin_port);
        if (issued.insert(port).second) {
            return port;
        }
    }
}

std::string programPath(const std::string &name)
{
    // Test programs are in the same directory as the programs that they start.
    static const std::filesystem::path folder = std::filesystem::read_symlink("/proc/self/exe").parent_path();
    return (folder / name).string();
}

bool waitListening(std::uint16_t port, std::chrono::milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < end) {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = loopback(port);
        const bool connected = ::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
        ::close(socket);
        if (connected) {
            return true;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return false;
}

RunningProgram RunningProgram::create(const std::string &name, std::vector<std::string> arguments)
{
    RunningProgram program;
    program.endpoint = {"127.0.0.1", freePort()};
    arguments.push_back("--port=" + std::to_string(program.endpoint.port));
    auto process = ChildProcess::create({name, std::move(arguments), {}});
    REQUIRE(isOk(process));
    program.process = std::move(valueOf(process));
    REQUIRE(waitListening(program.endpoint.port));
    return program;
}

void TestLoop::runFor(std::chrono::milliseconds duration)
{
    // run_until() returns early if the loop has no work, so sleep for the rest of the time.
    const auto end = std::chrono::steady_clock::now() + duration;
    this->loop.restart();
    this->loop.run_until(end);
    std::this_thread::sleep_until(end);
}

bool TestLoop::runUntil(const std::function<bool()> &condition, std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        this->runFor(pollInterval);
    }
    return true;
}

Result<HttpResponse> TestLoop::call(const Endpoint &endpoint, HttpRequest request)
{
    return this->run(httpCall(this->http, endpoint, std::move(request), HttpTimeouts{}, ConnectionUse::Fresh));
}

boost::json::value TestLoop::callJson(const Endpoint &endpoint, std::string method, std::string target, std::string body)
{
    HttpRequest request;
    request.method = std::move(method);
    request.target = std::move(target);
    request.body = std::move(body);
    auto answer = this->call(endpoint, std::move(request));
    REQUIRE(isOk(answer));
    INFO(valueOf(answer).body);
    REQUIRE(valueOf(answer).status == 200);
    return valueOf(answer).body.empty() ? boost::json::value(nullptr) : boost::json::parse(valueOf(answer).body);
}

} // namespace skylark::test
