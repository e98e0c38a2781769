#pragma once

#include <absl/status/statusor.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cuminferry_table/routes/customer_registry.h"
#include "cuminferry_table/routes/http_route.h"

namespace cuminferry {

/** The declaration of a service in a table of routes. */
struct routed_service {
  std::string name;
  /** HTTP path of the backend servers' health check. */
  std::string health_path;
  /** Maximum number of connections that one backend server accepts from all callers. */
  std::uint32_t connections = 0;
};

/** Limits on the size and the timing of clients' requests. */
struct client_limits {
  std::size_t max_head_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 64 * 1024 * 1024;
  duration head_timeout = std::chrono::seconds(3);
  duration idle_timeout = std::chrono::seconds(15);
};

/** One version of the rows, which are searched by host and longest path prefix, and of the
    customers. Immutable: an edit makes a new table, so it takes effect as a whole. */
class route_table {
 public:
  /** Indexes the rows and services. Fails with kTableDuplicateRow, kTableBadPattern,
      kTableUnknownService or kTableOutOfRange; the message has the row's name. */
  static absl::StatusOr<std::shared_ptr<const route_table>> Make(
      std::uint64_t version, std::vector<http_route> routes, std::vector<routed_service> services,
      const client_limits& limits, std::shared_ptr<const customer_registry> customers = nullptr);

  /** Returns the row of the host with the longest prefix of the path; nullptr where no row matches.
      The host may carry a port, the path a query. */
  const http_route* Find(std::string_view host, std::string_view path) const;
  const routed_service* FindService(std::string_view name) const;

  std::uint64_t version() const { return version_; }
  const std::vector<http_route>& routes() const { return routes_; }
  const std::vector<routed_service>& services() const { return services_; }
  const client_limits& limits() const { return limits_; }
  /** Returns nullptr where the table has no customers; requests then need no keys. */
  const std::shared_ptr<const customer_registry>& customers() const { return customers_; }
  std::uint32_t max_priority() const { return max_priority_; }

 private:
  route_table() = default;
  absl::Status Index();

  std::uint64_t version_ = 0;
  std::vector<http_route> routes_;
  std::vector<routed_service> services_;
  client_limits limits_;
  std::shared_ptr<const customer_registry> customers_;
  std::uint32_t max_priority_ = 0;
  // Maps host, line feed and prefix to the position in routes_.
  std::map<std::string, std::size_t, std::less<>> by_prefix_;
  std::map<std::string, std::size_t, std::less<>> by_service_;
};

}  // namespace cuminferry
