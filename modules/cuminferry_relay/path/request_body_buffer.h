#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "cuminferry_policy/cuminferry_policy.h"
#include "cuminferry_relay/http/http_head.h"

namespace cuminferry {

/** Buffers the body of a request for as long as the request may have to be sent to another
    target.

    While a send needs the buffered bytes, all that arrives is kept, whatever its size; the owner
    pauses the client meanwhile. A body that exceeds kMaxBytes is cut to the part that the digest
    needs only once the bytes have been passed on.
*/
class request_body_buffer {
 public:
  /** Maximum size of a body that is kept after it was passed on, in bytes. Only long uploads exceed
      it, and those run at most once. */
  static constexpr std::size_t kMaxBytes = 256 * 1024;

  /** Adds received bytes of the body. */
  void Append(std::string_view bytes);
  /** A send needs the buffered bytes from now on, as it does at first. Requires is_complete(). */
  void Hold() { is_held_ = true; }
  /** The buffered bytes were passed on, and later ones are passed on as they arrive. */
  void Release();
  /** Discards the buffer: the request will not be sent again. */
  void Drop();

  /** All received bytes are buffered, so the request can be sent again. */
  bool is_complete() const { return is_complete_; }
  /** All received bytes. Requires is_complete(). */
  std::string_view bytes() const;
  /** Enough of the body was received to compute the request's digest, whatever the body's
      length. */
  bool is_digestible() const { return received_bytes_ > request_digest::kMaxDigestedBodyBytes; }

  /** The parts of the request that its digest is computed from. They refer to `request`,
      `customer` and this buffer.
      @param request   head of the request that this body belongs to
      @param customer  name of the customer that sent the request */
  request_parts PartsOf(const http_head& request, std::string_view customer) const;

 private:
  void CutIfLong();

  std::string bytes_;
  std::size_t received_bytes_ = 0;
  bool is_complete_ = true;
  bool is_held_ = true;
};

}  // namespace cuminferry
