#include "cuminferry_wire/frames/frame.h"

#include <cstring>

namespace cuminferry {
namespace {

struct frame_header {
  message_type type{};
  std::uint32_t length = 0;
  std::uint64_t digest = 0;
};

template <typename Number>
Number ReadAt(std::span<const char> bytes, std::size_t offset) {
  Number number{};
  std::memcpy(&number, bytes.data() + offset, sizeof(number));
  return number;
}

template <typename Number>
void Append(std::string& into, Number number) {
  into.append(reinterpret_cast<const char*>(&number), sizeof(number));
}

std::uint64_t PayloadDigest(message_type type, std::string_view payload) {
  return DigestOf(payload) + static_cast<std::uint64_t>(type);
}

absl::Status ReadHeader(std::span<const char> bytes, std::size_t max_payload_bytes,
                        frame_header& into) {
  if (ReadAt<std::uint16_t>(bytes, 0) != kFrameMagic) {
    return MakeStatus(result_code::kFrameBadMagic, "the stream does not begin with a frame");
  }
  const auto version = ReadAt<std::uint8_t>(bytes, 2);
  if (version != kProtocolVersion) {
    return MakeStatus(
        result_code::kFrameWrongVersion,
        "version " + std::to_string(version) + ", supported: " + std::to_string(kProtocolVersion));
  }
  into.type = static_cast<message_type>(ReadAt<std::uint8_t>(bytes, 3));
  if (into.type < message_type::kHello || into.type > message_type::kShareReturn) {
    return MakeStatus(result_code::kFrameUnknownType,
                      "type " + std::to_string(static_cast<int>(into.type)));
  }
  into.length = ReadAt<std::uint32_t>(bytes, 4);
  if (into.length > max_payload_bytes) {
    return MakeStatus(
        result_code::kFrameTooLarge,
        std::to_string(into.length) + " bytes, at most " + std::to_string(max_payload_bytes));
  }
  into.digest = ReadAt<std::uint64_t>(bytes, 8);
  return absl::OkStatus();
}

absl::Status CheckDigest(const frame_header& header, std::string_view payload) {
  if (PayloadDigest(header.type, payload) != header.digest) {
    return MakeStatus(result_code::kFrameBadDigest, "the payload was damaged on its way");
  }
  return absl::OkStatus();
}

}  // namespace

std::string EncodeFrame(message_type type, std::string_view payload) {
  std::string frame;
  frame.reserve(kFrameHeaderBytes + payload.size());
  Append(frame, kFrameMagic);
  Append(frame, kProtocolVersion);
  Append(frame, static_cast<std::uint8_t>(type));
  Append(frame, static_cast<std::uint32_t>(payload.size()));
  Append(frame, PayloadDigest(type, payload));
  frame.append(payload);
  return frame;
}

absl::Status frame_reader::Feed(std::span<const char> bytes, const frame_hook& on_frame) {
  if (!status_.ok()) {
    return status_;
  }
  pending_.append(bytes.data(), bytes.size());
  std::size_t begin = 0;
  while (pending_.size() - begin >= kFrameHeaderBytes) {
    const std::span<const char> rest = std::span<const char>(pending_).subspan(begin);
    frame_header header;
    status_ = ReadHeader(rest, max_payload_bytes_, header);
    if (!status_.ok()) {
      return status_;
    }
    if (rest.size() < kFrameHeaderBytes + header.length) {
      break;
    }
    const auto payload = rest.subspan(kFrameHeaderBytes, header.length);
    status_ = CheckDigest(header, {payload.data(), payload.size()});
    if (!status_.ok()) {
      return status_;
    }
    on_frame(header.type, payload);
    begin += kFrameHeaderBytes + header.length;
  }
  pending_.erase(0, begin);
  return absl::OkStatus();
}

absl::Status DecodeDatagram(std::span<const char> bytes, message_type& type,
                            std::span<const char>& payload) {
  if (bytes.size() < kFrameHeaderBytes) {
    return MakeStatus(result_code::kFrameTruncated, "a datagram shorter than a frame header");
  }
  frame_header header;
  absl::Status read = ReadHeader(bytes, kMaxPayloadBytes, header);
  if (!read.ok()) {
    return read;
  }
  if (bytes.size() != kFrameHeaderBytes + header.length) {
    return MakeStatus(result_code::kFrameTruncated, "a datagram that is not one whole frame");
  }
  payload = bytes.subspan(kFrameHeaderBytes);
  type = header.type;
  return CheckDigest(header, {payload.data(), payload.size()});
}

}  // namespace cuminferry
