#pragma once

#include <cstdint>
#include <functional>
#include <vector>

#include "platform/store_stand_in.h"
#include "platform/store_watcher.h"

namespace cuminferry::testing {

/** A watcher, the store that it watches and the copy that it keeps. */
struct watched_store {
  event_loop loop;
  store_stand_in store{loop, {.address = 0x7F000001, .port = 0}};
  decision_log log{loop, "test"};
  item_replica items;
  std::vector<bool> heard;
  std::vector<std::int64_t> ages;
  std::vector<instant> told;
  platform::store_watcher watcher{loop,
                                  store.at(),
                                  log,
                                  {.on_update =
                                       [this](const item_update& update) {
                                         items.Apply(update);
                                         ages.push_back(update.age_micros);
                                         told.push_back(loop.Now());
                                       },
                                   .on_heard = [this](bool now) { heard.push_back(now); }}};

  bool RunUntil(const std::function<bool()>& condition, duration limit = std::chrono::seconds(5)) {
    const instant end = loop.Now() + limit;
    bool held = false;
    loop_timer poll(loop);
    poll.StartPeriodic(std::chrono::milliseconds(2), [&] {
      held = condition();
      if (held || loop.Now() >= end) {
        loop.Stop();
      }
    });
    loop.Run();
    return held;
  }
};

}  // namespace cuminferry::testing
