#include "relay/suspect_world.h"

#include <algorithm>

namespace cuminferry::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kGuilty = 0;
constexpr int kAttempts = 3;

}  // namespace

struct suspect_world::request {
  std::uint64_t id = 0;
  std::uint64_t number = 0;
  request_digest digest;
  std::uint64_t place = 0;
  std::size_t entry = 0;
  bool suspect = false;
  bool idempotent = true;
  std::vector<const node*> tried;
  // Which life of its target runs it.
  int life = 0;
};

struct suspect_world::node {
  suspect_book book;
  suspect_lane lane;
  std::map<std::uint64_t, shared_request> running;
  std::map<std::uint64_t, shared_request> waiting;
  std::uint64_t name = 0;
  bool up = true;
  int life = 0;
};

suspect_world::suspect_world(std::uint64_t seed, cause ends) : random_(seed), cause_(ends) {
  const std::size_t targets = 4 + random_.Below(37);
  for (std::size_t made = 0; made < targets; ++made) {
    nodes_.push_back(std::make_unique<node>());
    nodes_.back()->name = random_.Next();
  }
  // Of each target, 10 to 100 requests a second, some of them the same again and again.
  between_ = Draw(milliseconds(10), milliseconds(100)) / static_cast<duration::rep>(targets);
  between_guilty_ = Draw(milliseconds(300), seconds(6));
  paths_ = 20 + random_.Below(5'000);
}

suspect_world::~suspect_world() = default;

void suspect_world::At(instant when, std::function<void()> what) {
  queue_.emplace(when, std::move(what));
}

duration suspect_world::Draw(duration least, duration most) {
  const auto span = static_cast<std::uint64_t>((most - least).count());
  return least + duration(static_cast<duration::rep>(random_.Below(span + 1)));
}

void suspect_world::Run() {
  const instant end = now_ + kPlayed;
  Arrive();
  At(now_ + seconds(1), [this] {
    if (cause_ == cause::kRequest) {
      ArriveGuilty();
    } else {
      EndOneAtRandom();
    }
  });
  while (!queue_.empty() && queue_.begin()->first < end) {
    auto next = queue_.extract(queue_.begin());
    now_ = next.key();
    next.mapped()();
  }
}

void suspect_world::EndOneAtRandom() {
  std::size_t ending = cause_ == cause::kManyAtOnce ? nodes_.size() / 2 : 1;
  while (ending-- > 0) {
    node& target = *nodes_[random_.Below(nodes_.size())];
    At(now_ + Draw(duration(1), milliseconds(20)), [this, &target] {
      if (target.up) {
        End(target);
      }
    });
  }
  At(now_ + Draw(duration(1), seconds(4)), [this] { EndOneAtRandom(); });
}

suspect_world::shared_request suspect_world::Make(std::uint64_t number) {
  auto made = std::make_shared<request>();
  made->id = ++last_;
  made->number = number;
  const std::string path = std::to_string(number);
  made->digest = request_digest::Of({.path = path});
  made->place = PlaceOf({.path = path});
  made->entry = random_.Below(nodes_.size());
  made->idempotent = number == kGuilty || random_.Below(5) > 0;
  return made;
}

void suspect_world::Arrive() {
  Place(Make(1 + random_.Below(paths_)));
  At(now_ + Draw(duration(1), 2 * between_), [this] { Arrive(); });
}

// As a client does that repeats: two or three times within half a second.
void suspect_world::ArriveGuilty() {
  const std::uint64_t copies = 1 + random_.Below(3);
  for (std::uint64_t copy = 0; copy < copies; ++copy) {
    At(now_ + static_cast<duration::rep>(copy) * milliseconds(200),
       [this] { Place(Make(kGuilty)); });
  }
  At(now_ + seconds(1) + Draw(duration(1), 2 * between_guilty_), [this] { ArriveGuilty(); });
}

void suspect_world::Refuse(const request& what) {
  innocents_refused_ += what.number == kGuilty ? 0 : 1;
}

void suspect_world::Place(const shared_request& what) {
  const suspect_book& book = nodes_[what->entry]->book;
  const suspect_standing standing =
      book.HasPlace(what->place) ? book.StandingOf(what->digest, now_) : suspect_standing::kFree;
  if (standing == suspect_standing::kBlocked) {
    Refuse(*what);
    return;
  }
  what->suspect = what->suspect || standing == suspect_standing::kCareful;
  std::vector<node*> open;
  for (const auto& one : nodes_) {
    if (one->up && std::ranges::find(what->tried, one.get()) == what->tried.end()) {
      open.push_back(one.get());
    }
  }
  if (open.empty() || what->tried.size() >= kAttempts) {
    return;
  }
  node* target = open[random_.Below(open.size())];
  if (what->suspect) {
    target = *std::ranges::max_element(open, {}, [&](const node* one) {
      return random_source(one->name ^ what->digest.number()).Next();
    });
  }
  what->tried.push_back(target);
  At(now_ + Draw(milliseconds(1), milliseconds(4)), [this, target, what] { Reach(*target, what); });
}

void suspect_world::Reach(node& target, const shared_request& what) {
  if (!target.up) {
    what->tried.pop_back();
    Place(what);
    return;
  }
  if (!what->suspect) {
    Start(target, what);
    return;
  }
  if (target.book.StandingOf(what->digest, now_) == suspect_standing::kBlocked) {
    Refuse(*what);
    return;
  }
  target.lane.SetSuspects(target.book.CountSince(now_ - seconds(2)));
  if (target.lane.Enter(
          {.id = what->id, .digest = what->digest, .ends = target.book.EndsOf(what->digest)})) {
    Start(target, what);
  } else {
    target.waiting.emplace(what->id, what);
  }
}

void suspect_world::Start(node& target, const shared_request& what) {
  what->life = target.life;
  target.running.emplace(what->id, what);
  const bool guilty = what->number == kGuilty;
  const duration takes = guilty ? Draw(milliseconds(20), milliseconds(100))
                                : Draw(milliseconds(20), milliseconds(200));
  At(now_ + takes, [this, &target, what, guilty] {
    if (what->life != target.life || !target.running.contains(what->id)) {
      return;
    }
    if (guilty) {
      End(target);
    } else {
      Finish(target, what);
    }
  });
}

void suspect_world::Finish(node& target, const shared_request& what) {
  target.running.erase(what->id);
  ++innocents_served_;
  if (what->suspect) {
    Tell(target,
         {{.what = suspect_event::kind::kCleared, .digest = what->digest, .place = what->place}});
  }
  Leave(target, *what);
}

void suspect_world::Leave(node& target, const request& what) {
  for (const std::uint64_t id : target.lane.Leave(what.id)) {
    const auto next = target.waiting.extract(id);
    const bool blocked =
        target.book.StandingOf(next.mapped()->digest, now_) == suspect_standing::kBlocked;
    if (!blocked && target.up) {
      Start(target, next.mapped());
      continue;
    }
    target.lane.Leave(id);
    if (blocked) {
      Refuse(*next.mapped());
    } else {
      Place(next.mapped());
    }
  }
}

void suspect_world::End(node& target) {
  ++ends_;
  ++target.life;
  target.up = false;
  std::map<std::uint64_t, shared_request> lost = std::exchange(target.running, {});
  std::map<std::uint64_t, shared_request> waiting = std::exchange(target.waiting, {});
  target.lane = {};
  std::vector<suspect_book::running_request> running;
  for (const auto& [id, what] : lost) {
    running.push_back({.digest = what->digest, .place = what->place, .apart = what->suspect});
  }
  const auto events = target.book.EventsOfEnd(random_.Next(), running, now_);
  Tell(target, events);
  lost.merge(waiting);
  for (const auto& [id, what] : lost) {
    const bool blocked = target.book.StandingOf(what->digest, now_) == suspect_standing::kBlocked;
    what->suspect = true;
    if (blocked) {
      Refuse(*what);
    } else if (what->idempotent) {
      Place(what);
    }
  }
  At(now_ + Draw(seconds(1), seconds(5)), [&target] { target.up = true; });
}

void suspect_world::Tell(node& from, const std::vector<suspect_event>& events) {
  for (const auto& one : nodes_) {
    const bool late = random_.Below(20) == 0;
    const duration delay = one.get() == &from ? duration::zero()
                           : late             ? duration(seconds(1))
                                              : Draw(milliseconds(2), milliseconds(20));
    const auto apply = [this, to = one.get(), events, told = now_] {
      for (suspect_event event : events) {
        event.age_micros += (now_ - told).count();
        to->book.Apply(event, now_);
      }
    };
    if (delay == duration::zero()) {
      apply();
    } else {
      At(now_ + delay, apply);
    }
  }
}

}  // namespace cuminferry::testing
