/** @file silent_engine.h In-process engine that breaks off its first generations and is silent for a while after each. */
#pragma once

#include "core/async_sleep_func.h"
#include "core/clock_func.h"
#include "http/http_server_func.h"

#include <algorithm>
#include <boost/json.hpp>
#include <catch2/catch.hpp>

namespace skylark::test {

/** The engine; serves one model on the executor that it was created with. */
struct SilentEngine {
    unsigned broken{0}; ///< Number of generations still to be broken off.
    std::chrono::milliseconds silence{0}; ///< Time after a broken generation for which nothing is sent.
    TimePoint silentUntil{}; ///< End of the present silence.
    unsigned active{0}; ///< Generations in progress that are not to be broken off.
    unsigned mostActive{0}; ///< Highest value of @c active.
    std::uint64_t reports{0}; ///< Number of load reports made.
    std::unique_ptr<HttpServer> server;

    /** Starts an engine on a free port. @param broken Number of generations to break off. @param silence Time for which it is silent after each of them. */
    static std::unique_ptr<SilentEngine> create(const boost::asio::any_io_executor &executor, unsigned broken, std::chrono::milliseconds silence)
    {
        auto engine = std::make_unique<SilentEngine>();
        engine->broken = broken;
        engine->silence = silence;
        HttpServerOptions options;
        options.listen = {"127.0.0.1", 0};
        auto made = HttpServer::create(executor, options, [self = engine.get()](HttpRequest request, HttpResponder &responder) {
            return self->handle(std::move(request), responder);
        });
        REQUIRE(isOk(made));
        engine->server = std::move(valueOf(made));
        return engine;
    }

    [[nodiscard]] Endpoint endpoint() const
    {
        return {"127.0.0.1", listenPort(*this->server)};
    }

    boost::asio::awaitable<void> waitForSilence() const
    {
        while (BootClock::now() < this->silentUntil) {
            co_await sleepFor(this->silentUntil - BootClock::now());
        }
    }

    boost::asio::awaitable<void> handle(HttpRequest request, HttpResponder &responder)
    {
        if (request.target == "/v1/load") {
            co_await this->waitForSilence();
            co_await sendResponse(responder, this->loadReport());
        } else if (this->broken > 0) {
            --this->broken;
            co_await this->breakOff(request, responder);
        } else {
            co_await this->generate(request, responder);
        }
    }

    HttpResponse loadReport()
    {
        const boost::json::object model{{"name", "drafter"}, {"version", "1"}};
        const boost::json::object report{
            {"sequence", ++this->reports}, {"slots", 8}, {"running", this->active}, {"waiting", 0}, {"models", boost::json::array{model}}};
        HttpResponse response;
        response.status = 200;
        response.body = boost::json::serialize(report);
        return response;
    }

    static boost::asio::awaitable<void> startAnswer(const HttpRequest &request, HttpResponder &responder)
    {
        HttpHeaders headers;
        headers.push_back({"content-type", "text/event-stream"});
        headers.push_back({"x-request-id", std::string(headerValue(request.headers, "x-request-id"))});
        co_await startStream(responder, 200, std::move(headers));
    }

    boost::asio::awaitable<void> breakOff(const HttpRequest &request, HttpResponder &responder)
    {
        co_await startAnswer(request, responder);
        this->silentUntil = BootClock::now() + this->silence;
        abortConnection(responder);
    }

    boost::asio::awaitable<void> generate(const HttpRequest &request, HttpResponder &responder)
    {
        co_await this->waitForSilence();
        ++this->active;
        this->mostActive = std::max(this->mostActive, this->active);
        co_await sleepFor(std::chrono::milliseconds(500));
        --this->active;
        const boost::json::object choice{{"index", 0}, {"delta", {{"content", "word"}}}, {"finish_reason", "stop"}};
        const boost::json::object event{{"request_id", headerValue(request.headers, "x-request-id")}, {"tokens", 1}, {"choices", boost::json::array{choice}}};
        co_await startAnswer(request, responder);
        co_await writeChunk(responder, "data: " + boost::json::serialize(event) + "\n\ndata: [DONE]\n\n");
        co_await finishStream(responder);
    }
};

} // namespace skylark::test
