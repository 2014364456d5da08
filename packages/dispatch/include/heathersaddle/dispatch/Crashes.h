#ifndef HEATHERSADDLE_DISPATCH_CRASHES_H
#define HEATHERSADDLE_DISPATCH_CRASHES_H

#include "heathersaddle/base/Time.h"
#include "heathersaddle/dispatch/Planner.h"
#include <deque>

namespace heathersaddle::dispatch {

/// A task under which this many workers have crashed runs alone on a worker.
inline constexpr unsigned AloneFromCrashes = 2;

/// A run that was at work for this long shows that its task does not crash its
/// workers: a task that does so crashes them soon after each start.
inline constexpr base::Millis ClearedAfter{1'600};

/// The crash of a worker.
struct WorkerCrash {
  std::string Worker;
  base::MonoTime At{};
  std::set<UnitId> Units; ///< All that ran there.
  /// The groups that the worker belongs to, for example its rack.
  std::set<std::string, std::less<>> Groups;
  /// A task that had crashed another worker before had just begun there.
  bool Explained = false;
};

/// The number of workers in each group.
using GroupSizes = std::map<std::string, std::size_t, std::less<>>;

/// Crashes that belong to one outage are seen within this time.
inline constexpr base::Millis OutageWindow{2'000};

/// The crashes of the latest time, from which it follows how often workers
/// crash by themselves.
class CrashHistory {
public:
  /// Crashes are added from \p Since on.
  explicit CrashHistory(base::MonoTime Since) : Since(Since) {}

  void add(WorkerCrash Crash);
  /// The rate, in crashes per worker and second, at which other workers crash
  /// that \p Unit did not run on, as known at \p Now: around the time of
  /// \p Crash and over the latest time, among the workers of the group of the
  /// crashed one for which it is highest.
  double rateWithout(const UnitId &Unit, const WorkerCrash &Crash,
                     const GroupSizes &Workers, base::MonoTime Now) const;

private:
  base::MonoTime Since;
  std::deque<WorkerCrash> Crashes; ///< Oldest first.
};

/// What is known about a crash under a task.
struct CrashCircumstances {
  base::Millis RanFor{}; ///< The longest time for which the run was at work.
  /// The rate, in crashes per worker and second, of workers without the task.
  double Rate = 0;
  /// No other task on the worker may as well have crashed it.
  bool MainSuspect = true;
  /// The worker has not crashed under the task before.
  bool AnotherWorker = true;
};

/// How strongly a crash speaks for its being caused by the task: the chance
/// that the worker of a healthy task crashes in that time, as a negative
/// logarithm, in decibans (10 decibans are a factor of 10).
unsigned crashEvidence(const CrashCircumstances &C);

/// Whether a task certainly crashes its workers, after \p Crashes in a row of
/// \p Workers different workers with \p Decibans of evidence in all.
bool crashesItsWorkers(unsigned Crashes, std::size_t Workers,
                       unsigned Decibans);

/// How long a task waits before it starts again after so many crashes.
base::Millis pauseAfterCrash(unsigned Crashes);

/// Whether the tasks of \p W may run beside the work on \p On.
bool mayShare(const Worker &On, const WaitingTasks &W);

/// Takes note that tasks of \p W are placed on \p On.
void addTenant(Worker &On, const WaitingTasks &W);

} // namespace heathersaddle::dispatch

#endif
