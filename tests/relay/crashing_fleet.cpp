#include "relay/crashing_fleet.h"

namespace cuminferry::testing {

crashing_fleet::crashing_fleet(int nodes, int domains, duration away)
    : fleet_(nodes, domains), away_(away), starts_(static_cast<std::size_t>(nodes), 0) {
  for (int node = 0; node < nodes; ++node) {
    Equip(node);
  }
  fleet_.PublishToAll(1);
}

loop_timer& crashing_fleet::NewTimer() {
  timers_.push_back(std::make_unique<loop_timer>(fleet_.loop()));
  return *timers_.back();
}

void crashing_fleet::Equip(int node) {
  ++starts_[static_cast<std::size_t>(node)];
  fleet_.target(node).on_request = [this, node](scripted_target::conversation& now) {
    OnRequest(node, now);
  };
}

void crashing_fleet::OnRequest(int node, scripted_target::conversation& now) {
  const int start = starts_[static_cast<std::size_t>(node)];
  const auto is_there = [this, node, start] {
    return starts_[static_cast<std::size_t>(node)] == start;
  };
  const bool crashes = now.request.target.find(kMark) != std::string::npos ||
                       now.body.find(kMark) != std::string::npos;
  if (crashes) {
    NewTimer().StartOnce(kEndsAfter, [this, node, is_there] {
      if (is_there()) {
        End(node);
      }
    });
    return;
  }
  std::string answer = scripted_target::Answer(now.request);
  if (!fails_.empty() && now.request.target.find(fails_) != std::string::npos) {
    answer.replace(answer.find("200 OK"), 6, "500 Failed");
  }
  NewTimer().StartOnce(kRunTime, [is_there, &connection = now.connection, answer] {
    if (is_there()) {
      connection.Write(answer);
    }
  });
}

void crashing_fleet::End(int node) {
  ++ends_;
  ++starts_[static_cast<std::size_t>(node)];
  fleet_.StopTarget(node);
  NewTimer().StartOnce(away_, [this, node] {
    fleet_.StartTarget(node);
    Equip(node);
  });
}

}  // namespace cuminferry::testing
