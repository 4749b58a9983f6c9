/** @file standin_func.h HTTP responses, delays and the server loop shared by the stand-in programs. */
#pragma once

#include "core/json_member_func.h"
#include "http/http_server_func.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <iostream>
#include <string>
#include <utility>

namespace skylark::standin {

using SteadyTime = std::chrono::steady_clock::time_point;

/** @return A response with the JSON text of @p body. */
[[nodiscard]] inline HttpResponse jsonResponse(int status, const boost::json::value &body)
{
    HttpResponse response;
    response.status = status;
    response.headers.push_back({"content-type", "application/json"});
    response.body = boost::json::serialize(body);
    return response;
}

/** @return A JSON error response. @param notRun Whether to add "x-not-run: 1", which says that the request was not executed. */
[[nodiscard]] inline HttpResponse errorResponse(int status, std::string_view code, std::string_view message, bool notRun)
{
    boost::json::object error;
    error["code"] = code;
    error["message"] = message;
    boost::json::object body;
    body["error"] = std::move(error);
    HttpResponse response = jsonResponse(status, body);
    if (notRun) {
        response.headers.push_back({"x-not-run", "1"});
    }
    return response;
}

inline boost::asio::awaitable<void> sleepFor(boost::asio::io_context &loop, std::chrono::microseconds duration)
{
    boost::asio::steady_timer timer(loop, duration);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

/** Waits for @p duration, or until the client closes its connection. @return Whether the client is still connected. */
inline boost::asio::awaitable<bool> sleepWhileConnected(boost::asio::io_context &loop, HttpResponder &responder, std::chrono::microseconds duration)
{
    boost::asio::steady_timer timer(loop, duration);
    bool disconnected = false;
    onCallerDisconnect(responder, [&timer, &disconnected] {
        disconnected = true;
        timer.cancel();
    });
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    onCallerDisconnect(responder, nullptr);
    co_return !disconnected;
}

/** Leaves the request without a response; returns when the client closes its connection. */
inline boost::asio::awaitable<void> waitForDisconnect(boost::asio::io_context &loop, HttpResponder &responder)
{
    // The variable is needed: g++ 12 generates a trap for a loop with an empty body and co_await in its condition.
    bool connected = true;
    while (connected) {
        connected = co_await sleepWhileConnected(loop, responder, std::chrono::hours(1));
    }
}

/** Serves at the address in @p options until the process is killed. @return Exit status: 1 if it cannot listen. */
inline int serve(boost::asio::io_context &loop, HttpServerOptions options, HttpHandler handler)
{
    auto server = HttpServer::create(loop.get_executor(), std::move(options), std::move(handler));
    if (!isOk(server)) {
        std::cerr << "cannot listen: " << errorOf(server).detail << '\n';
        return 1;
    }
    std::cout << "listening on port " << listenPort(*valueOf(server)) << std::endl; // NOLINT(performance-avoid-endl): a test reads this line.
    loop.run();
    return 0;
}

} // namespace skylark::standin
