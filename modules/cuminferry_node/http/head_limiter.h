#pragma once

#include <cstddef>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** Limits the length and the duration of the head of an HTTP message, that is, its first line and
    headers.

    The HTTP library limits the length of each line but not the number of lines, and its timeouts
    restart with each byte. A single caller could use up a node's memory with headers, or occupy its
    threads indefinitely by sending single bytes, so that other callers would fail.
*/
class head_limiter {
 public:
  static constexpr std::size_t kMaxBytes = 64 * 1024;

  /** Starts a new message, whose head must be complete by `deadline`. */
  void BeginMessage(instant deadline);

  /** Counts bytes that the library reads. Returns false if the head is too long. */
  bool Consume(std::string_view bytes);

  /** Whether the deadline has passed before the head was complete. The owner checks this after
      each wait for more bytes. */
  bool IsLate(instant now) const { return !is_complete_ && now >= deadline_; }

  /** Whether the head is complete, so that the next byte belongs to the body. */
  bool is_complete() const { return is_complete_; }

 private:
  instant deadline_ = instant::max();
  std::size_t byte_count_ = 0;
  /** Number of bytes of the sequence that ends a head which the last bytes read match. */
  std::size_t matched_end_bytes_ = 0;
  bool is_complete_ = false;
};

}  // namespace cuminferry
