/** @file scripted_target.cpp In-process server that stands in for a target whose answers pause, break off or end with their connection as a script says. */
#include "scripted_target_base.h"

#include "core/async_sleep_func.h"
#include "names.h"
#include "replica_base.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace skylark::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;
using namespace skylark::platform;

namespace {

constexpr auto awaitTuple = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds pollInterval{20}; ///< Interval of the checks whether the caller is still connected.
constexpr milliseconds leastDelay{20}; ///< Time between arrival and read of a request from which it is recorded.

/** Connection and request that an answer belongs to. */
struct Answering {
    std::shared_ptr<ScriptedTarget> target;
    tcp::socket &socket;
    AnswerScript script;
    std::shared_ptr<ScriptedRun> run;
};

/** Closes a connection with a reset, so that its peer cannot take the answer for complete. */
void resetSocket(tcp::socket &socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

bool isConnected(tcp::socket &socket)
{
    char byte = 0;
    const auto got = socket.is_open() ? ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) : 0;
    return got > 0 || (got < 0 && errno == EAGAIN);
}

/** @return Time since the last byte arrived at the socket, by the clock of the system's network stack. */
milliseconds timeSinceArrival(tcp::socket &socket)
{
    tcp_info info{};
    socklen_t length = sizeof(info);
    const int failed = ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &length);
    return milliseconds(failed == 0 ? info.tcpi_last_data_recv : 0);
}

/** Records a request that has just been read if it arrived some time ago. */
void recordLateRead(ScriptedTarget &target, tcp::socket &socket, const HttpRequest &request)
{
    const milliseconds delay = timeSinceArrival(socket);
    if (delay >= leastDelay) {
        const TimePoint now = BootClock::now();
        target.lateReads.push_back({std::string(headerValue(request.headers, headerRequestId)), now - delay, now});
    }
}

/** Waits for @p duration and until the target is no longer silent. @return Whether the caller is still connected. */
asio::awaitable<bool> pauseAnswer(Answering &answering, milliseconds duration)
{
    const TimePoint until = BootClock::now() + duration;
    for (;;) {
        if (!isConnected(answering.socket)) {
            co_return false;
        }
        const TimePoint now = BootClock::now();
        const TimePoint end = std::max(until, answering.target->silentUntil);
        if (now >= end) {
            co_return true;
        }
        co_await sleepFor(std::min<std::chrono::nanoseconds>(pollInterval, end - now));
    }
}

asio::awaitable<bool> sendBytes(tcp::socket &socket, std::string bytes)
{
    const auto [error, count] = co_await asio::async_write(socket, asio::buffer(bytes), awaitTuple);
    co_return !error;
}

std::string answerHead(const Answering &answering, std::size_t length)
{
    const AnswerScript &script = answering.script;
    std::string head = "HTTP/1.1 200 OK\r\n" + std::string(headerRequestId) + ": " + answering.run->id + "\r\n" + std::string(headerSignature)
                       + ": signature-of-" + answering.run->id + "\r\n";
    head += script.stream ? "Content-Type: text/event-stream\r\n" : "Content-Type: text/plain\r\n";
    if (script.endsWithConnection) {
        head += "Connection: close\r\n";
    } else {
        head += script.stream ? std::string("Transfer-Encoding: chunked\r\n") : "Content-Length: " + std::to_string(length) + "\r\n";
    }
    return head + "\r\n";
}

std::string framed(const Answering &answering, const std::string &data)
{
    if (answering.script.endsWithConnection) {
        return data;
    }
    std::array<char, 16> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), data.size(), 16).ptr;
    return std::string(size.data(), end) + "\r\n" + data + "\r\n";
}

/** Resets the connection of an answer, or all connections if the script says that the target crashes. */
void breakOff(Answering &answering)
{
    answering.run->brokenOff = true;
    if (answering.script.crashes) {
        answering.run->crashedTarget = true;
        crashTarget(*answering.target);
    } else {
        resetSocket(answering.socket);
    }
}

/** Streams the events that follow the last one that the request names. @return Whether the answer is complete. */
asio::awaitable<bool> sendEvents(Answering &answering)
{
    const AnswerScript &script = answering.script;
    bool open = co_await sendBytes(answering.socket, answerHead(answering, 0));
    for (unsigned number = answering.run->lastEventId + 1; open && number <= script.events; ++number) {
        open = co_await pauseAnswer(answering, script.step);
        if (!open) {
            break;
        }
        if (script.breakAfter != 0 && number > script.breakAfter) {
            breakOff(answering);
            co_return false;
        }
        const std::string event = "id: " + std::to_string(number) + "\ndata: " + eventData(answering.run->id, number) + "\n\n";
        open = co_await sendBytes(answering.socket, framed(answering, event));
    }
    if (open && !script.endsWithConnection) {
        open = co_await sendBytes(answering.socket, "0\r\n\r\n");
    }
    co_return open;
}

/** Sends the whole output. @return Whether the answer is complete. */
asio::awaitable<bool> sendWhole(Answering &answering)
{
    const std::string body = wholeText(answering.run->id, answering.script.events);
    if (answering.script.breakAfter != 0) {
        co_await sendBytes(answering.socket, answerHead(answering, body.size()) + body.substr(0, body.size() / 2));
        co_await sleepFor(pollInterval);
        breakOff(answering);
        co_return false;
    }
    const bool sent = co_await sendBytes(answering.socket, answerHead(answering, body.size()) + body);
    co_return sent;
}

/** Executes one request. @return Whether its connection can be used again. */
asio::awaitable<bool> execute(Answering &answering)
{
    bool complete = co_await pauseAnswer(answering, answering.script.firstDelay);
    if (complete && answering.script.crashes && answering.script.breakAfter == 0) {
        breakOff(answering);
        complete = false;
    }
    if (complete && answering.script.stream) {
        complete = co_await sendEvents(answering);
    } else if (complete) {
        complete = co_await sendWhole(answering);
    }
    // A target that has crashed has closed the socket itself; a caller cannot.
    answering.run->brokenOff = answering.run->brokenOff || !answering.socket.is_open();
    answering.run->endedAt = BootClock::now();
    co_return complete && !answering.script.endsWithConnection;
}

asio::awaitable<bool> refuse(tcp::socket &socket, int status, std::string id)
{
    const bool sent = co_await sendBytes(socket,
                                         "HTTP/1.1 " + std::to_string(status) + " Refused\r\n" + std::string(headerRequestId) + ": " + id + "\r\n"
                                             + std::string(headerNotExecuted) + ": 1\r\nContent-Length: 0\r\n\r\n");
    co_return sent;
}

HttpRequest convertRequest(const http::request<http::string_body> &message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    request.body = message.body();
    return request;
}

asio::awaitable<bool> answerRequest(std::shared_ptr<ScriptedTarget> target, tcp::socket &socket, HttpRequest request)
{
    const std::string id(headerValue(request.headers, headerRequestId));
    const std::string_view expected = headerValue(request.headers, headerExpectInstance);
    const AnswerScript script = target->script(request);
    const bool misdirected = !expected.empty() && expected != target->id;
    if (misdirected || script.refused) {
        const int status = misdirected ? 421 : 503;
        const bool sent = co_await refuse(socket, status, id);
        co_return sent;
    }
    auto run = std::make_shared<ScriptedRun>(ScriptedRun{.id = id, .service = target->service, .beganAt = BootClock::now()});
    const std::string_view last = headerValue(request.headers, headerLastEvent);
    std::from_chars(last.data(), last.data() + last.size(), run->lastEventId);
    target->runs.push_back(run);
    Answering answering{target, socket, script, run};
    const bool reusable = co_await execute(answering);
    co_return reusable;
}

asio::awaitable<void> serveSocket(std::shared_ptr<ScriptedTarget> target, tcp::socket socket)
{
    target->sockets.insert(&socket);
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    boost::beast::flat_buffer buffer;
    bool open = true;
    while (open) {
        http::request<http::string_body> message;
        const auto [error, bytes] = co_await http::async_read(socket, buffer, message, awaitTuple);
        if (error) {
            break;
        }
        HttpRequest request = convertRequest(message);
        recordLateRead(*target, socket, request);
        open = co_await answerRequest(target, socket, std::move(request));
    }
    target->sockets.erase(&socket);
}

asio::awaitable<void> acceptSockets(std::shared_ptr<ScriptedTarget> target)
{
    for (;;) {
        auto [error, socket] = co_await target->acceptor.async_accept(awaitTuple);
        if (error) {
            co_return;
        }
        asio::co_spawn(target->executor, serveSocket(target, std::move(socket)), asio::detached);
    }
}

} // namespace

std::shared_ptr<ScriptedTarget> ScriptedTarget::create(const asio::any_io_executor &executor, std::string id, std::string service)
{
    tcp::acceptor acceptor(executor);
    boost::system::error_code error;
    acceptor.open(tcp::v4(), error);
    acceptor.bind({asio::ip::address_v4::loopback(), 0}, error);
    acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        return nullptr;
    }
    auto target = std::make_shared<ScriptedTarget>(ScriptedTarget{executor, std::move(id), std::move(service), {}, std::move(acceptor)});
    asio::co_spawn(executor, acceptSockets(target), asio::detached);
    return target;
}

Endpoint endpointOf(const ScriptedTarget &target)
{
    boost::system::error_code ignored;
    return {"127.0.0.1", target.acceptor.local_endpoint(ignored).port()};
}

void crashTarget(ScriptedTarget &target)
{
    target.crashedAt = BootClock::now();
    boost::system::error_code ignored;
    target.acceptor.close(ignored);
    for (tcp::socket *socket : target.sockets) {
        resetSocket(*socket);
    }
}

} // namespace skylark::standin
