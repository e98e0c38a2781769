#pragma once

#include <memory>
#include <optional>
#include <string>

#include "cuminferry_relay/http/http_server.h"
#include "cuminferry_relay/path/request_replay.h"
#include "cuminferry_relay/path/serving_board.h"

namespace cuminferry {

/** One request at this node's backend server: waits for a slot, is run, and its
    answer is checked and passed on to the calling node.

    A request that the backend server turned away unrun is sent to it again where
    the bound on repeats allows: servers that turn a part of their requests away at
    random have room for the next.
*/
class serving_call : public std::enable_shared_from_this<serving_call> {
 public:
  /** Sends of one request to the backend server at most: of requests that are
      turned away in one of two tries, seven in eight get through. */
  static constexpr int kMostSends = 3;

  serving_call(serving_board& board, std::uint64_t id, std::shared_ptr<server_exchange> peer,
               call_header about);

  void Begin();
  /** There is a slot for it. */
  void OnSlot();
  /** Its turn has come among the suspects at this backend server. */
  void OnTurn();
  /** Answers the calling node that no answer of the backend server comes. */
  void TurnAway(relay_outcome why);
  /** The backend server ended while it ran this, which was made known.
      @param digest  as told by AsSuspect() */
  void OnBackendEnded(std::uint64_t end, const request_digest& digest);

  const std::string& request_id() const { return request_id_; }
  /** What it is known by, as one of those that an end took along. */
  suspect_book::running_request AsSuspect() const;

 private:
  bool MayTakeRepeat();
  void AwaitTurn(const request_digest& suspect);
  void AskForSlot();
  /** How a run in the backend server ended. */
  enum class run_end : std::uint8_t {
    kSuccess,
    /** It answered that it failed, or ran until its deadline. */
    kFailure,
    /** It was cancelled, or brought no answer. */
    kBrokenOff,
  };

  bool KeyIsStale() const;
  bool IsBlocked() const;
  /** Tells the calling node, if the answer takes longer, that there will be one. */
  void Announce();
  void HookPeer();
  void OnBody(std::string_view bytes);
  void OnBodyEnd();
  void ReleaseGrant();
  void Start();
  void Send();
  http_head RequestForBackend() const;
  bool IsAnswer(const http_head& head) const;
  void OnAnswerHead(http_head head);
  std::optional<relay_outcome> Judge(const http_head& head) const;
  void OnAnswerBody(std::string_view bytes);
  void OnAnswerEnd();
  bool SendAgain();
  void OnBackendFailed(exchange_failure failure);
  void OnPeerGone();
  void OnDeadline();
  static row_causes::run_fate FateOf(run_end how);
  void FreeSlot(run_end how);
  void End(std::string_view result);
  void LogEnd(std::string_view result, duration waited, duration took) const;

  serving_board& board_;
  std::uint64_t id_;
  std::shared_ptr<server_exchange> peer_;
  call_header about_;
  std::string request_id_;
  // Where it ran at a backend server that ended.
  std::optional<request_digest> suspect_;
  instant arrived_;
  instant started_{};
  // Of the gate, as it began to run; zero where slots were free.
  std::uint32_t limit_when_full_ = 0;
  instant deadline_{};
  // Not to begin later, as its customer's key may be withdrawn.
  instant key_until_ = instant::max();
  loop_timer deadline_timer_;
  loop_timer announce_timer_;
  request_replay body_;
  bool body_ended_ = false;
  // It has a slot, and its entry was told so and has not let it run yet.
  bool granted_ = false;
  bool running_ = false;
  int sends_ = 0;
  bool committed_ = false;
  bool detached_ = false;
  bool ended_ = false;
  std::optional<relay_outcome> outcome_;
  // The backend server answered that it failed.
  bool failed_ = false;
  std::unique_ptr<client_exchange> backend_;
  std::unique_ptr<client_exchange> finished_backend_;
};

}  // namespace cuminferry
