#pragma once

namespace cuminferry::stand_ins {

/** Blocks SIGTERM and SIGINT for this thread and threads that it starts later; ignores
    SIGPIPE for the process. */
void BlockTerminationSignals();

/** Waits for SIGTERM or SIGINT. */
void WaitForTerminationSignal();

}  // namespace cuminferry::stand_ins
