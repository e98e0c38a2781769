#pragma once

#include <cstddef>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Holds the head of one HTTP message, first line and headers, to a length and a
    time.

    The HTTP library bounds each line but not their number, and its time-outs
    begin anew with each byte. One caller could fill a node's memory with headers
    or, byte by byte, hold its threads for ever; others would see it run out of
    either.
*/
class head_bound {
 public:
  static constexpr std::size_t kLongest = 64 * 1024;

  /** A new message begins; its head is to be over by then. */
  void Begin(instant until);

  /** Takes what the library reads. False where the head is too long. */
  bool Take(std::string_view bytes);

  /** The head is not over in time; to be asked after each wait for more of it. */
  bool IsLate(instant now) const { return !over_ && now >= until_; }

  /** The head is over; what follows is the body. */
  bool over() const { return over_; }

 private:
  instant until_ = instant::max();
  std::size_t bytes_ = 0;
  /** How much of the empty line that ends a head was just read. */
  std::size_t matched_ = 0;
  bool over_ = false;
};

}  // namespace cuminferry
