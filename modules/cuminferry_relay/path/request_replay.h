#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "cuminferry_policy/cuminferry_policy.h"
#include "cuminferry_relay/http/http_head.h"

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
  /** Of a body that is too long to be kept, only its beginning. */
  std::string_view bytes() const { return bytes_; }
  /** Enough came to know the request again, however long its body is. */
  bool is_known() const { return came_ > request_digest::kBodyBytes; }

  /** The request that this is the body of.
      @param customer  name of the customer whose it is */
  request_parts PartsOf(const http_head& request, std::string_view customer) const;

 private:
  std::string bytes_;
  std::size_t came_ = 0;
  bool whole_ = true;
};

}  // namespace cuminferry
