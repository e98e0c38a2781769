#include "cuminferry_relay/path/request_replay.h"

namespace cuminferry {

void request_replay::Append(std::string_view bytes) {
  if (!whole_) {
    return;
  }
  bytes_.append(bytes);
  if (bytes_.size() > kLargest) {
    Drop();
  }
}

void request_replay::Drop() {
  whole_ = false;
  bytes_.clear();
  bytes_.shrink_to_fit();
}

}  // namespace cuminferry
