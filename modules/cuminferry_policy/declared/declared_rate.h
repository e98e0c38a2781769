#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"
#include "cuminferry_policy/declared/rate_belief.h"

namespace cuminferry {

/** The rate of requests that the own backend server declares to take from all nodes together.

    Each answer declares the rate anew, or no more. Answers to requests that were sent before the
    latest declaration may have been overtaken by it, so they don't end it. Neither do rejections:
    a backend server that has no room for a request is not out of need. A declaration that no answer
    has confirmed for kMaxSilence is forgotten.
*/
class declared_rate {
 public:
  static constexpr duration kMaxSilence = rate_belief::kMaxAge;

  /** An answer of this instance declares a rate. Returns whether the rate has changed.
      @param rate  requests a second, finite and not negative */
  bool OnDeclared(std::string_view instance, double rate, instant now);
  /** An answer of this instance to a request that it ran declares no rate. Returns whether that
      ends a declaration.
      @param sent_at  when the request was sent to the instance */
  bool OnNotDeclared(std::string_view instance, instant sent_at);
  /** A calling node was told a rate. It counts where no answer has been received that is as recent,
      as after a restart of this process. Returns whether the rate has changed. */
  bool OnBelief(std::string_view instance, const rate_belief& belief, instant now);
  /** Another run of the backend server has started, which has declared nothing. */
  void Forget() { *this = {}; }

  /** The declared rate and the time since an answer confirmed it; nothing where none is in
      force. */
  std::optional<rate_belief> BeliefAt(instant now) const;

 private:
  std::string instance_;
  std::optional<double> rate_;
  // Time of the latest answer that declared a rate, or ended the declaration.
  instant known_at_{};
};

}  // namespace cuminferry
