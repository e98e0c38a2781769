#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cuminferry_relay/http/http_client.h"
#include "cuminferry_relay/path/backend_end_watch.h"
#include "cuminferry_relay/path/relay_board.h"

namespace cuminferry {

class serving_call;

/** What the requests at one backend server share: its slots and queue, its part of
    the bound on repeats, and what its node tells of it. */
class serving_board {
 public:
  explicit serving_board(relay_board& node);
  serving_board(const serving_board&) = delete;
  serving_board& operator=(const serving_board&) = delete;

  //============================================================================
  /** Starts the requests that wait, as far as there are slots. */
  void StartWaiting();
  /** A suspect has ended: starts those whose turn it is. */
  void StartTurns(std::uint64_t ended);
  /** Looks again when the next waiting request expires. */
  void ArmExpiry();
  /** A connection to the backend server was refused: it is left alone for a while. */
  void OnBackendDown();
  bool backend_down() const { return node.loop.Now() < down_until_; }
  /** The backend server said that it isn't the instance of this id. */
  void OnOtherInstance(std::string_view expected);
  /** Whether an instance was found not to stand here: lists tell of a replaced
      backend server seconds later, and each request that finds it out anew counts as
      one that came to a backend server. */
  bool IsNotHere(std::string_view expected) const { return expected == not_here_; }
  /** One answer of the backend server was, or was not, what was asked for. */
  void NoteOutcome(bool good);

  /** The connection of a run was lost before its answer began: turns it away once it is known
      whether the backend server ended with it. */
  void OnRunLost(std::shared_ptr<serving_call> run);
  /** The backend server has answered. */
  void OnAnswer() { end_watch_.OnAnswer(); }

  /** What is told with an answer to a request of this row.
      @param in_force  part of the row that the asking node lets in, if it knows a limit */
  load_header Load(std::string_view row, const std::optional<double>& in_force) const;

  relay_board& node;
  http_client backend;
  slot_gate gate;
  admission_level level;
  row_times times;
  suspect_lane lane;
  std::unordered_map<std::uint64_t, std::shared_ptr<serving_call>> calls;

 private:
  void Step();
  void OnLossesJudged(const backend_end_watch::finding& found);
  void OnEnded(std::uint64_t end, std::vector<std::shared_ptr<serving_call>> runs);
  void OnExpiry();
  std::optional<row_limit> LimitOf(std::string_view row,
                                   const std::optional<double>& in_force) const;

  loop_timer step_timer_;
  loop_timer expiry_timer_;
  recent_success success_;
  backend_end_watch end_watch_;
  // Not judged yet.
  std::vector<std::shared_ptr<serving_call>> lost_;
  std::string not_here_;
  instant down_until_{};
  bool was_open_ = true;
};

}  // namespace cuminferry
