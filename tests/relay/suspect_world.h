#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::testing {

/** A service in virtual time, drawn by a seed: targets with their nodes' books and lanes,
    requests that come to any node, and one that ends each target that runs it and comes again
    and again. News goes from node to node with delays, and some nodes hear a second late. */
class suspect_world {
 public:
  /** What ends targets. */
  enum class cause : std::uint8_t {
    /** One request, again and again. */
    kRequest,
    /** Nothing that they run: each two seconds one of them, at random. */
    kThemselves,
    /** The same, up to half of them at once. */
    kManyAtOnce,
  };

  explicit suspect_world(std::uint64_t seed, cause ends = cause::kRequest);
  ~suspect_world();

  /** Plays kPlayed of it. */
  void Run();

  /** Targets that ended. */
  int ends() const { return ends_; }
  /** Other requests that were refused as ones that end targets. */
  int innocents_refused() const { return innocents_refused_; }
  int innocents_served() const { return innocents_served_; }

  static constexpr duration kPlayed = std::chrono::seconds(30);

 private:
  struct request;
  struct node;
  using shared_request = std::shared_ptr<request>;

  void At(instant when, std::function<void()> what);
  duration Draw(duration least, duration most);
  void Arrive();
  void ArriveGuilty();
  void EndOneAtRandom();
  shared_request Make(std::uint64_t number);
  void Place(const shared_request& what);
  void Reach(node& target, const shared_request& what);
  void Start(node& target, const shared_request& what);
  void Finish(node& target, const shared_request& what);
  void End(node& target);
  void Refuse(const request& what);
  void Tell(node& from, const std::vector<suspect_event>& events);
  void Leave(node& target, const request& what);

  random_source random_;
  cause cause_;
  instant now_ = FromMicros(1'000'000);
  std::multimap<instant, std::function<void()>> queue_;
  std::vector<std::unique_ptr<node>> nodes_;
  duration between_{};
  duration between_guilty_{};
  std::uint64_t paths_ = 0;
  std::uint64_t last_ = 0;
  int ends_ = 0;
  int innocents_refused_ = 0;
  int innocents_served_ = 0;
};

}  // namespace cuminferry::testing
