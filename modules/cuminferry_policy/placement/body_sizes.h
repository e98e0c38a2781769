#pragma once

#include <map>
#include <string>
#include <string_view>

namespace cuminferry {

/** Moving average per row of the body bytes that a request transfers, both directions together. */
class body_sizes {
 public:
  /** Weight of one request in the moving average, which thus spans about fifty requests. */
  static constexpr double kRequestWeight = 0.02;

  /** Adds the body bytes of one answered request. */
  void OnAnswered(std::string_view row, double bytes);
  /** Average body bytes of a request and its answer; zero for a row that was never answered. */
  double MeanOf(std::string_view row) const;

 private:
  std::map<std::string, double, std::less<>> rows_;
};

}  // namespace cuminferry
