/** @file route_match_func.h Choice of the route and service of a request. */
#pragma once

#include "fleet/fleet_type.h"

#include <string_view>

namespace skylark {

/** @return The route of @p host with the longest prefix that begins @p path, or null. */
[[nodiscard]] const RouteRule *matchRoute(const RoutingConfig &config, std::string_view host, std::string_view path);

/** @return The service that @p draw, a uniform random number, selects by weight. */
[[nodiscard]] const ServiceId &chooseService(const RouteRule &route, std::uint64_t draw);

} // namespace skylark
