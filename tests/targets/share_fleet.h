#pragma once

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "cuminferry_policy/cuminferry_policy.h"

namespace cuminferry::testing {

/** What the network and the machines do to a fleet. */
struct share_weather {
  std::uint32_t lost_percent = 0;
  std::uint32_t doubled_percent = 0;
  duration longest_delay = std::chrono::milliseconds(5);
  std::uint32_t pause_per_mille = 0;
  std::uint32_t restart_per_mille = 0;
  /** Clocks run apart by up to this many thousandths. */
  std::uint32_t drift_per_mille = 0;
};

/** Nodes of one service with the real share code, in virtual time. Calls are
    counted where they run: one ends by its deadline, whether or not its node
    is awake to see it, and with its node when that restarts. */
class share_fleet {
 public:
  share_fleet(table_shard shard, share_weather weather, std::uint64_t seed)
      : shard_(std::move(shard)), weather_(weather), random_(seed) {
    for (const auto& domain : shard_.service.domains) {
      for (std::uint32_t slot = 0; slot < domain.targets; ++slot) {
        AddNode(domain.failure_domain, slot);
      }
    }
  }

  /** Lets time pass: messages arrive, calls end, nodes tick, pause and restart. */
  void Step(duration time) {
    now_ += time;
    std::erase_if(calls_, [&](const running_call& call) {
      if (call.ends > now_) {
        return false;
      }
      nodes_[call.node].ended += call.incarnation == nodes_[call.node].incarnation ? 1 : 0;
      return true;
    });
    for (std::size_t at = 0; at < nodes_.size(); ++at) {
      Misfortune(at);
    }
    Deliver();
    for (std::size_t at = 0; at < nodes_.size(); ++at) {
      if (Awake(at)) {
        for (; nodes_[at].ended > 0; --nodes_[at].ended) {
          nodes_[at].shares->End("row", Clock(at));
        }
        share_actions out;
        nodes_[at].shares->Tick(Clock(at), out);
        Send(at, out);
      }
    }
  }

  /** Offers calls to one node; those that may start run up to their deadline. */
  std::uint32_t Offer(std::size_t at, std::uint32_t calls, duration longest) {
    std::uint32_t started = 0;
    for (; Awake(at) && calls > 0; --calls) {
      const duration lasts(1 + static_cast<std::int64_t>(random_.Below(longest.count())));
      if (nodes_[at].shares->Begin("row", Clock(at) + lasts, Clock(at))) {
        // The deadline is kept by the node's clock, which may run slow.
        const duration real = lasts * 1000 / nodes_[at].rate_per_mille;
        calls_.push_back({at, nodes_[at].incarnation, now_ + real});
        ++started;
      }
    }
    return started;
  }

  /** One node takes an edit. */
  void UseTable(std::size_t at, const table_shard& shard) {
    nodes_[at].table = shard;
    nodes_[at].shares->UseTable(shard, Clock(at));
  }

  std::size_t size() const { return nodes_.size(); }
  std::size_t running() const { return calls_.size(); }
  std::uint64_t sent() const { return sent_; }
  limit_shares& shares(std::size_t at) { return *nodes_[at].shares; }
  random_source& random() { return random_; }
  instant Clock(std::size_t at) const {
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
    std::uint32_t ended = 0;
    table_shard table;
    std::unique_ptr<limit_shares> shares;
  };

  struct running_call {
    std::size_t node;
    incarnation_id incarnation;
    instant ends;
  };

  struct message {
    instant arrives;
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
        1000 + static_cast<std::int64_t>(random_.Below(2 * weather_.drift_per_mille + 1)) -
        weather_.drift_per_mille;
    added.table = shard_;
    nodes_.push_back(std::move(added));
    Start(nodes_.size() - 1);
  }

  void Start(std::size_t at) {
    node& one = nodes_[at];
    one.incarnation = random_.Next();
    one.ended = 0;
    one.shares = std::make_unique<limit_shares>(
        limit_shares::options{one.failure_domain, one.slot, one.incarnation, Clock(at)});
    one.shares->UseTable(one.table, Clock(at));
    for (std::size_t each = 0; each < nodes_.size(); ++each) {
      TellPeers(each);
    }
  }

  void TellPeers(std::size_t at) {
    std::vector<endpoint> peers;
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
      if (other != at && nodes_[other].failure_domain == nodes_[at].failure_domain) {
        peers.push_back(AddressOf(other));
      }
    }
    nodes_[at].shares->UsePeers(peers);
  }

  bool Awake(std::size_t at) const { return nodes_[at].paused_until <= now_; }

  void Misfortune(std::size_t at) {
    if (random_.Below(1000) < weather_.pause_per_mille) {
      nodes_[at].paused_until = now_ + duration(random_.Below(15'000'000));
    }
    if (random_.Below(1000) < weather_.restart_per_mille) {
      std::erase_if(calls_, [&](const running_call& call) { return call.node == at; });
      Start(at);
    }
  }

  template <typename Message>
  void Post(std::size_t from, const std::vector<addressed<Message>>& messages,
            std::vector<addressed<Message>> share_actions::*kind) {
    for (const addressed<Message>& each : messages) {
      const int copies = random_.Below(100) < weather_.lost_percent      ? 0
                         : random_.Below(100) < weather_.doubled_percent ? 2
                                                                         : 1;
      for (int copy = 0; copy < copies; ++copy) {
        const duration delay(random_.Below(weather_.longest_delay.count() + 1));
        message posted{now_ + delay, each.to.address - AddressOf(0).address, AddressOf(from), {}};
        (posted.content.*kind).push_back(each);
        in_transit_.push_back(std::move(posted));
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
      const bool arrives = one.arrives <= now_ && Awake(one.to);
      if (arrives) {
        due.push_back(one);
      }
      return arrives;
    });
    for (const message& one : due) {
      share_actions out;
      limit_shares& shares = *nodes_[one.to].shares;
      for (const auto& request : one.content.requests) {
        shares.OnRequest(one.from, request.message, Clock(one.to), out);
      }
      for (const auto& grant : one.content.grants) {
        shares.OnGrant(one.from, grant.message, Clock(one.to), out);
      }
      for (const auto& returned : one.content.returns) {
        shares.OnReturn(one.from, returned.message, Clock(one.to));
      }
      Send(one.to, out);
    }
  }

  table_shard shard_;
  share_weather weather_;
  random_source random_;
  instant now_ = FromMicros(1'000'000);
  std::vector<node> nodes_;
  std::vector<running_call> calls_;
  std::vector<message> in_transit_;
  std::uint64_t sent_ = 0;
};

}  // namespace cuminferry::testing
