#include "platform/store_stand_in.h"

#include <absl/strings/escaping.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace cuminferry::testing {
namespace {

using nlohmann::json;

constexpr duration kExpiryCheckPeriod = std::chrono::milliseconds(50);

std::string QueryParameter(const std::string& target, const std::string& name) {
  const auto at = target.find(name + "=");
  if (at == std::string::npos) {
    return "";
  }
  const auto begin = at + name.size() + 1;
  return target.substr(begin, target.find('&', begin) - begin);
}

}  // namespace

store_stand_in::store_stand_in(event_loop& loop, const endpoint& at)
    : loop_(loop), expiry_timer_(loop) {
  auto server = http_server::Listen(
      loop, {.address = at,
             .limits = {},
             .silence_timeout = std::chrono::seconds(3),
             .on_request = [this](auto request) { OnRequest(std::move(request)); }});
  if (!server.ok()) {
    throw std::runtime_error(std::string(server.status().message()));
  }
  server_ = std::move(*server);
}

store_stand_in::~store_stand_in() = default;

endpoint store_stand_in::address() const { return server_->address(); }

void store_stand_in::Put(const std::string& key, const std::string& value) {
  ++revision_;
  items_[key] = {.key = key, .value = value, .revision = revision_, .created = revision_};
  history_.push_back(items_[key]);
  AnswerWaitingWatches();
}

void store_stand_in::PutFor(const std::string& key, const std::string& value, duration lifetime) {
  if (lifetimes_.empty()) {
    expiry_timer_.StartPeriodic(kExpiryCheckPeriod, [this] { ExpireItems(); });
  }
  lifetimes_[key] = lifetime;
  expires_at_[key] = loop_.Now() + lifetime;
  Put(key, value);
}

void store_stand_in::ExpireItems() {
  std::vector<std::string> expired;
  for (const auto& [key, expires_at] : expires_at_) {
    if (expires_at <= loop_.Now()) {
      expired.push_back(key);
    }
  }
  for (const std::string& key : expired) {
    Remove(key);
  }
}

void store_stand_in::Renew(const std::string& key, const std::string& value) {
  change& item = items_.at(key);
  item.value = value;
  item.revision = ++revision_;
  history_.push_back(item);
  AnswerWaitingWatches();
}

void store_stand_in::Remove(const std::string& key) {
  items_.erase(key);
  expires_at_.erase(key);
  history_.push_back({.key = key, .value = "", .revision = ++revision_, .removed = true});
  AnswerWaitingWatches();
}

void store_stand_in::Compact() {
  discarded_up_to_ = revision_;
  history_.clear();
}

void store_stand_in::TakeBackup() {
  backup_ = {.items = items_, .history = history_, .revision = revision_};
}

void store_stand_in::RestoreBackup() {
  items_ = backup_.items;
  history_ = backup_.history;
  revision_ = backup_.revision;
  ++era_;
  expires_at_.clear();
  for (const auto& [key, lifetime] : lifetimes_) {
    if (items_.contains(key)) {
      expires_at_[key] = loop_.Now() + lifetime;
    }
  }
  for (const auto& [watch, after] : waiting_watches_) {
    watch->Abort();
  }
  waiting_watches_.clear();
}

void store_stand_in::Answer(server_exchange& request, int status, const json& body) const {
  http_head head;
  head.status = status;
  head.reason = "Status";
  head.Set("Content-Type", "application/json");
  head.Set("Store-Era", std::to_string(era_));
  request.Answer(std::move(head), body.dump());
}

void store_stand_in::OnRequest(std::shared_ptr<server_exchange> request) {
  ++calls;
  if (silent) {
    waiting_watches_.emplace_back(std::move(request), ~std::uint64_t{0});
    return;
  }
  if (is_endless) {
    AnswerWithoutEnd(request);
    return;
  }
  if (error_status != 0) {
    Answer(*request, error_status, json::object());
    return;
  }
  const std::string target = request->request().target;
  if (target.starts_with("/cuminferry/kv-range")) {
    ++ranges;
    AnswerRange(*request, QueryParameter(target, "after"));
    return;
  }
  watch_waits.push_back(std::chrono::milliseconds(std::stoll(QueryParameter(target, "wait_ms"))));
  const std::uint64_t after = std::stoull(QueryParameter(target, "after"));
  if (after < discarded_up_to_ || after > revision_) {
    constexpr int kHttpGone = 410;
    Answer(*request, kHttpGone, json::object());
  } else if (!AnswerWatch(*request, after)) {
    if (answers_after_wait) {
      AnswerAfterWait(request, watch_waits.back());
    }
    waiting_watches_.emplace_back(std::move(request), after);
  }
}

void store_stand_in::AnswerWithoutEnd(const std::shared_ptr<server_exchange>& request) {
  http_head head;
  head.status = 200;
  head.reason = "OK";
  head.framing = body_framing::kChunked;
  request->SendHead(std::move(head));
  timers_.push_back(std::make_unique<loop_timer>(loop_));
  timers_.back()->StartPeriodic(std::chrono::milliseconds(1), [this, request] {
    const std::string piece(tcp_connection::kHighWater, ' ');
    if (request->unsent_bytes() == 0 && !request->client_gone()) {
      request->SendBody(piece);
      endless_bytes += piece.size();
    }
  });
}

void store_stand_in::AnswerAfterWait(const std::shared_ptr<server_exchange>& watch, duration wait) {
  timers_.push_back(std::make_unique<loop_timer>(loop_));
  timers_.back()->StartOnce(wait, [this, watch] {
    const bool still_waiting = std::erase_if(waiting_watches_, [&](const auto& waiting) {
                                 return waiting.first == watch;
                               }) > 0;
    if (still_waiting && !watch->client_gone()) {
      watches_omitting_changes += omits_changes ? 1 : 0;
      Answer(*watch, 200, {{"events", json::array()}, {"current_rev", revision_}});
    }
  });
}

json store_stand_in::ToJson(const change& item) {
  if (item.removed) {
    return {{"key", item.key}, {"revision", item.revision}, {"deleted", true}};
  }
  return {{"key", item.key},
          {"value", absl::Base64Escape(item.value)},
          {"revision", item.revision},
          {"create_revision", item.created},
          {"lease", 0}};
}

void store_stand_in::AddForeignEntries(json& list) const {
  for (const std::string& entry : foreign_entries) {
    list.insert(list.begin(), json::parse(entry));
  }
}

void store_stand_in::AnswerRange(server_exchange& request, const std::string& after) {
  json found = {{"items", json::array()}, {"has_more", false}, {"current_rev", revision_}};
  for (auto at = items_.upper_bound(after); at != items_.end(); ++at) {
    if (found["items"].size() == page) {
      found["has_more"] = true;
      break;
    }
    found["items"].push_back(ToJson(at->second));
  }
  AddForeignEntries(found["items"]);
  found["has_more"] = found["has_more"].get<bool>() || has_pages_without_end;
  Answer(request, 200, found);
}

bool store_stand_in::AnswerWatch(server_exchange& request, std::uint64_t after) {
  if (omits_changes) {
    return false;
  }
  json found = {{"events", json::array()}, {"current_rev", revision_}};
  for (const change& change : history_) {
    if (change.revision <= after) {
      continue;
    }
    found["events"].push_back(ToJson(change));
  }
  if (found["events"].empty()) {
    return false;
  }
  AddForeignEntries(found["events"]);
  Answer(request, 200, found);
  return true;
}

void store_stand_in::AnswerWaitingWatches() {
  std::erase_if(waiting_watches_, [this](auto& waiting) {
    return waiting.first->client_gone() ||
           (waiting.second <= revision_ && AnswerWatch(*waiting.first, waiting.second));
  });
}

}  // namespace cuminferry::testing
