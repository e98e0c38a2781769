#include "stand_ins/signals.h"

#include <pthread.h>
#include <signal.h>

namespace cuminferry::stand_ins {
namespace {

sigset_t EndSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void BlockEndSignals() {
  const sigset_t signals = EndSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

void WaitForEndSignal() {
  const sigset_t signals = EndSignals();
  int received = 0;
  sigwait(&signals, &received);
}

}  // namespace cuminferry::stand_ins
