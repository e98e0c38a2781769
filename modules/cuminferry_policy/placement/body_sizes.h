#pragma once

#include <map>
#include <string>
#include <string_view>

namespace cuminferry {

/** Learns how many bytes of bodies a row's requests move, both ways together. */
class body_sizes {
 public:
  /** Weight of one request in the mean: the last fifty count. */
  static constexpr double kWeight = 0.02;

  /** A request of this row was answered. */
  void OnAnswered(std::string_view row, double bytes);
  /** Bytes of a request and its answer; zero for a row that was never answered. */
  double MeanOf(std::string_view row) const;

 private:
  std::map<std::string, double, std::less<>> rows_;
};

}  // namespace cuminferry
