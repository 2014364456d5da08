// Read-only views of the state for callers. The make functions run on the
// control thread and copy what is needed; the toJson functions encode it.
#include "Views.h"
#include <algorithm>
#include <bit>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace heathersaddle::daemon {

namespace json = boost::json;

static constexpr std::array<std::string_view, 4> WorkerStatuses = {
    "up", "leaving", "quarantined", "lost"};

static unsigned slotCount(std::span<const pool::Placement> Tasks) {
  unsigned Count = 0;
  for (const pool::Placement &P : Tasks)
    Count += static_cast<unsigned>(std::popcount(P.Slots));
  return Count;
}

static CellView makeCellView(const state::State &S, const std::string &Name,
                             const state::Cell &C, std::string_view Account) {
  CellView V;
  V.Name = Name;
  V.Owner = C.Owner;
  V.Epoch = C.Epoch;
  for (std::string_view Status : WorkerStatuses)
    V.Workers[std::string(Status)] = 0;
  for (const auto &[Worker, W] : C.Workers)
    ++V.Workers[std::string(
        WorkerStatuses[static_cast<std::size_t>(W.Status)])];
  V.SlotsTotal = C.Pool.upSlots();
  V.SlotsUsed = C.Pool.usedSlots();
  V.JobsLive = static_cast<unsigned>(C.Live.size());
  for (const auto &[Offset, Id] : C.Live) {
    const state::Job *J = S.job(Id);
    if (!J || !J->placed())
      continue;
    unsigned Slots = slotCount(J->Tasks);
    if (J->Spec.Account == Account)
      V.OwnSlotsUsed += Slots;
    if (Account.empty())
      V.SlotsByAccount[J->Spec.Account] += Slots;
  }
  for (const pool::Home &H : C.Pool.homes()) {
    if (H.Account == Account)
      V.OwnHomes.push_back(H);
    if (Account.empty())
      ++V.HomesByAccount[H.Account];
  }
  return V;
}

PoolView makePoolView(const state::State &S, std::string_view Account) {
  PoolView View;
  View.Account = Account;
  for (const auto &[Name, C] : S.cells())
    View.Cells.push_back(makeCellView(S, Name, C, Account));
  if (auto Found = S.usage().find(Account); Found != S.usage().end())
    View.Usage = Found->second;
  View.DegradedCount = S.degraded().size();
  if (Account.empty())
    View.Degraded = S.degraded();
  return View;
}

std::shared_ptr<const AccountDirectory>
makeAccountDirectory(const state::State &S) {
  auto D = std::make_shared<AccountDirectory>();
  for (const auto &[Account, C] : S.customers()) {
    AccountEntry E{Account, C.TokenSha256};
    if (const state::Plan *Terms = S.terms(Account)) {
      E.RequestsPerSecond = Terms->RequestsPerSecond;
      E.Burst = Terms->Burst;
    }
    (*D)[C.TokenSha256] = std::move(E);
  }
  return D;
}

base::Expected<unsigned> requiredSlots(const state::State &S,
                                       const Submission &Submitted) {
  unsigned Slots = Submitted.Request.Spec.Shape.SlotsPerTask;
  for (const auto &[Name, C] : S.cells())
    for (const auto &[Worker, W] : C.Workers) {
      std::uint64_t Count = std::max(W.Spec.Slots, 1U);
      auto SlotsFor = [Count](std::uint64_t Requested, std::uint64_t Provided) {
        return Provided ? (Requested * Count + Provided - 1) / Provided : 0;
      };
      std::uint64_t ForCores = SlotsFor(Submitted.Cores, W.Cores);
      std::uint64_t ForMemory = SlotsFor(Submitted.MemoryMb, W.MemoryMb);
      if (std::max(ForCores, ForMemory) > pool::MaxSlots)
        return base::makeError(base::ErrorCode::InvalidArgument, "submit",
                               "is more than a worker has", "",
                               ForCores > ForMemory ? "cores" : "memory_mb");
      Slots =
          std::max(Slots, static_cast<unsigned>(std::max(ForCores, ForMemory)));
    }
  return Slots;
}

template <class Map> static json::object countsToJson(const Map &Counts) {
  json::object O;
  for (const auto &[Name, Count] : Counts)
    O[Name] = Count;
  return O;
}

static json::value homeToJson(const pool::Home &H) {
  json::array Slots;
  for (const pool::Placement &P : H.Slots)
    Slots.push_back(
        json::object{{"worker", P.Worker}, {"slots", std::to_string(P.Slots)}});
  return json::object{
      {"unit", H.Unit}, {"instance", H.Instance}, {"slots", Slots}};
}

static json::value cellToJson(const CellView &V, bool IsOperator) {
  json::object O{{"cell", V.Name},
                 {"owner", V.Owner},
                 {"epoch", V.Epoch},
                 {"workers", countsToJson(V.Workers)},
                 {"slots", {{"total", V.SlotsTotal}, {"used", V.SlotsUsed}}}};
  if (IsOperator) {
    O["jobs_live"] = V.JobsLive;
    O["slots_by_account"] = countsToJson(V.SlotsByAccount);
    O["homes_by_account"] = countsToJson(V.HomesByAccount);
    return O;
  }
  json::array Homes;
  for (const pool::Home &H : V.OwnHomes)
    Homes.push_back(homeToJson(H));
  O["own"] = {{"slots_used", V.OwnSlotsUsed}, {"homes", std::move(Homes)}};
  return O;
}

json::value toJson(const PoolView &View) {
  json::array Cells;
  for (const CellView &V : View.Cells)
    Cells.push_back(cellToJson(V, View.Account.empty()));
  json::object O{{"cells", std::move(Cells)},
                 {"degraded_guarantees", View.DegradedCount}};
  if (View.Account.empty()) {
    O["degraded"] = json::array(View.Degraded.begin(), View.Degraded.end());
    return O;
  }
  O["usage"] = {{"guaranteed_slot_ms", View.Usage.GuaranteedSlotMs},
                {"borrowed_slot_ms", View.Usage.BorrowedSlotMs},
                {"reclaimed", View.Usage.Reclaimed},
                {"reclaimed_for", View.Usage.ReclaimedFor}};
  return O;
}

json::value toJson(const control::JobAnswer &A) {
  return json::object{{"job", A.Job},
                      {"status", state::name(A.Status)},
                      {"outcome", A.Result == state::Outcome::None
                                      ? json::value(nullptr)
                                      : json::value(state::name(A.Result))},
                      {"reason", A.Reason},
                      {"ran", A.Ran},
                      {"answer", json::array(A.Parts.begin(), A.Parts.end())}};
}

json::value toJson(const state::ListVerdict &V) {
  return json::object{{"list", state::name(V.Kind)},
                      {"offset", V.Offset},
                      {"base", V.Base},
                      {"version", V.Version},
                      {"accepted", V.Accepted},
                      {"reason", V.Reason},
                      {"at_ms", V.At}};
}

} // namespace heathersaddle::daemon
