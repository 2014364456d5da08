#ifndef HEATHERSADDLE_CLUSTER_RECORDROOM_H
#define HEATHERSADDLE_CLUSTER_RECORDROOM_H

#include "heathersaddle/workload/RecordSize.h"

namespace heathersaddle::cluster {

/// Size, in bytes, reserved for a task's entry in a job's record: its numbers
/// and the names of a worker of usual length, with a reserve.
inline constexpr std::size_t TaskEntryBytes = 128;

/// How much the records of jobs can still take up.
class RecordRoom {
public:
  /// \p WorkerNameBytes is the longest id and the longest address of a worker
  /// together.
  RecordRoom(std::size_t MaxRecordBytes, std::size_t WorkerNameBytes);

  /// How many more tasks of the job can get an entry. Merges rows of \p J if it
  /// has no room for all.
  std::size_t freeEntries(workload::Job &J) const;
  /// Whether the record can hold the job's progress, and all its tasks that
  /// wait can be placed. Merges rows of \p J likewise.
  bool fits(workload::Job &J) const;

private:
  /// The size of the job's record with its reserve, or an upper bound of that
  /// if it leaves room for \p Entries more.
  std::size_t bytes(workload::Job &J, std::size_t Entries) const;

  std::size_t MaxRecordBytes;
  workload::EntryReserve Reserve;
};

} // namespace heathersaddle::cluster

#endif
