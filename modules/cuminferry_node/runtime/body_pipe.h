#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** The part of a long request body that is on its way between the thread that
    reads it from the caller and the thread that sends it on. Bounded, so that an
    upload of hundreds of megabytes never sits in memory. */
class body_pipe {
 public:
  /** Most bytes that the pipe holds. */
  static constexpr std::size_t kBound = 512 * 1024;

  //============================================================================
  /** Adds a part; waits while the pipe is full. False once the reader has gone. */
  bool Push(std::string_view part);

  /** Adds a part without waiting. False where it doesn't fit or the reader has gone. */
  bool TryPush(std::string part);

  /** The body is complete. */
  void Finish();
  /** The body will never be complete. */
  void Fail();

  //============================================================================
  /** Takes the next part, empty at the end of the body; waits for it. False where
      the body will never be complete. */
  bool Pull(std::string& part);

  /** Nothing more will be pulled. */
  void CloseReader();

 private:
  ranked_mutex mutex_{lock_rank::kWireConnection};
  absl::CondVar changed_;
  std::deque<std::string> parts_ ABSL_GUARDED_BY(mutex_);
  std::size_t bytes_ ABSL_GUARDED_BY(mutex_) = 0;
  bool finished_ ABSL_GUARDED_BY(mutex_) = false;
  bool failed_ ABSL_GUARDED_BY(mutex_) = false;
  bool reader_gone_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace cuminferry
