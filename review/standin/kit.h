// Stand-ins for the cases of the review: the platform's store, replicas, clients, and the start of the hosts under test. POSIX sockets, one thread a
// connection.
#pragma once

#include <boost/json/src.hpp>

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace kit {

namespace json = boost::json;
using Clock = std::chrono::steady_clock;
using Headers = std::vector<std::pair<std::string, std::string>>;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitNotRun = 2;

inline const Clock::time_point startedAt = Clock::now();

/** Seconds since the start of the case. */
inline double now()
{
    return std::chrono::duration<double>(Clock::now() - startedAt).count();
}

inline void sleepFor(double seconds)
{
    if (seconds > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    }
}

inline void sleepUntil(double at)
{
    sleepFor(at - now());
}

/** Whether the case runs with its disruption. */
inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// ---------------------------------------------------------------------------------------------------------------- record

inline std::FILE *recordFile = nullptr;
inline std::mutex recordMutex;

/** Writes one line with the time to record.txt. */
inline void record(const char *format, ...)
{
    const std::lock_guard lock(recordMutex);
    std::fprintf(recordFile, "%9.3f ", now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(recordFile, format, arguments);
    va_end(arguments);
    std::fputc('\n', recordFile);
    std::fflush(recordFile);
}

// ---------------------------------------------------------------------------------------------------------------- sockets and HTTP

inline bool sameName(const std::string &left, const std::string &right)
{
    return strcasecmp(left.c_str(), right.c_str()) == 0;
}

inline std::string find(const Headers &headers, const std::string &name)
{
    for (const auto &[key, value] : headers) {
        if (sameName(key, name)) {
            return value;
        }
    }
    return {};
}

/** A connection with the bytes that have been received but not used. */
struct Connection {
    int fd{-1};
    std::string buffer;

    explicit Connection(int socket)
        : fd(socket)
    {
    }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;
    ~Connection()
    {
        this->shut();
    }
    void shut()
    {
        if (this->fd >= 0) {
            ::close(this->fd);
            this->fd = -1;
        }
    }
    /** Receives more bytes. Returns 1, 0 at the end, -1 after an error, -2 after the time limit. */
    int fill(double until)
    {
        pollfd entry{this->fd, POLLIN, 0};
        const double left = until - now();
        if (left <= 0 || ::poll(&entry, 1, static_cast<int>(left * 1000) + 1) <= 0) {
            return -2;
        }
        char bytes[65536];
        const ssize_t got = ::recv(this->fd, bytes, sizeof bytes, 0);
        if (got <= 0) {
            return got == 0 ? 0 : -1;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(got));
        return 1;
    }
    bool send(const std::string &bytes)
    {
        std::size_t done = 0;
        while (done < bytes.size()) {
            const ssize_t sent = ::send(this->fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            done += static_cast<std::size_t>(sent);
        }
        return true;
    }
    /** Whether the peer has closed or reset the connection. */
    bool peerClosed() const
    {
        pollfd entry{this->fd, POLLRDHUP, 0};
        return ::poll(&entry, 1, 0) > 0;
    }
};

struct Message {
    std::string first[3]; ///< The three words of the first line.
    Headers headers;
    std::string body;
    bool complete{false};

    int status() const
    {
        return std::atoi(this->first[1].c_str());
    }
    std::string header(const std::string &name) const
    {
        return find(this->headers, name);
    }
};

/** Reads the head of a message. */
inline bool readHead(Connection &connection, Message &message, double until)
{
    std::size_t end = 0;
    while ((end = connection.buffer.find("\r\n\r\n")) == std::string::npos) {
        if (connection.fill(until) <= 0) {
            return false;
        }
    }
    const std::string head = connection.buffer.substr(0, end + 2);
    connection.buffer.erase(0, end + 4);
    std::size_t at = head.find("\r\n");
    const std::string line = head.substr(0, at);
    const std::size_t one = line.find(' ');
    const std::size_t two = line.find(' ', one + 1);
    message.first[0] = line.substr(0, one);
    message.first[1] = one == std::string::npos ? "" : line.substr(one + 1, two == std::string::npos ? two : two - one - 1);
    message.first[2] = two == std::string::npos ? "" : line.substr(two + 1);
    at += 2;
    while (at < head.size()) {
        const std::size_t stop = head.find("\r\n", at);
        const std::string field = head.substr(at, stop - at);
        const std::size_t colon = field.find(':');
        if (colon != std::string::npos) {
            std::size_t value = colon + 1;
            while (value < field.size() && field[value] == ' ') {
                ++value;
            }
            message.headers.emplace_back(field.substr(0, colon), field.substr(value));
        }
        at = stop + 2;
    }
    return true;
}

/** Reads the body that follows a head. @param isAnswer Whether a body without a length ends with the connection. */
inline void readBody(Connection &connection, Message &message, double until, bool isAnswer)
{
    if (sameName(message.header("Transfer-Encoding"), "chunked")) {
        for (;;) {
            std::size_t end = 0;
            while ((end = connection.buffer.find("\r\n")) == std::string::npos) {
                if (connection.fill(until) <= 0) {
                    return;
                }
            }
            const std::size_t size = std::strtoul(connection.buffer.c_str(), nullptr, 16);
            connection.buffer.erase(0, end + 2);
            while (connection.buffer.size() < size + 2) {
                if (connection.fill(until) <= 0) {
                    message.body += connection.buffer.substr(0, size);
                    return;
                }
            }
            message.body += connection.buffer.substr(0, size);
            connection.buffer.erase(0, size + 2);
            if (size == 0) {
                message.complete = true;
                return;
            }
        }
    }
    const std::string length = message.header("Content-Length");
    if (length.empty() && isAnswer) {
        int got = 1;
        while ((got = connection.fill(until)) > 0) {
        }
        message.body = std::move(connection.buffer);
        connection.buffer.clear();
        message.complete = got == 0;
        return;
    }
    const std::size_t size = length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
    while (connection.buffer.size() < size) {
        if (connection.fill(until) <= 0) {
            message.body = connection.buffer;
            return;
        }
    }
    message.body = connection.buffer.substr(0, size);
    connection.buffer.erase(0, size);
    message.complete = true;
}

inline std::string encodeHeaders(const Headers &headers)
{
    std::string text;
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text;
}

inline std::string encodeAnswer(int status, const Headers &headers, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + encodeHeaders(headers) + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline int connectTo(const std::string &address, int port, double timeout = 1.0)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, address.c_str(), &to.sin_addr);
    timeval limit{static_cast<time_t>(timeout), 0};
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
    if (::connect(fd, reinterpret_cast<sockaddr *>(&to), sizeof to) != 0) {
        ::close(fd);
        return -1;
    }
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

/** Sends one request and reads its answer; status 0 if there is none. */
inline Message exchange(Connection &connection, const std::string &method, const std::string &target, Headers headers, const std::string &body, double timeout)
{
    Message answer;
    const double until = now() + timeout;
    if (method != "GET" || !body.empty()) {
        headers.emplace_back("Content-Length", std::to_string(body.size()));
    }
    if (connection.fd < 0 || !connection.send(method + " " + target + " HTTP/1.1\r\n" + encodeHeaders(headers) + "\r\n" + body)) {
        return answer;
    }
    if (readHead(connection, answer, until)) {
        readBody(connection, answer, until, true);
    }
    return answer;
}

/** Makes one call on a new connection, and records it. */
inline Message call(
    const std::string &address, int port, const std::string &method, const std::string &target, const Headers &headers, const std::string &body, double timeout)
{
    const double sentAt = now();
    Connection connection(connectTo(address, port));
    Message answer = exchange(connection, method, target, headers, body, timeout);
    if (target != "/-/ready") {
        const std::string id = find(headers, "X-Skylarkstage-Request-Id");
        record("client: %s %s %s sent to %s at %.3f; answered %d, %s, signature '%s'",
               method.c_str(),
               target.c_str(),
               id.c_str(),
               address.c_str(),
               sentAt,
               answer.status(),
               answer.complete ? "whole" : "not whole",
               answer.header("X-Skylarkstage-Server-Signature").c_str());
    }
    return answer;
}

/** Accepts connections on a loopback address and serves each in a thread of its own. */
struct Server {
    int fd{-1};
    int port{0};
    std::mutex mutex;
    std::set<int> open; ///< Sockets of the open connections.

    /** @param serve Serves one connection until it is to be closed. */
    Server(const std::string &address, std::function<void(Connection &)> serve)
    {
        this->fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in own{};
        own.sin_family = AF_INET;
        inet_pton(AF_INET, address.c_str(), &own.sin_addr);
        socklen_t size = sizeof own;
        if (::bind(this->fd, reinterpret_cast<sockaddr *>(&own), size) != 0 || ::listen(this->fd, 512) != 0) {
            std::perror("listen");
            std::_Exit(exitNotRun);
        }
        ::getsockname(this->fd, reinterpret_cast<sockaddr *>(&own), &size);
        this->port = ntohs(own.sin_port);
        std::thread([this, serve] {
            for (;;) {
                const int socket = ::accept4(this->fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (socket < 0) {
                    return;
                }
                const int on = 1;
                ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
                {
                    const std::lock_guard lock(this->mutex);
                    this->open.insert(socket);
                }
                std::thread([this, serve, socket] {
                    Connection connection(socket);
                    serve(connection);
                    const std::lock_guard lock(this->mutex);
                    this->open.erase(socket);
                    connection.shut();
                }).detach();
            }
        }).detach();
    }
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /** Stops listening and resets all connections, as a process that exits does. */
    void exit()
    {
        ::shutdown(this->fd, SHUT_RDWR);
        ::close(this->fd);
        const std::lock_guard lock(this->mutex);
        for (const int socket : this->open) {
            const linger reset{1, 0};
            ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
            ::shutdown(socket, SHUT_RDWR);
        }
    }
};

// ---------------------------------------------------------------------------------------------------------------- the platform's store

/** The store of the platform, as PROTOCOL describes it. */
struct Store {
    struct Item {
        std::string value; ///< Base64 text.
        std::uint64_t revision{0};
        std::uint64_t created{0};
        std::uint64_t lease{0};
    };
    struct Change {
        double at{0};
        std::uint64_t revision{0};
        std::string key;
        Item item;
        bool removed{false};
    };
    struct Lease {
        double until{0};
        double ttl{0};
    };

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, Item> items;
    std::vector<Change> history;
    std::map<std::uint64_t, Lease> leases;
    std::uint64_t revision{100};
    std::uint64_t nextLease{7000};
    std::uint64_t cuts{0}; ///< Number of times that the waiting watches were cut.
    double staleness{0}; ///< Age in seconds of what serializable reads return.
    std::function<void(const std::string &key, const std::string &value)> onWrite; ///< Called after each write of a key, with its decoded value.
    std::unique_ptr<Server> server;

    Store()
    {
        this->server = std::make_unique<Server>("127.0.0.1", [this](Connection &connection) {
            Message request;
            while (readHead(connection, request, now() + 120)) {
                readBody(connection, request, now() + 30, false);
                std::string answer = this->handle(request);
                if (answer.empty() || !connection.send(answer)) {
                    return;
                }
                request = Message();
            }
        });
        std::thread([this] {
            for (;;) {
                sleepFor(0.02);
                const std::lock_guard lock(this->mutex);
                this->expire();
            }
        }).detach();
    }

    static std::string encode(const std::string &bytes)
    {
        static const char *digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            unsigned group = static_cast<unsigned char>(bytes[i]) << 16U;
            group |= i + 1 < bytes.size() ? static_cast<unsigned char>(bytes[i + 1]) << 8U : 0U;
            group |= i + 2 < bytes.size() ? static_cast<unsigned char>(bytes[i + 2]) : 0U;
            text += digits[group >> 18U];
            text += digits[(group >> 12U) & 63U];
            text += i + 1 < bytes.size() ? digits[(group >> 6U) & 63U] : '=';
            text += i + 2 < bytes.size() ? digits[group & 63U] : '=';
        }
        return text;
    }

    /** Writes a key as the operator or a replica does. */
    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(this->mutex);
        ++this->revision;
        this->apply(key, encode(value), 0, false);
        this->changed.notify_all();
    }
    void remove(const std::string &key)
    {
        const std::lock_guard lock(this->mutex);
        ++this->revision;
        this->apply(key, {}, 0, true);
        this->changed.notify_all();
    }
    /** Cuts the watches that are waiting now. */
    void cutWatches()
    {
        const std::lock_guard lock(this->mutex);
        ++this->cuts;
        this->changed.notify_all();
    }

    void apply(const std::string &key, const std::string &value, std::uint64_t lease, bool removed)
    {
        Item item{value, this->revision, this->revision, lease};
        if (const auto found = this->items.find(key); found != this->items.end()) {
            item.created = found->second.created;
        }
        if (removed) {
            this->items.erase(key);
        } else {
            this->items[key] = item;
        }
        this->history.push_back({now(), this->revision, key, item, removed});
    }
    void endLease(std::uint64_t lease)
    {
        this->leases.erase(lease);
        std::vector<std::string> keys;
        for (const auto &[key, item] : this->items) {
            if (item.lease == lease) {
                keys.push_back(key);
            }
        }
        if (!keys.empty()) {
            ++this->revision;
        }
        for (const std::string &key : keys) {
            this->apply(key, {}, 0, true);
        }
        this->changed.notify_all();
    }
    void expire()
    {
        std::vector<std::uint64_t> ended;
        for (const auto &[lease, state] : this->leases) {
            if (state.until <= now()) {
                ended.push_back(lease);
            }
        }
        for (const std::uint64_t lease : ended) {
            this->endLease(lease);
        }
    }

    static std::string unescape(const std::string &text)
    {
        std::string plain;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                plain += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                plain += text[i];
            }
        }
        return plain;
    }
    static std::string query(const std::string &target, const std::string &name)
    {
        std::size_t at = target.find('?');
        while (at != std::string::npos) {
            const std::size_t end = target.find('&', at + 1);
            const std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            if (pair.rfind(name + "=", 0) == 0) {
                return unescape(pair.substr(name.size() + 1));
            }
            at = end;
        }
        return {};
    }
    static json::object describe(const std::string &key, const Item &item)
    {
        return {{"key", key}, {"value", item.value}, {"revision", item.revision}, {"created", item.created}, {"lease", item.lease}};
    }
    static std::string answer(int status, const json::object &body = {})
    {
        return encodeAnswer(status, {{"Content-Type", "application/json"}}, json::serialize(body));
    }

    std::string range(const std::string &target)
    {
        const std::lock_guard lock(this->mutex);
        const std::string prefix = query(target, "prefix");
        const std::string after = query(target, "after");
        std::map<std::string, Item> state;
        std::uint64_t seen = this->revision;
        if (query(target, "serializable") == "1" && this->staleness > 0) {
            seen = 1;
            for (const Change &change : this->history) {
                if (change.at > now() - this->staleness) {
                    break;
                }
                seen = change.revision;
                if (change.removed) {
                    state.erase(change.key);
                } else {
                    state[change.key] = change.item;
                }
            }
        } else {
            state = this->items;
        }
        json::array found;
        bool more = false;
        std::size_t bytes = 0;
        for (const auto &[key, item] : state) {
            if (key.rfind(prefix, 0) != 0 || key <= after) {
                continue;
            }
            if (found.size() >= 500 || (bytes > 0 && bytes + item.value.size() > 1000000)) {
                more = true;
                break;
            }
            bytes += item.value.size();
            found.push_back(describe(key, item));
        }
        return answer(200, {{"items", found}, {"has_more", more}, {"store_revision", seen}});
    }

    std::string watch(const std::string &target)
    {
        std::unique_lock lock(this->mutex);
        const std::string prefix = query(target, "prefix");
        const std::uint64_t after = std::strtoull(query(target, "after").c_str(), nullptr, 10);
        const double until = now() + std::atof(query(target, "wait_ms").c_str()) / 1000;
        const std::uint64_t cut = this->cuts;
        for (;;) {
            json::array events;
            for (const Change &change : this->history) {
                if (change.revision <= after || change.key.rfind(prefix, 0) != 0) {
                    continue;
                }
                if (change.removed) {
                    events.push_back(json::object{{"key", change.key}, {"revision", change.revision}, {"tombstone", true}});
                } else {
                    events.push_back(describe(change.key, change.item));
                }
            }
            if (!events.empty() || now() >= until) {
                return answer(200, {{"events", events}, {"store_revision", this->revision}});
            }
            if (cut != this->cuts) {
                return {}; // The channel is closed without an answer.
            }
            this->changed.wait_for(lock, std::chrono::duration<double>(std::min(0.5, until - now())));
        }
    }

    std::string transact(const std::string &body)
    {
        std::vector<std::pair<std::string, std::string>> written;
        std::string reply;
        {
            const std::lock_guard lock(this->mutex);
            this->expire();
            const json::value document = json::parse(body);
            const json::object &request = document.as_object();
            bool holds = true;
            json::array present;
            for (const json::value &row : request.at("precondition").as_array()) {
                const std::string key(row.at("key").as_string());
                const auto found = this->items.find(key);
                const std::uint64_t is = found == this->items.end() ? 0 : found->second.revision;
                holds = holds && is == row.at("revision").to_number<std::uint64_t>();
                if (found != this->items.end()) {
                    present.push_back(describe(key, found->second));
                } else {
                    present.push_back(json::object{{"key", key}, {"revision", 0}});
                }
            }
            for (const json::value &row : request.at("writes").as_array()) {
                const std::uint64_t lease = row.at("lease").to_number<std::uint64_t>();
                if (lease != 0 && this->leases.count(lease) == 0) {
                    return answer(404);
                }
            }
            if (!holds) {
                return answer(412, {{"items", present}});
            }
            ++this->revision;
            for (const json::value &row : request.at("writes").as_array()) {
                const std::string key(row.at("key").as_string());
                const std::string value(row.at("value").as_string());
                this->apply(key, value, row.at("lease").to_number<std::uint64_t>(), false);
                written.emplace_back(key, value);
            }
            for (const json::value &key : request.at("remove").as_array()) {
                this->apply(std::string(key.as_string()), {}, 0, true);
            }
            this->changed.notify_all();
            reply = answer(200, {{"revision", this->revision}});
        }
        if (this->onWrite) {
            for (const auto &[key, value] : written) {
                this->onWrite(key, value);
            }
        }
        return reply;
    }

    std::string handle(const Message &request)
    {
        const std::string &method = request.first[0];
        const std::string &target = request.first[1];
        const std::string path = target.substr(0, target.find('?'));
        if (method == "GET" && path == "/-/kv-range") {
            return this->range(target);
        }
        if (method == "GET" && path == "/-/kv-watch") {
            return this->watch(target);
        }
        if (method == "POST" && path == "/-/kv-txn") {
            return this->transact(request.body);
        }
        const std::lock_guard lock(this->mutex);
        this->expire();
        if (method == "GET" && path == "/-/kv-key") {
            const std::string key = query(target, "key");
            const auto found = this->items.find(key);
            return found == this->items.end() ? answer(404) : answer(200, describe(key, found->second));
        }
        if (method == "POST" && path == "/-/kv-lease") {
            const double ttl = json::parse(request.body).at("ttl_ms").to_number<double>() / 1000;
            this->leases[++this->nextLease] = {now() + ttl, ttl};
            return answer(200, {{"lease", this->nextLease}, {"ttl_ms", static_cast<std::int64_t>(ttl * 1000)}});
        }
        const std::uint64_t lease = std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
        if (method == "POST" && path.rfind("/-/kv-keep/", 0) == 0) {
            const auto found = this->leases.find(lease);
            if (found == this->leases.end()) {
                return answer(404);
            }
            found->second.until = now() + found->second.ttl;
            return answer(200, {{"ttl_ms", static_cast<std::int64_t>(found->second.ttl * 1000)}});
        }
        if (method == "DELETE" && path.rfind("/-/kv-lease-end/", 0) == 0) {
            this->endLease(lease);
            return answer(200);
        }
        return answer(404);
    }
};

// ---------------------------------------------------------------------------------------------------------------- replicas

/** One request that a replica ran. */
struct Run {
    std::string replica;
    std::string id;
    std::string target;
    double at{0};
    unsigned after{0};
    bool finished{false};
    double finishedAt{0};
};

/** A replica: it streams events to a request for tokens, and answers any other request whole. */
struct Replica {
    std::string id;
    std::string service;
    std::string zone;
    unsigned slots{8};
    unsigned events{30}; ///< Events of a stream.
    double step{0.01}; ///< Seconds an event.
    std::atomic<unsigned> active{0};
    std::atomic<bool> running{true};
    std::mutex mutex;
    std::vector<Run> runs;
    std::unique_ptr<Server> server;
    std::function<void(const Run &)> onRun; ///< Called when a request begins to run.
    std::function<bool(Connection &, const Message &)> serveOther; ///< Answers a request itself if it returns true; called in place of the usual answer.

    Replica(std::string name, std::string serviceName, std::string zoneName)
        : id(std::move(name))
        , service(std::move(serviceName))
        , zone(std::move(zoneName))
    {
        this->server = std::make_unique<Server>("127.0.0.1", [this](Connection &connection) {
            Message request;
            while (readHead(connection, request, now() + 120)) {
                readBody(connection, request, now() + 30, false);
                if (!request.complete || !this->serve(connection, request)) {
                    return;
                }
                request = Message();
            }
        });
    }

    std::string entry(const std::string &state = "ready") const
    {
        return json::serialize(json::object{{"service", this->service},
                                            {"address", "127.0.0.1:" + std::to_string(this->server->port)},
                                            {"zone", this->zone},
                                            {"version", "v1"},
                                            {"slots", this->slots},
                                            {"state", state},
                                            {"cold_remaining_ms", 0},
                                            {"stage", "combined"},
                                            {"models", json::array{json::object{{"name", "m"}, {"version", 1}, {"adapters", json::array{}}}}},
                                            {"sequence", 4}});
    }

    static std::string data(const std::string &request, unsigned event)
    {
        return "d-" + request + "-" + std::to_string(event);
    }

    /** Answers one request. Returns whether the connection stays open. */
    bool serve(Connection &connection, const Message &request)
    {
        const std::string id = request.header("X-Skylarkstage-Request-Id");
        const std::string expected = request.header("X-Skylarkstage-Expect-Instance");
        if (request.first[0] == "GET" && request.first[1] == "/health") {
            return connection.send(encodeAnswer(200, {{"X-Skylarkstage-Instance-Id", this->id}}, ""));
        }
        if (!expected.empty() && expected != this->id) {
            return connection.send(encodeAnswer(421, {{"X-Skylarkstage-Instance-Id", this->id}}, ""));
        }
        if (this->active >= this->slots + 24) {
            return connection.send(encodeAnswer(503, {{"X-Skylarkstage-Request-Id", id}, {"X-Skylarkstage-Not-Executed", "1"}}, ""));
        }
        Run run{this->id, id, request.first[1], now(), static_cast<unsigned>(std::atoi(request.header("Last-Event-Id").c_str())), false, 0};
        std::size_t index = 0;
        {
            const std::lock_guard lock(this->mutex);
            index = this->runs.size();
            this->runs.push_back(run);
        }
        record("replica %s: runs %s for %s after event %u", this->id.c_str(), id.c_str(), run.target.c_str(), run.after);
        if (this->onRun) {
            this->onRun(run);
        }
        ++this->active;
        const bool kept = this->answerRun(connection, request, run);
        --this->active;
        if (kept) {
            const std::lock_guard lock(this->mutex);
            this->runs[index].finished = true;
            this->runs[index].finishedAt = now();
        }
        return kept;
    }

    bool answerRun(Connection &connection, const Message &request, const Run &run)
    {
        const Headers common{{"X-Skylarkstage-Request-Id", run.id}, {"X-Skylarkstage-Server-Signature", "s-" + this->id + "-" + run.id}};
        if (this->serveOther && this->serveOther(connection, request)) {
            return true;
        }
        if (request.header("X-Skylarkstage-Model").empty()) {
            sleepFor(this->step);
            return connection.send(encodeAnswer(200, common, data(run.id, 1)));
        }
        if (!connection.send("HTTP/1.1 200 OK\r\n" + encodeHeaders(common) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
            return false;
        }
        for (unsigned event = run.after + 1; event <= this->events; ++event) {
            sleepFor(this->step);
            const std::string text = "id: " + std::to_string(event) + "\ndata: " + data(run.id, event) + "\n\n";
            char size[32];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            if (!this->running || connection.peerClosed() || !connection.send(size + text + "\r\n")) {
                return false;
            }
        }
        return connection.send("0\r\n\r\n");
    }

    /** Ends the replica. */
    void exit()
    {
        this->running = false;
        this->server->exit();
    }

    std::vector<Run> allRuns()
    {
        const std::lock_guard lock(this->mutex);
        return this->runs;
    }
};

// ---------------------------------------------------------------------------------------------------------------- hosts under test

/** Bounds of the settings; the values of the site dodo-masks. */
inline const char *const siteBounds = "[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4.7\ndrain_ms = 2000\n"
                                      "grace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\nmax_stretch_ms = 5000\n"
                                      "recovery_s = 12\npass_ms = 120\nretry_after_s = 0\ncompletion_window_s = 18\nstatus_s = 120\ncancel_ms = 3000\n"
                                      "settle_ms = 1000\nquota_overage = 0.1\n";

/** A port that is free for TCP and UDP on @p address, from @p first on; below the range of which the system gives ports to clients. */
inline int freePort(const std::string &address, int first)
{
    sockaddr_in own{};
    own.sin_family = AF_INET;
    inet_pton(AF_INET, address.c_str(), &own.sin_addr);
    for (int port = first; port < first + 1000; ++port) {
        own.sin_port = htons(static_cast<std::uint16_t>(port));
        const int stream = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int datagram = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const bool isFree =
            ::bind(stream, reinterpret_cast<sockaddr *>(&own), sizeof own) == 0 && ::bind(datagram, reinterpret_cast<sockaddr *>(&own), sizeof own) == 0;
        ::close(stream);
        ::close(datagram);
        if (isFree) {
            return port;
        }
    }
    std::fprintf(stderr, "no free port on %s\n", address.c_str());
    std::_Exit(exitNotRun);
}

struct Host {
    std::string name;
    std::string zone;
    std::string address;
    int front{0};
    int readiness{0};
    std::string settings;
    std::string output;
    pid_t pid{0};

    bool ready() const
    {
        return call(this->address, this->readiness, "GET", "/-/ready", {{"Host", "ready"}}, "", 1.0).status() == 200;
    }
    void signal(int number) const
    {
        ::kill(this->pid, number);
    }
};

/** The hosts of a small deployment with a store and replicas. */
struct Site {
    std::filesystem::path folder;
    Store store;
    std::vector<std::unique_ptr<Replica>> replicas;
    std::vector<std::unique_ptr<Host>> hosts;

    Site()
    {
        std::string path = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
        if (::mkdtemp(path.data()) == nullptr) {
            std::_Exit(exitNotRun);
        }
        this->folder = path;
    }

    Replica &addReplica(const std::string &id, const std::string &service, const std::string &zone)
    {
        this->replicas.push_back(std::make_unique<Replica>(id, service, zone));
        return *this->replicas.back();
    }
    void list(const Replica &replica, const std::string &state = "ready")
    {
        this->store.put("servers/" + replica.id, replica.entry(state));
    }

    void writeSettings(const Host &host, const std::vector<std::string> &zones)
    {
        const int internal = freePort(host.address, 23000);
        std::ofstream file(host.settings);
        file << "node = \"" << host.name << "\"\nrole = \"entry\"\nmachine_class = \"front\"\nserves = [\"front\"]\nip = \"" << host.address << "\"\nzone = \""
             << host.zone << "\"\nregion = \"mru\"\ninternal_ports = [" << internal << "," << internal + 1
             << "]\nseeds = []\nbootstrap = true\nin_fault_budget = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n"
             << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"batch\",\"stream\",\"engine\",\"platform\"]\n[zones]\n";
        for (const std::string &zone : zones) {
            file << zone << " = \"mru\"\n";
        }
        file << "[listen]\nfront = \"" << host.address << ':' << host.front << "\"\nreadiness = \"" << host.address << ':' << host.readiness
             << "\"\n[limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nfds = 4200\nlink_mbps = 1000.0\ndisk_mb = 0\n"
             << "[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
             << siteBounds << "[platform]\naddress = \"127.0.0.1:" << this->store.server->port
             << "\"\nform = \"kv\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nmin_ttl_ms = 1000\n";
    }

    /** Adds a host and writes its settings. Each has a loopback address of its own, as a machine has. */
    Host &addHost(const std::string &zone, const std::vector<std::string> &zones)
    {
        auto host = std::make_unique<Host>();
        const auto number = this->hosts.size() + 1;
        host->name = "front-" + zone + "-" + std::to_string(number);
        host->zone = zone;
        host->address = "127." + std::to_string(10 + ::getpid() % 200) + "." + std::to_string(1 + ::getpid() / 200 % 250) + "." + std::to_string(number);
        host->front = freePort(host->address, 21000);
        host->readiness = freePort(host->address, 22000);
        host->settings = (this->folder / (host->name + ".toml")).string();
        host->output = (this->folder / (host->name + ".log")).string();
        this->writeSettings(*host, zones);
        this->hosts.push_back(std::move(host));
        return *this->hosts.back();
    }

    /** Starts the program with the command of the deploy file. */
    void start(Host &host)
    {
        const pid_t parent = ::getpid();
        const pid_t pid = ::fork();
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent) {
                std::_Exit(1);
            }
            const int out = ::open(host.output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
            ::dup2(out, 1);
            ::dup2(out, 2);
            const std::string boot = "SKYLARKSTAGE_BOOT=" + host.settings;
            const char *program = std::getenv("REVIEW_HOST");
            program = program != nullptr ? program : "target/skylark-host";
            char *arguments[] = {const_cast<char *>(program), nullptr};
            char *environment[] = {const_cast<char *>(boot.c_str()), nullptr};
            ::execve(program, arguments, environment);
            std::_Exit(127);
        }
        host.pid = pid;
    }

    /** Starts all hosts and waits until they are ready. */
    void startAll()
    {
        for (const auto &host : this->hosts) {
            this->start(*host);
        }
        const double until = now() + 15;
        for (const auto &host : this->hosts) {
            while (!host->ready()) {
                if (now() > until) {
                    record("host %s is not ready: the case could not run", host->name.c_str());
                    this->finish(exitNotRun);
                }
                sleepFor(0.1);
            }
        }
        record("all %zu hosts are ready", this->hosts.size());
    }

    /** Ends all processes that the case started, and the case. */
    [[noreturn]] void finish(int code)
    {
        for (const auto &host : this->hosts) {
            if (host->pid > 0) {
                ::kill(host->pid, SIGCONT);
                ::kill(host->pid, SIGKILL);
                ::waitpid(host->pid, nullptr, 0);
            }
        }
        record("%s", code == exitHeld ? "HELD" : code == exitBroken ? "BROKEN" : "NOT RUN");
        if (const char *keep = std::getenv("REVIEW_KEEP"); keep == nullptr) {
            std::error_code ignored;
            std::filesystem::remove_all(this->folder, ignored);
        } else {
            std::fprintf(stderr, "logs are in %s\n", this->folder.c_str());
        }
        std::printf("%s\n", code == exitHeld ? "held" : code == exitBroken ? "broken" : "not run");
        std::fflush(stdout);
        std::_Exit(code);
    }
};

/** Opens record.txt, whose path is the first argument. */
inline void begin(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    recordFile = argc > 1 ? std::fopen(argv[1], "w") : nullptr;
    if (recordFile == nullptr) {
        std::fprintf(stderr, "usage: case RECORD\n");
        std::_Exit(exitNotRun);
    }
    record("trouble: %s", hasTrouble() ? "yes" : "no");
}

inline std::string randomId()
{
    static std::atomic<unsigned> number{0};
    static const unsigned seed = static_cast<unsigned>(std::chrono::system_clock::now().time_since_epoch().count());
    char text[32];
    std::snprintf(text, sizeof text, "%08x%08x", seed, ++number);
    return text;
}

inline json::object route(const std::string &name, const std::string &prefix, const std::string &kind, const std::string &service, json::object more = {})
{
    json::object object{{"name", name},
                        {"host", "ficu95.example"},
                        {"prefix", prefix},
                        {"kind", kind},
                        {"timeout_ms", 5000},
                        {"target_latency_ms", 300},
                        {"priority", 0},
                        {"service", service},
                        {"max_attempts", 2}};
    for (const auto &entry : more) {
        object[entry.key()] = entry.value();
    }
    return object;
}

inline std::string config(std::uint64_t version, const json::array &routes, const std::vector<std::string> &services)
{
    json::array listed;
    for (const std::string &service : services) {
        listed.push_back(json::object{{"name", service}, {"health_path", "/health"}, {"max_connections", 300}, {"protocol", "h1"}, {"tls", false}});
    }
    return json::serialize(json::object{
        {"version", version},
        {"routes", routes},
        {"services", listed},
        {"limits", json::object{{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}}});
}

/** One batch job with @p items items. */
struct Lot {
    std::string id;
    std::string prefix{"/pule252/"}; ///< Prefix of the batch route.
    std::string body;
    std::vector<std::string> items;
};

/** @param prefix Prefix of the batch route. */
inline Lot makeLot(unsigned items, unsigned tokens, const std::string &prefix = "/pule252/")
{
    Lot lot;
    lot.id = randomId();
    lot.prefix = prefix;
    json::array list;
    for (unsigned i = 0; i < items; ++i) {
        lot.items.push_back(randomId());
        list.push_back(json::object{{"id", lot.items.back()},
                                    {"path", prefix + "3/" + std::to_string(i)},
                                    {"headers",
                                     json::object{{"X-Skylarkstage-Model", "m"},
                                                  {"X-Skylarkstage-Token-Usage", "350," + std::to_string(tokens - 350)},
                                                  {"X-Skylarkstage-Prompt-Prefix", "9c2e41:100," + lot.items.back() + ":250"}}},
                                    {"body", "q83vEjRWeJA="},
                                    {"tokens", tokens}});
    }
    lot.body = json::serialize(json::object{{"items", list}});
    return lot;
}

inline Message submit(const Host &host, const Lot &lot, double timeout = 4.0)
{
    return call(
        host.address,
        host.front,
        "POST",
        lot.prefix + lot.id.substr(0, 6),
        {{"Host", "ficu95.example"}, {"X-Skylarkstage-Request-Id", lot.id}, {"Content-Type", "application/json"}, {"X-Skylarkstage-Deadline-Ms", "4000"}},
        lot.body,
        timeout);
}

} // namespace kit
