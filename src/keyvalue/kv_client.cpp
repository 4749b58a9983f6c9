/** @file kv_client.cpp Creation of the client of the platform's key-value service. */
#include "keyvalue/kv_client_func.h"

#include <boost/asio/ip/address.hpp>

namespace skylark {

namespace asio = boost::asio;

Result<std::shared_ptr<KvClient>> KvClient::create(Endpoint endpoint, std::shared_ptr<HttpClient> http)
{
    boost::system::error_code error;
    asio::ip::make_address(endpoint.address, error);
    if (error || endpoint.port == 0) {
        return makeError(ErrorCode::InvalidSettings, "address of the key-value service is not an IP address with a port: " + endpoint.address);
    }
    auto client = std::make_shared<KvClient>();
    client->endpoint = std::move(endpoint);
    client->http = std::move(http);
    return client;
}

} // namespace skylark
