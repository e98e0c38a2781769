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

/** A small stand-in of the platform's store: range, pages, watches and its ways
    of failing. */
class store_stand_in {
 public:
  store_stand_in(event_loop& loop, const endpoint& at);
  ~store_stand_in();
  store_stand_in(const store_stand_in&) = delete;
  store_stand_in& operator=(const store_stand_in&) = delete;

  //============================================================================
  void Put(const std::string& key, const std::string& value);
  /** As Put(), for an item that is there: it keeps its creation. */
  void Renew(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  /** Forgets its history: watches from before get 410. */
  void Compact();

  /** Sets a copy aside, from which it may return. */
  void SetCopyAside();
  /** Comes back from that copy: what was written since is gone, its revisions are given out
      again, and watches that wait are cut. */
  void ReturnFromCopy();

  /** Answers everything with this status; 0 serves. */
  int broken_status = 0;
  /** Takes requests and never answers. */
  bool silent = false;
  /** Answers a watch when its wait is over, without events; else it waits for ever. */
  bool answers_after_wait = false;
  /** Watches end after their wait without a word of changes meanwhile. */
  bool untold = false;
  int untold_watches = 0;
  /** Items in one page of a range. */
  std::size_t page = 500;

  int calls = 0;
  int ranges = 0;
  endpoint at() const;
  std::uint64_t revision() const { return revision_; }

 private:
  struct change {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    std::uint64_t created = 0;
    bool removed = false;
  };

  struct copy {
    std::map<std::string, change> items;
    std::vector<change> history;
    std::uint64_t revision = 0;
  };

  static nlohmann::json ToJson(const change& item);
  void Answer(server_exchange& request, int status, const nlohmann::json& body) const;
  void AnswerAfterWait(const std::shared_ptr<server_exchange>& watch, duration wait);

  void OnRequest(std::shared_ptr<server_exchange> request);
  void AnswerRange(server_exchange& request, const std::string& after);
  bool AnswerWatch(server_exchange& request, std::uint64_t after);
  void WakeWatches();

  event_loop& loop_;
  std::unique_ptr<http_server> server_;
  std::map<std::string, change> items_;
  std::vector<change> history_;
  std::uint64_t revision_ = 10;
  std::uint64_t forgotten_to_ = 0;
  std::uint64_t era_ = 0;
  copy copy_;
  std::vector<std::pair<std::shared_ptr<server_exchange>, std::uint64_t>> waiting_;
  std::vector<std::unique_ptr<loop_timer>> timers_;
};

}  // namespace cuminferry::testing
