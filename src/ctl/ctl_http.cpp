/** @file ctl_http.cpp Calls of skylarkctl to hosts. */
#include "ctl/ctl_http_func.h"

#include "ctl/ctl_output_func.h"
#include "http/http_client_func.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

namespace skylark {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr int statusUnavailable = 503;

HttpTimeouts timeoutsFor(std::chrono::milliseconds limit)
{
    // A job submission of 512 MB needs time to send; the first byte comes after two copies of each blob are durable.
    return {.connect = 1500ms, .send = 60s, .firstByte = limit, .idle = 10s};
}

/** Runs @p work on an event loop of its own until it ends. */
template<typename T>
Result<T> runAlone(asio::io_context &loop, asio::awaitable<Result<T>> work)
{
    Result<T> result = makeError(ErrorCode::Internal, "the call did not end");
    asio::co_spawn(loop, std::move(work), [&result](const std::exception_ptr &failure, Result<T> value) {
        if (!failure) {
            result = std::move(value);
        }
    });
    loop.run();
    return result;
}

json::value parseBody(const std::string &body)
{
    json::error_code error;
    json::value value = json::parse(body, error);
    return error ? json::value() : value;
}

asio::awaitable<Result<CtlAnswer>> streamBody(std::shared_ptr<HttpClient> client,
                                              Endpoint endpoint,
                                              HttpRequest request,
                                              const std::function<void(const std::string &)> &sink)
{
    auto opened = co_await httpOpen(client, endpoint, std::move(request), timeoutsFor(15s), ConnectionUse::Fresh);
    if (!isOk(opened)) {
        co_return errorOf(opened);
    }
    HttpExchange exchange = std::move(valueOf(opened));
    CtlAnswer answer{.status = exchange.status, .body = {}, .json = {}, .endpoint = endpoint};
    for (;;) {
        auto piece = co_await httpRead(exchange, 30s);
        if (!isOk(piece)) {
            co_return errorOf(piece);
        }
        if (!valueOf(piece)) {
            break;
        }
        if (answer.status == 200) {
            sink(*valueOf(piece));
        } else {
            answer.body += *valueOf(piece);
        }
    }
    answer.json = parseBody(answer.body);
    co_return answer;
}

} // namespace

Result<CtlAnswer> callHost(const Endpoint &endpoint, const HttpRequest &request, std::chrono::milliseconds limit)
{
    asio::io_context loop{1};
    const auto client = HttpClient::create(loop.get_executor());
    auto response = runAlone<HttpResponse>(loop, httpCall(client, endpoint, request, timeoutsFor(limit), ConnectionUse::Fresh));
    if (!isOk(response)) {
        return errorOf(response);
    }
    CtlAnswer answer{.status = valueOf(response).status, .body = std::move(valueOf(response).body), .json = {}, .endpoint = endpoint};
    answer.json = parseBody(answer.body);
    return answer;
}

Result<CtlAnswer> callAny(const std::vector<Endpoint> &endpoints, const HttpRequest &request, std::chrono::milliseconds limit)
{
    Result<CtlAnswer> last = makeError(ErrorCode::ConnectFailed, "no host address is given");
    for (const Endpoint &endpoint : endpoints) {
        Result<CtlAnswer> answer = callHost(endpoint, request, limit);
        if (isOk(answer) && valueOf(answer).status != statusUnavailable) {
            return answer;
        }
        // A refusal by a host says more than the silence of the ones after it.
        if (isOk(answer) || !isOk(last)) {
            last = std::move(answer);
        }
    }
    return last;
}

std::optional<CtlAnswer> readAdmin(const CtlOptions &options, const std::string &target, ExitCode &code, std::chrono::milliseconds limit)
{
    HttpRequest request;
    request.target = target;
    Result<CtlAnswer> answer = callAny(options.admin, request, limit);
    code = reportAnswer(answer);
    if (code != ExitCode::Ok) {
        return std::nullopt;
    }
    return std::move(valueOf(answer));
}

ExitCode reportAnswer(const Result<CtlAnswer> &result)
{
    if (!isOk(result)) {
        std::cerr << "skylarkctl: no host answered; last error: " << errorOf(result).detail << "\n";
        return ExitCode::Unreachable;
    }
    const CtlAnswer &answer = valueOf(result);
    if (answer.status >= 200 && answer.status < 300) {
        return ExitCode::Ok;
    }
    const std::string code = textAt(answer.json, {"error", "code"});
    std::cerr << "skylarkctl: " << (code.empty() ? "status " + std::to_string(answer.status) : code) << ": " << textAt(answer.json, {"error", "message"})
              << "\n";
    if (textAt(answer.json, {"error", "run"}) == "maybe") {
        std::cerr << "skylarkctl: the request may have taken effect; read the present state before sending it again\n";
    }
    if (code == "platform_unavailable" || code == "not_ready") {
        return ExitCode::Unreachable;
    }
    return answer.status == 409 ? ExitCode::Conflict : ExitCode::Refused;
}

ExitCode usageError(const std::string &text)
{
    std::cerr << "skylarkctl: " << text << "\n";
    return ExitCode::Usage;
}

Result<CtlAnswer> streamHost(const Endpoint &endpoint, const HttpRequest &request, const std::function<void(const std::string &)> &sink)
{
    asio::io_context loop{1};
    const auto client = HttpClient::create(loop.get_executor());
    return runAlone<CtlAnswer>(loop, streamBody(client, endpoint, request, sink));
}

std::optional<json::array> readEachDomain(const CtlOptions &options, const std::string &target, const char *member, ExitCode &code)
{
    const auto hosts = readAdmin(options, "/admin/v1/hosts", code);
    if (!hosts) {
        return std::nullopt;
    }
    json::array joined;
    std::set<std::string> read;
    std::set<std::string> wanted;
    HttpRequest request;
    request.target = target;
    for (const json::value &host : arrayAt(hosts->json, "hosts")) {
        const std::string domain = textAt(host, {"domain"});
        wanted.insert(domain);
        const auto endpoint = parseEndpoint(textAt(host, {"admin"}));
        if (read.contains(domain) || !endpoint || textAt(host, {"state"}) == "dead") {
            continue;
        }
        const auto answer = callHost(*endpoint, request, 3s);
        if (!isOk(answer) || valueOf(answer).status != 200) {
            continue;
        }
        read.insert(domain);
        for (json::value element : arrayAt(valueOf(answer).json, member)) {
            element.as_object()["domain"] = domain;
            joined.push_back(std::move(element));
        }
    }
    for (const std::string &domain : wanted) {
        if (!read.contains(domain)) {
            std::cerr << "skylarkctl: no host of failure domain " << domain << " answered; its part is missing\n";
        }
    }
    return joined;
}

std::optional<std::vector<Endpoint>> parseEndpoints(std::string_view text)
{
    std::vector<Endpoint> endpoints;
    while (!text.empty()) {
        const std::size_t comma = text.find(',');
        const auto endpoint = parseEndpoint(text.substr(0, comma));
        if (!endpoint) {
            return std::nullopt;
        }
        endpoints.push_back(*endpoint);
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return endpoints;
}

std::optional<std::string> readWholeFile(const std::string &path)
{
    std::ostringstream text;
    if (path == "-") {
        text << std::cin.rdbuf();
        return text.str();
    }
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    text << file.rdbuf();
    return text.str();
}

} // namespace skylark
