#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

#include "cuminferry_core/cuminferry_core.h"

namespace cuminferry {

/** A bounded queue of body parts between the thread that reads a long request body
    from the caller and the thread that sends the body on. The bound keeps an upload of
    hundreds of megabytes from being held in memory. All functions are thread-safe. */
class body_pipe {
 public:
  /** Bytes at which Push() waits; TryPush() accepts up to twice as many. */
  static constexpr std::size_t kMaxBytes = 512 * 1024;

  //============================================================================
  /** Adds a part; waits while the pipe is full.
      @return false once the reader has closed or Fail() was called */
  bool Push(std::string_view part);

  /** Adds a part without waiting.
      @return false where the part doesn't fit, the reader has closed or Fail() was called */
  bool TryPush(std::string part);

  /** Marks the body as complete. */
  void Finish();
  /** Marks the body as incomplete for good: Pull() returns false from now on. */
  void Fail();

  //============================================================================
  /** Waits for the next part and takes it; the part is empty at the end of the body.
      @return false where the body will never be complete */
  bool Pull(std::string& part);

  /** Declares that the reader pulls no further parts, so that writers stop waiting. */
  void CloseReader();

 private:
  ranked_mutex mutex_{lock_rank::kWireConnection};
  absl::CondVar changed_;
  std::deque<std::string> parts_ ABSL_GUARDED_BY(mutex_);
  std::size_t bytes_ ABSL_GUARDED_BY(mutex_) = 0;
  bool finished_ ABSL_GUARDED_BY(mutex_) = false;
  bool failed_ ABSL_GUARDED_BY(mutex_) = false;
  bool reader_closed_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace cuminferry
