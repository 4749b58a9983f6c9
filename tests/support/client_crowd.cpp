/** @file client_crowd.cpp A crowd of HTTP clients that send or read in ways that no server chooses, driven by one poll loop. */
#include "support/client_crowd_func.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace skylark::test {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds longestRun{12000}; ///< Clients that keep moving a few bytes would otherwise never end the run.
constexpr milliseconds quietTime{1500}; ///< Longer than the pauses of a server that reads on once it has memory again.
constexpr milliseconds turnTime{50};
constexpr std::size_t slowReadBytes = 1024; ///< Reads that are shorter are made once in a turn time.
constexpr std::size_t keptBytes = 512; ///< Kept of each answer.

void closeClient(CrowdClient &client)
{
    ::close(client.socket);
    client.socket = -1;
}

std::uint64_t totalBytes(const ClientScript &script)
{
    return script.head.size() + script.fillerBytes + script.tail.size();
}

/** @return The next bytes to send, at most pieceBytes. */
std::string nextPiece(const CrowdClient &client)
{
    const ClientScript &script = client.script;
    if (client.sent < script.head.size()) {
        return script.head.substr(client.sent);
    }
    const std::uint64_t after = client.sent - script.head.size();
    if (after >= script.fillerBytes) {
        return script.tail.substr(after - script.fillerBytes);
    }
    const std::size_t size = std::min<std::uint64_t>(script.pieceBytes, script.fillerBytes - after);
    std::string piece = script.filler.substr(after % script.filler.size());
    while (piece.size() < size) {
        piece += script.filler;
    }
    piece.resize(size);
    return piece;
}

/** Sends one piece. @return Whether a byte was moved. */
bool sendPiece(CrowdClient &client)
{
    const std::string piece = nextPiece(client);
    const auto sent = ::send(client.socket, piece.data(), piece.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent > 0) {
        client.sent += static_cast<std::uint64_t>(sent);
        return true;
    }
    if (sent < 0 && errno != EAGAIN) {
        closeClient(client);
    }
    return false;
}

/** Reads one piece of the answer. @return Whether a byte was moved. */
bool readPiece(CrowdClient &client)
{
    client.readAt = std::chrono::steady_clock::now();
    std::array<char, std::size_t{64} << 10U> bytes{};
    const auto got = ::recv(client.socket, bytes.data(), std::min(bytes.size(), client.script.readBytes), MSG_DONTWAIT);
    if (got > 0) {
        client.received.append(bytes.data(), std::min<std::size_t>(static_cast<std::size_t>(got), keptBytes - std::min(keptBytes, client.received.size())));
        return true;
    }
    if (got == 0 || errno != EAGAIN) {
        closeClient(client);
    }
    return false;
}

/** @return The events that a client waits for. */
short eventsOf(const CrowdClient &client)
{
    const int writes = client.sent < totalBytes(client.script) ? POLLOUT : 0;
    const bool slow = client.script.readBytes < slowReadBytes;
    const bool due = !slow || std::chrono::steady_clock::now() - client.readAt >= turnTime;
    const int reads = client.script.readBytes > 0 && due ? POLLIN : 0;
    return static_cast<short>(writes | reads);
}

/** Lets each client move at most one piece in each direction. @return Whether any of them did. */
bool runTurn(ClientCrowd &crowd)
{
    std::vector<pollfd> entries;
    for (const auto &client : crowd) {
        entries.push_back({client->socket, eventsOf(*client), 0});
    }
    if (::poll(entries.data(), entries.size(), static_cast<int>(turnTime.count())) <= 0) {
        return false;
    }
    bool moved = false;
    for (std::size_t i = 0; i < crowd.size(); ++i) {
        CrowdClient &client = *crowd[i];
        const int ready = entries[i].revents;
        if (client.socket >= 0 && (ready & POLLIN) != 0) {
            moved = readPiece(client) || moved;
        }
        if (client.socket >= 0 && (ready & POLLOUT) != 0) {
            moved = sendPiece(client) || moved;
        }
        if (client.socket >= 0 && (ready & (POLLERR | POLLHUP)) != 0 && (ready & POLLIN) == 0) {
            closeClient(client);
        }
    }
    return moved;
}

} // namespace

CrowdClient::~CrowdClient()
{
    if (this->socket >= 0) {
        ::close(this->socket);
    }
}

void addClients(ClientCrowd &crowd, const Endpoint &server, const ClientScript &script, unsigned count)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    ::inet_pton(AF_INET, server.address.c_str(), &address.sin_addr);
    for (unsigned i = 0; i < count; ++i) {
        auto client = std::make_unique<CrowdClient>();
        client->script = script;
        if (const auto at = script.head.find("@ID"); at != std::string::npos) {
            client->script.head.replace(at, 3, "client-" + std::to_string(crowd.size()));
        }
        client->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (script.readBytes < slowReadBytes) {
            // A small window, so that the answer stays with the server and not in the kernel's buffers.
            const int window = 4096;
            ::setsockopt(client->socket, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
        }
        if (::connect(client->socket, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
            closeClient(*client);
        }
        crowd.push_back(std::move(client));
    }
}

void runCrowd(ClientCrowd &crowd, const std::function<void()> &onTurn)
{
    const auto startedAt = std::chrono::steady_clock::now();
    auto movedAt = startedAt;
    auto turnAt = startedAt;
    for (auto now = startedAt; now - startedAt < longestRun && now - movedAt < quietTime; now = std::chrono::steady_clock::now()) {
        if (runTurn(crowd)) {
            movedAt = now;
        }
        if (now - turnAt >= turnTime) {
            turnAt = now;
            onTurn();
        }
    }
}

} // namespace skylark::test
