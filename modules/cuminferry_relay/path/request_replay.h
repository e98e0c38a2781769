#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cuminferry {

/** What came of a request's body, kept for as long as the request may have to be
    sent to another target. */
class request_replay {
 public:
  /** Bytes kept at most; of the requests of a path, only long uploads exceed them,
      and those run once. */
  static constexpr std::size_t kLargest = 256 * 1024;

  /** More of the body came. */
  void Append(std::string_view bytes);
  /** The request will not be sent again. */
  void Drop();

  /** All that came is kept: the request can be sent again. */
  bool whole() const { return whole_; }
  std::string_view bytes() const { return bytes_; }

 private:
  std::string bytes_;
  bool whole_ = true;
};

}  // namespace cuminferry
