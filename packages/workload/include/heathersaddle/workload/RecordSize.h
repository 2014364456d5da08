#ifndef HEATHERSADDLE_WORKLOAD_RECORDSIZE_H
#define HEATHERSADDLE_WORKLOAD_RECORDSIZE_H

#include "heathersaddle/workload/Job.h"
#include <cstddef>

/// Sizes of records, in bytes of key and value as the ledger encodes them, and
/// what can be left out of a record that is too large.
namespace heathersaddle::workload {

/// Room that is kept for the growth of entries in a job's record. An entry of
/// a task that is not done counts with MinEntryBytes at least; that of a
/// waiting task with PlacementBytes more than it takes now.
struct EntryReserve {
  std::size_t MinEntryBytes = 0;
  std::size_t PlacementBytes = 0;
};

/// The size of the record of \p J's progress, with \p Reserve. Takes time in
/// proportion to the size.
std::size_t progressBytes(const Job &J, EntryReserve Reserve = {});
/// An upper bound of that, which is found without a look at the texts.
std::size_t maxProgressBytes(const Job &J, EntryReserve Reserve = {});

/// An upper bound of the size of the job's submission, likewise.
std::size_t maxSubmissionBytes(const JobSpec &J);

/// Makes tasks of a step that are done share rows of the record, whichever of
/// their runs have ended them. Nothing depends on the numbers of these runs.
void mergeDoneRows(Job &J);

/// What was left out of a job's progress.
struct ProgressCuts {
  std::size_t Checkpoints = 0;
  std::size_t CheckpointBytes = 0;
  std::size_t CrashNotes = 0; ///< Workers that crashed under a task.
};

/// Leaves out what the job can best do without until its record takes at most
/// \p MaxBytes, or until nothing is left to leave out: first it merges rows,
/// then it drops checkpoints, the longest first and those of a gang together,
/// then the names of workers that crashed. Tasks that are done stay done.
ProgressCuts shrinkProgress(Job &J, std::size_t MaxBytes);

} // namespace heathersaddle::workload

#endif
