#pragma once

#include <map>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Lets requests in, or refuses them, where they enter.

    Answers a load that some backend server further down can't take: what would
    fail there after it has cost work on the way is refused here before it costs
    any. The level of each row comes back on the answers of those who serve it. All
    answers of a row count together, the latest most: in a large fleet a node hears
    from one target every few seconds, and targets of one service tell much the same,
    the state of what they call.
    @see admission_level
*/
class entry_admission {
 public:
  /** Part of a row's requests that is let in whatever the level: keeps the level
      known and the row from starving. */
  static constexpr double kLeastShare = 0.06;
  /** Answers of about this time make up the level. */
  static constexpr duration kBlend = std::chrono::milliseconds(40);
  /** A level that nothing confirms rises by this much a second. */
  static constexpr double kRecoveryPerSecond = 1.0;
  /** A level older than this begins to rise. */
  static constexpr duration kLevelAge = std::chrono::milliseconds(500);

  /** Shortest and longest time after which a refused client is asked to return. */
  static constexpr duration kShortestReturn = std::chrono::milliseconds(150);
  static constexpr duration kLongestReturn = std::chrono::milliseconds(900);

  /** An answer to a request of this row came with this level. */
  void OnLevel(std::string_view row, double level, bool from_clients, instant now);

  /** Whether a request may go on.
      @param draw  a number in [0, 1) drawn for this request */
  bool Admits(std::string_view row, std::uint32_t priority, double draw, instant now) const;

  /** The row's level now; `top` where nothing limits it. */
  double Level(std::string_view row, double top, instant now) const;
  /** Whether clients send this row, as those who serve it have told. */
  bool ComesFromClients(std::string_view row) const;

  /** When a refused client should come back: the later, the more of its row is
      refused, spread so that clients don't return together. */
  duration ReturnAfter(std::string_view row, std::uint32_t priority, double draw,
                       instant now) const;

 private:
  struct row_state {
    bool from_clients = false;
    double level = 0.0;
    instant heard{};
  };

  double AdmittedShare(std::string_view row, std::uint32_t priority, instant now) const;

  std::map<std::string, row_state, std::less<>> rows_;
};

}  // namespace cuminferry
