// The exact size takes a pass over all texts, as each byte may be stored as up
// to six. Jobs far below the limit are the usual case, and sizes are asked for
// in each plan, so the upper bounds assume six bytes for each.
#include "heathersaddle/workload/RecordSize.h"
#include "ProgressWriter.h"
#include "heathersaddle/workload/Ledger.h"
#include <algorithm>
#include <map>
#include <vector>

namespace heathersaddle::workload {

/// JSON stores a control character as \u and four digits.
static constexpr std::size_t MaxEscapedBytes = 6;
/// Upper bounds of what is stored besides the texts: for a job, for a row of
/// tasks that are done, for the entry of another task, and for a step.
static constexpr std::size_t MaxJobBytes = 512;
static constexpr std::size_t MaxDoneRowBytes = 64;
static constexpr std::size_t MaxEntryNumberBytes = 192;
static constexpr std::size_t MaxStepBytes = 256;
/// An index of a step with its separator.
static constexpr std::size_t MaxDependencyBytes = 11;
/// Quotation marks and separator of a text.
static constexpr std::size_t TextFramingBytes = 3;

static std::size_t maxTextBytes(std::string_view Text) {
  return MaxEscapedBytes * Text.size() + TextFramingBytes;
}

static std::size_t keyBytes(const Job &J) {
  return ProgressKeyPrefix.size() + J.Spec.Id.size();
}

static std::size_t entryBytes(const TaskKey &K, const TaskProgress &T) {
  ByteCounter Count;
  ProgressWriter(Count).entry(K, T);
  return Count.Bytes;
}

/// What is kept besides the \p EntryBytes that the entry takes now.
static std::size_t reservedBytes(const TaskProgress &T, std::size_t EntryBytes,
                                 EntryReserve Reserve) {
  std::size_t Needed = std::max(Reserve.MinEntryBytes, EntryBytes);
  if (T.Phase == TaskPhase::Waiting)
    Needed = std::max(Needed, EntryBytes + Reserve.PlacementBytes);
  return Needed - EntryBytes;
}

std::size_t progressBytes(const Job &J, EntryReserve Reserve) {
  ByteCounter Count;
  ProgressWriter(Count).job(J);
  std::size_t Bytes = keyBytes(J) + Count.Bytes;
  if (J.ended() || (!Reserve.MinEntryBytes && !Reserve.PlacementBytes))
    return Bytes;
  for (const auto &[K, T] : J.Tasks)
    if (T.Phase != TaskPhase::Done)
      Bytes += reservedBytes(T, entryBytes(K, T), Reserve);
  return Bytes;
}

std::size_t maxProgressBytes(const Job &J, EntryReserve Reserve) {
  std::size_t Bytes = keyBytes(J) + MaxJobBytes;
  for (const auto &[K, T] : J.Tasks) {
    if (T.Phase == TaskPhase::Done) {
      Bytes += MaxDoneRowBytes;
      continue;
    }
    std::size_t Entry = MaxEntryNumberBytes + maxTextBytes(T.Checkpoint) +
                        maxTextBytes(T.Worker) + maxTextBytes(T.WorkerAddress) +
                        maxTextBytes(T.Lapsed.Worker) +
                        maxTextBytes(T.Lapsed.WorkerAddress);
    for (const std::string &Worker : T.CrashedWorkers)
      Entry += maxTextBytes(Worker);
    Bytes += Entry + reservedBytes(T, Entry, Reserve);
  }
  return Bytes;
}

std::size_t maxSubmissionBytes(const JobSpec &J) {
  std::size_t Bytes = MaxJobBytes + J.Id.size() + maxTextBytes(J.Queue) +
                      maxTextBytes(J.Service) + maxTextBytes(J.Account) +
                      maxTextBytes(J.Payload);
  for (const Step &S : J.Steps)
    Bytes += MaxStepBytes + maxTextBytes(S.RequiredLabel) +
             maxTextBytes(S.DataRack) + maxTextBytes(S.Image) +
             MaxDependencyBytes * S.DependsOn.size();
  return Bytes;
}

namespace {

/// A checkpoint that can only be left out as a whole: that of a task, or of all
/// members of a gang.
struct CheckpointUnit {
  std::vector<TaskProgress *> Tasks;
  std::size_t Bytes = 0;
};

} // namespace

static std::vector<CheckpointUnit> checkpointUnits(Job &J) {
  std::vector<CheckpointUnit> Units;
  const TaskKey *Previous = nullptr;
  for (auto &[K, T] : J.Tasks) {
    bool SameGang = Previous && J.Spec.has(K) && J.Spec.Steps[K.Step].Gang &&
                    Previous->Occurrence == K.Occurrence &&
                    Previous->Step == K.Step;
    Previous = &K;
    if (!SameGang)
      Units.emplace_back();
    if (T.Phase == TaskPhase::Done || T.Checkpoint.empty())
      continue;
    TaskProgress Without = T;
    Without.Checkpoint.clear();
    Units.back().Bytes += entryBytes(K, T) - entryBytes(K, Without);
    Units.back().Tasks.push_back(&T);
  }
  std::erase_if(Units, [](const CheckpointUnit &U) { return U.Tasks.empty(); });
  std::stable_sort(Units.begin(), Units.end(),
                   [](const CheckpointUnit &A, const CheckpointUnit &B) {
                     return A.Bytes > B.Bytes;
                   });
  return Units;
}

void mergeDoneRows(Job &J) {
  std::map<std::pair<unsigned, unsigned>, unsigned> LatestRuns;
  for (const auto &[K, T] : J.Tasks)
    if (T.Phase == TaskPhase::Done) {
      unsigned &Latest = LatestRuns[{K.Occurrence, K.Step}];
      Latest = std::max(Latest, T.Run);
    }
  for (auto &[K, T] : J.Tasks)
    if (T.Phase == TaskPhase::Done)
      T.Run = LatestRuns[{K.Occurrence, K.Step}];
}

ProgressCuts shrinkProgress(Job &J, std::size_t MaxBytes) {
  ProgressCuts Cuts;
  if (progressBytes(J) <= MaxBytes)
    return Cuts;
  mergeDoneRows(J);
  std::size_t Bytes = progressBytes(J);
  if (Bytes <= MaxBytes)
    return Cuts;
  for (const CheckpointUnit &Unit : checkpointUnits(J)) {
    for (TaskProgress *T : Unit.Tasks)
      T->Checkpoint.clear();
    Cuts.Checkpoints += Unit.Tasks.size();
    Cuts.CheckpointBytes += Unit.Bytes;
    Bytes -= Unit.Bytes;
    if (Bytes <= MaxBytes)
      return Cuts;
  }
  for (auto &[K, T] : J.Tasks)
    if (T.Phase != TaskPhase::Done && !T.CrashedWorkers.empty()) {
      std::size_t Before = entryBytes(K, T);
      Cuts.CrashNotes += T.CrashedWorkers.size();
      T.CrashedWorkers.clear();
      Bytes -= Before - entryBytes(K, T);
      if (Bytes <= MaxBytes)
        break;
    }
  return Cuts;
}

} // namespace heathersaddle::workload
