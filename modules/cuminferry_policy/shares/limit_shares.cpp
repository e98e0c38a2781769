#include "cuminferry_policy/shares/limit_shares.h"

#include <absl/container/flat_hash_set.h>

#include <iterator>
#include <map>
#include <utility>
#include <vector>

#include "cuminferry_policy/shares/row_share.h"

namespace cuminferry {

class limit_shares::state {
 public:
  explicit state(options chosen)
      : options_(std::move(chosen)), next_number_(options_.incarnation) {}

  void UseTable(const table_shard& shard, instant now) {
    const bool split_changed = !domains_.empty() && domains_ != shard.service.domains;
    domains_ = shard.service.domains;
    RemoveMissingRows(shard);
    for (const request_row& row : shard.rows) {
      const std::uint32_t share = row.fleet_limit == 0
                                      ? 0
                                      : TargetShare(row.fleet_limit, row.name, domains_,
                                                    options_.failure_domain, options_.target_slot);
      row_share& own_share =
          rows_.try_emplace(row.name, row.name, options_.started + kStartupHoldback).first->second;
      own_share.UseLimit(row.fleet_limit, share, split_changed, row.deadline, now);
    }
  }

  row_share* Find(std::string_view row) {
    const auto found = rows_.find(row);
    return found == rows_.end() ? nullptr : &found->second;
  }

  void Tick(instant now, share_actions& out) {
    for (auto& [name, row] : rows_) {
      row.Tick(peers, next_number_, now, out);
    }
  }

  /** Whether this process sent the request. A grant to the previous process at the same address
      is left to expire: calls that it ran may not have finished yet. */
  bool IsOwnRequest(std::uint64_t number) const {
    return number - options_.incarnation < next_number_ - options_.incarnation;
  }

  std::vector<endpoint> peers;

 private:
  void RemoveMissingRows(const table_shard& shard) {
    absl::flat_hash_set<std::string_view> present;
    for (const request_row& row : shard.rows) {
      present.insert(row.name);
    }
    for (auto entry = rows_.begin(); entry != rows_.end();) {
      const bool missing = !present.contains(entry->first);
      if (missing) {
        entry->second.Remove();
      }
      entry = missing && entry->second.idle() ? rows_.erase(entry) : std::next(entry);
    }
  }

  const options options_;
  std::uint64_t next_number_;
  std::vector<service_entry::domain_targets> domains_;
  std::map<std::string, row_share, std::less<>> rows_;
};

limit_shares::limit_shares(options chosen) : state_(std::make_unique<state>(std::move(chosen))) {}
limit_shares::~limit_shares() = default;

//==============================================================================
void limit_shares::UseTable(const table_shard& shard, instant now) { state_->UseTable(shard, now); }

void limit_shares::UsePeers(std::span<const endpoint> peers) {
  state_->peers.assign(peers.begin(), peers.end());
}

//==============================================================================
bool limit_shares::Begin(std::string_view row, instant deadline, instant now) {
  row_share* found = state_->Find(row);
  return found == nullptr || found->Begin(deadline, now);
}

void limit_shares::End(std::string_view row, instant now) {
  if (row_share* found = state_->Find(row)) {
    found->End(now);
  }
}

void limit_shares::SetWaitingCount(std::string_view row, std::uint32_t waiting, instant now) {
  if (row_share* found = state_->Find(row)) {
    found->SetWaitingCount(waiting, now);
  }
}

void limit_shares::Tick(instant now, share_actions& out) { state_->Tick(now, out); }

void limit_shares::OnRequest(endpoint from, const share_request& request, instant now,
                             share_actions& out) {
  if (row_share* found = state_->Find(request.row)) {
    found->OnRequest(from, request, now, out);
  } else {
    out.grants.push_back({from, {request.request_number, request.row, 0, duration(0)}});
  }
}

void limit_shares::OnGrant(endpoint from, const share_grant& grant, instant now,
                           share_actions& out) {
  row_share* found = state_->Find(grant.row);
  if (found != nullptr && state_->IsOwnRequest(grant.request_number)) {
    found->OnGrant(from, grant, now, out);
  }
}

void limit_shares::OnReturn(endpoint from, const share_return& returned, instant /*now*/) {
  if (row_share* found = state_->Find(returned.row)) {
    found->OnReturn(from, returned);
  }
}

//==============================================================================
std::uint32_t limit_shares::UsableLimit(std::string_view row, instant now) const {
  const row_share* found = state_->Find(row);
  return found == nullptr ? kNoLimit : found->UsableLimit(now);
}

std::uint32_t limit_shares::Running(std::string_view row) const {
  const row_share* found = state_->Find(row);
  return found == nullptr ? 0 : found->running();
}

std::uint32_t limit_shares::Lent(std::string_view row) const {
  const row_share* found = state_->Find(row);
  return found == nullptr ? 0 : found->lent();
}

std::uint32_t limit_shares::Borrowed(std::string_view row) const {
  const row_share* found = state_->Find(row);
  return found == nullptr ? 0 : found->borrowed();
}

}  // namespace cuminferry
