/** @file kv_lease.cpp Leases of the key-value service. */
#include "keyvalue/kv_call_func.h"

#include "core/json_member_func.h"

namespace skylark {

namespace asio = boost::asio;

namespace {

/** Makes a call on an existing lease that returns no data. */
asio::awaitable<Result<Done>> leaseCall(KvClient &client, std::string method, std::string target, LeaseId lease)
{
    HttpRequest request;
    request.method = std::move(method);
    request.target = std::move(target);
    const auto answer = co_await kvCall(client, KvCallKind::Write, std::move(request));
    if (!isOk(answer)) {
        co_return errorOf(answer);
    }
    if (valueOf(answer).status == 410) {
        co_return unknownLease(lease);
    }
    if (valueOf(answer).status != 200) {
        co_return unexpectedResponse(KvCallKind::Write, valueOf(answer));
    }
    co_return Done{};
}

} // namespace

asio::awaitable<Result<LeaseId>> kvGrantLease(KvClient &client, std::chrono::milliseconds ttl)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/leases";
    request.body = R"({"ttl_ms":)" + std::to_string(ttl.count()) + "}";
    const auto answer = co_await kvCallForObject(client, KvCallKind::Write, std::move(request));
    if (!isOk(answer)) {
        co_return errorOf(answer);
    }
    LeaseId lease{stringMember(valueOf(answer), "lease")};
    if (lease.empty()) {
        co_return makeError(ErrorCode::ProtocolError, "response to a lease request has no lease id", RunState::Maybe);
    }
    co_return lease;
}

asio::awaitable<Result<Done>> kvRenewLease(KvClient &client, LeaseId lease)
{
    std::string target = "/leases/" + percentEncode(lease.value) + "/renew";
    co_return co_await leaseCall(client, "POST", std::move(target), std::move(lease));
}

asio::awaitable<Result<Done>> kvRevokeLease(KvClient &client, LeaseId lease)
{
    std::string target = "/leases/" + percentEncode(lease.value);
    co_return co_await leaseCall(client, "DELETE", std::move(target), std::move(lease));
}

} // namespace skylark
