/** @file ctl_http_func.h Calls of skylarkctl to hosts. */
#pragma once

#include "ctl/ctl_type.h"

#include <boost/json.hpp>
#include <functional>
#include <optional>

namespace skylark {

/** Answer of a host. */
struct CtlAnswer {
    int status{0}; ///< HTTP status.
    std::string body; ///< Whole body.
    boost::json::value json; ///< Body parsed; null when it is not JSON.
    Endpoint endpoint; ///< Host that answered.
};

/** Sends one request to one host. */
[[nodiscard]] Result<CtlAnswer> callHost(const Endpoint &endpoint, const HttpRequest &request, std::chrono::milliseconds limit = std::chrono::seconds(15));

/**
 * Sends one request to the first host that answers; a host that is unreachable or answers 503 is passed over.
 * @param request Must be safe to send twice: a read, or a write that the fleet recognises.
 * @param limit Longest wait for one host.
 */
[[nodiscard]] Result<CtlAnswer> callAny(const std::vector<Endpoint> &endpoints,
                                        const HttpRequest &request,
                                        std::chrono::milliseconds limit = std::chrono::seconds(15));

/** Reads an admin path from any host; prints failures. @return Nothing after a failure, with the exit code in @p code. */
[[nodiscard]] std::optional<CtlAnswer> readAdmin(const CtlOptions &options,
                                                 const std::string &target,
                                                 ExitCode &code,
                                                 std::chrono::milliseconds limit = std::chrono::seconds(3));

/** Prints the failure of @p answer. @return The exit code that stands for it; Ok for a 2xx answer, without printing. */
[[nodiscard]] ExitCode reportAnswer(const Result<CtlAnswer> &answer);

/** Prints @p text as an error. @return Usage. */
ExitCode usageError(const std::string &text);

/** Streams the body of a GET into @p sink. @return The status, or the error. */
[[nodiscard]] Result<CtlAnswer> streamHost(const Endpoint &endpoint, const HttpRequest &request, const std::function<void(const std::string &)> &sink);

/** Reads one live host of each failure domain and joins the arrays under @p member of their answers. */
[[nodiscard]] std::optional<boost::json::array> readEachDomain(const CtlOptions &options, const std::string &target, const char *member, ExitCode &code);

/** Parses "address:port,address:port". */
[[nodiscard]] std::optional<std::vector<Endpoint>> parseEndpoints(std::string_view text);

/** Reads a whole file, or standard input for "-". */
[[nodiscard]] std::optional<std::string> readWholeFile(const std::string &path);

} // namespace skylark
