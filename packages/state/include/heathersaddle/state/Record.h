#ifndef HEATHERSADDLE_STATE_RECORD_H
#define HEATHERSADDLE_STATE_RECORD_H

#include "heathersaddle/base/Error.h"
#include "heathersaddle/base/Time.h"
#include "heathersaddle/pool/Shape.h"
#include "heathersaddle/state/Lists.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace heathersaddle::state {

/// The cell and the ownership epoch under which an owner writes a record. The
/// epoch is a fencing token: records of an earlier epoch are rejected.
struct Authority {
  std::string Cell;
  std::uint64_t Epoch = 0;
  bool operator==(const Authority &) const = default;
};

/// A job as the caller submitted it; immutable once accepted.
struct JobSpec {
  std::string Id;
  std::string Account;
  std::string Kind;
  std::string Input;
  pool::Shape Shape;
  bool Idempotent = false;
  bool Urgent = false;
  base::WallMs AcceptedMs = 0;
  base::WallMs DeadlineMs = 0; ///< 0: none.
  std::int64_t RunTimeMs = 0;  ///< Declared by the caller; a hint only.
  std::string Digest; ///< Hash of the request body, to recognise repeats.
  bool operator==(const JobSpec &) const = default;
};

enum class Outcome { None, Finished, Failed, Cancelled, NotRun, Unknown };

/// Why an attempt ended without a result.
enum class AttemptEnd { Stopped, TaskFailed, WorkerLost, NotStarted };

struct JobAccepted {
  JobSpec Spec;
  std::string Cell;
};
struct CancelRequested {
  std::string Job;
};
struct Claim {
  std::string Cell;
  std::string Daemon;
  std::uint64_t BaseEpoch = 0;
};
struct Released {
  Authority By;
};
struct Heartbeat {
  Authority By;
};
struct DaemonJoined {
  std::string Daemon;
  std::string Address;
  std::string DataCentre;
};
struct DaemonLeft {
  std::string Daemon;
};
/// Adds a worker to a cell or updates its entry.
struct WorkerRegistered {
  Authority By;
  pool::WorkerSpec Spec;
  std::string Address;
  unsigned Cores = 0;
  std::uint64_t MemoryMb = 0;
};
struct WorkerStatusChanged {
  Authority By;
  std::string Worker;
  pool::WorkerStatus Status = pool::WorkerStatus::Up;
};
struct Placed {
  Authority By;
  std::string Job;
  unsigned Attempt = 0;
  bool Start = false; ///< Also commits the start; for single tasks only.
  std::vector<pool::Placement> Tasks;
};
struct StartCommitted {
  Authority By;
  std::string Job;
  unsigned Attempt = 0;
};
struct StopRequested {
  Authority By;
  std::string Job;
  unsigned Attempt = 0;
  std::string Reason;
  std::string ForAccount;
};
struct AttemptEnded {
  Authority By;
  std::string Job;
  unsigned Attempt = 0;
  AttemptEnd Why = AttemptEnd::Stopped;
  std::int64_t ProgressMs = 0;
  std::vector<std::string> FailedWorkers;
};
struct JobEnded {
  Authority By;
  std::string Job;
  unsigned Attempt = 0;
  Outcome Result = Outcome::None;
  std::string Reason;
  bool Ran = true; ///< False when it is certain that no task ran.
  std::vector<std::string> Parts; ///< One answer per task, in task order.
  /// Workers on which tasks failed, when the job is not retried.
  std::vector<std::string> FailedWorkers;
};
/// The complete answer of a finished attempt, written by a daemon that received
/// it directly from an owner that could not reach the log. Any daemon may write
/// it: the record is checked by the attempt number and not by the epoch.
struct AnswerRelayed {
  std::string Job;
  unsigned Attempt = 0;
  std::vector<std::string> Parts;
};
struct Rerouted {
  Authority By;
  std::string Job;
  std::string ToCell;
};
struct HomesMoved {
  Authority By;
  std::vector<pool::Home> Homes; ///< All homes of the cell after the change.
};
struct ListPublished {
  ListChange Change;
};
/// Removes jobs that ended at least EndedJobRetentionMs ago.
struct JobsExpired {
  Authority By;
  std::vector<std::string> Jobs;
};
struct SnapshotTaken {
  std::string Id;
  std::uint64_t Covered = 0; ///< Offset of the first record not included.
};
struct Noop {};

using Body =
    std::variant<JobAccepted, CancelRequested, Claim, Released, Heartbeat,
                 DaemonJoined, DaemonLeft, WorkerRegistered,
                 WorkerStatusChanged, Placed, StartCommitted, StopRequested,
                 AttemptEnded, JobEnded, AnswerRelayed, Rerouted, HomesMoved,
                 ListPublished, JobsExpired, SnapshotTaken, Noop>;

/// One record of the stream `control`, which is the replicated log.
struct Record {
  std::uint64_t Writer = 0;   ///< Incarnation of the writing process.
  std::uint64_t Sequence = 0; ///< Increases by one per record.
  base::WallMs At = 0;        ///< Wall clock of the writer.
  Body What = Noop{};
};

/// The record's one-line JSON text.
std::string encode(const Record &R);
/// Parses a record; fails on a text that is not a valid record.
base::Expected<Record> decode(std::string_view Text);
/// The record kind's name in the log, e.g. "job_accepted".
std::string_view kindName(const Body &B);

} // namespace heathersaddle::state

#endif
