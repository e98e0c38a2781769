#include "cuminferry_relay/path/unlisted_exchange.h"

#include <cstddef>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "cuminferry_relay/http/http_status.h"
#include "cuminferry_relay/path/outbound_call.h"
#include "cuminferry_relay/path/peer_message.h"
#include "cuminferry_relay/path/peer_queries.h"
#include "cuminferry_relay/path/unlisted_headers.h"
#include "cuminferry_relay/path/unlisted_messages.h"

namespace cuminferry {
namespace {

// Nodes reply within milliseconds; one that doesn't is unreachable or gone and confirms nothing.
constexpr duration kReplyTimeout = std::chrono::milliseconds(300);

}  // namespace

struct unlisted_exchange::state {
  relay_board& board;
  instance_list& instances;
  std::function<void()> on_changed;
  peer_queries queries;
  loop_timer check_timer;
  bool is_checking = false;
  // Services with listed instances; nothing after a change of the instances.
  std::optional<std::set<std::string, std::less<>>> listed_services;

  state(relay_board& board, instance_list& instances, std::function<void()> on_changed)
      : board(board),
        instances(instances),
        on_changed(std::move(on_changed)),
        queries(board, "unlisted"),
        check_timer(board.loop) {
    ApplySettings();
    board.unlisted_since = [this](std::string_view id) {
      return this->instances.UnlistedSince(id);
    };
    board.on_instance_confirmed = [this](std::string_view id, std::int64_t started_millis) {
      this->instances.OnConfirmed(id, started_millis, this->board.loop.Now());
    };
  }

  void ApplySettings() {
    instances.SetUnlistedRetention(unlisted_retention::ForDrainTime(board.settings.drain));
  }

  void OnInstancesChanged() {
    listed_services.reset();
    if (instances.may_have_unlisted()) {
      DropIneligible();
    }
    LogRetention();
    if (instances.may_have_unlisted() && !std::exchange(is_checking, true)) {
      check_timer.StartPeriodic(kCheckPeriod, [this] { OnCheck(); });
    }
  }

  // Instances that declared that they leave, or whose service the table no longer declares, are
  // dropped, whatever their nodes confirm.
  void DropIneligible() {
    const auto& table = board.table();
    std::vector<std::pair<std::string, std::string_view>> ineligible;
    instances.ForEachUnlisted([&](const service_instance& instance, const auto&) {
      const auto leaving_run = board.LeavingRunOf(instance.id);
      if (leaving_run && *leaving_run >= instance.started_millis) {
        ineligible.emplace_back(instance.id, "declared_leaving");
      } else if (table && table->FindService(instance.service) == nullptr) {
        ineligible.emplace_back(instance.id, "undeclared_service");
      }
    });
    for (const auto& [id, why] : ineligible) {
      Drop(id, why);
    }
  }

  void LogRetention() {
    for (const retention_event& event : instances.TakeRetentionEvents()) {
      switch (event.kind) {
        case retention_event_kind::kRetained:
          board.log.LogChange("instance.retained",
                              {{"target", event.id}, {"service", event.service}});
          break;
        case retention_event_kind::kNotConfirmed:
          LogDropped(event.id, event.service, "unconfirmed");
          break;
        case retention_event_kind::kReplaced:
          LogDropped(event.id, event.service, "replaced");
          break;
      }
    }
  }

  void LogDropped(std::string_view id, std::string_view service, std::string_view why) const {
    board.log.LogChange("instance.dropped", {{"target", id}, {"service", service}, {"why", why}});
  }

  bool Drop(std::string_view id, std::string_view why) {
    // The events so far come first: an instance is dropped after it was retained.
    LogRetention();
    const service_instance* known = instances.Find(id);
    const std::string service = known == nullptr ? std::string() : known->service;
    const std::string dropped(id);
    if (!instances.OnDenied(dropped, board.loop.Now())) {
      return false;
    }
    LogDropped(dropped, service, why);
    return true;
  }

  bool OnDenied(std::string_view id, std::string_view why) {
    if (!Drop(id, why)) {
      return false;
    }
    on_changed();
    return true;
  }

  //============================================================================
  void OnCheck() {
    if (!instances.may_have_unlisted()) {
      is_checking = false;
      check_timer.Stop();
      board.unlisted.OnNoneUnlisted();
      return;
    }
    if (!listed_services) {
      listed_services = instances.ListedServices();
    }
    LogRetention();
    const instant now = board.loop.Now();
    std::vector<unlisted_queries::candidate> candidates;
    instances.ForEachUnlisted(
        [&](const service_instance& unlisted, const std::optional<instant>& confirmed_at) {
          const bool has_listed_others = listed_services->contains(unlisted.service);
          if (board.unlisted.IsWanted(unlisted.service, has_listed_others, now)) {
            candidates.push_back({.id = unlisted.id,
                                  .service = unlisted.service,
                                  .confirmed_at = confirmed_at,
                                  .has_listed_others = has_listed_others});
          }
        });
    for (const std::string& id : board.unlisted.TakeDue(candidates, now, board.random)) {
      QueryRegistration(id);
    }
  }

  void QueryRegistration(const std::string& id) {
    const service_instance* known = instances.Find(id);
    const auto since = instances.UnlistedSince(id);
    if (known == nullptr || !since) {
      return;
    }
    const registration_query query{.instance = id,
                                   .notice = {.started_millis = known->started_millis,
                                              .unlisted_for = board.loop.Now() - *since}};
    queries.Send({.peer = board.PeerAddressOf(known->backend),
                  .target = query.ToTarget(),
                  .limit = kReplyTimeout},
                 [this, id, run = known->started_millis](const std::optional<std::string>& reply) {
                   if (reply) {
                     OnRegistrationReply(id, run, *reply);
                   }
                 });
  }

  void OnRegistrationReply(const std::string& id, std::int64_t run, std::string_view reply) {
    const service_instance* known = instances.Find(id);
    if (known == nullptr || known->started_millis != run) {
      // A later run was listed meanwhile.
      return;
    }
    if (reply == kServingReply) {
      instances.OnConfirmed(id, run, board.loop.Now());
    } else if (reply == kLeavingReply) {
      OnDenied(id, "leaving");
    } else if (reply == kOtherReply) {
      OnDenied(id, "other-instance");
    }
  }

  //============================================================================
  void OnItemsCopied(const endpoint& peer) {
    if (board.settings.drain <= duration::zero()) {
      return;
    }
    queries.Send({.peer = peer, .target = std::string(kUnlistedPath), .limit = kReplyTimeout},
                 [this](const std::optional<std::string>& reply) {
                   if (reply && !reply->empty()) {
                     AddReported(*reply);
                   }
                 });
  }

  void AddReported(std::string_view bytes) {
    const auto entries = DecodeMessage<std::vector<unlisted_entry>>(bytes);
    if (!entries) {
      board.log.LogChange("unlisted.damaged", {{"bytes", bytes.size()}});
      return;
    }
    std::vector<unlisted_instance> reported;
    for (const unlisted_entry& entry : *entries) {
      if (auto found = entry.ToInstance()) {
        reported.push_back(*std::move(found));
      }
    }
    if (instances.AddUnlisted(reported, board.loop.Now())) {
      on_changed();
    }
  }

  void OnRequest(server_exchange& peer) const {
    std::vector<unlisted_entry> entries;
    for (const unlisted_instance& unlisted : instances.UnlistedInstances(board.loop.Now())) {
      entries.push_back(unlisted_entry::Of(unlisted));
    }
    const std::string body = EncodeMessage(entries);
    board.metrics.OnControlMessage("unlisted", "received", peer.request().target.size());
    board.metrics.OnControlMessage("unlisted", "sent", body.size());
    peer.Answer(MakeAnswer(http_status::kOk), body);
  }
};

unlisted_exchange::unlisted_exchange(relay_board& board, instance_list& instances,
                                     std::function<void()> on_changed)
    : state_(std::make_unique<state>(board, instances, std::move(on_changed))) {}

unlisted_exchange::~unlisted_exchange() = default;

void unlisted_exchange::ApplySettings() { state_->ApplySettings(); }

void unlisted_exchange::OnInstancesChanged() { state_->OnInstancesChanged(); }

bool unlisted_exchange::OnDenied(std::string_view id, std::string_view why) {
  return state_->OnDenied(id, why);
}

void unlisted_exchange::OnItemsCopied(const endpoint& peer) { state_->OnItemsCopied(peer); }

void unlisted_exchange::OnRequest(server_exchange& peer) const { state_->OnRequest(peer); }

void unlisted_exchange::SetGauges(relay_metrics& metrics) const {
  if (state_->board.settings.drain > duration::zero()) {
    std::size_t unlisted = 0;
    state_->instances.ForEachUnlisted([&unlisted](const auto&, const auto&) { ++unlisted; });
    metrics.SetGauge("cuminferry_unlisted_targets", static_cast<double>(unlisted));
  }
}

}  // namespace cuminferry
