#pragma once

#include <cstddef>
#include <string_view>

namespace cuminferry {

/** Compares a text that arrives byte by byte with a known one, without keeping it. */
class streamed_match {
 public:
  /** @param expected  in lower case, and existing for as long as this object */
  explicit constexpr streamed_match(std::string_view expected) : expected_(expected) {}

  void Clear() { *this = streamed_match(expected_); }

  void Add(char byte) {
    const bool is_upper = byte >= 'A' && byte <= 'Z';
    const char lower = is_upper ? static_cast<char>(byte - 'A' + 'a') : byte;
    is_same_ = is_same_ && length_ < expected_.size() && expected_[length_] == lower;
    ++length_;
  }

  std::size_t length() const { return length_; }
  /** Whether the bytes so far are the whole expected text, ignoring case. */
  bool is_whole() const { return is_same_ && length_ == expected_.size(); }

 private:
  std::string_view expected_;
  std::size_t length_ = 0;
  bool is_same_ = true;
};

}  // namespace cuminferry
