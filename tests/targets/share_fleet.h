#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::testing {

/** Faults that the network and the machines inject into a fleet. */
struct share_faults {
  std::uint32_t lost_percent = 0;
  std::uint32_t duplicated_percent = 0;
  duration max_delay = std::chrono::milliseconds(5);
  std::uint32_t pause_per_mille = 0;
  std::uint32_t restart_per_mille = 0;
  /** Clock rates differ by up to this many thousandths. */
  std::uint32_t drift_per_mille = 0;
};

/** Nodes of one service with the real share code, in virtual time. Calls are counted where they
    run. A call finishes by its deadline, whether or not its node is awake to notice, or when
    its node restarts. */
class share_fleet {
 public:
  share_fleet(table_shard shard, share_faults faults, std::uint64_t seed)
      : shard_(std::move(shard)), faults_(faults), random_(seed) {
    for (const auto& domain : shard_.service.domains) {
      for (std::uint32_t slot = 0; slot < domain.targets; ++slot) {
        AddNode(domain.failure_domain, slot);
      }
    }
  }

  /** Advances time: messages arrive, calls finish, nodes tick, pause and restart. */
  void Step(duration time) {
    now_ += time;
    std::erase_if(calls_, [&](const running_call& call) {
      if (call.finishes_at > now_) {
        return false;
      }
      nodes_[call.node].unreported_ends +=
          call.incarnation == nodes_[call.node].incarnation ? 1 : 0;
      return true;
    });
    for (std::size_t at = 0; at < nodes_.size(); ++at) {
      InjectFaults(at);
    }
    Deliver();
    for (std::size_t at = 0; at < nodes_.size(); ++at) {
      if (IsAwake(at)) {
        for (; nodes_[at].unreported_ends > 0; --nodes_[at].unreported_ends) {
          nodes_[at].shares->End("row", ClockOf(at));
        }
        share_actions out;
        nodes_[at].shares->Tick(ClockOf(at), out);
        Send(at, out);
      }
    }
  }

  /** Offers calls to one node; those that may start run up to their deadline. */
  std::uint32_t Offer(std::size_t at, std::uint32_t calls, duration max_duration) {
    std::uint32_t started = 0;
    for (; IsAwake(at) && calls > 0; --calls) {
      const duration run_time(1 + static_cast<std::int64_t>(random_.Below(max_duration.count())));
      if (nodes_[at].shares->Begin("row", ClockOf(at) + run_time, ClockOf(at))) {
        // The deadline is enforced by the node's clock, which may run slow.
        const duration real_duration = run_time * 1000 / nodes_[at].rate_per_mille;
        calls_.push_back({at, nodes_[at].incarnation, now_ + real_duration});
        ++started;
      }
    }
    return started;
  }

  /** Applies a table edit at one node. */
  void UseTable(std::size_t at, const table_shard& shard) {
    nodes_[at].table = shard;
    nodes_[at].shares->UseTable(shard, ClockOf(at));
  }

  std::size_t size() const { return nodes_.size(); }
  std::size_t running() const { return calls_.size(); }
  std::uint64_t sent() const { return sent_; }
  limit_shares& shares(std::size_t at) { return *nodes_[at].shares; }
  random_source& random() { return random_; }
  instant ClockOf(std::size_t at) const {
    return FromMicros(nodes_[at].offset + ToMicros(now_) * nodes_[at].rate_per_mille / 1000);
  }

 private:
  struct node {
    std::string failure_domain;
    std::uint32_t slot = 0;
    std::int64_t offset = 0;
    std::int64_t rate_per_mille = 1000;
    incarnation_id incarnation = 0;
    instant paused_until;
    std::uint32_t unreported_ends = 0;
    table_shard table;
    std::unique_ptr<limit_shares> shares;
  };

  struct running_call {
    std::size_t node;
    incarnation_id incarnation;
    instant finishes_at;
  };

  struct message {
    instant arrives_at;
    std::size_t to;
    endpoint from;
    share_actions content;
  };

  static endpoint AddressOf(std::size_t at) {
    return {0x0A000000U + static_cast<std::uint32_t>(at), 9000};
  }

  void AddNode(const std::string& domain, std::uint32_t slot) {
    node added;
    added.failure_domain = domain;
    added.slot = slot;
    added.offset = static_cast<std::int64_t>(random_.Below(1'000'000'000));
    added.rate_per_mille =
        1000 + static_cast<std::int64_t>(random_.Below(2 * faults_.drift_per_mille + 1)) -
        faults_.drift_per_mille;
    added.table = shard_;
    nodes_.push_back(std::move(added));
    Start(nodes_.size() - 1);
  }

  void Start(std::size_t at) {
    node& one = nodes_[at];
    one.incarnation = random_.Next();
    one.unreported_ends = 0;
    one.shares = std::make_unique<limit_shares>(
        limit_shares::options{one.failure_domain, one.slot, one.incarnation, ClockOf(at)});
    one.shares->UseTable(one.table, ClockOf(at));
    for (std::size_t each = 0; each < nodes_.size(); ++each) {
      UpdatePeers(each);
    }
  }

  void UpdatePeers(std::size_t at) {
    std::vector<endpoint> peers;
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
      if (other != at && nodes_[other].failure_domain == nodes_[at].failure_domain) {
        peers.push_back(AddressOf(other));
      }
    }
    nodes_[at].shares->UsePeers(peers);
  }

  bool IsAwake(std::size_t at) const { return nodes_[at].paused_until <= now_; }

  void InjectFaults(std::size_t at) {
    if (random_.Below(1000) < faults_.pause_per_mille) {
      nodes_[at].paused_until = now_ + duration(random_.Below(15'000'000));
    }
    if (random_.Below(1000) < faults_.restart_per_mille) {
      std::erase_if(calls_, [&](const running_call& call) { return call.node == at; });
      Start(at);
    }
  }

  template <typename Message>
  void Post(std::size_t from, const std::vector<addressed_message<Message>>& messages,
            std::vector<addressed_message<Message>> share_actions::*kind) {
    for (const addressed_message<Message>& each : messages) {
      const int copies = random_.Below(100) < faults_.lost_percent         ? 0
                         : random_.Below(100) < faults_.duplicated_percent ? 2
                                                                           : 1;
      for (int copy = 0; copy < copies; ++copy) {
        const duration delay(random_.Below(faults_.max_delay.count() + 1));
        message sent_message{
            now_ + delay, each.to.address - AddressOf(0).address, AddressOf(from), {}};
        (sent_message.content.*kind).push_back(each);
        in_transit_.push_back(std::move(sent_message));
      }
      ++sent_;
    }
  }

  void Send(std::size_t from, const share_actions& out) {
    Post(from, out.requests, &share_actions::requests);
    Post(from, out.grants, &share_actions::grants);
    Post(from, out.returns, &share_actions::returns);
  }

  void Deliver() {
    std::vector<message> due;
    std::erase_if(in_transit_, [&](const message& one) {
      const bool is_due = one.arrives_at <= now_ && IsAwake(one.to);
      if (is_due) {
        due.push_back(one);
      }
      return is_due;
    });
    for (const message& one : due) {
      share_actions out;
      limit_shares& shares = *nodes_[one.to].shares;
      for (const auto& request : one.content.requests) {
        shares.OnRequest(one.from, request.message, ClockOf(one.to), out);
      }
      for (const auto& grant : one.content.grants) {
        shares.OnGrant(one.from, grant.message, ClockOf(one.to), out);
      }
      for (const auto& returned : one.content.returns) {
        shares.OnReturn(one.from, returned.message, ClockOf(one.to));
      }
      Send(one.to, out);
    }
  }

  table_shard shard_;
  share_faults faults_;
  random_source random_;
  instant now_ = FromMicros(1'000'000);
  std::vector<node> nodes_;
  std::vector<running_call> calls_;
  std::vector<message> in_transit_;
  std::uint64_t sent_ = 0;
};

}  // namespace cuminferry::testing
