// Load pattern: the process is stopped, or its host suspended, for seconds
// while callers send requests. They stop waiting and ask other daemons, which
// may refuse them, before this daemon reads the requests.
//
// The kernel does not tell when a request arrived. Those read after a pause may
// have arrived right after the process last ran before it, until the event loop
// has found nothing left to read. Under load that takes a while, as connections
// are accepted one after the other, so the bound grows meanwhile. Requests read
// without a pause before them count as new: a loop that is never idle must not
// refuse all requests.
#include "PauseDetector.h"
#include "heathersaddle/cluster/Admission.h"

namespace heathersaddle::cluster {

/// The process runs at least every 50 ms unless it is paused or overloaded.
/// Shorter pauses are not detected; callers' waits have a margin of this size.
static constexpr base::Millis MinPause = AnswerMargin;

std::optional<base::Millis> PauseDetector::processRuns(base::MonoTime Now) {
  base::Millis Gap = Now - RunningAt;
  bool Paused = Gap >= MinPause;
  if (Paused && !UnreadSince)
    UnreadSince = RunningAt;
  RunningAt = Now;
  return Paused ? std::optional(Gap) : std::nullopt;
}

std::optional<base::Millis> PauseDetector::allInputRead(base::MonoTime Now) {
  // The pause may have been after the input was last looked for.
  auto Pause = processRuns(Now);
  if (!Pause)
    UnreadSince.reset();
  return Pause;
}

base::Millis PauseDetector::maxWaited(base::MonoTime Now) const {
  return UnreadSince ? Now - *UnreadSince : base::Millis(0);
}

} // namespace heathersaddle::cluster
