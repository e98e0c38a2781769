#include "cuminferry_fleet/members/member_view.h"

#include <algorithm>
#include <map>
#include <optional>

namespace cuminferry {
namespace {

// Number of earlier incarnations of one address that are distinguished from new ones.
constexpr std::size_t kMaxPastIncarnations = 4;
// Time in which the platform's list comes to contain a new instance.
constexpr std::chrono::minutes kUnlistedRetention{10};

struct member_record {
  published_instance info;
  bool listed = false;
  // State in the platform's list. info.draining is not used for anything else.
  bool listed_draining = false;
  incarnation_id incarnation = 0;
  // Earlier incarnations, newest last.
  std::vector<incarnation_id> past_incarnations;
  // The incarnation that reported that it is draining.
  incarnation_id draining_incarnation = 0;
  bool lost = false;
  // Time of the last message of the instance itself; the platform's list does not count.
  std::optional<instant> received_at;

  bool reported_draining() const {
    return draining_incarnation != 0 && draining_incarnation == incarnation;
  }
  bool draining() const { return reported_draining() || lost || listed_draining; }

  // Records the incarnation of a received message. A new incarnation is a restarted process:
  // that the earlier one was draining, by its own report or by the list, no longer applies.
  // Returns false for an earlier incarnation. Datagrams arrive late and in any order; one of
  // an earlier incarnation that counted as a restart would make a draining instance eligible.
  bool RecordIncarnation(incarnation_id received) {
    if (received == incarnation || received == 0) {
      return true;
    }
    if (std::find(past_incarnations.begin(), past_incarnations.end(), received) !=
        past_incarnations.end()) {
      return false;
    }
    if (incarnation != 0) {
      listed_draining = false;
      past_incarnations.push_back(incarnation);
    }
    if (past_incarnations.size() > kMaxPastIncarnations) {
      past_incarnations.erase(past_incarnations.begin());
    }
    incarnation = received;
    return true;
  }
};

}  // namespace

class member_view::state {
 public:
  explicit state(std::string service) : service_(std::move(service)) {}

  bool UpdateList(const published_instances& list, instant now) {
    for (auto& [peer, record] : records_) {
      record.listed = false;
    }
    const std::size_t taken = std::min(list.instances.size(), kMaxListed);
    for (std::size_t at = 0; at < taken; ++at) {
      TakeListed(list.instances[at]);
    }
    OnTick(now);
    return true;
  }

  bool OnHello(const member_hello& hello, instant now) {
    const bool known = records_.contains(hello.info.peer);
    if (!known && unlisted() >= kMaxUnlisted) {
      return false;
    }
    member_record& record = records_[hello.info.peer];
    const bool was_eligible = known && !record.draining();
    if (!record.RecordIncarnation(hello.incarnation)) {
      return false;
    }
    record.info = hello.info;
    record.lost = false;
    record.received_at = now;
    if (hello.info.draining) {
      record.draining_incarnation = hello.incarnation;
    }
    return was_eligible != !record.draining();
  }

  bool OnDraining(endpoint peer, incarnation_id incarnation, instant now) {
    const auto found = records_.find(peer);
    if (found == records_.end()) {
      return false;
    }
    member_record& record = found->second;
    const bool was_draining = record.draining();
    if (!record.RecordIncarnation(incarnation)) {
      return false;
    }
    record.draining_incarnation = record.incarnation;
    record.lost = record.lost || record.incarnation == 0;
    record.received_at = now;
    return !was_draining;
  }

  bool OnLost(endpoint peer, instant now) {
    const auto found = records_.find(peer);
    if (found == records_.end()) {
      return false;
    }
    const bool was_draining = found->second.draining();
    found->second.lost = true;
    found->second.received_at = now;
    return !was_draining;
  }

  bool OnReceived(endpoint peer, incarnation_id incarnation, instant now) {
    const auto found = records_.find(peer);
    if (found == records_.end()) {
      return false;
    }
    member_record& record = found->second;
    const bool was_draining = record.draining();
    if (!record.RecordIncarnation(incarnation)) {
      return false;
    }
    record.lost = false;
    record.received_at = now;
    return was_draining != record.draining();
  }

  bool OnTick(instant now) {
    return std::erase_if(records_, [now](const auto& entry) {
             const member_record& record = entry.second;
             const bool received =
                 record.received_at && now - *record.received_at <= kUnlistedRetention;
             return !record.listed && !received;
           }) > 0;
  }

  void OnPause(duration gap) {
    for (auto& [peer, record] : records_) {
      if (record.received_at) {
        *record.received_at += gap;
      }
    }
  }

  const std::map<endpoint, member_record>& records() const { return records_; }

 private:
  // Reports of the process at an address stay valid also where the list has another name for
  // that address, as the name may be outdated. Only a new incarnation replaces them.
  void TakeListed(const published_instance& one) {
    member_record& record = records_[one.peer];
    record.info = one;
    record.listed = true;
    record.listed_draining = one.draining;
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

bool member_view::UpdateList(const published_instances& list, instant now) {
  return state_->UpdateList(list, now);
}

bool member_view::OnHello(const member_hello& hello, instant now) {
  return state_->OnHello(hello, now);
}

bool member_view::OnDraining(endpoint peer, incarnation_id incarnation, instant now) {
  return state_->OnDraining(peer, incarnation, now);
}

bool member_view::OnLost(endpoint peer, instant now) { return state_->OnLost(peer, now); }

bool member_view::OnReceived(endpoint peer, incarnation_id incarnation, instant now) {
  return state_->OnReceived(peer, incarnation, now);
}

bool member_view::OnTick(instant now) { return state_->OnTick(now); }

void member_view::OnPause(duration gap) { state_->OnPause(gap); }

std::vector<member> member_view::members() const {
  std::vector<member> all;
  for (const auto& [peer, record] : state_->records()) {
    all.push_back({record.info, record.draining(), record.listed});
  }
  return all;
}

std::vector<endpoint> member_view::instances_to_probe() const {
  std::vector<endpoint> all;
  for (const auto& [peer, record] : state_->records()) {
    if (record.listed && record.draining()) {
      all.push_back(peer);
    }
  }
  return all;
}

bool member_view::Contains(endpoint peer) const { return state_->records().contains(peer); }

}  // namespace cuminferry
