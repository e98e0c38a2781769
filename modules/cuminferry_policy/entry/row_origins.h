#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace cuminferry {

/** Learns whether clients or only backend servers send a row's requests.

    Clients use the nodes of all services as ingress nodes, whereas a backend server calls only
    through the nodes of its own service. A row whose requests arrive from more than half of the
    services is therefore sent by clients.
*/
class row_origins {
 public:
  /** Minimum number of requests before a row is classified. */
  static constexpr double kMinRequests = 24.0;
  /** Above this number of requests all counts are halved, so that a changed row is classified
      anew. */
  static constexpr double kMaxCountedRequests = 400.0;
  /** A service with a smaller share of the row's requests is ignored. */
  static constexpr double kMinServiceShare = 0.02;

  void OnArrival(std::string_view row, std::string_view caller_service);
  /** @param services  number of services in the fleet */
  bool ComesFromClients(std::string_view row, std::size_t services) const;

 private:
  struct arrivals {
    double total = 0.0;
    std::map<std::string, double, std::less<>> by_service;
  };

  std::map<std::string, arrivals, std::less<>> rows_;
};

}  // namespace cuminferry
