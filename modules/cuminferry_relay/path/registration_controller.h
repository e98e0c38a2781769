#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "cuminferry_relay/http/http_server.h"
#include "cuminferry_relay/path/health_probe.h"
#include "cuminferry_relay/path/relay_board.h"
#include "cuminferry_relay/path/unlisted_headers.h"

namespace cuminferry {

/** Tracks whether the platform lists the own backend server. While it does not, sends health
   probes, refuses requests that the backend server must not receive, confirms to calling nodes that
   it serves, and reports the state in log and metrics. Inactive without the setting `drain`.
    @see departure_check */
class registration_controller {
 public:
  /** @param on_leaving  called once it is found that the backend server leaves */
  registration_controller(relay_board& node, std::function<void()> on_leaving);

  //============================================================================
  /** The list of instances has changed. */
  void OnInstancesChanged();
  /** A request has arrived.
      @param instance  id of the instance that it is meant for; empty where any may run it
      @param notice    set where the calling node doesn't list that instance */
  void OnRequest(std::string_view instance, const std::optional<unlisted_notice>& notice);
  /** An answer that the own backend server sent to a request.
      @param instance   id of the instance that the request was meant for
      @param sent_at    when the request was sent to it
      @param rejection  why the answer is not passed on, if it isn't. @see InvalidAnswerOutcome */
  void OnAnswer(const http_head& answer, std::string_view instance, instant sent_at,
                const std::optional<relay_outcome>& rejection);
  /** A calling node asks whether an instance that it doesn't list serves. Where that is undecided,
      the reply waits for the result of a health probe. */
  void OnQuery(std::shared_ptr<server_exchange> peer);
  /** To be called about each admission_level::kPeriod. */
  void Step();

  //============================================================================
  /** Whether the own backend server may have to be refused requests, as it is not listed. */
  bool may_refuse() const { return is_on() && !check_.is_listed(); }
  /** Whether the own backend server was taken out of the list within the latest drain time. */
  bool IsJustRemoved() const;
  /** Whether the state of this instance is decided here, not by the list: it is the own one, and it
      is not listed. */
  bool Decides(std::string_view instance) const;
  /** The reason why a request may not be sent to the backend server now; nothing where it may.
      @param notice  as in OnRequest() */
  std::optional<relay_outcome> RefusalOf(std::string_view instance,
                                         const std::optional<unlisted_notice>& notice) const;
  /** Adds to an answer the field that confirms the instance that its request was meant for. */
  void AddReport(std::string_view instance, const std::optional<unlisted_notice>& notice,
                 http_head& answer) const;
  void SetGauges(relay_metrics& metrics) const;

 private:
  bool is_on() const { return node_.settings.drain > duration::zero(); }
  void OnNotice(std::string_view instance, const unlisted_notice& notice);
  void OnProbeEnd(const health_probe::answer* answer);
  void ProbeIfDue();
  // Logs and acts on a new finding that the backend server leaves.
  // @param cause  what the finding comes from
  void Update(std::string_view cause);
  void Reply(server_exchange& peer, const registration_query& query) const;
  std::string_view TextFor(const registration_query& query) const;

  struct waiting_query {
    std::shared_ptr<server_exchange> peer;
    registration_query query;
  };

  relay_board& node_;
  std::function<void()> on_leaving_;
  departure_check check_;
  health_probe probe_;
  std::vector<waiting_query> waiting_queries_;
  // The latest finding that was logged is that the backend server leaves.
  bool is_leaving_logged_ = false;
  instant unlisted_at_{};
};

}  // namespace cuminferry
