#include "cuminferry_core/threads/ranked_mutex.h"

#include <cassert>
#include <vector>

namespace cuminferry {
namespace {

#ifndef NDEBUG
thread_local std::vector<lock_rank> held_ranks;
#endif

void RecordLock([[maybe_unused]] lock_rank rank) {
#ifndef NDEBUG
  assert(held_ranks.empty() || held_ranks.back() < rank);
  held_ranks.push_back(rank);
#endif
}

void RecordUnlock([[maybe_unused]] lock_rank rank) {
#ifndef NDEBUG
  std::erase(held_ranks, rank);
#endif
}

}  // namespace

void ranked_mutex::Lock() {
  RecordLock(rank_);
  mutex_.Lock();
}

void ranked_mutex::Unlock() {
  mutex_.Unlock();
  RecordUnlock(rank_);
}

void ranked_mutex::Wait(absl::CondVar& changed) { changed.Wait(&mutex_); }

bool ranked_mutex::WaitFor(absl::CondVar& changed, absl::Duration timeout) {
  return changed.WaitWithTimeout(&mutex_, timeout);
}

}  // namespace cuminferry
