#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cuminferry_relay/http/http_client.h"
#include "cuminferry_relay/path/backend_crash_detector.h"
#include "cuminferry_relay/path/declaration_controller.h"
#include "cuminferry_relay/path/registration_controller.h"
#include "cuminferry_relay/path/relay_board.h"
#include "cuminferry_relay/path/repeat_log.h"
#include "cuminferry_relay/path/serving_request.h"

namespace cuminferry {

class serving_call;

/** State that all requests at one backend server share: its slots and queue, its admission
    level, the isolation of suspects, and the load that its node reports. */
class serving_context {
 public:
  explicit serving_context(relay_board& node);
  serving_context(const serving_context&) = delete;
  serving_context& operator=(const serving_context&) = delete;

  //============================================================================
  /** Returns the reason why an instance gets nothing that has not reached it yet; nothing where it
      may. To be asked when a request arrives, and again before it is sent: what is known of the
      instance may change while the request waits.
      @param instance  id of the instance that the request is meant for; empty where any may run it
      @param notice    set where the calling node doesn't list that instance */
  std::optional<relay_outcome> RefusalOf(const std::string& instance,
                                         const std::optional<unlisted_notice>& notice) const;
  /** The list of instances has changed: requests that wait for an instance which gets nothing more
      go back to their calling nodes at once, the first in the queue's order in front. */
  void OnInstancesChanged();
  /** Whether a request may wait for the backend server. For the drain time after the instance was
      taken out of the list, nothing waits where others are listed: it may leave, and serve on for
      less time than the wait takes. */
  bool MayWait() const;
  /** Starts waiting requests while slots are free. */
  void StartWaiting();
  /** Starts the suspects that may run now that another one has completed.
      @param completed_id  identifier of the completed request in `calls` */
  void StartNextSuspects(std::uint64_t completed_id);
  /** Refuses the requests that the gate has displaced from its queue. */
  void RefuseDisplaced();
  /** Schedules what is due for waiting requests: the check for expired ones when the next one
      expires, and the start of one that waits for a turn. */
  void ScheduleWaiting();
  /** The backend server took no connection: it gets no requests for 200 ms. */
  void OnBackendDown();
  bool backend_down() const { return node.loop.Now() < backend_down_until_; }
  /** The backend server answered that it isn't the instance with the id `expected`. */
  void OnOtherInstance(std::string_view expected);
  /** Whether the backend server has answered that it isn't the instance with the id
      `expected`. The list of instances shows a replaced backend server only seconds later, and
      each request that is sent nevertheless counts as one that reached a backend server. */
  bool IsKnownAbsent(std::string_view expected) const { return expected == absent_instance_; }
  /** Adds one request to the success rate of the backend server. */
  void RecordOutcome(bool succeeded);

  /** The connection of a run was lost before its answer began. The request is answered once it
      is known whether the backend server crashed. */
  void OnRunConnectionLost(std::shared_ptr<serving_call> run);
  /** The close of its connection ended a run's answer, which also happens if the backend server
      crashes. The run is told once it is known which of the two it was. */
  void AwaitEndConfirmation(std::shared_ptr<serving_call> run);
  /** The backend server has sent an answer that belongs to no open request.
      @param was_rejected  its connection brought a rejection of that request before, which the
                           answer disproves if it is no rejection */
  void OnStrayAnswer(const http_head& answer, const connection_use& connection, bool was_rejected);
  /** The backend server has answered a request. */
  void OnAnswer() { crash_detector_.OnAnswer(); }

  /** Adds to an answer the fields that report the load, scarce repeats, what the backend server
      declares, and that it serves where the calling node doesn't list it. */
  void AddReports(const call_header& header, const serving_request& request,
                  http_head& answer) const;

  relay_board& node;
  http_client backend;
  slot_gate gate;
  admission_level level;
  row_run_times run_times;
  suspect_isolation isolation;
  declaration_controller declarations;
  registration_controller registration;
  repeat_log repeat_decisions;
  std::unordered_map<std::uint64_t, std::shared_ptr<serving_call>> calls;

 private:
  void Step();
  void OnStrayBytes(const stray_bytes& stray);
  void ApplyQueueOrder();
  load_header LoadReportFor(const call_header& request) const;
  void OnLossCauseKnown(const backend_crash_detector::crash_finding& found);
  void OnBackendCrash(std::uint64_t crash_id, std::vector<std::shared_ptr<serving_call>> runs);
  void OnExpiry();
  void WithdrawRefused();
  void WithdrawFromUnlisted();
  void UpdateAbsentInstance();
  std::vector<std::shared_ptr<serving_call>> CallsInOrder() const;
  std::optional<row_limit> LimitFor(std::string_view row,
                                    const std::optional<double>& admitted_share) const;

  loop_timer step_timer_;
  loop_timer expiry_timer_;
  loop_timer turn_timer_;
  recent_success success_rate_;
  backend_crash_detector crash_detector_;
  // Runs that lost their connections, while it is not known whether the backend server crashed.
  std::vector<std::shared_ptr<serving_call>> lost_runs_;
  // Runs whose answers ended by a close, likewise.
  std::vector<std::shared_ptr<serving_call>> ended_by_close_;
  // The instance that the backend server has denied to be, and the start time of its run that the
  // list held here at the last look, if it did.
  std::string absent_instance_;
  std::optional<std::int64_t> absent_listed_run_;
  instant backend_down_until_{};
  // The own instance is not listed, and what waited for it then was withdrawn.
  bool is_unlisted_ = false;
  bool was_level_open_ = true;
};

}  // namespace cuminferry
