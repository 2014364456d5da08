#ifndef HEATHERSADDLE_CLUSTER_COPYPACING_H
#define HEATHERSADDLE_CLUSTER_COPYPACING_H

#include "heathersaddle/base/Time.h"

namespace heathersaddle::cluster {

/// A start or a stop has this much time to be answered.
inline constexpr base::Millis OrderTime{1'800};

/// Decides when a further copy of an unanswered call is sent to a worker, and
/// how long each is waited for. \p Loss is the share of calls without an
/// answer.
class CopyPacing {
public:
  /// The worker has answered a call after \p Took.
  void answered(base::Millis Took);
  /// The time from the copy with the number \p Copies, counted from 1, to the
  /// next one.
  base::Millis interval(unsigned Copies, double Loss) const;
  /// The time for \p Copies copies of a sync, after which it has failed.
  base::Millis syncTime(unsigned Copies, double Loss) const;
  /// The time limit of a copy that is not the first. A later answer is
  /// unlikely.
  base::Millis timeLimit() const;

private:
  base::Millis UsualTime{};
};

/// How many copies of a sync are sent until it has failed.
unsigned syncCopies(double Loss);

} // namespace heathersaddle::cluster

#endif
