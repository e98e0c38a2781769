#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "cuminferry_relay/cuminferry_relay.h"
#include "cuminferry_relay/http/http_server.h"

namespace cuminferry::testing {

/** Simulates the platform's store: paged ranges, watches and the failures of the real store. */
class store_stand_in {
 public:
  store_stand_in(event_loop& loop, const endpoint& at);
  ~store_stand_in();
  store_stand_in(const store_stand_in&) = delete;
  store_stand_in& operator=(const store_stand_in&) = delete;

  //============================================================================
  void Put(const std::string& key, const std::string& value);
  /** Like Put(); the item expires unless it is put again within `lifetime`. */
  void PutFor(const std::string& key, const std::string& value, duration lifetime);
  /** Like Put(), for an existing item; its creation revision stays. */
  void Renew(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  /** Discards the history: watches from an earlier revision get status 410. */
  void Compact();

  /** Makes a backup of the store. */
  void TakeBackup();
  /** Restores the backup: later changes are lost, their revisions are assigned again, the
      lifetimes of items begin anew, and the connections of waiting watches are closed. */
  void RestoreBackup();

  /** If not 0, every request is answered with this status. */
  int error_status = 0;
  /** Accepts requests and never answers them. */
  bool silent = false;
  /** Answers every request by a head with status 200 and a body that has no end. */
  bool is_endless = false;
  std::size_t endless_bytes = 0;
  /** Answers a watch without events when its wait is over; otherwise the watch waits for ever. */
  bool answers_after_wait = false;
  /** Watches are answered after their wait without the changes made meanwhile. */
  bool omits_changes = false;
  int watches_omitting_changes = 0;
  /** Entries that are added to each page of a range and each answer of a watch, as JSON. */
  std::vector<std::string> foreign_entries;
  /** Every page of a range says that more follow. */
  bool has_pages_without_end = false;
  /** Maximum number of items in one page of a range. */
  std::size_t page = 500;

  int calls = 0;
  int ranges = 0;
  /** Waits of the watches received, in order. */
  std::vector<duration> watch_waits;
  endpoint address() const;
  std::uint64_t revision() const { return revision_; }

 private:
  struct change {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    bool removed = false;
  };

  struct backup {
    std::map<std::string, change> items;
    std::vector<change> history;
    std::uint64_t revision = 0;
  };

  static nlohmann::json ToJson(const change& item);
  void AddForeignEntries(nlohmann::json& list) const;
  void Answer(server_exchange& request, int status, const nlohmann::json& body) const;
  void AnswerAfterWait(const std::shared_ptr<server_exchange>& watch, duration wait);

  void AnswerWithoutEnd(const std::shared_ptr<server_exchange>& request);
  void OnRequest(std::shared_ptr<server_exchange> request);
  void AnswerRange(server_exchange& request, const std::string& after);
  bool AnswerWatch(server_exchange& request, std::uint64_t after);
  void AnswerWaitingWatches();
  void ExpireItems();

  event_loop& loop_;
  std::unique_ptr<http_server> server_;
  std::map<std::string, change> items_;
  std::vector<change> history_;
  std::uint64_t revision_ = 10;
  std::uint64_t discarded_up_to_ = 0;
  std::uint64_t era_ = 0;
  backup backup_;
  std::vector<std::pair<std::shared_ptr<server_exchange>, std::uint64_t>> waiting_watches_;
  std::vector<std::unique_ptr<loop_timer>> timers_;
  /** Lifetimes of items, also of removed ones, and when present ones expire. */
  std::map<std::string, duration> lifetimes_;
  std::map<std::string, instant> expires_at_;
  loop_timer expiry_timer_;
};

}  // namespace cuminferry::testing
