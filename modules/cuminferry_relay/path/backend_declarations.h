#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cuminferry_relay/path/answer_check.h"
#include "cuminferry_relay/path/backend_declaration.h"
#include "cuminferry_relay/path/relay_board.h"

namespace cuminferry {

/** Keeps what the own backend server declares of itself, and shows it in log and metrics. */
class backend_declarations {
 public:
  explicit backend_declarations(relay_board& node) : node_(node) {}

  /** An answer that the own backend server sent to a request.
      @param instance   id of the instance that the request was meant for
      @param sent_at    when the request was sent to it
      @param rejection  why the answer is not passed on, if it isn't. @see InvalidAnswerOutcome */
  void OnAnswer(const http_head& answer, std::string_view instance, instant sent_at,
                const std::optional<relay_outcome>& rejection);

  void SetGauges(relay_metrics& metrics) const;

 private:
  bool IsOwnAnswer(const http_head& answer, const std::optional<relay_outcome>& rejection) const;
  void OnError(const absl::Status& error);

  relay_board& node_;
  declared_rate rate_;
  bool has_logged_error_ = false;
};

}  // namespace cuminferry
