/** @file client_crowd_func.h A crowd of HTTP clients that send or read in ways that no server chooses, driven by one poll loop. */
#pragma once

#include "http/http_type.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace skylark::test {

/** What one client sends, and how it reads. */
struct ClientScript {
    std::string head; ///< Sent first; "@ID" in it is replaced by an identifier of the client.
    std::string filler; ///< Sent again and again after the head.
    std::uint64_t fillerBytes{0}; ///< Bytes of filler in total.
    std::string tail; ///< Sent last; empty for a client that stops before the end.
    std::size_t pieceBytes{std::size_t{64} << 10U}; ///< Largest number of bytes of one write.
    std::size_t readBytes{std::size_t{64} << 10U}; ///< Bytes of one read, of which slow readers make 20 a second; 0 for a client that reads nothing.
};

/** One client of the crowd. */
struct CrowdClient {
    ClientScript script;
    int socket{-1}; ///< -1 once the server has closed the connection.
    std::uint64_t sent{0}; ///< Bytes sent.
    std::chrono::steady_clock::time_point readAt; ///< Time of the last read.
    std::string received; ///< First bytes of the answer.

    CrowdClient() = default;
    CrowdClient(const CrowdClient &) = delete;
    CrowdClient &operator=(const CrowdClient &) = delete;
    ~CrowdClient();
};

/** The clients; their connections stay open until the crowd is destroyed or the server closes them. */
using ClientCrowd = std::vector<std::unique_ptr<CrowdClient>>;

/** Opens a connection for each of @p count clients with the same script. A connection that is refused counts as closed. */
void addClients(ClientCrowd &crowd, const Endpoint &server, const ClientScript &script, unsigned count);

/**
 * Lets all clients send and read until none of them has moved a byte for a while, or for 12 s in all.
 * @param onTurn Called several times a second.
 */
void runCrowd(ClientCrowd &crowd, const std::function<void()> &onTurn);

} // namespace skylark::test
