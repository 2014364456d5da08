#ifndef HEATHERSADDLE_CLUSTER_COPYPACING_H
#define HEATHERSADDLE_CLUSTER_COPYPACING_H

#include "heathersaddle/base/Time.h"

namespace heathersaddle::cluster {

/// Decides when a further copy of an unanswered call is sent to a worker.
class CopyPacing {
public:
  /// The worker has answered a call after \p Took.
  void answered(base::Millis Took);
  /// The time from the copy with the number \p Copies, counted from 1, to the
  /// next one.
  base::Millis interval(unsigned Copies) const;

private:
  base::Millis UsualTime{};
};

} // namespace heathersaddle::cluster

#endif
