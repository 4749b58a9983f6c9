/** @file route_match.cpp Selects the route and the service of a request. */
#include "fleet/route_match_func.h"

#include <boost/algorithm/string/predicate.hpp>

namespace skylark {

namespace {

/** @return @p host without its port, if it has one. */
std::string_view withoutPort(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    return colon == std::string_view::npos ? host : host.substr(0, colon);
}

} // namespace

const RouteRule *matchRoute(const RoutingConfig &config, std::string_view host, std::string_view path)
{
    const std::string_view name = withoutPort(host);
    const RouteRule *best = nullptr;
    for (const RouteRule &route : config.routes) {
        const bool longer = best == nullptr || route.prefix.size() > best->prefix.size();
        if (longer && path.starts_with(route.prefix) && boost::algorithm::iequals(route.host, name)) {
            best = &route;
        }
    }
    return best;
}

const ServiceId &chooseService(const RouteRule &route, std::uint64_t draw)
{
    std::uint64_t total = 0;
    for (const WeightedService &entry : route.services) {
        total += entry.weight;
    }
    if (total == 0) {
        return route.services.front().service;
    }
    std::uint64_t rest = draw % total;
    for (const WeightedService &entry : route.services) {
        if (rest < entry.weight) {
            return entry.service;
        }
        rest -= entry.weight;
    }
    return route.services.back().service;
}

} // namespace skylark
