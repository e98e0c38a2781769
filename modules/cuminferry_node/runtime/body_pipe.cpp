#include "cuminferry_node/runtime/body_pipe.h"

#include <utility>

namespace cuminferry {

bool body_pipe::Push(std::string_view part) {
  ranked_lock lock(mutex_);
  while (bytes_ >= kMaxBytes && !reader_closed_ && !failed_) {
    mutex_.Wait(changed_);
  }
  if (reader_closed_ || failed_) {
    return false;
  }
  bytes_ += part.size();
  parts_.emplace_back(part);
  changed_.SignalAll();
  return true;
}

bool body_pipe::TryPush(std::string part) {
  ranked_lock lock(mutex_);
  if (reader_closed_ || failed_ || bytes_ + part.size() > 2 * kMaxBytes) {
    return false;
  }
  bytes_ += part.size();
  parts_.push_back(std::move(part));
  changed_.SignalAll();
  return true;
}

void body_pipe::Finish() {
  ranked_lock lock(mutex_);
  finished_ = true;
  changed_.SignalAll();
}

void body_pipe::Fail() {
  ranked_lock lock(mutex_);
  failed_ = true;
  changed_.SignalAll();
}

bool body_pipe::Pull(std::string& part) {
  ranked_lock lock(mutex_);
  while (parts_.empty() && !finished_ && !failed_) {
    mutex_.Wait(changed_);
  }
  if (failed_) {
    return false;
  }
  part.clear();
  if (!parts_.empty()) {
    part = std::move(parts_.front());
    parts_.pop_front();
    bytes_ -= part.size();
    changed_.SignalAll();
  }
  return true;
}

void body_pipe::CloseReader() {
  ranked_lock lock(mutex_);
  reader_closed_ = true;
  changed_.SignalAll();
}

}  // namespace cuminferry
