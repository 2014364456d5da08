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

/// Names the cell and the ownership under which an owner writes.
struct Authority {
  std::string Cell;
  std::uint64_t Epoch = 0;
  bool operator==(const Authority &) const = default;
};

/// What a caller asked for; immutable once accepted.
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
  std::int64_t RunTimeMs = 0;  ///< Declared; a hint.
  std::string Digest;          ///< Of the request body, to compare repeats.
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
  bool Start = false; ///< Single tasks start without a separate record.
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
  bool Ran = true;                ///< false: certainly nothing ran.
  std::vector<std::string> Parts; ///< One answer a task, in task order.
  /// Workers whose tasks failed, of a job that is not retried.
  std::vector<std::string> FailedWorkers;
};
/// A finished attempt's whole answer, from a daemon that got it directly from
/// an owner that could not reach the log. Any daemon may write it: the attempt
/// number, not the epoch, says that the answer is genuine.
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
  std::vector<pool::Home> Homes; ///< All homes of the cell after the move.
};
struct ListPublished {
  ListChange Change;
};
struct JobsExpired {
  Authority By;
  std::vector<std::string> Jobs;
};
struct SnapshotTaken {
  std::string Id;
  std::uint64_t Covered = 0; ///< Offset of the first record not in it.
};
struct Noop {};

using Body =
    std::variant<JobAccepted, CancelRequested, Claim, Released, Heartbeat,
                 DaemonJoined, DaemonLeft, WorkerRegistered,
                 WorkerStatusChanged, Placed, StartCommitted, StopRequested,
                 AttemptEnded, JobEnded, AnswerRelayed, Rerouted, HomesMoved,
                 ListPublished, JobsExpired, SnapshotTaken, Noop>;

/// One record of the stream `control`.
struct Record {
  std::uint64_t Writer = 0;   ///< Incarnation of the writing process.
  std::uint64_t Sequence = 0; ///< Rises by one with each of its records.
  base::WallMs At = 0;
  Body What = Noop{};
};

/// The record's one-line JSON text.
std::string encode(const Record &R);
/// Reads a record; a text that is not a record gives an error.
base::Expected<Record> decode(std::string_view Text);
/// The record kind's name in the log, e.g. "job_accepted".
std::string_view kindName(const Body &B);

} // namespace heathersaddle::state

#endif
