#include "cuminferry_table/routes/route_table.h"

#include <algorithm>
#include <utility>

namespace cuminferry {
namespace {

std::string PrefixKeyOf(std::string_view host, std::string_view prefix) {
  std::string key(host);
  key += '\n';
  key += prefix;
  return key;
}

// The host header of a request may carry a port after the name.
std::string NormalizedHost(std::string_view host) {
  return ToLowerAscii(host.substr(0, host.find(':')));
}

}  // namespace

absl::StatusOr<std::shared_ptr<const route_table>> route_table::Make(
    std::uint64_t version, std::vector<http_route> routes, std::vector<routed_service> services,
    const client_limits& limits, std::shared_ptr<const customer_registry> customers) {
  std::shared_ptr<route_table> table(new route_table);
  table->version_ = version;
  table->routes_ = std::move(routes);
  table->services_ = std::move(services);
  table->limits_ = limits;
  table->customers_ = std::move(customers);
  const absl::Status indexed = table->Index();
  if (!indexed.ok()) {
    return indexed;
  }
  return table;
}

absl::Status route_table::Index() {
  for (std::size_t i = 0; i < services_.size(); ++i) {
    by_service_.emplace(services_[i].name, i);
  }
  for (std::size_t i = 0; i < routes_.size(); ++i) {
    const http_route& route = routes_[i];
    if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/') {
      return MakeStatus(result_code::kTableBadPattern, route.name + ": " + route.prefix);
    }
    if (!by_prefix_.emplace(PrefixKeyOf(NormalizedHost(route.host), route.prefix), i).second) {
      return MakeStatus(result_code::kTableDuplicateRow, route.name);
    }
    if (route.timeout <= duration::zero() || route.attempts == 0 || route.services.empty()) {
      return MakeStatus(result_code::kTableOutOfRange, route.name);
    }
    for (const weighted_service& weighted : route.services) {
      if (!by_service_.contains(weighted.service)) {
        return MakeStatus(result_code::kTableUnknownService, route.name + ": " + weighted.service);
      }
    }
    max_priority_ = std::max(max_priority_, route.priority);
  }
  return absl::OkStatus();
}

const http_route* route_table::Find(std::string_view host, std::string_view path) const {
  const std::string normalized_host = NormalizedHost(host);
  path = path.substr(0, path.find('?'));
  for (std::size_t end = path.rfind('/'); end != std::string_view::npos;) {
    const auto found = by_prefix_.find(PrefixKeyOf(normalized_host, path.substr(0, end + 1)));
    if (found != by_prefix_.end()) {
      return &routes_[found->second];
    }
    if (end == 0) {
      break;
    }
    end = path.rfind('/', end - 1);
  }
  return nullptr;
}

const routed_service* route_table::FindService(std::string_view name) const {
  const auto found = by_service_.find(name);
  return found == by_service_.end() ? nullptr : &services_[found->second];
}

}  // namespace cuminferry
