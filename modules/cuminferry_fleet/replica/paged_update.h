#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

#include "cuminferry_fleet/replica/item_replica.h"

namespace cuminferry {

/** Collects the pages of an update, which counts only once it is complete: with a part of the
    instances, requests would go to a few backend servers only, and nodes would take themselves
    for readers.

    Pages are in the order of revisions, and revisions are the same at all nodes, so an update that
    one node has begun to send may be completed by another. That node's replica must be at least as
    recent: an item that the first node would have sent later, because it changed, has an earlier
    revision at a node that lacks the change, and would stand on no page. The update is complete
    up to the revision that the first page states; later changes come with the next update.

    An update whose pages have no end is given up at kMaxBytes.
*/
class paged_update {
 public:
  /** Maximum size of the keys and values that an update is collected to, in bytes. */
  static constexpr std::size_t kMaxBytes = 32 * 1024 * 1024;
  /** Changes an item to what is kept of it; returns whether it is kept at all. */
  using filter = std::function<bool(published_item&)>;

  enum class page_status : std::uint8_t {
    /** The update is complete. */
    kComplete,
    kMoreFollows,
    /** The sender's replica is too old to continue the update, or the sender has none. */
    kRejected,
    /** The update is too long; it starts anew. */
    kTooLong,
  };

  /** Adds a page.
      @param complete_at  moment at which the sender's replica was complete
      @param keep         empty to keep all items as they are */
  page_status Add(item_update page, instant complete_at, const filter& keep = {});

  /** Whether pages were added and more follow. */
  bool is_started() const { return is_started_; }
  /** Whether the update is one of all items. */
  bool is_whole() const { return update_.whole; }
  /** Revision after which the next page begins. */
  std::uint64_t last_revision() const { return last_revision_; }
  /** Returns the complete update, whose age counts from `now`, and starts anew. */
  item_update Take(instant now);
  void Reset();

 private:
  item_update update_;
  // Of the keys and values of `update_`.
  std::size_t bytes_ = 0;
  bool is_started_ = false;
  std::uint64_t last_revision_ = 0;
  // Revision up to which the sender of the last page was complete.
  std::uint64_t sender_complete_to_ = 0;
  instant complete_at_{};
};

}  // namespace cuminferry
