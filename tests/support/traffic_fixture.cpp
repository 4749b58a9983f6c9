/** @file traffic_fixture.cpp Test fixture: a callers' server with stand-in targets on one event loop. */
#include "support/traffic_fixture.h"

#include <boost/json.hpp>

namespace skylark {

namespace asio = boost::asio;
namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

std::unique_ptr<HttpServer> listen(asio::io_context &loop, HttpHandler handler)
{
    HttpServerOptions options;
    options.listen = {"127.0.0.1", 0};
    auto created = HttpServer::create(loop.get_executor(), std::move(options), std::move(handler));
    REQUIRE(isOk(created));
    return std::move(valueOf(created));
}

std::string tokenEvent(unsigned number, bool last, unsigned promptTokens)
{
    std::string event = R"(data: {"choices":[{"index":0,"delta":{"content":"w)" + std::to_string(number) + R"( "},"finish_reason":)";
    event += last ? R"("stop"}],"tokens":1,"usage":{"prompt_tokens":)" + std::to_string(promptTokens) + "}}" : R"(null}],"tokens":1})";
    return event + "\n\n";
}

HttpHeaders echoRequestId(const HttpRequest &request)
{
    HttpHeaders headers;
    headers.push_back({"x-request-id", std::string(headerValue(request.headers, "x-request-id"))});
    return headers;
}

} // namespace

StubTarget::StubTarget(asio::io_context &context)
    : loop(context)
{
    this->server = listen(context, [this](HttpRequest request, HttpResponder &responder) {
        return this->handle(std::move(request), responder);
    });
}

Endpoint StubTarget::endpoint() const
{
    return {"127.0.0.1", listenPort(*this->server)};
}

asio::awaitable<void> StubTarget::waitForDisconnect(HttpResponder &responder)
{
    asio::steady_timer timer(this->loop, 20s);
    onCallerDisconnect(responder, [this, &timer] {
        ++this->callersGone;
        timer.cancel();
    });
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> StubTarget::waitForPause()
{
    asio::steady_timer timer(this->loop, this->pause);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> StubTarget::handle(HttpRequest request, HttpResponder &responder)
{
    HttpResponse response;
    response.headers = echoRequestId(request);
    if (request.target == "/v1/load") {
        response.body = json::serialize(json::object{{"sequence", 2}, {"slots", 8}, {"draining", this->draining}});
        co_await sendResponse(responder, std::move(response));
        co_return;
    }
    if (request.method == "DELETE" && this->mode == TargetMode::Silent) {
        abortConnection(responder);
        co_return;
    }
    if (request.method == "DELETE") {
        co_await sendResponse(responder, std::move(response));
        co_return;
    }
    this->requests.push_back(request);
    if (this->mode == TargetMode::NotRun) {
        response.status = 503;
        response.headers.push_back({"x-not-run", "1"});
        response.body = this->refusesAsDraining ? R"({"error":{"code":"draining","message":"target is draining"}})" : "";
        co_await sendResponse(responder, std::move(response));
        co_return;
    }
    if (this->mode == TargetMode::Unloaded) {
        response.status = 404;
        co_await sendResponse(responder, std::move(response));
        co_return;
    }
    if (request.target == "/v1/chat/completions") {
        ++this->generations;
        co_await this->generate(std::move(request), responder);
        co_return;
    }
    ++this->serviceCalls;
    if (this->mode == TargetMode::Silent) {
        co_await this->waitForDisconnect(responder);
    }
    if (this->mode == TargetMode::Pause) {
        co_await this->waitForPause();
    } else if (this->mode != TargetMode::Complete) {
        abortConnection(responder);
        co_return;
    }
    if (this->omitsRequestId) {
        response.headers.clear();
    }
    response.body = "served " + request.target + " " + request.body;
    co_await sendResponse(responder, std::move(response));
}

asio::awaitable<void> StubTarget::generate(HttpRequest request, HttpResponder &responder)
{
    if (this->mode == TargetMode::Silent) {
        co_await this->waitForDisconnect(responder);
        co_return;
    }
    const json::object body = json::parse(request.body).as_object();
    unsigned begin = 0;
    for (const char *name : {"continue_tokens", "tokens_done"}) {
        begin = body.contains(name) ? static_cast<unsigned>(body.at(name).as_int64()) : begin;
    }
    if (this->mode == TargetMode::Pause && this->cutAfter == 0) {
        co_await this->waitForPause();
    }
    HttpHeaders headers = echoRequestId(request);
    co_await startStream(responder, 200, std::move(headers));
    asio::steady_timer timer(this->loop);
    for (unsigned i = begin; i < this->tokens; ++i) {
        if (i - begin == this->cutAfter && this->mode == TargetMode::Cut) {
            this->mode = this->modeAfterCut;
            co_return;
        }
        if (i - begin == this->cutAfter && this->mode == TargetMode::Stall) {
            co_await this->waitForDisconnect(responder);
            co_return;
        }
        if (i - begin == this->cutAfter && i > begin && this->mode == TargetMode::Pause) {
            co_await this->waitForPause();
        }
        co_await writeChunk(responder, tokenEvent(i, i + 1 == this->tokens, 7));
        timer.expires_after(1ms);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_await writeChunk(responder, "data: [DONE]\n\n");
    if (this->mode == TargetMode::Unended) {
        co_await this->waitForDisconnect(responder);
        co_return;
    }
    co_await finishStream(responder);
}

StubStore::StubStore(asio::io_context &loop)
{
    this->server = listen(loop, [this](HttpRequest request, HttpResponder &responder) {
        return this->handle(std::move(request), responder);
    });
}

asio::awaitable<void> StubStore::handle(HttpRequest request, HttpResponder &responder)
{
    const std::string path(targetPath(request.target));
    auto &[value, version] = this->values[path];
    const std::string expected = queryParameter(request.target, "if_version");
    HttpResponse response;
    if (request.method != "GET" && expected != std::to_string(version)) {
        response.status = 409;
        response.body = value;
    } else if (request.method == "PUT") {
        value = request.body;
        ++version;
    } else if (request.method == "DELETE") {
        version = 0;
    } else {
        response.status = version == 0 ? 404 : 200;
        response.body = value;
    }
    response.headers.push_back({"x-version", std::to_string(version)});
    co_await sendResponse(responder, std::move(response));
}

TrafficFixture::TrafficFixture()
{
    setViolationHandler([this](Promise, std::string_view, std::string_view, int) {
        ++this->violations;
    });
    HostInfo self;
    self.id.value = "h1";
    self.domain.value = "north";
    self.http = {"127.0.0.1", 0};
    this->settings->host = self.id;
    this->settings->hosts.push_back(self);
    this->settings->seed = 42;
    this->store = std::make_unique<StubStore>(this->context.online);
    this->settings->platform = {"127.0.0.1", listenPort(*this->store->server)};
    this->context.settings = this->settings;
    this->context.requestYield = [this](const TargetId &target, unsigned slots) {
        this->yields.emplace_back(target.value, slots);
    };
    this->context.reportTargetLeaving = [this](const TargetId &target) {
        this->leaving.push_back(target.value);
    };
    this->snapshot.self = self;
    this->snapshot.ready = true;
    WorkspaceConfig made;
    made.id.value = "atelier";
    made.models.push_back({ModelId{"brief"}, "v1", {}, 1});
    made.services.push_back({"shop", {{"GET", "/items", true}, {"POST", "/orders", false}}});
    made.online.firstByteTimeout = 400ms;
    made.online.idleTimeout = 400ms;
    this->config->workspaceByKey["key"] = made.id;
    this->config->workspaces[made.id] = made;
    this->client = HttpClient::create(this->context.online.get_executor());
}

TrafficFixture::~TrafficFixture()
{
    CHECK(this->violations == 0);
    setViolationHandler({});
    this->server.reset();
    this->targets.clear();
    this->store.reset();
    this->client.reset();
    this->runFor(20ms);
}

StubTarget &TrafficFixture::addTarget(const std::string &service, unsigned slots, unsigned running)
{
    this->targets.push_back(std::make_unique<StubTarget>(this->context.online));
    TargetView view;
    view.info.id.value = "t" + std::to_string(this->targets.size());
    view.info.kind = service.empty() ? TargetKind::Engine : TargetKind::Service;
    view.info.service = service;
    view.info.domain = this->snapshot.self.domain;
    view.info.endpoint = this->targets.back()->endpoint();
    view.report.sequence = 1;
    view.report.slots = slots;
    view.report.running = running;
    view.report.models.push_back({ModelId{"brief"}, "v1", {}});
    this->snapshot.targets.push_back(view);
    return *this->targets.back();
}

void TrafficFixture::publish()
{
    this->snapshot.config = this->config;
    this->context.snapshot->current.store(std::make_shared<const ControlSnapshot>(this->snapshot));
}

WorkspaceConfig &TrafficFixture::workspace()
{
    return this->config->workspaces[WorkspaceId{"atelier"}];
}

void TrafficFixture::startServer()
{
    this->publish();
    auto created = CallerServer::create(this->context, nullptr);
    REQUIRE(isOk(created));
    this->server = valueOf(created);
}

Endpoint TrafficFixture::endpoint() const
{
    return {"127.0.0.1", listenPort(*this->server->impl->server)};
}

void TrafficFixture::runFor(std::chrono::milliseconds duration)
{
    this->context.online.restart();
    this->context.online.run_for(duration);
}

HttpResponse TrafficFixture::call(std::string method, std::string path, std::string body, HttpHeaders headers)
{
    if (headerValue(headers, "authorization").empty()) {
        headers.push_back({"authorization", "Bearer key"});
    }
    HttpTimeouts timeouts{1s, 1s, 15s, 15s};
    HttpRequest request{std::move(method), std::move(path), std::move(headers), std::move(body)};
    auto result = this->run(httpCall(this->client, this->endpoint(), std::move(request), timeouts));
    INFO((isOk(result) ? std::string() : errorOf(result).detail));
    REQUIRE(isOk(result));
    return valueOf(result);
}

HttpResponse TrafficFixture::chat(bool stream, HttpHeaders headers)
{
    const std::string body = std::string(R"({"model":"brief","messages":[{"role":"user","content":"draft a mask"}],"stream":)") + (stream ? "true}" : "false}");
    return this->call("POST", "/v1/chat/completions", body, std::move(headers));
}

std::string words(unsigned count)
{
    std::string text;
    for (unsigned i = 0; i < count; ++i) {
        text += "w" + std::to_string(i) + " ";
    }
    return text;
}

std::string answerText(const HttpResponse &response)
{
    if (!response.body.starts_with("data: ")) {
        return std::string(json::parse(response.body).at("choices").at(0).at("message").at("content").as_string());
    }
    std::string text;
    for (std::size_t at = 0; at < response.body.size();) {
        const std::size_t end = response.body.find("\n\n", at);
        const std::string data = response.body.substr(at + 6, end - at - 6);
        at = end + 2;
        if (data == "[DONE]") {
            continue;
        }
        const json::value event = json::parse(data);
        const json::array &choices = event.at("choices").as_array();
        if (!choices.empty() && choices[0].at("delta").as_object().contains("content")) {
            text += choices[0].at("delta").at("content").as_string().c_str();
        }
    }
    return text;
}

std::string errorMember(const HttpResponse &response, std::string_view name)
{
    const json::value value = json::parse(response.body);
    return std::string(value.at("error").at(json::string_view(name.data(), name.size())).as_string());
}

} // namespace skylark
