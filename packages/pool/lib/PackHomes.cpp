// Binds guarantee units to homes: first fit, largest unit first, over cells,
// racks, workers and blocks in name order. The cost of packing is proportional
// to the number of unit instances times the number of workers.
#include "heathersaddle/pool/PoolAccess.h"
#include <algorithm>
#include <bit>
#include <set>
#include <tuple>

namespace heathersaddle::pool {
namespace {

struct UnitInstance {
  std::string Account;
  unsigned Unit = 0;
  unsigned Instance = 0;
  GuaranteeUnit Shape;
};

using UnitKey = std::tuple<std::string, unsigned, unsigned>;

std::vector<UnitInstance> largestFirst(std::span<const Guarantee> Guarantees) {
  std::vector<UnitInstance> All;
  for (const Guarantee &G : Guarantees)
    for (unsigned U = 0; U != G.Units.size(); ++U)
      for (unsigned N = 0; N != G.Units[U].Count; ++N)
        All.push_back({G.Account, U, N, G.Units[U]});
  auto Rank = [](const UnitInstance &W) {
    const GuaranteeUnit &S = W.Shape;
    return std::tuple(~(S.Accelerators * S.Workers), ~S.Accelerators,
                      !S.WithinRack, std::string_view(W.Account), W.Unit,
                      W.Instance);
  };
  std::sort(All.begin(), All.end(),
            [&](const UnitInstance &A, const UnitInstance &B) {
              return Rank(A) < Rank(B);
            });
  return All;
}

class Packer {
public:
  explicit Packer(const std::map<std::string, const Pool *> &Cells) {
    for (const auto &[Name, P] : Cells)
      if (P) {
        const Table &T = PoolAccess::table(*P);
        std::vector<SlotMask> Free(T.Rows.size(), 0);
        for (WorkerId W : T.WorkersByName)
          if (T.Rows[W].Status == WorkerStatus::Up)
            Free[W] = T.Rows[W].Accelerated;
        CellsByName.push_back({Name, &T, std::move(Free)});
      }
  }

  bool keepHome(const Home &H, const GuaranteeUnit &S);
  std::optional<Home> bindHome(const UnitInstance &W);

private:
  struct Cell {
    std::string Name;
    const Table *CellTable = nullptr;
    std::vector<SlotMask> Free;
  };
  std::optional<Home> bindHomeAmong(const UnitInstance &W, Cell &C,
                                    std::span<const WorkerId> Rows);
  std::vector<Cell> CellsByName;
};

// Keeps the home if it has the unit's shape on free slots; takes these slots.
bool Packer::keepHome(const Home &H, const GuaranteeUnit &S) {
  auto C = std::find_if(CellsByName.begin(), CellsByName.end(),
                        [&](const Cell &Each) { return Each.Name == H.Cell; });
  if (C == CellsByName.end() || H.Slots.size() != S.Workers)
    return false;
  std::set<WorkerId> Rows;
  std::set<std::string> Racks;
  for (const Placement &P : H.Slots) {
    WorkerId W = C->CellTable->worker(P.Worker);
    if (W == NoId || (P.Slots & ~C->Free[W]) || !isTaskRange(P.Slots) ||
        std::popcount(P.Slots) != static_cast<int>(S.Accelerators))
      return false;
    Rows.insert(W);
    Racks.insert(C->CellTable->Rows[W].Spec.Rack);
  }
  if (Rows.size() != S.Workers || (S.WithinRack && Racks.size() > 1))
    return false;
  for (const Placement &P : H.Slots)
    C->Free[C->CellTable->worker(P.Worker)] &= ~P.Slots;
  return true;
}

static SlotMask firstRange(SlotMask Free, unsigned Size) {
  unsigned Block = std::bit_ceil(Size);
  for (unsigned Base = 0; Base + Size <= MaxSlots; Base += Block)
    for (unsigned Low = Base; Low + Size <= Base + Block; ++Low)
      if (SlotMask M = lowSlots(Size) << Low; (Free & M) == M)
        return M;
  return 0;
}

std::optional<Home> Packer::bindHomeAmong(const UnitInstance &W, Cell &C,
                                          std::span<const WorkerId> Rows) {
  Home H{W.Account, W.Unit, W.Instance, C.Name, {}};
  Tasks Cuts;
  for (WorkerId R : Rows) {
    if (Cuts.size() == W.Shape.Workers)
      break;
    if (SlotMask M = firstRange(C.Free[R], W.Shape.Accelerators))
      Cuts.push_back({R, M});
  }
  if (Cuts.size() != W.Shape.Workers)
    return std::nullopt;
  for (const TaskSlots &Cut : Cuts)
    C.Free[Cut.Worker] &= ~Cut.Slots;
  H.Slots = C.CellTable->toPlacements(Cuts);
  return H;
}

std::optional<Home> Packer::bindHome(const UnitInstance &W) {
  if (W.Shape.Accelerators == 0 || W.Shape.Accelerators > MaxSlots ||
      W.Shape.Workers == 0)
    return std::nullopt;
  for (Cell &C : CellsByName) {
    if (!W.Shape.WithinRack || W.Shape.Workers == 1) {
      if (auto H = bindHomeAmong(W, C, C.CellTable->WorkersByName))
        return H;
      continue;
    }
    for (const auto &[Rack, Rows] : C.CellTable->Racks)
      if (auto H = bindHomeAmong(W, C, Rows))
        return H;
  }
  return std::nullopt;
}

PackResult pack(const std::map<std::string, const Pool *> &Cells,
                std::span<const UnitInstance> All,
                std::span<const Home> Current) {
  std::map<UnitKey, const Home *> Old;
  for (const Home &H : Current)
    Old.emplace(UnitKey(H.Account, H.Unit, H.Instance), &H);
  Packer P(Cells);
  std::map<UnitKey, Home> Bound;
  for (const UnitInstance &W : All) {
    UnitKey K(W.Account, W.Unit, W.Instance);
    if (auto H = Old.find(K); H != Old.end() && P.keepHome(*H->second, W.Shape))
      Bound.emplace(K, *H->second);
  }
  PackResult Result;
  for (const UnitInstance &W : All) {
    UnitKey K(W.Account, W.Unit, W.Instance);
    if (Bound.contains(K))
      continue;
    if (auto H = P.bindHome(W))
      Bound.emplace(K, std::move(*H));
    else
      Result.Missing.push_back({W.Account, W.Unit, W.Instance});
  }
  for (auto &[K, H] : Bound)
    Result.Homes.push_back(std::move(H));
  return Result;
}

} // namespace

PackResult packHomes(const std::map<std::string, const Pool *> &Cells,
                     std::span<const Guarantee> Guarantees,
                     std::span<const Home> Current) {
  std::vector<UnitInstance> All = largestFirst(Guarantees);
  PackResult Kept = pack(Cells, All, Current);
  if (Kept.Missing.empty() || Current.empty())
    return Kept;
  PackResult Fresh = pack(Cells, All, {});
  return Fresh.Missing.size() < Kept.Missing.size() ? Fresh : Kept;
}

} // namespace heathersaddle::pool
