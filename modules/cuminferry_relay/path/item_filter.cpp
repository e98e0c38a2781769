#include "cuminferry_relay/path/item_filter.h"

#include <utility>

namespace cuminferry {

item_filter::item_filter(relay_board& board, item_reducer reduce)
    : board_(board), reduce_(std::move(reduce)) {}

bool item_filter::Reduce(published_item& item) {
  if (!reduce_) {
    return true;
  }
  const item_reduction reduction = reduce_(item);
  item.is_unreadable = reduction.use == item_reduction::use::kUnreadable;
  item.rank = RankOf(reduction.service);
  if (!reduction.reason.empty()) {
    OnUnreadable(item.key, reduction.reason);
  } else if (const auto known = unreadable_keys_.find(item.key); known != unreadable_keys_.end()) {
    unreadable_keys_.erase(known);
  }
  return reduction.use != item_reduction::use::kNone;
}

std::uint8_t item_filter::RankOf(std::string_view service) const {
  if (service.empty()) {
    return kOtherRank;
  }
  const bool is_declared = !board_.table() || board_.table()->FindService(service) != nullptr;
  return is_declared ? kDeclaredRank : kUndeclaredRank;
}

void item_filter::OnUnreadable(std::string_view key, std::string_view reason) {
  board_.metrics.OnUnreadableItem();
  const std::string shown(key.substr(0, kMaxLoggedKeyBytes));
  if (unreadable_keys_.size() < kMaxLoggedKeys && unreadable_keys_.insert(shown).second) {
    board_.log.LogChange("item.unreadable", {{"key", shown}, {"why", reason}});
  }
}

}  // namespace cuminferry
