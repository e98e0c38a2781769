#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "platform/published_records.h"
#include "platform/store_stand_in.h"
#include "platform/store_watcher.h"

namespace cuminferry::testing {

/** The entry of a target in the store. */
inline std::string TargetEntry(std::string_view state, int sequence) {
  return R"({"service":"maps","addr":"10.0.0.1:80","zone":"east","version":"1","capacity":20,)"
         R"("state":")" +
         std::string(state) + R"(","warmup_left_ms":0,"sequence":)" + std::to_string(sequence) +
         "}";
}

/** A watcher, the simulated store that it watches, and the copy of the items. The copy has all of
    them, also those that a node wouldn't keep. */
struct watched_store {
  event_loop loop;
  store_stand_in store{loop, {.address = 0x7F000001, .port = 0}};
  decision_log log{loop, "test"};
  item_replica items;
  /** Whether the copy has items that no node uses. */
  bool keeps_unused = true;
  /** Keys of the entries that could not be read at all. */
  std::vector<std::string> left_out;
  std::vector<bool> availability;
  /** Number of times that something else came in the place of an answer. */
  int invalid_answers = 0;
  std::vector<std::int64_t> ages;
  std::vector<instant> updated_at;
  platform::store_watcher watcher{
      loop,
      store.address(),
      log,
      {.on_update =
           [this](const item_update& update) {
             items.Apply(update);
             ages.push_back(update.age_micros);
             updated_at.push_back(loop.Now());
           },
       .reduce_item =
           [this](published_item& item) {
             const auto use = platform::ReduceItem(item).use;
             item.is_unreadable = use == item_reduction::use::kUnreadable;
             return use != item_reduction::use::kNone || keeps_unused;
           },
       .on_unreadable = [this](std::string_view key,
                               std::string_view) { left_out.emplace_back(key); },
       .on_availability = [this](bool available) { availability.push_back(available); },
       .on_invalid_answer = [this](const invalid_answer&) { ++invalid_answers; }}};

  bool RunUntil(const std::function<bool()>& condition, duration limit = std::chrono::seconds(5)) {
    const instant deadline = loop.Now() + limit;
    bool holds = false;
    loop_timer poll(loop);
    poll.StartPeriodic(std::chrono::milliseconds(2), [&] {
      holds = condition();
      if (holds || loop.Now() >= deadline) {
        loop.Stop();
      }
    });
    loop.Run();
    return holds;
  }
};

}  // namespace cuminferry::testing
