#include "cuminferry_fleet/replica/paged_update.h"

#include <algorithm>
#include <utility>

namespace cuminferry {
namespace {

// Items beyond what a copy keeps are left out once there is a page of them.
constexpr std::size_t kMaxCollected =
    item_replica::kMaxItems + item_replica::kMaxRemovals + page_limits{}.items;

}  // namespace

paged_update::page_status paged_update::Add(item_update page, instant complete_at,
                                            const filter& keep) {
  const bool is_continued = is_started_;
  if (page.complete_to == 0 || page.complete_to < sender_complete_to_ ||
      (is_continued && page.whole != update_.whole)) {
    return page_status::kRejected;
  }
  if (!is_continued) {
    update_.complete_to = page.complete_to;
    update_.whole = page.whole;
    complete_at_ = complete_at;
  }
  is_started_ = true;
  sender_complete_to_ = page.complete_to;
  update_.relist_micros = std::max(update_.relist_micros, page.relist_micros);
  if (!page.items.empty()) {
    last_revision_ = page.items.back().revision;
  }
  for (published_item& item : page.items) {
    if (!keep || keep(item)) {
      bytes_ += item.key.size() + item.value.size();
      update_.items.push_back(std::move(item));
    }
  }
  if (update_.items.size() > kMaxCollected) {
    item_replica::LeaveOutExcess(update_.items);
    bytes_ = 0;
    for (const published_item& item : update_.items) {
      bytes_ += item.key.size() + item.value.size();
    }
  }
  if (bytes_ > kMaxBytes) {
    Reset();
    return page_status::kTooLong;
  }
  return page.has_more ? page_status::kMoreFollows : page_status::kComplete;
}

item_update paged_update::Take(instant now) {
  update_.age_micros = (now - complete_at_).count();
  item_update complete = std::move(update_);
  Reset();
  return complete;
}

void paged_update::Reset() { *this = paged_update(); }

}  // namespace cuminferry
