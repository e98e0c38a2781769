#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "cuminferry_relay/path/kept_answer.h"
#include "cuminferry_relay/path/outbound_call.h"
#include "cuminferry_relay/path/outbound_record.h"
#include "cuminferry_relay/path/request_replay.h"

namespace cuminferry {

/** The inside of an outbound call, for its sources only: how it begins and ends stands in
    outbound_call.cpp, where it is sent in outbound_placement.cpp, what comes back in
    outbound_answer.cpp. */
struct outbound_call::state {
  /** Targets tried at most where each turned the request away unrun. */
  static constexpr std::size_t kMostPlacements = 4;
  /** A try with less time left than this ends in a timeout whatever the target does. */
  static constexpr duration kLeastTry = std::chrono::milliseconds(5);
  /** For refusals whose cause says nothing of when there will be room. */
  static constexpr duration kPlainReturn = std::chrono::milliseconds(400);

  state(relay_board& board, std::shared_ptr<server_exchange> client,
        std::function<void(outbound_call*)> on_end);

  //============================================================================
  // From its head to its target. Whose it is stands in outbound_customer.cpp.
  void Begin();
  bool FindCustomer();
  std::optional<duration> KeyLeft(instant now) const;
  bool KeyIsStale(instant now) const;
  void CheckLimit();
  void OnHomeAsked();
  void EnterCounted();
  void Enter();
  void PlaceUnlessSuspect();
  void OnBodyKnown();
  void SetDeadline(const http_head& request);
  std::string ChooseService();
  void HookClient();
  void OnRequestBody(std::string_view bytes);
  void OnRequestBodyEnd();

  //============================================================================
  // Placement.
  void Place();
  /** @param return_after  where it has not run; nothing where it would be refused again then */
  void EndWithoutTarget(std::string_view why, std::optional<duration> return_after = kPlainReturn);
  bool MustConfirm(const target_picker& picker, instant now) const;
  void SendBodySoFar();
  void OnInterim(int status);
  void OnSilence();
  http_head RequestFor(const published_target& target, instant now) const;

  //============================================================================
  // What comes back.
  void OnAnswerHead(http_head head);
  bool IsWorthAnotherRun(int status, instant now) const;
  void TakeLoad(const http_head& head, instant now);
  void OnAnswerBody(std::string_view bytes);
  void PassFailureOn();
  void OnAnswerEnd();
  void OnUpstreamFailed(exchange_failure why);
  void OnTurnedAway(relay_outcome why);
  bool MayPlaceAgain(relay_outcome why, instant now) const;
  duration ReturnTime(instant now);

  //============================================================================
  // Ends.
  void OnDeadline();
  void OnClientGone();
  /** @param return_after  nothing where it would be refused again then */
  void Refuse(std::string_view why, std::optional<duration> return_after);
  void EndBlocked();
  void RefuseOverLimit();
  void AnswerError(int status, std::string_view why);
  void AnswerAndEnd(http_head head, std::string_view result, std::string_view why);
  void End(std::string_view result);
  void LogEnd(std::string_view result, duration took);

  //============================================================================
  relay_board& board;
  std::shared_ptr<server_exchange> client;
  std::function<void(outbound_call*)> on_end;
  outbound_call* self = nullptr;

  // Kept for as long as the call lasts: a newer table may replace it.
  std::shared_ptr<const route_table> table;
  const http_route* route = nullptr;
  // Whose key it carries; of `table`.
  const customer* holder = nullptr;
  // @see RankOf
  std::uint32_t rank = 0;
  // It counts against the limit of `holder`.
  bool counted = false;
  outbound_record record;
  instant started;
  // When the request that caused this one was let in, as far as that is known.
  instant entered;
  instant deadline;
  loop_timer timer;
  loop_timer silence_timer;

  request_parts Parts() const;
  suspect_standing Standing() const;

  request_replay replay;
  bool body_ended = false;
  // Of the request and its answer.
  double body_bytes = 0.0;

  std::set<std::string> tried;
  endpoint target_peer;
  std::string target_domain;
  instant sent_at{};
  std::unique_ptr<client_exchange> upstream;
  // Ended exchanges are let go outside of their own hooks.
  std::unique_ptr<client_exchange> finished_upstream;
  std::optional<relay_outcome> outcome;
  // The target's answer is being passed on.
  bool committed = false;
  // A failure of a backend server, while another target is asked.
  kept_answer failure;
  // The target's node was sent the body. Until then it does not run the request.
  bool released = false;
  // How likely this is a call of a run that is itself a repeat.
  double repeated = 0.0;
  // Where it ran at a backend server that ended, here or elsewhere.
  std::optional<request_digest> suspect;
  // It is placed once enough of its body is here to know whether it is such a request.
  bool awaits_body = false;
  // Requests of its row that it stands for.
  double stands_for = 1.0;
  // A target's node has counted it among what was asked of its service.
  bool counted_before = false;
  // Some try's fate is unknown.
  bool may_have_run = false;
  bool detached = false;
  bool ended = false;
};

}  // namespace cuminferry
