// Keys: "owner", "j/ID" (submission), "x/ID" (cancellation), "p/ID"
// (progress). Values are JSON with short field names, because every daemon
// reads every record. A row of progress is an array for one task or for
// consecutive tasks that are done. Tasks that were never placed have no row.
//
// A daemon of another version may have written a number that is out of range
// here. Callers were told that the job is accepted, so the number is taken as
// the nearest one in range and the job is kept.
#include "heathersaddle/workload/Ledger.h"
#include "ProgressWriter.h"
#include "heathersaddle/base/Json.h"
#include "heathersaddle/workload/Limits.h"
#include <algorithm>
#include <limits>

namespace heathersaddle::workload {

namespace json = boost::json;
using base::Expected;
using base::JsonReader;

static constexpr std::string_view OwnerKey = "owner";

enum StepFlag : unsigned {
  SavesProgress = 1,
  Gang = 2,
  SameRack = 4,
  Speculative = 8,
  LongRunning = 16,
  Scavenger = 32
};

static json::value encodeStep(const Step &S) {
  unsigned Flags =
      (S.SavesProgress ? SavesProgress : 0U) | (S.Gang ? Gang : 0U) |
      (S.SameRack ? SameRack : 0U) | (S.Speculative ? Speculative : 0U) |
      (S.LongRunning ? LongRunning : 0U) | (S.Scavenger ? Scavenger : 0U);
  json::object O{{"n", S.Count},         {"c", S.Need.CpuMilli},
                 {"m", S.Need.MemoryMb}, {"g", S.Need.Gpus},
                 {"e", S.EstimateMs},    {"f", Flags}};
  if (!S.DependsOn.empty())
    O["d"] = json::value_from(S.DependsOn);
  if (!S.RequiredLabel.empty())
    O["l"] = S.RequiredLabel;
  if (!S.DataRack.empty())
    O["r"] = S.DataRack;
  if (S.MaxPerWorker)
    O["w"] = S.MaxPerWorker;
  if (!S.Image.empty())
    O["i"] = S.Image;
  if (S.LatencyTargetMs)
    O["t"] = S.LatencyTargetMs;
  if (S.MaxUnavailable)
    O["a"] = S.MaxUnavailable;
  return O;
}

static Expected<Step> decodeStep(const json::value &V, std::size_t Number) {
  JsonReader R(V, "read_record", "steps.");
  Step S;
  S.Count = static_cast<unsigned>(R.integer("n", 1, MaxCount));
  S.Need.CpuMilli = R.clampedOr("c", 0, 0, MaxAmount);
  S.Need.MemoryMb = R.clampedOr("m", 0, 0, MaxAmount);
  S.Need.Gpus = R.clampedOr("g", 0, 0, MaxAmount);
  S.EstimateMs = R.clampedOr("e", 0, 0, MaxAmount);
  auto Flags = static_cast<unsigned>(R.integerOr("f", 0, 0, 63));
  S.SavesProgress = Flags & SavesProgress;
  S.Gang = Flags & Gang;
  S.SameRack = Flags & SameRack;
  S.Speculative = Flags & Speculative;
  S.LongRunning = Flags & LongRunning;
  S.Scavenger = Flags & Scavenger;
  if (const auto *Dependencies = R.array("d", false, MaxSteps))
    for (const auto &Item : *Dependencies) {
      auto Index = Item.is_int64() ? Item.as_int64() : -1;
      if (Index < 0 || Index >= static_cast<std::int64_t>(Number))
        R.fail("d", "names no earlier step");
      else
        S.DependsOn.push_back(static_cast<unsigned>(Index));
    }
  S.RequiredLabel = R.string("l", "", MaxStringBytes);
  S.DataRack = R.string("r", "", MaxStringBytes);
  S.MaxPerWorker = static_cast<unsigned>(R.clampedOr("w", 0, 0, MaxCount));
  S.Image = R.string("i", "", MaxStringBytes);
  S.LatencyTargetMs = R.clampedOr("t", 0, 0, MaxAmount);
  S.MaxUnavailable = static_cast<unsigned>(R.clampedOr("a", 0, 0, MaxCount));
  if (const auto *E = R.error())
    return tl::unexpected(*E);
  return S;
}

static Expected<JobSpec> decodeSpec(std::string_view Id,
                                    std::string_view Text) {
  auto V = base::parseJson(Text, "read_record");
  if (!V)
    return tl::unexpected(V.error());
  JsonReader R(*V, "read_record");
  JobSpec S;
  S.Id = Id;
  S.Queue = R.string("q", MaxStringBytes);
  S.Service = R.string("s", MaxStringBytes);
  S.Account = R.string("a", "", MaxStringBytes);
  S.Payload = R.string("p", "", MaxStringBytes);
  S.Priority = static_cast<unsigned>(R.clampedOr("y", 0, 0, MaxCount));
  S.MaxAttempts = static_cast<unsigned>(R.clampedOr("x", 1, 1, MaxCount));
  S.Stretch =
      static_cast<double>(R.clampedOr("h", 1000, 0, 1000 * MaxStretch)) / 1000;
  S.LatencyObjectiveMs = R.clampedOr("o", 0, 0, MaxAmount);
  S.OccurrenceCount = static_cast<unsigned>(R.integerOr("n", 0, 0, MaxCount));
  S.IntervalMs = R.clampedOr("i", 0, 0, MaxAmount);
  S.StartAtMs = R.clampedOr("b", 0, 0, MaxMs);
  S.AcceptedMs = R.clampedOr("t", 0, 0, MaxMs);
  S.NeedsAdvice = R.booleanOr("v", false);
  if (const auto *Steps = R.array("steps", true, MaxSteps))
    for (const auto &Item : *Steps) {
      auto One = decodeStep(Item, S.Steps.size());
      if (!One)
        return tl::unexpected(One.error());
      S.Steps.push_back(std::move(*One));
    }
  if (const auto *E = R.error())
    return tl::unexpected(*E);
  return S;
}

KeyValue Ledger::submission(const JobSpec &S) {
  json::array Steps;
  for (const Step &One : S.Steps)
    Steps.push_back(encodeStep(One));
  json::object O{
      {"q", S.Queue},
      {"s", S.Service},
      {"a", S.Account},
      {"p", S.Payload},
      {"y", S.Priority},
      {"x", S.MaxAttempts},
      {"h", static_cast<std::int64_t>(
                std::clamp(S.Stretch, 0.0, double{MaxStretch}) * 1000)},
      {"o", S.LatencyObjectiveMs},
      {"t", S.AcceptedMs},
      {"steps", std::move(Steps)}};
  if (S.OccurrenceCount) {
    O["n"] = S.OccurrenceCount;
    O["i"] = S.IntervalMs;
    O["b"] = S.StartAtMs;
  }
  if (S.NeedsAdvice)
    O["v"] = true;
  return {"j/" + S.Id, json::serialize(O)};
}

Expected<void> Ledger::checkSubmission(const KeyValue &Record) {
  if (auto Spec = decodeSpec({}, Record.Value); !Spec)
    return tl::unexpected(Spec.error());
  return {};
}

KeyValue Ledger::cancellation(std::string_view Id, base::WallMs When) {
  return {"x/" + std::string(Id), std::to_string(When)};
}

KeyValue Ledger::progress(const Job &J) {
  std::string Value;
  ProgressWriter(Value).job(J);
  return {std::string(ProgressKeyPrefix) + J.Spec.Id, std::move(Value)};
}

/// Progress may name tasks that the job does not have, for example if the
/// record of another version is read.
static Expected<void> decodeProgress(std::string_view Text, Job &J) {
  auto V = base::parseJson(Text, "read_record");
  if (!V)
    return tl::unexpected(V.error());
  JsonReader R(*V, "read_record");
  auto State = static_cast<JobState>(R.integer("s", 0, 4));
  auto Ended = R.integerOr("e", 0, 0, MaxMs);
  std::map<TaskKey, TaskProgress> Tasks;
  auto NumberAt = [&R](const json::array &Row, std::size_t Index,
                       std::int64_t Max) -> std::int64_t {
    if (Index < Row.size() && Row[Index].is_int64() &&
        Row[Index].as_int64() >= 0 && Row[Index].as_int64() <= Max)
      return Row[Index].as_int64();
    R.fail("t", "a row lacks a number, or it is too large");
    return 0;
  };
  constexpr std::int64_t MaxNumber = std::numeric_limits<unsigned>::max();
  auto StringAt = [&R](const json::array &Row,
                       std::size_t Index) -> std::string {
    if (Index < Row.size() && Row[Index].is_string())
      return std::string(Row[Index].as_string());
    R.fail("t", "a row lacks a string");
    return {};
  };
  if (const auto *Rows = R.array("t", false, MaxCount))
    for (const auto &Item : *Rows) {
      if (!Item.is_array()) {
        R.fail("t", "a row is not an array");
        break;
      }
      const auto &Row = Item.as_array();
      TaskKey K{static_cast<unsigned>(NumberAt(Row, 0, MaxCount)),
                static_cast<unsigned>(NumberAt(Row, 1, MaxCount)),
                static_cast<unsigned>(NumberAt(Row, 2, MaxCount))};
      TaskProgress T;
      auto Phase = NumberAt(Row, 3, static_cast<std::int64_t>(TaskPhase::Done));
      T.Phase = static_cast<TaskPhase>(Phase);
      T.Run = static_cast<unsigned>(NumberAt(Row, 4, MaxNumber));
      if (T.Phase == TaskPhase::Done) {
        auto Last = Row.size() > 5 ? NumberAt(Row, 5, MaxCount) : K.Index;
        if (Last - K.Index >= MaxCount)
          R.fail("t", "a row has too many tasks");
        else
          for (; K.Index <= Last; ++K.Index)
            Tasks.emplace(K, T);
        continue;
      }
      T.Failures = static_cast<unsigned>(NumberAt(Row, 5, MaxNumber));
      T.FailedRun = static_cast<unsigned>(NumberAt(Row, 6, MaxNumber));
      T.Checkpoint = StringAt(Row, 7);
      if (T.Phase == TaskPhase::Placed) {
        T.Worker = StringAt(Row, 8);
        T.WorkerStartMs = NumberAt(Row, 9, MaxMs);
      }
      std::size_t CrashesAt = T.Phase == TaskPhase::Placed ? 10 : 8;
      // Records of earlier versions have no address.
      if (T.Phase == TaskPhase::Placed && Row.size() > CrashesAt &&
          Row[CrashesAt].is_string())
        T.WorkerAddress = StringAt(Row, CrashesAt++);
      if (Row.size() > CrashesAt) {
        T.Crashes = static_cast<unsigned>(NumberAt(Row, CrashesAt, MaxNumber));
        T.CrashedRun =
            static_cast<unsigned>(NumberAt(Row, CrashesAt + 1, MaxNumber));
      }
      if (Row.size() > CrashesAt + 2 && Row[CrashesAt + 2].is_array() &&
          !Row[CrashesAt + 2].as_array().empty()) {
        const auto &Lapsed = Row[CrashesAt + 2].as_array();
        T.Lapsed = {static_cast<unsigned>(NumberAt(Lapsed, 0, MaxNumber)),
                    StringAt(Lapsed, 1), NumberAt(Lapsed, 2, MaxMs),
                    StringAt(Lapsed, 3)};
      }
      if (Row.size() > CrashesAt + 3 && Row[CrashesAt + 3].is_array()) {
        const auto &Workers = Row[CrashesAt + 3].as_array();
        for (std::size_t N = 0; N < Workers.size(); ++N)
          T.CrashedWorkers.push_back(StringAt(Workers, N));
      }
      // Crashes that earlier versions counted are no evidence.
      if (Row.size() > CrashesAt + 4)
        T.CrashDecibans =
            static_cast<unsigned>(NumberAt(Row, CrashesAt + 4, MaxNumber));
      Tasks.emplace(K, std::move(T));
    }
  if (J.HasSubmission &&
      !std::all_of(Tasks.begin(), Tasks.end(),
                   [&](const auto &T) { return J.Spec.has(T.first); }))
    R.fail("t", "names a task that the job does not have");
  if (const auto *E = R.error())
    return tl::unexpected(*E);
  J.State = State;
  J.EndUnstored = false;
  J.EndedMs = Ended;
  J.Tasks = std::move(Tasks);
  return {};
}

KeyValue Ledger::ownership(const Ownership &O) {
  json::object V{{"e", O.Epoch},
                 {"d", O.Daemon},
                 {"i", O.Incarnation},
                 {"a", O.Address},
                 {"r", O.Released},
                 {"b", O.HeartbeatCount},
                 {"t", O.AppendMs},
                 {"w", O.Workers},
                 {"u", O.CpuMilli},
                 {"c", O.MeanCapacity.CpuMilli},
                 {"m", O.MeanCapacity.MemoryMb},
                 {"g", O.MeanCapacity.Gpus},
                 {"l", json::value_from(O.BacklogMs)}};
  if (O.DrainedWorkers)
    V["z"] = O.DrainedWorkers;
  return {std::string(OwnerKey), json::serialize(V)};
}

std::vector<KeyValue> Ledger::removal(std::string_view Id) {
  std::string Name(Id);
  return {{"j/" + Name, ""}, {"x/" + Name, ""}, {"p/" + Name, ""}};
}

Expected<std::optional<Ownership>>
Ledger::decodeOwnership(const KeyValue &Record) {
  if (Record.Key != OwnerKey)
    return std::nullopt;
  auto V = base::parseJson(Record.Value, "read_record");
  if (!V)
    return tl::unexpected(V.error());
  JsonReader R(*V, "read_record");
  Ownership O;
  O.Epoch = static_cast<std::uint64_t>(R.integer("e", 0, MaxMs));
  O.Daemon = R.string("d", MaxStringBytes);
  O.Incarnation = R.string("i", MaxStringBytes);
  O.Address = R.string("a", "", MaxStringBytes);
  O.Released = R.booleanOr("r", false);
  O.HeartbeatCount = static_cast<std::uint64_t>(R.clampedOr("b", 0, 0, MaxMs));
  O.AppendMs = R.clampedOr("t", 0, 0, MaxMs);
  O.CpuMilli = R.clampedOr("u", 0, 0, MaxAmount);
  O.Workers = R.clampedOr("w", 0, 0, MaxCount);
  O.DrainedWorkers = R.clampedOr("z", 0, 0, MaxCount);
  O.MeanCapacity.CpuMilli = R.clampedOr("c", 0, 0, MaxAmount);
  O.MeanCapacity.MemoryMb = R.clampedOr("m", 0, 0, MaxAmount);
  O.MeanCapacity.Gpus = R.clampedOr("g", 0, 0, MaxAmount);
  if (const auto *Backlog = R.array("l", false, 16))
    for (const auto &B : *Backlog)
      O.BacklogMs.push_back(
          B.is_int64() ? std::clamp<std::int64_t>(B.as_int64(), 0, MaxWorkMs)
                       : 0);
  if (const auto *E = R.error())
    return tl::unexpected(*E);
  return O;
}

Expected<void> Ledger::applyOwner(const KeyValue &Record) {
  auto O = decodeOwnership(Record);
  if (!O)
    return tl::unexpected(O.error());
  if (*O && (*O)->Epoch >= Owner.Epoch)
    Owner = std::move(**O);
  return {};
}

Expected<void> Ledger::applyExceptProgress(const KeyValue &Record) {
  if (Record.Key.starts_with("p/"))
    return {};
  return apply(Record);
}

Expected<void> Ledger::apply(const KeyValue &Record) {
  if (Record.Key == OwnerKey) {
    ++OwnerRecords;
    return applyOwner(Record);
  }
  if (Record.Key.size() < 3 || Record.Key[1] != '/')
    return base::makeError(base::ErrorCode::Internal, "read_record",
                           "unknown key", {}, Record.Key);
  std::string Id = Record.Key.substr(2);
  char Kind = Record.Key[0];
  if (Record.Value.empty()) {
    Jobs.erase(Id);
    UnsubmittedCancels.erase(Id);
    return {};
  }
  if (Kind == 'j') {
    auto Spec = decodeSpec(Id, Record.Value);
    if (!Spec)
      return tl::unexpected(Spec.error());
    Job &J = Jobs[Id];
    // A repeated submission, accepted by another daemon, must not change the
    // time of acceptance.
    if (!J.HasSubmission) {
      J.Spec = std::move(*Spec);
      // Its progress may have been read first.
      std::erase_if(J.Tasks,
                    [&](const auto &T) { return !J.Spec.has(T.first); });
    }
    J.HasSubmission = true;
    UnsubmittedCancels.erase(Id);
    return {};
  }
  Job &J = Jobs[Id];
  if (J.Spec.Id.empty())
    J.Spec.Id = Id;
  if (Kind == 'x') {
    J.CancelRequested = true;
    if (!J.HasSubmission)
      UnsubmittedCancels.insert(Id);
    return {};
  }
  ++OwnerRecords;
  return decodeProgress(Record.Value, J);
}

const Job *Ledger::find(std::string_view Id) const {
  auto It = Jobs.find(Id);
  return It == Jobs.end() || !It->second.HasSubmission ? nullptr : &It->second;
}

Job *Ledger::find(std::string_view Id) {
  auto It = Jobs.find(Id);
  return It == Jobs.end() || !It->second.HasSubmission ? nullptr : &It->second;
}

void Ledger::clear() {
  Jobs.clear();
  UnsubmittedCancels.clear();
  Owner = {};
}

} // namespace heathersaddle::workload
