/** @file ctl_http_func.h HTTP calls of skylarkctl to hosts. */
#pragma once

#include "ctl/ctl_type.h"

#include <boost/json.hpp>
#include <functional>
#include <optional>

namespace skylark {

/** Response of a host. */
struct CtlAnswer {
    int status{0}; ///< HTTP status code.
    std::string body; ///< Complete body; of a streamed 200 response it stays empty.
    boost::json::value json; ///< Parsed body; null when it is not JSON.
    Endpoint endpoint; ///< Host that answered.
};

/**
 * Sends one request to one host over a new connection and waits for the complete response.
 * @param firstByteTimeout Longest wait for the first byte of the response.
 */
[[nodiscard]] Result<CtlAnswer> callHost(const Endpoint &endpoint,
                                         const HttpRequest &request,
                                         std::chrono::milliseconds firstByteTimeout = std::chrono::seconds(15));

/**
 * Sends one request to each host in turn until one answers with a status other than 503.
 * @param request Must be safe to send twice: a read, or a write that hosts deduplicate by an id or key.
 * @param firstByteTimeout Longest wait for the first byte from one host.
 * @return The first such response; otherwise the last 503, or the last error when no host answered.
 */
[[nodiscard]] Result<CtlAnswer> callAny(const std::vector<Endpoint> &endpoints,
                                        const HttpRequest &request,
                                        std::chrono::milliseconds firstByteTimeout = std::chrono::seconds(15));

/** Reads a path of the admin interface from any host and prints failures. @return Nothing after a failure, with the exit code in @p code. */
[[nodiscard]] std::optional<CtlAnswer> readAdmin(const CtlOptions &options,
                                                 const std::string &target,
                                                 ExitCode &code,
                                                 std::chrono::milliseconds firstByteTimeout = std::chrono::seconds(3));

/** Prints the error in @p answer. @return The matching exit code; Ok for a 2xx response, without printing. */
[[nodiscard]] ExitCode reportAnswer(const Result<CtlAnswer> &answer);

/** Prints @p text as an error message. @return ExitCode::Usage. */
ExitCode usageError(const std::string &text);

/** Passes the body of a 200 response to @p sink as it arrives. @return The response, with the body only for another status. */
[[nodiscard]] Result<CtlAnswer> streamHost(const Endpoint &endpoint, const HttpRequest &request, const std::function<void(const std::string &)> &sink);

/**
 * Reads @p target from one live host of each failure domain and concatenates the arrays under @p member of the responses.
 * Each element gets the member "domain". A failure domain of which no host answers is reported as an error message.
 * @return Nothing, with the exit code in @p code, when the list of hosts cannot be read.
 */
[[nodiscard]] std::optional<boost::json::array> readEachDomain(const CtlOptions &options, const std::string &target, const char *member, ExitCode &code);

/** Parses a list such as "address:port,address:port". @return Nothing when an entry is malformed; an empty list for an empty text. */
[[nodiscard]] std::optional<std::vector<Endpoint>> parseEndpoints(std::string_view text);

/** Reads a file, or standard input for "-". @return Nothing when the file cannot be opened. */
[[nodiscard]] std::optional<std::string> readWholeFile(const std::string &path);

} // namespace skylark
