#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** How the length of a message's body is determined. */
enum class body_framing : std::uint8_t { kNone, kLength, kChunked, kUntilClose };

/** The head of an HTTP/1.1 message, which is a request or an answer. */
struct http_head {
  // Set in requests only.
  std::string method;
  std::string target;
  /** Whether the sender reads chunked answers, which it does from HTTP/1.1 on (RFC 9112). */
  bool reads_chunks = true;
  // Set in answers only.
  int status = 0;
  std::string reason;

  /** The name and value of each header field, in the order received. */
  std::vector<std::pair<std::string, std::string>> fields;

  body_framing framing = body_framing::kNone;
  /** The length of the body in bytes. Set if the framing is kLength. */
  std::uint64_t length = 0;
  /** Whether the sender keeps the connection open after this message. */
  bool keep_alive = true;

  //============================================================================
  /** Returns the value of the first field of this name, ignoring case, or nullptr if there is
      none. */
  const std::string* Find(std::string_view name) const;
  /** Returns the values of all fields of this name, in the order received. */
  std::vector<std::string_view> FindAll(std::string_view name) const;
  /** Replaces all fields of this name by a single field. */
  void Set(std::string_view name, std::string value);
  void Remove(std::string_view name);
  /** Returns whether a Connection field announces that the sender closes the connection. Unlike
      `keep_alive`, it is not affected by the protocol's version and the body's framing. */
  bool AnnouncesClose() const;
  /** Removes the fields that apply only to the connection on which the message was received: the
      standard hop-by-hop fields, the fields that Connection lists, and the framing fields. */
  void RemoveConnectionFields();

  /** Serializes the head of a request, including the framing fields and the final empty line. */
  std::string ToRequestText() const;
  /** Serializes the head of an answer, including the framing fields and the final empty line.
      @param close  whether to add "Connection: close" */
  std::string ToResponseText(bool close) const;
};

/** Returns whether two field names are equal, ignoring case. */
bool EqualFieldNames(std::string_view left, std::string_view right);

/** Parses an integer in decimal digits. Returns nullopt if the text contains anything else, such
    as blanks or a fraction. */
std::optional<std::int64_t> ParseDecimal(std::string_view text);
/** Parses a time that a field states in whole units, such as "1500" milliseconds; nothing if the
    text holds anything else. Negative times are 0, and longer ones than kMaxStatedTime are that:
    the number of microseconds of a larger number of seconds can't be counted. */
std::optional<duration> ParseTime(std::string_view text, duration unit);
inline constexpr duration kMaxStatedTime = std::chrono::hours(24 * 30);

/** Formats bytes as one chunk of a chunked body. */
std::string ToChunk(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace cuminferry
