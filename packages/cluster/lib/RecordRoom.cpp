#include "RecordRoom.h"
#include <algorithm>

namespace heathersaddle::cluster {

/// The part of an entry without the checkpoint and the worker's names.
static constexpr std::size_t EntryNumberBytes = 76;
/// What an entry gets with a placement besides the worker's names: its start
/// time, and what separates them.
static constexpr std::size_t PlacementNumberBytes = 24;

RecordRoom::RecordRoom(std::size_t MaxRecordBytes, std::size_t WorkerNameBytes)
    : MaxRecordBytes(MaxRecordBytes),
      Reserve{std::max(TaskEntryBytes, EntryNumberBytes + WorkerNameBytes),
              PlacementNumberBytes + WorkerNameBytes} {}

std::size_t RecordRoom::bytes(workload::Job &J, std::size_t Entries) const {
  std::size_t Added = Entries * Reserve.MinEntryBytes;
  std::size_t Most = workload::maxProgressBytes(J, Reserve);
  if (Most + Added <= MaxRecordBytes)
    return Most;
  std::size_t Used = workload::progressBytes(J, Reserve);
  if (Used + Added <= MaxRecordBytes)
    return Used;
  workload::mergeDoneRows(J);
  return workload::progressBytes(J, Reserve);
}

std::size_t RecordRoom::freeEntries(workload::Job &J) const {
  std::size_t Tasks = 0;
  for (const workload::Step &S : J.Spec.Steps)
    Tasks += S.Count;
  std::size_t Used = bytes(J, Tasks * J.Spec.occurrences());
  return (MaxRecordBytes - std::min(MaxRecordBytes, Used)) /
         Reserve.MinEntryBytes;
}

bool RecordRoom::fits(workload::Job &J) const {
  return bytes(J, 0) <= MaxRecordBytes;
}

} // namespace heathersaddle::cluster
