#ifndef HEATHERSADDLE_POOL_TESTS_NAIVE_H
#define HEATHERSADDLE_POOL_TESTS_NAIVE_H

#include "heathersaddle/pool/Pool.h"
#include <bit>
#include <set>
#include <string>
#include <vector>

namespace heathersaddle::tests {

using namespace heathersaddle::pool;

struct NaiveWorker {
  WorkerSpec Spec;
  SlotMask Free = 0;
};

/// All legal ranges of \p Size slots within \p Free, by definition: contiguous
/// and inside one aligned block of the next power of two.
inline std::vector<SlotMask> ranges(SlotMask Free, unsigned Size) {
  std::vector<SlotMask> Out;
  unsigned Block = 1;
  while (Block < Size)
    Block *= 2;
  for (unsigned Low = 0; Low + Size <= 64; ++Low) {
    SlotMask M = 0;
    for (unsigned I = Low; I != Low + Size; ++I)
      M |= SlotMask{1} << I;
    if (Low / Block == (Low + Size - 1) / Block && (M & Free) == M)
      Out.push_back(M);
  }
  return Out;
}

/// Whether the tasks fit, by trying every choice of range for every task.
inline bool fits(std::vector<NaiveWorker> Workers, const Shape &S,
                 unsigned Task = 0, std::size_t From = 0,
                 const NaiveWorker *First = nullptr) {
  if (Task == S.Tasks)
    return true;
  std::string Rack = First ? First->Spec.Rack : "";
  for (std::size_t W = From; W != Workers.size(); ++W) {
    const WorkerSpec &Spec = Workers[W].Spec;
    if (First && S.Within == Adjacency::Worker && Spec.Name != First->Spec.Name)
      continue;
    if (First && S.Within == Adjacency::Rack && Spec.Rack != Rack)
      continue;
    SlotMask Usable = Workers[W].Free;
    if (S.Accelerators && Spec.Accelerators < 64)
      Usable &= (SlotMask{1} << Spec.Accelerators) - 1;
    for (SlotMask M : ranges(Usable, S.SlotsPerTask)) {
      std::vector<NaiveWorker> Next = Workers;
      Next[W].Free &= ~M;
      NaiveWorker Anchor = First ? *First : Workers[W];
      if (fits(std::move(Next), S, Task + 1, W, &Anchor))
        return true;
    }
  }
  return false;
}

/// Free aligned blocks of 64, 32, ... 1 slots over all workers.
inline std::vector<unsigned> blockCounts(const std::vector<NaiveWorker> &Ws) {
  std::vector<unsigned> Counts;
  for (unsigned Size = 64; Size; Size /= 2) {
    unsigned N = 0;
    for (const NaiveWorker &W : Ws)
      N += ranges(W.Free, Size).size();
    Counts.push_back(N);
  }
  return Counts;
}

/// Whether \p Where is a legal placement of \p S on the free slots.
inline bool legal(const Pool &P, const Shape &S,
                  const std::vector<Placement> &Where) {
  std::set<std::string> Names, Racks;
  for (const Placement &T : Where) {
    const WorkerSpec *W = P.worker(T.Worker);
    if (!W || std::popcount(T.Slots) != static_cast<int>(S.SlotsPerTask))
      return false;
    if (S.Accelerators && std::bit_width(T.Slots) > W->Accelerators)
      return false;
    Names.insert(W->Name);
    Racks.insert(W->Rack);
  }
  return Where.size() == S.Tasks &&
         (S.Within != Adjacency::Worker || Names.size() == 1) &&
         (S.Within != Adjacency::Rack || Racks.size() == 1);
}

} // namespace heathersaddle::tests

#endif
