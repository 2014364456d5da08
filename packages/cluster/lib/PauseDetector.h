#ifndef HEATHERSADDLE_CLUSTER_PAUSEDETECTOR_H
#define HEATHERSADDLE_CLUSTER_PAUSEDETECTOR_H

#include "heathersaddle/base/Time.h"
#include <optional>

namespace heathersaddle::cluster {

/// Detects that the process was paused, and bounds how long a request that is
/// read afterwards may have waited.
class PauseDetector {
public:
  explicit PauseDetector(base::MonoTime Now) : RunningAt(Now) {}

  /// To be called at least every 50 ms, and when a request has been read.
  /// Returns the length of the pause that has just ended, if there was one.
  std::optional<base::Millis> processRuns(base::MonoTime Now);
  /// To be called when no input was left to read. Returns as processRuns().
  std::optional<base::Millis> allInputRead(base::MonoTime Now);
  /// Whether requests that arrived during a pause may not have been read yet.
  bool inputMayHaveWaited() const { return UnreadSince.has_value(); }
  /// How long a request that is read now may have waited in this process,
  /// except for pauses that are too short to be detected.
  base::Millis maxWaited(base::MonoTime Now) const;

private:
  base::MonoTime RunningAt; ///< The latest time at which the process ran.
  /// When the process last ran before the pause whose input may be unread.
  std::optional<base::MonoTime> UnreadSince;
};

} // namespace heathersaddle::cluster

#endif
