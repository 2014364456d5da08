#ifndef HEATHERSADDLE_STATE_STATE_H
#define HEATHERSADDLE_STATE_STATE_H

#include "heathersaddle/pool/Pool.h"
#include "heathersaddle/state/Burn.h"
#include "heathersaddle/state/Lists.h"
#include "heathersaddle/state/Record.h"
#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace heathersaddle::state {

inline constexpr std::size_t MaxInputBytes = 64 * 1024;
inline constexpr std::size_t MaxAnswerBytes = 64 * 1024; ///< Of all parts.
inline constexpr std::size_t MaxLiveJobs = 50'000;
inline constexpr std::size_t MaxListHistory = 64;
/// How long ended jobs are kept with their answers and idempotency keys.
inline constexpr base::WallMs EndedJobRetentionMs = 24 * 3600 * 1000;
/// The most that one record advances the state clock, so that one daemon with a
/// wrong clock cannot expire data that is still needed.
inline constexpr base::WallMs MaxClockStepMs = 60'000;

enum class JobStatus { Pending, Reserved, Running, Stopping, Ended };
std::string_view name(JobStatus Status);
std::string_view name(Outcome Result);

struct Job {
  JobSpec Spec;
  std::string Cell;
  std::uint64_t AcceptedOffset = 0; ///< Offset of its job_accepted record.
  JobStatus Status = JobStatus::Pending;
  unsigned Attempt = 0; ///< Current or last attempt; the first is 1.
  bool Started = false; ///< The start of the current attempt is committed.
  bool EverStarted = false;
  bool CancelWanted = false;
  unsigned Failures = 0; ///< Attempts that ended because a task failed.
  std::int64_t ProgressMs = 0;
  std::vector<pool::Placement> Tasks; ///< Of the current attempt.
  std::string StopReason;
  std::string StopForAccount;
  Outcome Result = Outcome::None;
  std::string Reason;
  bool Ran = false;
  std::vector<std::string> Parts;
  base::WallMs AcceptedClockMs = 0; ///< State clock at acceptance.
  base::WallMs PlacedMs = 0;        ///< When the last attempt was placed.
  base::WallMs FirstStartMs = 0;
  base::WallMs StopMs = 0; ///< When the current stop was requested.
  base::WallMs EndedMs = 0;

  bool live() const { return Status != JobStatus::Ended; }
  bool placed() const { return live() && Status != JobStatus::Pending; }
};

struct Worker {
  pool::WorkerSpec Spec;
  std::string Address;
  unsigned Cores = 0;
  std::uint64_t MemoryMb = 0;
  pool::WorkerStatus Status = pool::WorkerStatus::Up;
};

struct Cell {
  std::uint64_t Epoch = 0;
  std::string Owner;             ///< Empty when the cell has no owner.
  std::uint64_t OwnerWriter = 0; ///< Incarnation of the owner's process.
  base::WallMs HeartbeatMs = 0;
  pool::Pool Pool;
  std::map<std::string, Worker, std::less<>> Workers;
  /// Live jobs of the cell, in order of acceptance.
  std::set<std::pair<std::uint64_t, std::string>> Live;
};

struct Daemon {
  std::string Address;
  std::string DataCentre;
};

/// The result of publishing one version of a list.
struct ListVerdict {
  ListKind Kind = ListKind::Customers;
  std::uint64_t Offset = 0;
  std::uint64_t Base = 0;
  std::uint64_t Version = 0; ///< Version in force after this record.
  bool Accepted = false;
  std::string Reason;
  base::WallMs At = 0;
};

/// The plan that a departed account keeps until its last live job has ended.
struct HeldTerms {
  Plan Terms;
  base::WallMs SinceMs = 0;
};

/// Slot time that an account has used, and reclaims from it and for it.
struct Usage {
  std::int64_t GuaranteedSlotMs = 0;
  std::int64_t BorrowedSlotMs = 0;
  std::uint64_t Reclaimed = 0; ///< Its attempts that were stopped for others.
  std::uint64_t ReclaimedFor = 0; ///< Others' attempts stopped for it.
};

/// The result of applying a record.
struct Verdict {
  bool Applied = false;
  bool Duplicate = false; ///< The sequence number is not above the last.
  base::Error Why;        ///< Why the record was not applied.
  std::string Job;        ///< The job it concerns, if any.
  std::string Cell;       ///< The cell it concerns, if any.
};

/// The state that all daemons derive from the log.
///
/// apply() is deterministic: the same texts at the same offsets give the same
/// state and the same verdicts on every daemon. A record that is not valid at
/// its offset changes only the clock, the count of skewed clocks, the writer's
/// sequence number and, if it publishes a list, the list history.
class State {
public:
  State();

  /// Applies the record \p Text at \p Offset, which must be nextOffset().
  Verdict apply(std::uint64_t Offset, std::string_view Text);
  Verdict apply(std::uint64_t Offset, const Record &R);

  std::uint64_t nextOffset() const { return NextOffset; }
  base::WallMs clock() const { return Clock; }
  std::uint64_t lastSequence(std::uint64_t Writer) const;

  const Job *job(std::string_view Id) const;
  const std::map<std::string, Job, std::less<>> &jobs() const { return Jobs; }
  const Cell *cell(std::string_view Name) const;
  const std::map<std::string, Cell, std::less<>> &cells() const {
    return Cells;
  }
  const std::map<std::string, Daemon, std::less<>> &daemons() const {
    return Daemons;
  }

  const PlanMap &plans() const { return Plans; }
  const CustomerMap &customers() const { return Customers; }
  std::uint64_t version(ListKind Kind) const;
  std::uint64_t versionOffset(ListKind Kind) const;
  const std::deque<ListVerdict> &listHistory() const { return ListHistory; }
  /// The plan in force for \p Account: that of the customer list, or the one
  /// that it had when it departed; null when it has none.
  const Plan *terms(std::string_view Account) const;
  bool departed(std::string_view Account) const;
  /// Guarantee units for which the live workers currently have no room.
  const std::vector<std::string> &degraded() const { return Degraded; }

  std::size_t liveJobs(std::string_view Account) const;
  std::size_t liveJobs() const { return LiveJobCount; }
  const std::map<std::string, Usage, std::less<>> &usage() const {
    return UsageByAccount;
  }

  const BurnHistory &burn() const { return Burn; }

  /// The whole state as text, for a snapshot; see restore().
  std::string serialize() const;
  /// Restores the state that serialize() wrote.
  static base::Expected<State> restore(std::string_view Text);
  /// A hash of serialize(); equal digests mean equal states.
  std::string digest() const;

private:
  friend class Applier;
  friend class SnapshotCodec;

  std::uint64_t NextOffset = 0;
  base::WallMs Clock = 0;
  struct WriterProgress {
    std::uint64_t LastSequence = 0;
    base::WallMs LastRecordMs = 0;
  };
  std::map<std::uint64_t, WriterProgress> Writers;
  std::map<std::string, Job, std::less<>> Jobs;
  std::map<std::string, Cell, std::less<>> Cells;
  std::map<std::string, Daemon, std::less<>> Daemons;
  PlanMap Plans;
  CustomerMap Customers;
  std::map<std::string, HeldTerms, std::less<>> HeldTermsByAccount;
  std::array<std::uint64_t, 2> Versions{};
  std::array<std::uint64_t, 2> VersionOffsets{};
  std::deque<ListVerdict> ListHistory;
  std::vector<std::string> Degraded;
  std::map<std::string, std::size_t, std::less<>> LiveJobsByAccount;
  std::size_t LiveJobCount = 0;
  std::map<std::string, Usage, std::less<>> UsageByAccount;
  BurnHistory Burn;
};

} // namespace heathersaddle::state

#endif
