#include "cuminferry_node/http/head_bound.h"

namespace cuminferry {
namespace {

constexpr std::string_view kEndOfHead = "\r\n\r\n";

}  // namespace

void head_bound::Begin(instant until) {
  *this = head_bound();
  until_ = until;
}

bool head_bound::Take(std::string_view bytes) {
  for (const char each : bytes) {
    if (over_) {
      return true;
    }
    ++bytes_;
    if (each == kEndOfHead[matched_]) {
      ++matched_;
    } else {
      matched_ = each == kEndOfHead.front() ? 1 : 0;
    }
    over_ = matched_ == kEndOfHead.size();
  }
  return over_ || bytes_ <= kLongest;
}

}  // namespace cuminferry
