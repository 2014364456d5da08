#ifndef HEATHERSADDLE_POLICY_LIB_CORE_H
#define HEATHERSADDLE_POLICY_LIB_CORE_H

#include "RunTimes.h"
#include "heathersaddle/policy/Scheduler.h"
#include "heathersaddle/pool/PoolAccess.h"
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>

namespace heathersaddle::policy {

enum class JobState { Idle, Pending, Placed, Stopping };

/// Failures of a job and the decision to end it. Allocated on demand, since
/// only few jobs need it.
struct JobIssues {
  /// All workers on which an attempt failed; avoided.
  std::vector<std::string> FailedOn;
  bool NoAlternative = false; ///< The shape fits only on workers of FailedOn.
  /// Workers of FailedOn that were considered healthy at the failure.
  std::vector<std::string> FailedOnHealthy;
  unsigned Failures = 0;
  bool EndDecided = false;
  bool EndFailed = false;
  std::string EndReason;
  /// Workers with recent failures that it runs on.
  std::vector<std::string> SuspectWorkers;
};

struct Job {
  std::string Id;
  std::uint32_t Account = 0;
  std::uint32_t Kind = 0;
  pool::Shape Shape;
  JobState State = JobState::Idle;
  bool Urgent = false;
  bool Idempotent = false;
  bool Retry = false;    ///< Its last attempt failed.
  bool Overrun = false;  ///< Has run for four times its estimate.
  bool Reserved = false; ///< Proposed or placed in its gang reservation.
  unsigned Attempts = 0;
  base::WallMs AcceptedMs = 0;
  base::WallMs DeadlineMs = 0;
  std::int64_t DeclaredRunMs = 0;
  std::int64_t ProgressMs = 0; ///< Saved by the last checkpoint.
  base::WallMs StartMs = 0;    ///< Start of the current attempt.
  base::WallMs ProgressAt = 0; ///< Time for which ProgressMs was reported.
  base::WallMs OverrunAt = 0;  ///< When it counts as overrunning; 0: never.
  std::int64_t LearnedMs = 0;  ///< Run time last learned from usage reports.
  std::unique_ptr<JobIssues> Issues;

  JobIssues &issues() {
    if (!Issues)
      Issues = std::make_unique<JobIssues>();
    return *Issues;
  }
};

/// Orders jobs by acceptance time, oldest first; ties by deadline, then by id.
struct ByWait {
  bool operator()(const Job *A, const Job *B) const {
    auto Key = [](const Job *J) {
      return std::tuple(J->AcceptedMs,
                        static_cast<std::uint64_t>(J->DeadlineMs) - 1,
                        std::string_view(J->Id));
    };
    return Key(A) < Key(B);
  }
};

/// Key of a class of jobs of one account that differ only in id and age: when
/// the first one finds no room, the others would not either.
using ClassKey =
    std::tuple<bool /*not urgent*/, unsigned, unsigned, bool, pool::Adjacency,
               bool /*idempotent*/,
               std::string /*job id, for a retry or when it avoids workers*/>;

struct JobClass {
  std::set<Job *, ByWait> Jobs;
  /// Pass::version() at which the head found no room.
  std::uint64_t BlockedVersion = 0;
  std::uint64_t LastRound = 0; ///< Last scan round that is done with the class.
  /// Table::Structure for which neverFits() was false.
  std::uint64_t FeasibleStructure = 0;
  std::uint64_t LastPass = 0;  ///< Pass for which LastExamined is valid.
  Job *LastExamined = nullptr; ///< Last job examined in that pass.
};

struct Account {
  std::string Name;
  AccountTerms Terms;
  unsigned UsedSlots = 0;     ///< Slots of placed and stopping jobs.
  unsigned ProposedSlots = 0; ///< Slots of proposals in the current pass.
  /// Slots of jobs placed by a gang reservation.
  unsigned PlacedReservedSlots = 0;
  std::map<ClassKey, JobClass> Classes;
};

/// Why a region is held for a job.
enum class HoldKind { Guarantee, Swap, Urgent, Overrun, Gang };
/// A region of slots that is kept for one job until the jobs that occupy it
/// have ended.
struct Hold {
  HoldKind Kind = HoldKind::Guarantee;
  pool::Tasks Region;
  base::WallMs SinceMs = 0;
  base::WallMs DueMs = 0;  ///< When the region is expected to be free.
  base::WallMs StopMs = 0; ///< Gang: when its stoppable jobs are stopped.
  bool Closed = false;     ///< Gang: takes no more backfill.
  /// Gang: ids of the jobs it waits for, sorted.
  std::vector<std::string> Draining;
};

struct WorkerHealth {
  std::set<std::string> FailedJobs; ///< Distinct jobs that failed in a row.
  unsigned Quarantines = 0;
  base::WallMs QuarantineEndMs = 0; ///< End of the quarantine; 0: none.
  bool Probing = false;
  std::string ProbeJob;
};

struct ByDeadline {
  bool operator()(const Job *A, const Job *B) const {
    return std::tie(A->DeadlineMs, A->Id) < std::tie(B->DeadlineMs, B->Id);
  }
};
struct ByOverrun {
  bool operator()(const Job *A, const Job *B) const {
    return std::tie(A->OverrunAt, A->Id) < std::tie(B->OverrunAt, B->Id);
  }
};
struct ById {
  bool operator()(const Job *A, const Job *B) const { return A->Id < B->Id; }
};

/// The scheduler's state for one cell, kept up to date by its events.
struct Core {
  Settings Config;
  /// Never iterated: its order is arbitrary.
  std::unordered_map<std::string, std::unique_ptr<Job>, pool::NameHash,
                     std::equal_to<>>
      Jobs;
  std::vector<Account> Accounts;
  std::map<std::string, std::uint32_t, std::less<>> AccountByName;
  RunTimes LearnedRunTimes;
  std::map<std::string, Hold, std::less<>> Holds; ///< By job id.
  std::map<std::string, pool::Tasks, std::less<>> Proposals;
  std::map<std::string, WorkerHealth, std::less<>> Health;
  std::set<Job *, ByDeadline> Deadlines;   ///< Pending jobs with a deadline.
  std::set<Job *, ByOverrun> OverrunQueue; ///< Placed jobs by overrun time.
  std::set<Job *, ById> OverrunningJobs;
  std::set<Job *, ById> JobsToEnd;
  std::uint64_t ChangeCount = 0; ///< Scheduler's counterpart of Table::Version.
  std::uint64_t ScanRound = 1;
  std::uint64_t PassCount = 0;
  bool HasMore = false;
  std::size_t PendingCount = 0;
  std::int64_t RetryTokens = 0; ///< In hundredths of a retry.
  base::WallMs LastRefillMs = 0;
  base::WallMs NextReservationMs = 0;
  /// Offset at which the next worker sample starts.
  std::size_t SampleStart = 0;
  /// Table::Structure last checked for quarantines.
  std::uint64_t QuarantineCheckStructure = 0;

  explicit Core(const Settings &S)
      : Config(S), RetryTokens(std::int64_t{S.RetryBurst} * 100) {}

  Job *find(std::string_view Id) {
    auto Found = Jobs.find(Id);
    return Found == Jobs.end() ? nullptr : Found->second.get();
  }
  std::uint32_t internAccount(std::string_view Name);
  ClassKey classOf(const Job &J) const;
  void enqueue(Job &J);
  void dequeue(Job &J);
  void releaseSlots(Job &J); ///< Called when the job no longer holds slots.
  void recordFailure(Job &J, std::span<const std::string> Workers,
                     base::WallMs Now);
  void decideEnd(Job &J, bool Failed, std::string Reason);
  void recordSuccess(Job &J);
  void refillRetryTokens(base::WallMs Now);
};

struct Scheduler::Impl : Core {
  using Core::Core;
};

} // namespace heathersaddle::policy

#endif
