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

    | bytes | content                                |
    | ----- | -------------------------------------- |
    | 2     | magic                                  |
    | 1     | protocol version                       |
    | 1     | message type                           |
    | 4     | length of the payload                  |
    | 8     | digest of the payload plus the type    |

    The digest detects damage in transit and frames truncated by a lost connection. It does not
    protect against forgery.
*/
inline constexpr std::uint16_t kFrameMagic = 0xCF17;
inline constexpr std::uint8_t kProtocolVersion = 1;
inline constexpr std::size_t kFrameHeaderBytes = 16;
/** Maximum size of a payload, read or written. */
inline constexpr std::size_t kMaxPayloadBytes = 20 << 20;
/** Maximum size of the payload of a peer's first message, its hello. */
inline constexpr std::size_t kMaxHelloBytes = 4096;

/** Returns a frame that holds a payload. */
std::string EncodeFrame(message_type type, std::string_view payload);

/** Returns a frame that holds a message. */
template <typename Message>
std::string FrameOf(const Message& message) {
  return EncodeFrame(kTypeOf<Message>, EncodeMessage(message));
}

/** Splits a byte stream into frames.

    The reader buffers at most one incomplete frame. After a damaged frame the start of the next
    frame is unknown, so the reader fails for good and the caller has to close the connection.
*/
class frame_reader {
 public:
  using frame_hook = std::function<void(message_type, std::span<const char> payload)>;

  /** Sets the maximum payload size of the following frames. A frame whose header states more is
      an error. */
  void SetMaxPayload(std::size_t bytes) { max_payload_bytes_ = bytes; }

  /** Adds received bytes and calls the hook for each complete frame. */
  absl::Status Feed(std::span<const char> bytes, const frame_hook& on_frame);

 private:
  std::size_t max_payload_bytes_ = kMaxPayloadBytes;
  std::string pending_;
  absl::Status status_;
};

/** Decodes a datagram that holds exactly one frame. The payload refers to `bytes`. */
absl::Status DecodeDatagram(std::span<const char> bytes, message_type& type,
                            std::span<const char>& payload);

}  // namespace cuminferry
