// The tables behind Pool: interned names, rows and the index of workers by free
// block order. A change of one worker costs a few dozen bit operations; adding
// a worker rebuilds the order and the index.
#include "heathersaddle/pool/PoolAccess.h"
#include <algorithm>
#include <bit>

namespace heathersaddle::pool {

static std::uint32_t lookUp(const NameMap &Map, std::string_view Name) {
  auto Found = Map.find(Name);
  return Found == Map.end() ? NoId : Found->second;
}

WorkerId Table::worker(std::string_view Worker) const {
  WorkerId Id = lookUp(RowByName, Worker);
  return Id != NoId && Rows[Id].Present ? Id : NoId;
}

JobId Table::job(std::string_view Name) const {
  return lookUp(JobByName, Name);
}

AccountId Table::account(std::string_view Name) const {
  return lookUp(AccountByName, Name);
}

AccountId Table::internAccount(std::string_view Name) {
  if (AccountId Known = account(Name); Known != NoId)
    return Known;
  Accounts.emplace_back(Name);
  AccountByName.emplace(Name, Accounts.size() - 1);
  return Accounts.size() - 1;
}

JobId Table::internJob(std::string_view Name, AccountId Account) {
  JobId Id = Jobs.size();
  if (FreeJobIds.empty()) {
    Jobs.emplace_back();
  } else {
    Id = FreeJobIds.back();
    FreeJobIds.pop_back();
  }
  Jobs[Id] = JobRow{std::string(Name), Account, {}, {}};
  JobByName.emplace(Name, Id);
  return Id;
}

void Table::removeJob(JobId Job) {
  JobByName.erase(Jobs[Job].Name);
  Jobs[Job] = JobRow{};
  FreeJobIds.push_back(Job);
}

bool Table::isGuaranteed(const JobRow &Job) const {
  for (const TaskSlots &T : Job.Where)
    if (T.Slots & ~Rows[T.Worker].homeOf(Job.Account))
      return false;
  return !Job.Where.empty();
}

bool Table::isBorrowing(const JobRow &Job) const {
  for (const TaskSlots &T : Job.Where) {
    const WorkerRow &R = Rows[T.Worker];
    if (T.Slots & R.Homed & ~R.homeOf(Job.Account))
      return true;
  }
  return false;
}

void Table::updateIndex(WorkerId Worker) {
  const WorkerRow &R = Rows[Worker];
  SlotMask Open = R.Present ? R.freeSlots() : 0;
  std::size_t Word = R.Rank / 64;
  std::uint64_t Bit = std::uint64_t{1} << R.Rank % 64;
  for (unsigned Spare = 0; Spare != 2; ++Spare) {
    for (unsigned Kind : {Plain, Accelerated, All}) {
      SlotMask Free = Spare ? Open & ~R.Homed : Open;
      if (Kind != All)
        Free &= Kind == Accelerated ? R.Accelerated : ~R.Accelerated;
      unsigned Found = maximalOrders(Free);
      for (unsigned K = 0; K != Orders; ++K) {
        std::uint64_t &W = BlockIndex[Spare][Kind].ByOrder[K][Word];
        W = Found >> K & 1 ? W | Bit : W & ~Bit;
      }
    }
  }
}

void Table::rebuild() {
  WorkersByName.clear();
  Racks.clear();
  for (WorkerId Id = 0; Id != Rows.size(); ++Id)
    if (Rows[Id].Present)
      WorkersByName.push_back(Id);
  std::sort(WorkersByName.begin(), WorkersByName.end(),
            [this](WorkerId A, WorkerId B) {
              return Rows[A].Spec.Name < Rows[B].Spec.Name;
            });
  for (auto &Kinds : BlockIndex)
    for (Buckets &B : Kinds)
      for (Bits &Words : B.ByOrder)
        Words.assign(WorkersByName.size() / 64 + 1, 0);
  for (std::uint32_t Rank = 0; Rank != WorkersByName.size(); ++Rank) {
    WorkerRow &R = Rows[WorkersByName[Rank]];
    R.Rank = Rank;
    Racks[R.Spec.Rack].push_back(WorkersByName[Rank]);
    updateIndex(WorkersByName[Rank]);
  }
  ++Version;
  ++Structure;
  HomeWorkers.assign(Accounts.size(), {});
  HomeSlots.assign(Accounts.size(), 0);
  for (WorkerId Id : WorkersByName)
    for (const HomePart &H : Rows[Id].Homes) {
      HomeSlots[H.Account] += std::popcount(H.Slots);
      if (HomeWorkers[H.Account].empty() || HomeWorkers[H.Account].back() != Id)
        HomeWorkers[H.Account].push_back(Id);
    }
}

std::vector<Placement> Table::toPlacements(const Tasks &Where) const {
  std::vector<Placement> Result;
  Result.reserve(Where.size());
  for (const TaskSlots &T : Where)
    Result.push_back({Rows[T.Worker].Spec.Name, T.Slots});
  return Result;
}

} // namespace heathersaddle::pool
