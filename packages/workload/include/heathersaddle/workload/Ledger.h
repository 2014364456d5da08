#ifndef HEATHERSADDLE_WORKLOAD_LEDGER_H
#define HEATHERSADDLE_WORKLOAD_LEDGER_H

#include "heathersaddle/base/Error.h"
#include "heathersaddle/workload/Job.h"
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace heathersaddle::workload {

/// Who decides now, and what it publishes for admission on all daemons.
struct Ownership {
  std::uint64_t Epoch = 0;
  std::string Daemon;
  std::string Incarnation; ///< Of the daemon's process.
  /// Where it takes requests that other daemons cannot serve; may be empty.
  std::string Address;
  bool Released = false; ///< The owner has stopped; take over at once.
  std::uint64_t HeartbeatCount = 0; ///< Grows with each heartbeat.
  /// How long the owner's latest append took; tells others of a slow store.
  std::int64_t AppendMs = 0;
  std::int64_t CpuMilli = 0; ///< The owner's share of a core, in thousandths.
  std::int64_t Workers = 0;  ///< In use.
  Resources MeanCapacity;    ///< Of a worker in use.
  /// Accepted work that has not ended, in milliseconds of a whole worker, for
  /// priority 0, 1, and 2 and beyond.
  std::vector<std::int64_t> BacklogMs;
};

/// One record of the control topic: the newest value of each key counts; an
/// empty value deletes it.
struct KeyValue {
  std::string Key;
  std::string Value;
};

/// All jobs, as the newest records of the control topic tell.
///
/// A job has up to three keys with separate writers: its submission, a
/// cancellation mark (both from any daemon) and its progress (from the owner).
/// Each record holds the whole value, so that reading records twice or
/// starting from a page of newest records leads to the same state.
class Ledger {
public:
  /// Applies one record; an error names a record that cannot be read.
  base::Expected<void> apply(const KeyValue &Record);
  /// As apply(), but passes over progress records.
  base::Expected<void> applyExceptProgress(const KeyValue &Record);

  const Job *find(std::string_view Id) const;
  Job *find(std::string_view Id);
  std::map<std::string, Job, std::less<>> &jobs() { return Jobs; }
  const std::map<std::string, Job, std::less<>> &jobs() const { return Jobs; }
  const Ownership &owner() const { return Owner; }
  /// Records with progress or ownership that were applied.
  std::uint64_t ownerRecords() const { return OwnerRecords; }
  void clear();

  static KeyValue submission(const JobSpec &Spec);
  static KeyValue cancellation(std::string_view Id, base::WallMs When);
  static KeyValue progress(const Job &J);
  static KeyValue ownership(const Ownership &O);
  /// Records that remove a job.
  static std::vector<KeyValue> removal(std::string_view Id);

private:
  base::Expected<void> applyOwner(std::string_view Value);
  std::map<std::string, Job, std::less<>> Jobs;
  Ownership Owner;
  std::uint64_t OwnerRecords = 0;
};

} // namespace heathersaddle::workload

#endif
