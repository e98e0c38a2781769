#include "cuminferry_http/client/answer_checking_stream.h"

#include <algorithm>
#include <cstring>

namespace cuminferry {
namespace {

constexpr ssize_t kFailed = -1;

}  // namespace

ssize_t answer_checking_stream::read(char* into, std::size_t size) {
  if (!problem_.empty()) {
    return kFailed;
  }
  if (!head_.is_complete()) {
    const ssize_t result = ReadHead();
    if (result <= 0) {
      return result;
    }
  }
  return has_unread_bytes() ? DeliverHead(into, size) : ReadBody(into, size);
}

// One byte at a time, so that nothing of the body is read; the inner stream has a buffer.
ssize_t answer_checking_stream::ReadHead() {
  ssize_t result = 1;
  while (!head_.is_complete()) {
    char byte = 0;
    result = inner_.read(&byte, sizeof(byte));
    if (result <= 0) {
      return result;
    }
    head_.Read({&byte, sizeof(byte)});
    problem_ = ++head_bytes_ > kMaxHeadBytes ? "no head of a final answer" : head_.problem();
    if (!problem_.empty()) {
      return kFailed;
    }
    head_text_.push_back(byte);
    if (head_.is_complete() && head_.is_interim()) {
      head_.Begin();
      head_text_.clear();
    }
  }
  if (head_.has_chunks()) {
    chunks_.emplace();
  }
  return result;
}

ssize_t answer_checking_stream::DeliverHead(char* into, std::size_t size) {
  const std::size_t count = std::min(size, head_text_.size() - delivered_);
  std::memcpy(into, head_text_.data() + delivered_, count);
  delivered_ += count;
  return static_cast<ssize_t>(count);
}

ssize_t answer_checking_stream::ReadBody(char* into, std::size_t size) {
  const ssize_t result = inner_.read(into, size);
  if (result <= 0 || !chunks_) {
    return result;
  }
  chunks_->Read({into, static_cast<std::size_t>(result)});
  problem_ = chunks_->problem();
  return problem_.empty() ? result : kFailed;
}

}  // namespace cuminferry
