// The complete state as one JSON text. restore(serialize()) must give a state
// that applies all later records exactly as the original does, so the text
// contains everything that a verdict depends on. Pools are rebuilt from
// workers, homes and placements.

#include "JsonFields.h"
#include "heathersaddle/state/State.h"

namespace heathersaddle::state {

namespace json = boost::json;
using base::JsonReader;

namespace {

constexpr std::size_t MaxItems = 1'000'000;
constexpr std::int64_t MaxExactInteger = std::int64_t{1} << 53;

json::value jobToJson(const Job &J) {
  return {{"spec", toJson(J.Spec)},
          {"cell", J.Cell},
          {"offset", J.AcceptedOffset},
          {"status", name(J.Status)},
          {"attempt", J.Attempt},
          {"started", J.Started},
          {"ever_started", J.EverStarted},
          {"cancel", J.CancelWanted},
          {"failures", J.Failures},
          {"progress_ms", J.ProgressMs},
          {"tasks", toJson(J.Tasks)},
          {"stop_reason", J.StopReason},
          {"stop_for", J.StopForAccount},
          {"outcome", name(J.Result)},
          {"reason", J.Reason},
          {"ran", J.Ran},
          {"parts", toJson(J.Parts)},
          {"accepted_clock_ms", J.AcceptedClockMs},
          {"placed_ms", J.PlacedMs},
          {"stop_ms", J.StopMs},
          {"first_start_ms", J.FirstStartMs},
          {"ended_ms", J.EndedMs}};
}

Job jobFrom(const json::value &Value, JsonReader &Parent) {
  JsonReader R(Value, "restore", "jobs.");
  Job J;
  if (const json::value *Spec = R.find("spec"))
    J.Spec = specFrom(*Spec, R);
  J.Cell = R.string("cell", MaxStoredNameBytes);
  J.AcceptedOffset = R.unsigned64("offset");
  J.Status = jobStatusFrom(R, "status");
  J.Attempt = static_cast<unsigned>(R.integer("attempt", 0, 1'000'000));
  J.Started = R.booleanOr("started", false);
  J.EverStarted = R.booleanOr("ever_started", false);
  J.CancelWanted = R.booleanOr("cancel", false);
  J.Failures = static_cast<unsigned>(R.integer("failures", 0, 1'000'000));
  J.ProgressMs = R.integer("progress_ms", 0, MaxExactInteger);
  J.Tasks = placementsFrom(R, "tasks");
  J.StopReason = R.string("stop_reason", MaxStoredReasonBytes);
  J.StopForAccount = R.string("stop_for", MaxStoredNameBytes);
  J.Result = outcomeFrom(R, "outcome");
  J.Reason = R.string("reason", MaxStoredReasonBytes);
  J.Ran = R.booleanOr("ran", false);
  J.Parts = stringsFrom(R, "parts", pool::MaxTasks);
  J.AcceptedClockMs = R.integer("accepted_clock_ms", 0, MaxExactInteger);
  J.PlacedMs = R.integer("placed_ms", 0, MaxExactInteger);
  J.StopMs = R.integer("stop_ms", 0, MaxExactInteger);
  J.FirstStartMs = R.integer("first_start_ms", 0, MaxExactInteger);
  J.EndedMs = R.integer("ended_ms", 0, MaxExactInteger);
  if (const base::Error *E = R.error())
    Parent.fail(E->Field, E->Message);
  return J;
}

json::value workerToJson(const Worker &W) {
  return {{"name", W.Spec.Name},     {"rack", W.Spec.Rack},
          {"slots", W.Spec.Slots},   {"accelerators", W.Spec.Accelerators},
          {"address", W.Address},    {"cores", W.Cores},
          {"memory_mb", W.MemoryMb}, {"status", name(W.Status)}};
}

Worker workerFrom(const json::value &Value, JsonReader &Parent) {
  JsonReader R(Value, "restore", "workers.");
  Worker W;
  W.Spec.Name = R.string("name", MaxStoredNameBytes);
  W.Spec.Rack = R.string("rack", MaxStoredNameBytes);
  W.Spec.Slots = static_cast<unsigned>(R.integer("slots", 1, pool::MaxSlots));
  W.Spec.Accelerators =
      static_cast<unsigned>(R.integer("accelerators", 0, pool::MaxSlots));
  W.Address = R.string("address", MaxStoredNameBytes);
  W.Cores = static_cast<unsigned>(R.integer("cores", 0, 1'000'000));
  W.MemoryMb = R.unsigned64("memory_mb");
  W.Status = workerStatusFrom(R, "status");
  if (const base::Error *E = R.error())
    Parent.fail(E->Field, E->Message);
  return W;
}

json::value verdictToJson(const ListVerdict &V) {
  return {{"list", name(V.Kind)},
          {"offset", V.Offset},
          {"base", V.Base},
          {"version", V.Version},
          {"accepted", V.Accepted},
          {"reason", V.Reason},
          {"at", V.At}};
}

ListVerdict verdictFrom(const json::value &Value, JsonReader &Parent) {
  JsonReader R(Value, "restore", "history.");
  ListVerdict V;
  if (auto Kind = listKind(R.string("list", MaxStoredNameBytes)))
    V.Kind = *Kind;
  V.Offset = R.unsigned64("offset");
  V.Base = R.unsigned64("base");
  V.Version = R.unsigned64("version");
  V.Accepted = R.booleanOr("accepted", false);
  V.Reason = R.string("reason", MaxStoredReasonBytes);
  V.At = R.integer("at", 0, MaxExactInteger);
  if (const base::Error *E = R.error())
    Parent.fail(E->Field, E->Message);
  return V;
}

} // namespace

/// Reads and writes the members of a State.
class SnapshotCodec {
public:
  static json::value write(const State &S);
  static base::Expected<State> read(const json::value &Value);

private:
  static json::array writeCells(const State &S);
  static json::array writeHeldTerms(const State &S);
  static json::array writeUsage(const State &S);
  static json::value writeBurn(const State &S);
  static void readLists(State &S, JsonReader &R);
  static void readCells(State &S, JsonReader &R);
  static void readJobs(State &S, JsonReader &R);
  static void readWritersAndDaemons(State &S, JsonReader &R);
  static void readHeldTerms(State &S, JsonReader &R);
  static void readUsage(State &S, JsonReader &R);
  static void readBurn(State &S, JsonReader &R);
  static base::Expected<void> rebuildPools(State &S);
};

json::array SnapshotCodec::writeCells(const State &S) {
  json::array Cells;
  for (const auto &[Name, C] : S.Cells) {
    json::array Workers;
    for (const auto &[Worker, W] : C.Workers)
      Workers.push_back(workerToJson(W));
    Cells.push_back({{"cell", Name},
                     {"epoch", C.Epoch},
                     {"owner", C.Owner},
                     {"owner_writer", C.OwnerWriter},
                     {"heartbeat_ms", C.HeartbeatMs},
                     {"workers", std::move(Workers)},
                     {"homes", toJson(C.Pool.homes())}});
  }
  return Cells;
}

json::array SnapshotCodec::writeHeldTerms(const State &S) {
  json::array Held;
  for (const auto &[Account, H] : S.HeldTermsByAccount)
    Held.push_back({{"account", Account},
                    {"since_ms", H.SinceMs},
                    {"terms", toJson(PlanMap{{H.Terms.Name, H.Terms}})}});
  return Held;
}

json::array SnapshotCodec::writeUsage(const State &S) {
  json::array Usages;
  for (const auto &[Account, U] : S.UsageByAccount)
    Usages.push_back({{"account", Account},
                      {"guaranteed", U.GuaranteedSlotMs},
                      {"borrowed", U.BorrowedSlotMs},
                      {"reclaimed", U.Reclaimed},
                      {"reclaimed_for", U.ReclaimedFor}});
  return Usages;
}

json::value SnapshotCodec::writeBurn(const State &S) {
  json::array Accounts, Skew;
  for (const auto &[Account, Minutes] : S.Burn.Accounts) {
    json::array Rows;
    for (const auto &[Minute, Counts] : Minutes) {
      json::array Row{Minute};
      for (const EventCounts &Count : Counts) {
        Row.push_back(Count.Good);
        Row.push_back(Count.Bad);
      }
      Rows.push_back(std::move(Row));
    }
    Accounts.push_back({{"account", Account}, {"minutes", std::move(Rows)}});
  }
  for (const auto &[Minute, Count] : S.Burn.SkewByMinute)
    Skew.push_back(json::array{Minute, Count});
  return {{"accounts", std::move(Accounts)}, {"skew", std::move(Skew)}};
}

json::value SnapshotCodec::write(const State &S) {
  json::array Writers, Jobs, Daemons, History;
  for (const auto &[Writer, Progress] : S.Writers)
    Writers.push_back(
        json::array{Writer, Progress.LastSequence, Progress.LastRecordMs});
  for (const auto &[Id, J] : S.Jobs)
    Jobs.push_back(jobToJson(J));
  for (const auto &[Name, D] : S.Daemons)
    Daemons.push_back({{"daemon", Name},
                       {"address", D.Address},
                       {"data_centre", D.DataCentre}});
  for (const ListVerdict &V : S.ListHistory)
    History.push_back(verdictToJson(V));
  return {{"next", S.NextOffset},
          {"clock", S.Clock},
          {"writers", std::move(Writers)},
          {"jobs", std::move(Jobs)},
          {"cells", writeCells(S)},
          {"daemons", std::move(Daemons)},
          {"plans", toJson(S.Plans)},
          {"customers", toJson(S.Customers)},
          {"held", writeHeldTerms(S)},
          {"versions", json::array{S.Versions[0], S.Versions[1]}},
          {"version_offsets",
           json::array{S.VersionOffsets[0], S.VersionOffsets[1]}},
          {"history", std::move(History)},
          {"degraded", toJson(S.Degraded)},
          {"usage", writeUsage(S)},
          {"burn", writeBurn(S)}};
}

namespace {

std::vector<std::uint64_t> numbersFrom(const json::value &Value,
                                       std::size_t Count, JsonReader &R,
                                       std::string_view Field) {
  std::vector<std::uint64_t> Numbers;
  const json::array *Items = Value.if_array();
  boost::system::error_code Ec;
  for (std::size_t I = 0; Items && I < Items->size() && !Ec; ++I)
    Numbers.push_back((*Items)[I].to_number<std::uint64_t>(Ec));
  if (Numbers.size() != Count || Ec) {
    R.fail(Field, "must hold " + std::to_string(Count) + " integers");
    Numbers.assign(Count, 0);
  }
  return Numbers;
}

/// Calls \p Each with a reader for every object in the array \p Field.
template <class Fn>
void forEach(JsonReader &R, std::string_view Field, Fn Each) {
  const json::array *Items = R.array(Field, true, MaxItems);
  for (std::size_t I = 0; Items && I < Items->size(); ++I) {
    JsonReader Item((*Items)[I], "restore", Field);
    Each(Item, (*Items)[I]);
    if (const base::Error *E = Item.error())
      R.fail(E->Field, E->Message);
  }
}

} // namespace

void SnapshotCodec::readLists(State &S, JsonReader &R) {
  const json::value *Plans = R.find("plans");
  const json::value *Customers = R.find("customers");
  auto ReadPlans = Plans ? parsePlans(*Plans) : PlanMap{};
  auto ReadCustomers = Customers ? parseCustomers(*Customers) : CustomerMap{};
  if (!Plans || !Customers || !ReadPlans || !ReadCustomers) {
    R.fail("plans", "or customers cannot be read");
    return;
  }
  S.Plans = std::move(*ReadPlans);
  S.Customers = std::move(*ReadCustomers);
  const json::value *Versions = R.find("versions");
  const json::value *Offsets = R.find("version_offsets");
  if (!Versions || !Offsets) {
    R.fail("versions", "is required");
    return;
  }
  auto Numbers = numbersFrom(*Versions, 2, R, "versions");
  auto At = numbersFrom(*Offsets, 2, R, "version_offsets");
  S.Versions = {Numbers[0], Numbers[1]};
  S.VersionOffsets = {At[0], At[1]};
  const json::array *History = R.array("history", true, MaxListHistory);
  for (std::size_t I = 0; History && I < History->size(); ++I)
    S.ListHistory.push_back(verdictFrom((*History)[I], R));
}

void SnapshotCodec::readCells(State &S, JsonReader &R) {
  forEach(R, "cells", [&](JsonReader &Item, const json::value &) {
    std::string Name = Item.string("cell", MaxStoredNameBytes);
    Cell &C = S.Cells[Name];
    C.Epoch = Item.unsigned64("epoch");
    C.Owner = Item.string("owner", MaxStoredNameBytes);
    C.OwnerWriter = Item.unsigned64("owner_writer");
    C.HeartbeatMs = Item.integer("heartbeat_ms", 0, MaxExactInteger);
    const json::array *Workers = Item.array("workers", true, MaxItems);
    for (std::size_t I = 0; Workers && I < Workers->size(); ++I) {
      Worker W = workerFrom((*Workers)[I], Item);
      if (auto Ok = C.Pool.addWorker(W.Spec); !Ok)
        Item.fail("workers", Ok.error().Message);
      std::string Key = W.Spec.Name;
      C.Workers.emplace(std::move(Key), std::move(W));
    }
    std::vector<pool::Home> Homes = homesFrom(Item, "homes");
    if (auto Ok = C.Pool.setHomes(Homes); !Ok)
      Item.fail("homes", Ok.error().Message);
  });
}

void SnapshotCodec::readJobs(State &S, JsonReader &R) {
  const json::array *Items = R.array("jobs", true, MaxItems);
  for (std::size_t I = 0; Items && I < Items->size(); ++I) {
    Job J = jobFrom((*Items)[I], R);
    if (J.live()) {
      S.Cells[J.Cell].Live.emplace(J.AcceptedOffset, J.Spec.Id);
      ++S.LiveJobsByAccount[J.Spec.Account];
      ++S.LiveJobCount;
    }
    std::string Id = J.Spec.Id;
    S.Jobs.emplace(std::move(Id), std::move(J));
  }
}

void SnapshotCodec::readWritersAndDaemons(State &S, JsonReader &R) {
  const json::array *Writers = R.array("writers", true, MaxItems);
  for (std::size_t I = 0; Writers && I < Writers->size(); ++I) {
    auto Numbers = numbersFrom((*Writers)[I], 3, R, "writers");
    S.Writers[Numbers[0]] = {Numbers[1], static_cast<base::WallMs>(Numbers[2])};
  }
  forEach(R, "daemons", [&](JsonReader &Item, const json::value &) {
    std::string Name = Item.string("daemon", MaxStoredNameBytes);
    S.Daemons[Name] = {Item.string("address", MaxStoredNameBytes),
                       Item.string("data_centre", MaxStoredNameBytes)};
  });
}

void SnapshotCodec::readHeldTerms(State &S, JsonReader &R) {
  forEach(R, "held", [&](JsonReader &Item, const json::value &) {
    std::string Account = Item.string("account", MaxStoredNameBytes);
    const json::value *Terms = Item.find("terms");
    auto Plans = Terms ? parsePlans(*Terms) : PlanMap{};
    if (!Plans || Plans->size() != 1) {
      Item.fail("terms", "must hold one plan");
      return;
    }
    S.HeldTermsByAccount[Account] = {
        Plans->begin()->second, Item.integer("since_ms", 0, MaxExactInteger)};
  });
}

void SnapshotCodec::readUsage(State &S, JsonReader &R) {
  forEach(R, "usage", [&](JsonReader &Item, const json::value &) {
    Usage &U = S.UsageByAccount[Item.string("account", MaxStoredNameBytes)];
    U.GuaranteedSlotMs = Item.integer("guaranteed", 0, INT64_MAX);
    U.BorrowedSlotMs = Item.integer("borrowed", 0, INT64_MAX);
    U.Reclaimed = Item.unsigned64("reclaimed");
    U.ReclaimedFor = Item.unsigned64("reclaimed_for");
  });
}

void SnapshotCodec::readBurn(State &S, JsonReader &R) {
  const json::value *Value = R.find("burn");
  if (!Value) {
    R.fail("burn", "is required");
    return;
  }
  JsonReader B(*Value, "restore", "burn.");
  forEach(B, "accounts", [&](JsonReader &Item, const json::value &) {
    auto &Minutes = S.Burn.Accounts[Item.string("account", MaxStoredNameBytes)];
    const json::array *Rows = Item.array("minutes", true, MaxItems);
    for (std::size_t I = 0; Rows && I < Rows->size(); ++I) {
      auto Row =
          numbersFrom((*Rows)[I], 1 + 2 * ObjectiveCount, Item, "minutes");
      BurnHistory::MinuteCounts &M = Minutes[static_cast<std::int64_t>(Row[0])];
      for (std::size_t O = 0; O < ObjectiveCount; ++O)
        M[O] = {Row[1 + 2 * O], Row[2 + 2 * O]};
    }
  });
  const json::array *Skew = B.array("skew", true, MaxItems);
  for (std::size_t I = 0; Skew && I < Skew->size(); ++I) {
    auto Row = numbersFrom((*Skew)[I], 2, B, "skew");
    S.Burn.SkewByMinute[static_cast<std::int64_t>(Row[0])] = Row[1];
  }
  if (const base::Error *E = B.error())
    R.fail(E->Field, E->Message);
}

base::Expected<void> SnapshotCodec::rebuildPools(State &S) {
  for (auto &[Name, C] : S.Cells) {
    for (const auto &[Offset, Id] : C.Live) {
      const Job &J = S.Jobs.find(Id)->second;
      if (J.Tasks.empty())
        continue;
      if (auto Ok = C.Pool.allocate(Id, J.Spec.Account, J.Tasks); !Ok)
        return Ok;
    }
    // The pool allocates only on workers that are up, so the other statuses are
    // set after the allocations.
    for (const auto &[Worker, W] : C.Workers)
      C.Pool.setStatus(Worker, W.Status);
  }
  return {};
}

base::Expected<State> SnapshotCodec::read(const json::value &Value) {
  JsonReader R(Value, "restore");
  State S;
  S.NextOffset = R.unsigned64("next");
  S.Clock = R.integer("clock", 0, MaxExactInteger);
  readLists(S, R);
  readCells(S, R);
  readJobs(S, R);
  readWritersAndDaemons(S, R);
  readHeldTerms(S, R);
  readUsage(S, R);
  readBurn(S, R);
  S.Degraded = stringsFrom(R, "degraded", MaxItems);
  if (const base::Error *E = R.error())
    return tl::unexpected(*E);
  if (auto Ok = rebuildPools(S); !Ok)
    return tl::unexpected(Ok.error());
  return S;
}

std::string State::serialize() const {
  return json::serialize(SnapshotCodec::write(*this));
}

base::Expected<State> State::restore(std::string_view Text) {
  auto Value = base::parseJson(Text, "restore");
  if (!Value)
    return tl::unexpected(Value.error());
  return SnapshotCodec::read(*Value);
}

} // namespace heathersaddle::state
