#ifndef HEATHERSADDLE_POLICY_SCHEDULER_H
#define HEATHERSADDLE_POLICY_SCHEDULER_H

#include "heathersaddle/base/Time.h"
#include "heathersaddle/pool/Pool.h"
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace heathersaddle::policy {

/// Terms of an account's plan other than its guarantee.
struct AccountTerms {
  unsigned Share = 1;    ///< Weight for capacity over the guarantee.
  unsigned MaxSlots = 0; ///< Maximum of slots in use; 0 means no limit.
  bool Departed = false;
};

/// A job as the scheduler sees it.
struct JobView {
  std::string Id;
  std::string Account;
  std::string Kind;
  pool::Shape Shape;
  bool Urgent = false;
  bool Idempotent = false; ///< May be stopped, resumed and retried safely.
  base::WallMs AcceptedMs = 0;
  base::WallMs DeadlineMs = 0; ///< 0: none.
  std::int64_t DeclaredRunMs =
      0;                       ///< The caller's estimate, used as a hint only.
  std::int64_t ProgressMs = 0; ///< Saved by its last checkpoint.
  unsigned Attempt = 0;        ///< Attempts made so far.
  unsigned Failures = 0;       ///< Attempts in which a task failed.
};

/// Why an attempt ended without a result.
enum class AttemptEnd {
  Stopped,    ///< Stopped to free its slots; progress is kept.
  TaskFailed, ///< A task reported an error.
  WorkerLost, ///< The worker was lost or restarted.
  NotStarted  ///< A reservation or start was rejected; nothing ran.
};

/// Starts a job on the given slots.
struct PlaceDecision {
  std::string Job;
  std::vector<pool::Placement> Tasks;
};
/// Stops a placed job after a checkpoint and a grace period.
struct StopDecision {
  std::string Job;
  std::string Reason;     ///< "reclaim", "urgent", "defragment", "overrun".
  std::string ForAccount; ///< Account that gets the slots.
};
/// Replaces the homes of the cell, to swap two homes or to move a home to spare
/// slots.
struct HomesDecision {
  std::vector<pool::Home> Homes;
};
/// Ends a pending job that cannot run.
struct EndDecision {
  std::string Job;
  bool Failed = false; ///< False: it ends as not run.
  std::string Reason;
};
/// Changes a worker's status (quarantine, or Up again for a probe).
struct WorkerDecision {
  std::string Worker;
  pool::WorkerStatus Status = pool::WorkerStatus::Up;
  std::string Reason;
};
using Decision = std::variant<PlaceDecision, StopDecision, HomesDecision,
                              EndDecision, WorkerDecision>;

/// Why a pending job waits, for `explain`.
struct Explanation {
  std::string Limit;  ///< "slots_quota", "shape", "guarantee", "retry_budget",
                      ///< "order", "worker_health" or "none".
  std::string Detail; ///< One sentence; names no other account's job.
};

struct Settings {
  base::Millis ReclaimGrace{10'000};
  base::Millis GangReservationAfter{60'000};
  /// How long a gang reservation waits for the jobs in its region to end before
  /// those that can be stopped are stopped.
  base::Millis MaxGangDrain{60'000};
  base::Millis InitialQuarantine{60'000};
  base::Millis MaxQuarantine{3'600'000};
  unsigned FailuresToQuarantine = 3;  ///< Distinct jobs that fail in a row.
  unsigned FailuresToEndJob = 3;      ///< On distinct healthy workers.
  unsigned RetryPercentOfStarts = 10; ///< Retries granted per 100 other starts.
  unsigned RetryBurst = 10;
  unsigned MaxExaminedPerPass = 256; ///< Bounds the jobs examined per pass.
};

/// Makes the scheduling decisions of one cell. Deterministic given its inputs;
/// uses no clock, thread or socket. Pass every event of the cell to it, then
/// ask for decisions:
///
/// \code
///   Scheduler S(Settings{});
///   S.setTerms("maison-a", {.Share = 2});
///   S.jobPending(Job, Now);
///   for (const Decision &D : S.decide(Pool, Now))
///     record(D); // takes effect through the log, then pass on the event
/// \endcode
///
/// Decisions take effect only through the events: a PlaceDecision is repeated
/// by the next pass unless jobPlaced() or jobRemoved() is called.
class Scheduler {
public:
  explicit Scheduler(const Settings &S);
  ~Scheduler();
  Scheduler(Scheduler &&) noexcept;
  Scheduler &operator=(Scheduler &&) noexcept;

  void setTerms(std::string_view Account, const AccountTerms &Terms);

  void jobPending(const JobView &Job, base::WallMs Now);
  void jobPlaced(std::string_view Job, std::span<const pool::Placement> Tasks,
                 base::WallMs Now);
  void jobStopping(std::string_view Job);
  /// The attempt ended; the job is pending again (follow with jobPending()).
  void attemptEnded(std::string_view Job, AttemptEnd Why,
                    std::span<const std::string> FailedWorkers,
                    base::WallMs Now);
  void jobFinished(std::string_view Job, base::WallMs Now);
  /// Cancelled, rerouted or ended as not run.
  void jobRemoved(std::string_view Job);
  /// A delayed usage report of a running job.
  void usage(std::string_view Job, std::int64_t ProgressMs, base::WallMs Now);

  /// Decisions for the current state; \p P must reflect the same events.
  std::vector<Decision> decide(const pool::Pool &P, base::WallMs Now);
  /// Whether another pass is due at once because the last one left work over.
  bool hasMore() const;

  Explanation explain(std::string_view Job, const pool::Pool &P,
                      base::WallMs Now) const;
  std::size_t pendingCount() const;
  /// Free slots that are reserved for gangs.
  unsigned heldIdleSlots(const pool::Pool &P) const;
  /// Borrowing jobs that have run for four times the estimate of their kind and
  /// are to be throttled, ordered by id.
  std::vector<std::string> throttled(const pool::Pool &P) const;
  /// Median run time learned for this kind of job; 0 when not known yet.
  std::int64_t learnedRunMs(std::string_view Account,
                            std::string_view Kind) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Pimpl;
};

} // namespace heathersaddle::policy

#endif
