#ifndef HEATHERSADDLE_DISPATCH_SPEEDCHOICE_H
#define HEATHERSADDLE_DISPATCH_SPEEDCHOICE_H

#include "heathersaddle/dispatch/Planner.h"

namespace heathersaddle::dispatch {

/// The classes of speed of the workers of a fleet.
struct SpeedRange {
  int Slowest = 0;
  int Fastest = 0;
  bool Differ = false; ///< If not, speeds play no part in any decision.
};
SpeedRange speedRange(const Fleet &F);

/// The highest class that at least half of the usable workers reach.
int classOfMostWorkers(const Fleet &F);

/// The class that a worker counts as for \p W: urgent work expects it to be
/// slower by the error of its estimate, and other work explores workers of
/// unknown speed.
int speedClass(const Worker &On, const WaitingTasks &W);

/// The lowest class with which \p W should end by its objective, if it starts
/// now; above that of all workers if none is fast enough.
int neededSpeedClass(const WaitingTasks &W, const SpeedRange &Range,
                     std::int64_t NowMs);

/// The order in which workers are used by their speed.
class SpeedOrder {
public:
  /// All are alike.
  SpeedOrder() = default;
  /// For the single tasks of \p W; Planner.cpp sets its needed class.
  static SpeedOrder forTasks(const WaitingTasks &W);
  /// For a gang whose slowest member is of the class \p Slowest.
  static SpeedOrder forGang(int Slowest);
  /// Workers with a lower rank come first.
  int rank(const Worker &On, const WaitingTasks &W) const;

private:
  enum class Kind { Alike, FastestFirst, FromClass };
  SpeedOrder(Kind Order, int From) : Order(Order), From(From) {}
  Kind Order = Kind::Alike;
  int From = 0;
};

} // namespace heathersaddle::dispatch

#endif
