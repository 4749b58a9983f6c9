/** @file origin_link_func.h Exchange of the origins of streams between entry hosts; used on the traffic thread only. */
#pragma once

#include "entry/peer_link_func.h"
#include "peer/status_exchange_func.h"

#include <boost/asio/awaitable.hpp>

namespace skylark {

/** Sends the origin of a stream that this host has begun or continued to the keepers of its record. @param stream Key of the stream. */
void sendOriginRecord(PeerLink::Impl &link, std::uint64_t stream, const ServiceVersion &origin);

/** Asks the keepers of a stream's record for its origin. @return Empty if none of them has answered that it knows the origin. */
boost::asio::awaitable<std::optional<ServiceVersion>> askOrigin(std::shared_ptr<PeerLink::Impl> link, std::uint64_t stream);

/** Sets the handlers of records, of questions of other hosts, and of their answers. */
void addOriginHandlers(const std::weak_ptr<PeerLink::Impl> &link, StatusHandlers &handlers);

} // namespace skylark
