#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace cuminferry {

/** Collects the body of a message up to a size. Of a longer body nothing is kept, so that no part
   of it can be taken for the whole; the reader gives up on the message then, as its bytes may come
    without end. */
class bounded_body {
 public:
  /** @param max_bytes  maximum size of the body in bytes */
  explicit bounded_body(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  void Append(std::string_view bytes) {
    if (!is_whole_ || bytes.size() > max_bytes_ - bytes_.size()) {
      is_whole_ = false;
      std::string().swap(bytes_);
      return;
    }
    bytes_.append(bytes);
  }
  void Clear() {
    bytes_.clear();
    is_whole_ = true;
  }

  /** All bytes received so far are kept. */
  bool is_whole() const { return is_whole_; }
  const std::string& bytes() const { return bytes_; }
  std::string Take() { return std::exchange(bytes_, {}); }

 private:
  std::size_t max_bytes_;
  std::string bytes_;
  bool is_whole_ = true;
};

}  // namespace cuminferry
