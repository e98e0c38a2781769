#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "cuminferry_fleet/replica/item_replica.h"

namespace cuminferry {

/** What a node keeps of an item that others wrote. */
struct item_reduction {
  enum class use : std::uint8_t {
    kKept,
    /** The item is one of this system's, but can't be read. Its value is replaced by a short one,
       so that nodes which know an earlier value take it back. */
    kUnreadable,
    /** The item is not kept: no node uses it, or its key can't be one of this system's. */
    kNone,
  };
  use use = use::kKept;
  /** Why the item can't be read; empty where it can, or where nobody wants to. */
  std::string reason;
  /** The service of the instance that the item describes; empty for another item. */
  std::string service;
};

/** Reduces an item to what nodes keep and send each other. To reduce it again changes nothing. */
using item_reducer = std::function<item_reduction(published_item&)>;

}  // namespace cuminferry
