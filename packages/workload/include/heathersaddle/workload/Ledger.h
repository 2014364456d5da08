#ifndef HEATHERSADDLE_WORKLOAD_LEDGER_H
#define HEATHERSADDLE_WORKLOAD_LEDGER_H

#include "heathersaddle/base/Error.h"
#include "heathersaddle/workload/Job.h"
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace heathersaddle::workload {

/// The current owner, which makes all scheduling decisions, and the load that
/// it publishes for admission control on all daemons.
struct Ownership {
  std::uint64_t Epoch = 0;
  std::string Daemon;
  std::string Incarnation; ///< Of the daemon's process.
  /// Receives requests that other daemons cannot serve; may be empty.
  std::string Address;
  bool Released = false; ///< The owner has stopped; it may be replaced at once.
  std::uint64_t HeartbeatCount = 0; ///< Incremented with each heartbeat.
  /// Duration of the owner's latest append; shows other daemons that the store
  /// is slow.
  std::int64_t AppendMs = 0;
  std::int64_t CpuMilli = 0; ///< Used by the owner, in thousandths of a core.
  std::int64_t Workers = 0;  ///< Number of workers in use.
  /// Number of workers that would be in use if their data centres were not
  /// drained.
  std::int64_t DrainedWorkers = 0;
  Resources MeanCapacity; ///< Of a worker in use, or of all if all are drained.
  /// Accepted work that has not ended, in milliseconds of a whole worker: one
  /// entry each for priority 0, priority 1, and all others together.
  std::vector<std::int64_t> BacklogMs;
};

/// One record of the control topic. The newest value of a key replaces earlier
/// ones; an empty value is a tombstone.
struct KeyValue {
  std::string Key;
  std::string Value;
};

/// All jobs, built from the newest records of the control topic.
///
/// A job has up to three keys with separate writers: its submission, a
/// cancellation mark (both from any daemon) and its progress (from the owner).
/// Each record holds the whole value, so applying a record twice or starting
/// from a page of newest records leads to the same state.
class Ledger {
public:
  /// Applies one record; returns an error if the record cannot be decoded.
  base::Expected<void> apply(const KeyValue &Record);
  /// Like apply(), but ignores progress records.
  base::Expected<void> applyExceptProgress(const KeyValue &Record);

  const Job *find(std::string_view Id) const;
  Job *find(std::string_view Id);
  std::map<std::string, Job, std::less<>> &jobs() { return Jobs; }
  const std::map<std::string, Job, std::less<>> &jobs() const { return Jobs; }
  /// Jobs that were cancelled and whose submissions have not been read: one
  /// that arrives later is cancelled from the beginning.
  const std::set<std::string, std::less<>> &unsubmittedCancels() const {
    return UnsubmittedCancels;
  }
  const Ownership &owner() const { return Owner; }
  /// Number of applied records with progress or ownership.
  std::uint64_t ownerRecords() const { return OwnerRecords; }
  void clear();

  static KeyValue submission(const JobSpec &Spec);
  /// Whether every daemon can read this record of a submission.
  static base::Expected<void> checkSubmission(const KeyValue &Record);
  static KeyValue cancellation(std::string_view Id, base::WallMs When);
  static KeyValue progress(const Job &J);
  static KeyValue ownership(const Ownership &O);
  /// None if the record does not concern ownership.
  static base::Expected<std::optional<Ownership>>
  decodeOwnership(const KeyValue &Record);
  /// Tombstones for all keys of a job.
  static std::vector<KeyValue> removal(std::string_view Id);

private:
  base::Expected<void> applyOwner(const KeyValue &Record);
  std::map<std::string, Job, std::less<>> Jobs;
  std::set<std::string, std::less<>> UnsubmittedCancels;
  Ownership Owner;
  std::uint64_t OwnerRecords = 0;
};

} // namespace heathersaddle::workload

#endif
