#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace cuminferry {

/** Learns whether clients send a row's requests, or only backend servers.

    Clients enter beside the backend servers of all services alike; backend
    servers call from beside their own service only. A row whose requests come
    from more than half of the services is one that clients send.
*/
class row_origins {
 public:
  /** Requests seen before a row is judged. */
  static constexpr double kLeastSeen = 24.0;
  /** Requests remembered, so that a changed row is judged anew. */
  static constexpr double kRemembered = 400.0;
  /** A service with a smaller part of the requests doesn't count. */
  static constexpr double kLeastShare = 0.02;

  void OnArrival(std::string_view row, std::string_view caller_service);
  /** @param services  how many services there are */
  bool ComesFromClients(std::string_view row, std::size_t services) const;

 private:
  struct arrivals {
    double total = 0.0;
    std::map<std::string, double, std::less<>> by_service;
  };

  std::map<std::string, arrivals, std::less<>> rows_;
};

}  // namespace cuminferry
