#ifndef HEATHERSADDLE_DISPATCH_STALL_H
#define HEATHERSADDLE_DISPATCH_STALL_H

#include "heathersaddle/base/Time.h"
#include <optional>
#include <span>

namespace heathersaddle::dispatch {

/// Progress of one run as its worker reports it.
struct RunProgress {
  unsigned Percent = 0;
  base::MonoTime ChangedAt{}; ///< Time of the latest change of the percentage.
};

/// Returns the index of a run that keeps the unit from ending, or nothing while
/// the unit makes progress. \p Members holds all running members of a gang, or
/// the one run of a single task; \p Estimate is the estimated duration of a
/// run.
///
/// \code
///   std::array Gang{RunProgress{100, Millis(2'000)},
///                   RunProgress{40, Millis(9'000)}};
///   findStalledRun(Gang, Millis(5'000), Millis(9'500)); // Nothing.
/// \endcode
std::optional<std::size_t> findStalledRun(std::span<const RunProgress> Members,
                                          base::Millis Estimate,
                                          base::MonoTime Now);

} // namespace heathersaddle::dispatch

#endif
