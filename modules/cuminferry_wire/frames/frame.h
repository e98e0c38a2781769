#pragma once

#include <absl/status/status.h>

#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <string_view>

#include "cuminferry_wire/messages/message_codec.h"

namespace cuminferry {

/** Layout of a frame, little-endian:

    | bytes | what                                   |
    | ----- | -------------------------------------- |
    | 2     | magic                                  |
    | 1     | protocol version                       |
    | 1     | message type                           |
    | 4     | length of the payload                  |
    | 8     | digest of the payload, seeded by type  |

    The digest finds damage on the way and frames cut by a lost connection; it
    is no protection against forgery.
*/
inline constexpr std::uint16_t kFrameMagic = 0xCF17;
inline constexpr std::uint8_t kProtocolVersion = 1;
inline constexpr std::size_t kFrameHeaderBytes = 16;
/** Largest payload that is read or written. */
inline constexpr std::size_t kLargestPayload = 20 << 20;
/** Largest payload of a peer's first message, its hello. */
inline constexpr std::size_t kLargestHello = 4096;

/** A frame around a payload. */
std::string EncodeFrame(message_type type, std::string_view payload);

/** A frame around a message. */
template <typename Message>
std::string FrameOf(const Message& message) {
  return EncodeFrame(kTypeOf<Message>, EncodeMessage(message));
}

/** Takes a byte stream and gives out the frames in it.

    Holds at most one frame. The first damaged frame ends it: after that,
    where the next one begins can't be known, so the connection is to be closed.
*/
class frame_reader {
 public:
  using frame_hook = std::function<void(message_type, std::span<const char> payload)>;

  /** Largest payload taken from now on; a frame that claims more is an error. */
  void SetLargest(std::size_t bytes) { largest_ = bytes; }

  /** Takes in bytes; calls the hook for each whole frame. */
  absl::Status Feed(std::span<const char> bytes, const frame_hook& on_frame);

 private:
  std::size_t largest_ = kLargestPayload;
  std::string pending_;
  absl::Status failed_;
};

/** Reads one datagram that holds exactly one frame. */
absl::Status DecodeDatagram(std::span<const char> bytes, message_type& type,
                            std::span<const char>& payload);

}  // namespace cuminferry
