#include "cuminferry_relay/path/relay_node.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "cuminferry_relay/http/http_server.h"
#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/path/item_exchange.h"
#include "cuminferry_relay/path/item_filter.h"
#include "cuminferry_relay/path/limit_exchange.h"
#include "cuminferry_relay/path/outbound_call.h"
#include "cuminferry_relay/path/serving_side.h"
#include "cuminferry_relay/path/suspect_exchange.h"
#include "cuminferry_relay/path/unlisted_exchange.h"
#include "cuminferry_relay/path/unlisted_headers.h"

namespace cuminferry {
namespace {

// A dead connection of a client or peer is detected within this time.
constexpr duration kSilenceLimit = std::chrono::seconds(3);
// The platform's entries expire after three missed renewals. A platform that was unavailable
// for less than this time has therefore lost none of them.
constexpr duration kEntryLifetime = std::chrono::milliseconds(1'500);
constexpr duration kExpiryCheckPeriod = std::chrono::milliseconds(250);
// The platform probes a node's readiness once a second and removes the node after two failed
// probes. Until then clients still send requests to this node.
constexpr duration kDrainNoticeTime = std::chrono::milliseconds(2'300);
constexpr duration kDrainCheckPeriod = std::chrono::milliseconds(50);
// New requests of clients are refused after this fraction of the grace period. The rest is for
// the requests in progress: without it, a node that clients keep sending to cut off ten
// requests when its process stopped.
constexpr double kAcceptingFraction = 0.48;
// Part of the grace period that is reserved for the shutdown after the last answer.
constexpr duration kGraceMargin = std::chrono::milliseconds(700);

// Requests of other nodes need no tighter limits, because the ingress node has already applied
// the limits for clients.
constexpr std::size_t kMaxPeerHeadBytes = 80 * 1024;
constexpr std::uint64_t kMaxPeerBodyBytes = std::uint64_t{1} << 40;
constexpr duration kPeerIdleTime = std::chrono::seconds(90);

}  // namespace

struct relay_node::state {
  relay_board board;
  item_filter filter;
  std::string table_key;
  table_reader read_table;
  listed_instances listed;
  instance_list instances;
  serving_side serving;
  item_exchange exchange;
  limit_exchange limits;
  suspect_exchange suspects;
  unlisted_exchange unlisted;
  loop_timer expiry_timer;
  loop_timer drain_timer;
  std::unordered_map<outbound_call*, std::shared_ptr<outbound_call>> calls;
  std::unique_ptr<http_server> outbound;
  std::unique_ptr<http_server> peer;
  std::unique_ptr<http_server> seed;
  std::unique_ptr<http_server> ready;
  std::unique_ptr<http_server> metrics;
  bool platform_reachable = false;
  instant drain_started_at{};
  std::function<void()> on_drained;

  state(event_loop& loop, relay_settings settings, item_reducer reduce, std::string table_key,
        table_reader read_table, instance_reader read_instance,
        std::function<void(bool)> on_watching_change)
      : board(loop, std::move(settings)),
        filter(board, std::move(reduce)),
        table_key(std::move(table_key)),
        read_table(std::move(read_table)),
        listed(std::move(read_instance)),
        serving(board),
        exchange(board,
                 {.on_update = [this](const item_update& update) { ApplyUpdate(update); },
                  .reduce_item = [this](published_item& item) { return filter.Reduce(item); },
                  .on_copied = [this](const endpoint& peer) { unlisted.OnItemsCopied(peer); },
                  .on_watching_change = std::move(on_watching_change),
                  .unsettled_time =
                      [this] { return instances.RemainingRetention(this->board.loop.Now()); }}),
        limits(board),
        suspects(board),
        unlisted(board, instances, [this] { ApplyInstances(); }),
        expiry_timer(loop),
        drain_timer(loop) {
    board.query_coordinator = [this](const std::string& customer,
                                     std::function<void()> on_replied) {
      limits.QueryCoordinator(customer, std::move(on_replied));
    };
    board.on_suspects = [this](const std::vector<suspect_event>& found) {
      suspects.Announce(found);
    };
    board.on_instance_absent = [this](std::string_view id) {
      if (instances.OnInstanceAbsent(id)) {
        ApplyInstances();
      }
    };
    board.on_target_denied = [this](std::string_view id, std::string_view why) {
      if (!unlisted.OnDenied(id, why)) {
        board.on_instance_absent(id);
      }
    };
  }

  absl::Status Listen() {
    const relay_settings& at = board.settings;
    const http_limits peer_limits{.max_head_bytes = kMaxPeerHeadBytes,
                                  .max_body_bytes = kMaxPeerBodyBytes,
                                  .head_timeout = kSilenceLimit,
                                  .idle_timeout = kPeerIdleTime};
    const auto listen = [&](std::unique_ptr<http_server>& listener, const endpoint& address,
                            const http_limits& limits, http_server::request_hook hook) {
      // Other nodes wait for "100 Continue" before they send the body of a held request.
      const bool from_nodes = address == at.peer;
      auto server = http_server::Listen(board.loop, {.address = address,
                                                     .limits = limits,
                                                     .silence_timeout = kSilenceLimit,
                                                     .handler_sends_continue = from_nodes,
                                                     .on_request = std::move(hook)});
      if (server.ok()) {
        listener = std::move(*server);
      }
      return server.status();
    };
    absl::Status status =
        listen(peer, at.peer, peer_limits, [this](auto request) { OnPeerRequest(request); });
    status.Update(listen(seed, at.seed, peer_limits, [this](auto request) {
      if (request->request().target.starts_with(kItemsPath)) {
        exchange.OnRequest(*request);
      } else if (request->request().target == kUnlistedPath) {
        unlisted.OnRequest(*request);
      } else {
        request->Answer(MakeAnswer(http_status::kNotFound), "");
      }
    }));
    status.Update(listen(metrics, at.metrics, {}, [this](auto request) { OnMetrics(*request); }));
    status.Update(
        listen(ready, at.ready, {}, [this](auto request) { OnReadinessProbe(*request); }));
    status.Update(listen(outbound, at.outbound, {}, [this](auto request) { OnOutbound(request); }));
    expiry_timer.StartPeriodic(kExpiryCheckPeriod, [this] {
      if (instances.Expire(board.loop.Now())) {
        ApplyInstances();
      }
    });
    return status;
  }

  //============================================================================
  void OnOutbound(std::shared_ptr<server_exchange> request) {
    auto call = outbound_call::Make(board, std::move(request),
                                    [this](outbound_call* ended) { calls.erase(ended); });
    calls.emplace(call.get(), call);
    call->Run();
  }

  // A request of a client may have the path of a node's message; only the client's has a call
  // field.
  void OnPeerRequest(std::shared_ptr<server_exchange> request) {
    if (request->request().Find(kCallField) != nullptr) {
      serving.OnRequest(std::move(request));
      return;
    }
    if (request->request().target.starts_with(kItemsPath)) {
      exchange.OnRequest(*request);
    } else if (request->request().target.starts_with(kSuspectsPath)) {
      suspects.OnRequest(request);
    } else if (request->request().target == kUnlistedPath) {
      unlisted.OnRequest(*request);
    } else if (request->request().target.starts_with(kRegistrationPath)) {
      serving.OnRegistrationQuery(std::move(request));
    } else if (request->request().target == kLimitsPath) {
      limits.OnRequest(std::move(request));
    } else if (request->request().target == kSharesPath) {
      limits.OnShareQuery(std::move(request));
    } else {
      serving.OnRequest(std::move(request));
    }
  }

  bool IsReady() const { return board.table() != nullptr && !board.draining; }

  void OnReadinessProbe(server_exchange& request) const {
    if (!request.request().target.starts_with(board.settings.ready_path)) {
      request.Answer(MakeAnswer(http_status::kNotFound), "");
    } else if (IsReady()) {
      request.Answer(MakeAnswer(http_status::kOk), "ready\n");
    } else {
      request.Answer(MakeAnswer(http_status::kUnavailable), "not ready\n");
    }
  }

  void OnMetrics(server_exchange& request) {
    if (request.request().target != board.settings.metrics_path) {
      request.Answer(MakeAnswer(http_status::kNotFound), "");
      return;
    }
    board.metrics.SetGauge("cuminferry_open_requests", static_cast<double>(calls.size()));
    board.metrics.SetGauge("cuminferry_serving_requests",
                           static_cast<double>(serving.in_progress()));
    board.metrics.SetGauge(
        "cuminferry_items_revision",
        static_cast<double>(item_revision::CounterOf(board.items.complete_to())));
    board.metrics.SetGauge("cuminferry_platform_heard", platform_reachable ? 1.0 : 0.0);
    board.metrics.SetGauge("cuminferry_platform_watched", exchange.is_watching() ? 1.0 : 0.0);
    board.metrics.SetGauge("cuminferry_items_questions",
                           static_cast<double>(exchange.queries_answered()));
    board.metrics.SetGauge("cuminferry_suspects_told",
                           static_cast<double>(suspects.announcements_sent()));
    board.metrics.SetGauge("cuminferry_suspects_blocked",
                           static_cast<double>(board.suspects.CountBlocked(board.loop.Now())));
    board.metrics.SetGauge("cuminferry_items_left_out",
                           static_cast<double>(board.items.left_out()));
    if (const auto age = exchange.ReplicaAge()) {
      board.metrics.SetGauge("cuminferry_items_age_seconds", ToSeconds(*age));
    }
    board.metrics.SetCustomerShares(board.shares.HeldCustomers(board.loop.Now()));
    serving.SetGauges(board.metrics);
    unlisted.SetGauges(board.metrics);
    http_head head = MakeAnswer(http_status::kOk);
    head.Set("Content-Type", "text/plain; version=0.0.4");
    request.Answer(std::move(head), board.metrics.ToText());
  }

  //============================================================================
  // Applies an update of the published items from this node's own watch on the platform.
  void ApplyWatchedUpdate(const item_update& update) {
    ApplyUpdate(update);
    if (update.age_micros != item_update::kUnknownAge) {
      const instant complete_at = board.loop.Now() - duration(update.age_micros);
      board.items_age.OnCurrentAt(complete_at);
      exchange.OnWatchConfirmed(complete_at);
    }
  }

  void ApplyUpdate(const item_update& update) {
    if (update.relist_micros > 0) {
      instances.RetainMissingFor(duration(update.relist_micros), board.loop.Now());
    }
    if (board.items.IsAfterRestore(update)) {
      board.log.LogChange("platform.returned_from_copy",
                          {{"items_revision", item_revision::ToText(board.items.complete_to())},
                           {"to", item_revision::ToText(update.complete_to)}});
      instances.OnPublisherRestored(board.loop.Now());
    }
    const std::uint64_t left_out_before = board.items.left_out();
    const std::vector<std::string> changed = board.items.Apply(update);
    if (left_out_before == 0 && board.items.left_out() > 0) {
      board.log.LogChange("items.left_out", {{"kept", item_replica::kMaxItems}});
    }
    if (changed.empty()) {
      return;
    }
    // The table is long, and others' entries may change hundreds of times a second.
    if (std::ranges::find(changed, table_key) != changed.end()) {
      ApplyTable();
    }
    instances.Apply(listed.OnChanged(board.items, changed), board.loop.Now());
    ApplyInstances();
  }

  void ApplyTable() {
    const auto table = read_table(board.items);
    if (!table.ok()) {
      board.metrics.OnUnreadableItem();
      board.log.LogChange("table.refused", {{"error", std::string(table.status().message())}});
      return;
    }
    const auto& known = board.table();
    // An older version never replaces a newer one: clients that saw an edit in force would see
    // it undone.
    if (!*table || (known && (*table)->version() <= known->version())) {
      return;
    }
    board.log.LogChange("table.in_force",
                        {{"from", known ? known->version() : 0},
                         {"to", (*table)->version()},
                         {"rows", (*table)->routes().size()},
                         {"items_revision", item_revision::ToText(board.items.complete_to())}});
    board.SetTable(*table);
    instances.Apply(listed.SetServices(board.items, **table), board.loop.Now());
    const client_limits& limits = (*table)->limits();
    outbound->SetLimits({.max_head_bytes = limits.max_head_bytes,
                         .max_body_bytes = limits.max_body_bytes,
                         .head_timeout = limits.head_timeout,
                         .idle_timeout = limits.idle_timeout});
    serving.OnPublishedItemsChanged();
  }

  void ApplyInstances() {
    unlisted.OnInstancesChanged();
    const std::vector<address_change> changes = instances.TakeChanges();
    if (changes.empty()) {
      return;
    }
    board.ApplyInstances(changes);
    exchange.OnInstancesChanged();
    board.log.LogChange("instances.changed",
                        {{"listed", board.instance_count()},
                         {"leaving", board.draining_count()},
                         {"superseded", instances.superseded()},
                         {"own_slots", board.own_slots()},
                         {"items_revision", item_revision::ToText(board.items.complete_to())}});
    serving.OnPublishedItemsChanged();
  }

  //============================================================================
  void OnDrainCheck() {
    const duration passed = board.loop.Now() - drain_started_at;
    const bool idle = calls.empty() && serving.in_progress() == 0 &&
                      outbound->open_requests() == 0 && peer->open_requests() == 0 &&
                      !outbound->has_unsent_answers() && !peer->has_unsent_answers();
    const bool noticed = passed >= kDrainNoticeTime;
    // Until the platform has noticed the drain, this backend server may be the only one of its
    // service.
    board.refuses_runs = noticed;
    const double grace = static_cast<double>(board.settings.grace.count());
    board.refuses_clients =
        passed >= duration(static_cast<duration::rep>(kAcceptingFraction * grace));
    if ((noticed && idle) || passed >= board.settings.grace - kGraceMargin) {
      drain_timer.Stop();
      board.log.LogChange("process.stopped", {{"open_requests", calls.size()},
                                              {"serving", serving.in_progress()},
                                              {"after_us", passed.count()}});
      board.log.Flush();
      on_drained();
    }
  }
};

//==============================================================================
relay_node::builder& relay_node::builder::WithSettings(relay_settings settings) {
  settings_ = std::move(settings);
  return *this;
}

relay_node::builder& relay_node::builder::WithTableReader(std::string key, table_reader reader) {
  table_key_ = std::move(key);
  read_table_ = std::move(reader);
  return *this;
}

relay_node::builder& relay_node::builder::WithInstanceReader(instance_reader reader) {
  read_instance_ = std::move(reader);
  return *this;
}

relay_node::builder& relay_node::builder::WithItemReducer(item_reducer reduce) {
  reduce_item_ = std::move(reduce);
  return *this;
}

relay_node::builder& relay_node::builder::WithWatchHook(
    std::function<void(bool)> on_watching_change) {
  on_watching_change_ = std::move(on_watching_change);
  return *this;
}

absl::StatusOr<std::unique_ptr<relay_node>> relay_node::builder::Start() {
  auto made = std::make_unique<state>(loop_, std::move(settings_), std::move(reduce_item_),
                                      std::move(table_key_), std::move(read_table_),
                                      std::move(read_instance_), std::move(on_watching_change_));
  const absl::Status listening = made->Listen();
  if (!listening.ok()) {
    return listening;
  }
  made->board.log.LogChange("process.started",
                            {{"service", made->board.settings.service},
                             {"failure_domain", made->board.settings.failure_domain},
                             {"outbound", made->board.settings.outbound.ToString()},
                             {"peer", made->board.settings.peer.ToString()}});
  return std::unique_ptr<relay_node>(new relay_node(std::move(made)));
}

relay_node::relay_node(std::unique_ptr<state> state) : state_(std::move(state)) {}
relay_node::~relay_node() = default;

bool relay_node::ReduceItem(published_item& item) { return state_->filter.Reduce(item); }

void relay_node::OnUnreadableItem(std::string_view key, std::string_view reason) {
  state_->filter.OnUnreadable(key, reason);
}

void relay_node::OnInvalidPlatformAnswer(const invalid_answer& invalid) {
  state_->board.OnInvalidAnswer("platform", invalid);
}

void relay_node::OnItemUpdate(const item_update& update) { state_->ApplyWatchedUpdate(update); }

void relay_node::SetPlatformReachable(bool reachable) {
  state_->exchange.SetPlatformAnswers(reachable);
  if (reachable == state_->platform_reachable) {
    return;
  }
  state_->platform_reachable = reachable;
  const instant now = state_->board.loop.Now();
  const std::optional<duration> age = state_->board.items_age.AgeAt(now);
  // A node whose replica is current got it from other nodes that could reach the platform all
  // along. Entries that were removed meanwhile must not be retained then, or the draining
  // backend servers would get requests until their processes stop.
  if (reachable && (!age || *age > kEntryLifetime)) {
    state_->instances.OnPlatformRecovered(now);
  }
  state_->board.log.LogChange(
      reachable ? "platform.regained" : "platform.lost",
      {{"items_revision", item_revision::ToText(state_->board.items.complete_to())}});
}

std::uint64_t relay_node::items_revision() const { return state_->board.items.complete_to(); }

bool relay_node::ApplySettings(const relay_settings& changed) {
  relay_board& board = state_->board;
  board.ApplyBounds(changed);
  state_->unlisted.ApplySettings();
  relay_settings in_force = board.settings;
  // The users of these two settings read them anew each time, so they take effect at once.
  in_force.platform = changed.platform;
  in_force.seeds = changed.seeds;
  board.settings.seeds = changed.seeds;
  const bool applied_fully = in_force == changed;
  board.log.LogChange("settings.reloaded", {{"whole", applied_fully},
                                            {"repeat_allowance", changed.repeat_allowance},
                                            {"platform", changed.platform.ToString()}});
  return applied_fully;
}

void relay_node::Drain(std::function<void()> on_drained) {
  if (state_->board.draining) {
    return;
  }
  state_->board.draining = true;
  state_->drain_started_at = state_->board.loop.Now();
  state_->on_drained = std::move(on_drained);
  state_->board.log.LogChange("process.draining", {{"open_requests", state_->calls.size()},
                                                   {"serving", state_->serving.in_progress()}});
  state_->outbound->Drain();
  state_->drain_timer.StartPeriodic(kDrainCheckPeriod, [this] { state_->OnDrainCheck(); });
}

decision_log& relay_node::log() { return state_->board.log; }

}  // namespace cuminferry
