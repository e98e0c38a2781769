#include "cuminferry_fleet/members/member_view.h"

#include <algorithm>
#include <map>
#include <optional>

namespace cuminferry {
namespace {

// Earlier incarnations of one address that are told apart from new ones.
constexpr std::size_t kPastIncarnations = 4;
// Long enough for the platform's list to catch up with a new instance.
constexpr std::chrono::minutes kKeepUnlisted{10};

struct member_record {
  published_instance info;
  bool listed = false;
  // What the list says; info.leaving is not used beyond the list.
  bool listed_leaving = false;
  incarnation_id incarnation = 0;
  // Earlier ones, newest last.
  std::vector<incarnation_id> past;
  // The incarnation that said it is leaving.
  incarnation_id left = 0;
  bool lost = false;
  // Direct evidence only; the list's word does not count.
  std::optional<instant> heard_at;

  bool said_leaving() const { return left != 0 && left == incarnation; }
  bool leaving() const { return said_leaving() || lost || listed_leaving; }

  // A restarted process is a new instance in all but name: what the old one said of
  // leaving no longer holds. The list's word of leaving was for the old one.
  // False for word of an incarnation that is over. Datagrams come late and in any
  // order: taken for a new start, it would bring a leaving instance back to life.
  bool Note(incarnation_id heard) {
    if (heard == incarnation || heard == 0) {
      return true;
    }
    if (std::find(past.begin(), past.end(), heard) != past.end()) {
      return false;
    }
    if (incarnation != 0) {
      listed_leaving = false;
      past.push_back(incarnation);
    }
    if (past.size() > kPastIncarnations) {
      past.erase(past.begin());
    }
    incarnation = heard;
    return true;
  }
};

}  // namespace

class member_view::state {
 public:
  explicit state(std::string service) : service_(std::move(service)) {}

  bool UseList(const published_instances& list, instant now) {
    for (auto& [peer, record] : records_) {
      record.listed = false;
    }
    const std::size_t taken = std::min(list.instances.size(), kLargestList);
    for (std::size_t at = 0; at < taken; ++at) {
      TakeListed(list.instances[at]);
    }
    OnTick(now);
    return true;
  }

  bool OnHello(const member_hello& hello, instant now) {
    const bool known = records_.contains(hello.info.peer);
    if (!known && unlisted() >= kUnlistedBound) {
      return false;
    }
    member_record& record = records_[hello.info.peer];
    const bool was_eligible = known && !record.leaving();
    if (!record.Note(hello.incarnation)) {
      return false;
    }
    record.info = hello.info;
    record.lost = false;
    record.heard_at = now;
    if (hello.info.leaving) {
      record.left = hello.incarnation;
    }
    return was_eligible != !record.leaving();
  }

  bool OnLeaving(endpoint peer, incarnation_id incarnation, instant now) {
    const auto found = records_.find(peer);
    if (found == records_.end()) {
      return false;
    }
    member_record& record = found->second;
    const bool was_leaving = record.leaving();
    if (!record.Note(incarnation)) {
      return false;
    }
    record.left = record.incarnation;
    record.lost = record.lost || record.incarnation == 0;
    record.heard_at = now;
    return !was_leaving;
  }

  bool OnLost(endpoint peer, instant now) {
    const auto found = records_.find(peer);
    if (found == records_.end()) {
      return false;
    }
    const bool was_leaving = found->second.leaving();
    found->second.lost = true;
    found->second.heard_at = now;
    return !was_leaving;
  }

  bool OnHeard(endpoint peer, incarnation_id incarnation, instant now) {
    const auto found = records_.find(peer);
    if (found == records_.end()) {
      return false;
    }
    member_record& record = found->second;
    const bool was_leaving = record.leaving();
    if (!record.Note(incarnation)) {
      return false;
    }
    record.lost = false;
    record.heard_at = now;
    return was_leaving != record.leaving();
  }

  bool OnTick(instant now) {
    return std::erase_if(records_, [now](const auto& entry) {
             const member_record& record = entry.second;
             const bool heard = record.heard_at && now - *record.heard_at <= kKeepUnlisted;
             return !record.listed && !heard;
           }) > 0;
  }

  void OnPause(duration gap) {
    for (auto& [peer, record] : records_) {
      if (record.heard_at) {
        *record.heard_at += gap;
      }
    }
  }

  const std::map<endpoint, member_record>& records() const { return records_; }

 private:
  void TakeListed(const published_instance& one) {
    member_record& record = records_[one.peer];
    if (!record.info.instance.empty() && record.info.instance != one.instance) {
      // Another instance got the address; what was known of the old one is void.
      record = {};
    }
    record.info = one;
    record.listed = true;
    record.listed_leaving = one.leaving;
  }

  std::size_t unlisted() const {
    return static_cast<std::size_t>(std::count_if(
        records_.begin(), records_.end(), [](const auto& entry) { return !entry.second.listed; }));
  }

  const std::string service_;
  std::map<endpoint, member_record> records_;
};

member_view::member_view(std::string service)
    : state_(std::make_unique<state>(std::move(service))) {}

member_view::~member_view() = default;
member_view::member_view(member_view&&) noexcept = default;
member_view& member_view::operator=(member_view&&) noexcept = default;

bool member_view::UseList(const published_instances& list, instant now) {
  return state_->UseList(list, now);
}

bool member_view::OnHello(const member_hello& hello, instant now) {
  return state_->OnHello(hello, now);
}

bool member_view::OnLeaving(endpoint peer, incarnation_id incarnation, instant now) {
  return state_->OnLeaving(peer, incarnation, now);
}

bool member_view::OnLost(endpoint peer, instant now) { return state_->OnLost(peer, now); }

bool member_view::OnHeard(endpoint peer, incarnation_id incarnation, instant now) {
  return state_->OnHeard(peer, incarnation, now);
}

bool member_view::OnTick(instant now) { return state_->OnTick(now); }

void member_view::OnPause(duration gap) { state_->OnPause(gap); }

std::vector<member> member_view::members() const {
  std::vector<member> all;
  for (const auto& [peer, record] : state_->records()) {
    all.push_back({record.info, record.leaving(), record.listed});
  }
  return all;
}

std::vector<endpoint> member_view::doubtful() const {
  std::vector<endpoint> all;
  for (const auto& [peer, record] : state_->records()) {
    if (record.listed && record.leaving()) {
      all.push_back(peer);
    }
  }
  return all;
}

bool member_view::Holds(endpoint peer) const { return state_->records().contains(peer); }

}  // namespace cuminferry
