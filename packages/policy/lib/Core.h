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

/// What only few jobs have: failures and a decided end.
struct JobIssues {
  std::vector<std::string> FailedOn; ///< All workers, for avoidance.
  bool NoAlternative = false; ///< The shape does not fit beside FailedOn.
  std::vector<std::string> FailedOnHealthy; ///< Workers believed healthy.
  unsigned Failures = 0;
  bool EndDecided = false;
  bool EndFailed = false;
  std::string EndReason;
  std::vector<std::string> SuspectWorkers; ///< Suspect workers it runs on.
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
  bool Overrun = false;  ///< Ran four times its estimate.
  bool Reserved = false; ///< Proposed or placed in a region held for it.
  unsigned Attempts = 0;
  base::WallMs AcceptedMs = 0;
  base::WallMs DeadlineMs = 0;
  std::int64_t DeclaredRunMs = 0;
  std::int64_t ProgressMs = 0; ///< Kept by the last checkpoint.
  base::WallMs StartMs = 0;    ///< Of the present attempt.
  base::WallMs ProgressAt = 0; ///< When ProgressMs was true.
  base::WallMs OverrunAt = 0;  ///< 0: not watched.
  std::int64_t LearnedMs = 0;  ///< Run time already counted from reports.
  std::unique_ptr<JobIssues> Issues;

  JobIssues &issues() {
    if (!Issues)
      Issues = std::make_unique<JobIssues>();
    return *Issues;
  }
};

/// Longest waiting first; deadlines break ties, then names.
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

/// Jobs of one account that differ only in name and age: when the first finds
/// no room, neither do the others.
using ClassKey = std::tuple<bool /*not urgent*/, unsigned, unsigned, bool,
                            pool::Adjacency, bool /*idempotent*/,
                            std::string /*job, when it avoids workers*/>;

struct JobClass {
  std::set<Job *, ByWait> Jobs;
  std::uint64_t BlockedVersion =
      0;                       ///< Version at which the head found no room.
  std::uint64_t LastRound = 0; ///< Last scan round that looked at it.
  std::uint64_t FeasibleStructure =
      0;                       ///< Structure under which it could ever fit.
  std::uint64_t LastPass = 0;  ///< Pass in which Last is meaningful.
  Job *LastExamined = nullptr; ///< Last job examined in that pass.
};

struct Account {
  std::string Name;
  AccountTerms Terms;
  unsigned UsedSlots = 0; ///< Slots of placed and stopping jobs.
  unsigned ProposedSlots =
      0; ///< Slots of decisions that have not taken effect.
  unsigned PlacedReservedSlots =
      0; ///< Slots of placed jobs that had a reservation.
  std::map<ClassKey, JobClass> Classes;
};

/// Slots kept for one job until those who hold them are gone.
enum class HoldKind { Guarantee, Swap, Urgent, Overrun, Gang };
struct Hold {
  HoldKind Kind = HoldKind::Guarantee;
  pool::Tasks Region;
  base::WallMs SinceMs = 0;
  base::WallMs DueMs = 0;  ///< When the region is expected to be free.
  base::WallMs StopMs = 0; ///< Gang: when stoppable work in it is stopped.
  bool Closed = false;     ///< Gang: takes no more backfill.
  std::vector<std::string> Draining; ///< Gang: jobs it waits for.
};

struct WorkerHealth {
  std::set<std::string> FailedJobs; ///< In a row, distinct.
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

struct Core {
  Settings Config;
  std::unordered_map<std::string, std::unique_ptr<Job>, pool::NameHash,
                     std::equal_to<>>
      Jobs; ///< For lookups; nothing iterates over it.
  std::vector<Account> Accounts;
  std::map<std::string, std::uint32_t, std::less<>> AccountByName;
  RunTimes LearnedRunTimes;
  std::map<std::string, Hold, std::less<>> Holds; ///< By job.
  std::map<std::string, pool::Tasks, std::less<>> Proposals;
  std::map<std::string, WorkerHealth, std::less<>> Health;
  std::set<Job *, ByDeadline> Deadlines;   ///< Pending jobs that have one.
  std::set<Job *, ByOverrun> OverrunQueue; ///< Placed jobs by overrun time.
  std::set<Job *, ById> OverrunningJobs;
  std::set<Job *, ById> JobsToEnd;
  std::uint64_t ChangeCount = 0; ///< Own counterpart of Table::Version.
  std::uint64_t ScanRound = 1;
  std::uint64_t PassCount = 0;
  bool HasMore = false;
  std::size_t PendingCount = 0;
  std::int64_t RetryTokens = 0; ///< In hundredths.
  base::WallMs LastRefillMs = 0;
  base::WallMs NextReservationMs = 0;
  std::size_t SampleStart = 0; ///< Where the next sample of workers starts.
  std::uint64_t QuarantineCheckStructure =
      0; ///< Structure last searched for quarantines.

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
  void releaseSlots(Job &J); ///< The job no longer holds slots.
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
