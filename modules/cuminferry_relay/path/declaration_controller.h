#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "cuminferry_relay/path/answer_check.h"
#include "cuminferry_relay/path/backend_declaration.h"
#include "cuminferry_relay/path/rate_headers.h"
#include "cuminferry_relay/path/relay_board.h"

namespace cuminferry {

/** Keeps what the own backend server declares of itself, has its gate act on it, tells calling
    nodes, and shows it in log and metrics. */
class declaration_controller {
 public:
  /** @param on_leaving  called once the backend server has declared that it leaves */
  declaration_controller(relay_board& node, slot_gate& gate, std::function<void()> on_leaving)
      : node_(node), gate_(gate), on_leaving_(std::move(on_leaving)) {}

  //============================================================================
  /** An answer that the own backend server sent to a request.
      @param instance   id of the instance that the request was meant for
      @param sent_at    when the request was sent to it
      @param rejection  why the answer is not passed on, if it isn't. @see InvalidAnswerOutcome */
  void OnAnswer(const http_head& answer, std::string_view instance, instant sent_at,
                const std::optional<relay_outcome>& rejection);
  /** A calling node told what it knows of the instance that its request is meant for. */
  void OnRequest(std::string_view instance, const rate_request& told);
  /** The list of instances has changed. */
  void OnInstancesChanged();

  //============================================================================
  void OnArrival(const rate_control::arrival& arrived) {
    rate_.OnArrival(arrived, node_.loop.Now());
  }
  void OnSent() { rate_.OnSent(); }
  /** To be called each rate_control::kPeriod. @param wait  longest wait for a turn */
  void Step(duration wait);

  /** The rate in force; nothing where none is declared. */
  std::optional<rate_belief> rate() const { return rate_.BeliefAt(node_.loop.Now()); }
  /** Share of the load that is admitted for the sake of the rate. */
  double admitted_share() const { return rate() ? rate_.share() : 1.0; }
  /** Adds the fields that tell a calling node what the instance that its request was meant for has
      declared. */
  void AddReport(std::string_view instance, http_head& answer) const;
  void SetGauges(relay_metrics& metrics) const;

 private:
  bool IsOwnAnswer(const http_head& answer, const std::optional<relay_outcome>& rejection) const;
  void OnError(const absl::Status& error);
  void UpdatePace();
  void OnRateChanged(std::string_view instance, std::string_view source);

  relay_board& node_;
  slot_gate& gate_;
  std::function<void()> on_leaving_;
  rate_control rate_;
  // The listed instance, to notice another run of the backend server.
  std::string listed_id_;
  std::int64_t listed_started_millis_ = 0;
  bool has_logged_error_ = false;
  // The latest line about the rate said that one is in force.
  bool was_rate_logged_ = false;
  instant rate_logged_at_{};
};

}  // namespace cuminferry
