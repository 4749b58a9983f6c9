/** @file ctl_http.cpp HTTP calls of skylarkctl to hosts. */
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

HttpTimeouts makeTimeouts(std::chrono::milliseconds firstByteTimeout)
{
    // A job submission may have 512 MB, which takes time to send. Its response starts only when two copies of each blob are durable.
    return {.connect = 1500ms, .send = 60s, .firstByte = firstByteTimeout, .idle = 10s};
}

/** Runs @p work on @p loop until it completes. */
template<typename T>
Result<T> runToCompletion(asio::io_context &loop, asio::awaitable<Result<T>> work)
{
    Result<T> result = makeError(ErrorCode::Internal, "the call ended without a result");
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
    auto opened = co_await httpOpen(client, endpoint, std::move(request), makeTimeouts(15s), ConnectionUse::Fresh);
    if (!isOk(opened)) {
        co_return errorOf(opened);
    }
    HttpExchange exchange = std::move(valueOf(opened));
    CtlAnswer answer{.status = exchange.status, .body = {}, .json = {}, .endpoint = endpoint};
    for (;;) {
        auto chunk = co_await httpRead(exchange, 30s);
        if (!isOk(chunk)) {
            co_return errorOf(chunk);
        }
        if (!valueOf(chunk)) {
            break;
        }
        if (answer.status == 200) {
            sink(*valueOf(chunk));
        } else {
            answer.body += *valueOf(chunk);
        }
    }
    answer.json = parseBody(answer.body);
    co_return answer;
}

} // namespace

Result<CtlAnswer> callHost(const Endpoint &endpoint, const HttpRequest &request, std::chrono::milliseconds firstByteTimeout)
{
    asio::io_context loop{1};
    const auto client = HttpClient::create(loop.get_executor());
    auto response = runToCompletion<HttpResponse>(loop, httpCall(client, endpoint, request, makeTimeouts(firstByteTimeout), ConnectionUse::Fresh));
    if (!isOk(response)) {
        return errorOf(response);
    }
    CtlAnswer answer{.status = valueOf(response).status, .body = std::move(valueOf(response).body), .json = {}, .endpoint = endpoint};
    answer.json = parseBody(answer.body);
    return answer;
}

Result<CtlAnswer> callAny(const std::vector<Endpoint> &endpoints, const HttpRequest &request, std::chrono::milliseconds firstByteTimeout)
{
    Result<CtlAnswer> last = makeError(ErrorCode::ConnectFailed, "no host address is given");
    for (const Endpoint &endpoint : endpoints) {
        Result<CtlAnswer> answer = callHost(endpoint, request, firstByteTimeout);
        if (isOk(answer) && valueOf(answer).status != statusUnavailable) {
            return answer;
        }
        // Keeps a 503 response of an earlier host over connection errors of later hosts, because it names the reason.
        if (isOk(answer) || !isOk(last)) {
            last = std::move(answer);
        }
    }
    return last;
}

std::optional<CtlAnswer> readAdmin(const CtlOptions &options, const std::string &target, ExitCode &code, std::chrono::milliseconds firstByteTimeout)
{
    HttpRequest request;
    request.target = target;
    Result<CtlAnswer> answer = callAny(options.admin, request, firstByteTimeout);
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
        std::cerr << "skylarkctl: the request may have taken effect; check the current state before sending it again\n";
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
    return runToCompletion<CtlAnswer>(loop, streamBody(client, endpoint, request, sink));
}

std::optional<json::array> readEachDomain(const CtlOptions &options, const std::string &target, const char *member, ExitCode &code)
{
    const auto hosts = readAdmin(options, "/admin/v1/hosts", code);
    if (!hosts) {
        return std::nullopt;
    }
    json::array merged;
    std::set<std::string> answered;
    std::set<std::string> domains;
    HttpRequest request;
    request.target = target;
    for (const json::value &host : arrayAt(hosts->json, "hosts")) {
        const std::string domain = textAt(host, {"domain"});
        domains.insert(domain);
        const auto endpoint = parseEndpoint(textAt(host, {"admin"}));
        if (answered.contains(domain) || !endpoint || textAt(host, {"state"}) == "dead") {
            continue;
        }
        const auto answer = callHost(*endpoint, request, 3s);
        if (!isOk(answer) || valueOf(answer).status != 200) {
            continue;
        }
        answered.insert(domain);
        for (json::value element : arrayAt(valueOf(answer).json, member)) {
            element.as_object()["domain"] = domain;
            merged.push_back(std::move(element));
        }
    }
    for (const std::string &domain : domains) {
        if (!answered.contains(domain)) {
            std::cerr << "skylarkctl: no host of failure domain " << domain << " answered; its entries are missing\n";
        }
    }
    return merged;
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
