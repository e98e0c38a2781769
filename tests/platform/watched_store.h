#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "platform/store_stand_in.h"
#include "platform/store_watcher.h"

namespace cuminferry::testing {

/** A watcher, the simulated store that it watches, and the copy of the items. */
struct watched_store {
  event_loop loop;
  store_stand_in store{loop, {.address = 0x7F000001, .port = 0}};
  decision_log log{loop, "test"};
  item_replica items;
  std::vector<bool> availability;
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
       .on_availability = [this](bool available) { availability.push_back(available); }}};

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
