#pragma once

namespace cuminferry::stand_ins {

/** Blocks SIGTERM and SIGINT for this thread and those that it starts. */
void BlockEndSignals();

/** Waits for SIGTERM or SIGINT. */
void WaitForEndSignal();

}  // namespace cuminferry::stand_ins
