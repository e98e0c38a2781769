#pragma once

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** What runs at the own backend server, summed up: its calls carry no tie to the
    request that makes them, so what is said of a call is the mean of what runs. */
class running_work {
 public:
  /** @param entered   when the request, or the one that caused it, was let in; as
                      far as that is known
      @param repeated  how likely the run is a repeat, or a call of one */
  void OnStart(instant entered, double repeated);
  /** With the same figures as at its start. */
  void OnEnd(instant entered, double repeated);

  bool any() const { return runs_ > 0; }
  /** How long ago what runs was let in; zero where nothing runs. */
  duration MeanAge(instant now) const;
  /** How likely a call of the backend server is made by a repeat. */
  double repeated_share() const;

 private:
  std::int64_t runs_ = 0;
  std::int64_t entered_micros_ = 0;
  double repeated_ = 0.0;
};

}  // namespace cuminferry
