/** @file standin_func.h Helpers that the stand-in programs share. */
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

/** @return A JSON answer. */
[[nodiscard]] inline HttpResponse jsonAnswer(int status, const boost::json::value &body)
{
    HttpResponse response;
    response.status = status;
    response.headers.push_back({"content-type", "application/json"});
    response.body = boost::json::serialize(body);
    return response;
}

/** @return An error answer; @p notRun adds the header that says that the request did not run. */
[[nodiscard]] inline HttpResponse errorAnswer(int status, std::string_view code, std::string_view message, bool notRun)
{
    boost::json::object error;
    error["code"] = code;
    error["message"] = message;
    boost::json::object body;
    body["error"] = std::move(error);
    HttpResponse response = jsonAnswer(status, body);
    if (notRun) {
        response.headers.push_back({"x-not-run", "1"});
    }
    return response;
}

/** Waits for @p duration. */
inline boost::asio::awaitable<void> sleepFor(boost::asio::io_context &loop, std::chrono::microseconds duration)
{
    boost::asio::steady_timer timer(loop, duration);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

/** Waits for @p duration, or less when the caller closes its connection. @return Whether the caller is still there. */
inline boost::asio::awaitable<bool> sleepUnlessGone(boost::asio::io_context &loop, HttpResponder &responder, std::chrono::microseconds duration)
{
    boost::asio::steady_timer timer(loop, duration);
    bool gone = false;
    onCallerGone(responder, [&timer, &gone] {
        gone = true;
        timer.cancel();
    });
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    onCallerGone(responder, nullptr);
    co_return !gone;
}

/** Never answers; returns when the caller closes its connection. */
inline boost::asio::awaitable<void> staySilent(boost::asio::io_context &loop, HttpResponder &responder)
{
    // A boolean variable, because g++ 12 generates a trap for an empty loop over the awaited value.
    bool present = true;
    while (present) {
        present = co_await sleepUnlessGone(loop, responder, std::chrono::hours(1));
    }
}

/** Serves on a loopback address until the process is ended. @return The exit status. */
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
