#include "stand_ins/signals.h"

#include <pthread.h>
#include <signal.h>

namespace cuminferry::stand_ins {
namespace {

sigset_t TerminationSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void BlockTerminationSignals() {
  const sigset_t signals = TerminationSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

void WaitForTerminationSignal() {
  const sigset_t signals = TerminationSignals();
  int received = 0;
  sigwait(&signals, &received);
}

}  // namespace cuminferry::stand_ins
