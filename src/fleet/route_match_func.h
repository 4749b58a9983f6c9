/** @file route_match_func.h Selects the route and the service of a request. */
#pragma once

#include "fleet/fleet_type.h"

#include <string_view>

namespace skylark {

/** @return The route of @p host, a Host header, whose prefix is the longest one that @p path starts with; null when there is none. */
[[nodiscard]] const RouteRule *matchRoute(const RoutingConfig &config, std::string_view host, std::string_view path);

/** @return A service of @p route, chosen in proportion to the weights. @param draw Uniform random number. */
[[nodiscard]] const ServiceId &chooseService(const RouteRule &route, std::uint64_t draw);

} // namespace skylark
