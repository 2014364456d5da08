// A request is parsed as a whole before any command takes effect; each command
// then has a result of its own. Bounds: MaxCommands per request.
#include "WorkerCommands.h"
#include <algorithm>
#include <charconv>

namespace heathersaddle::standin {

namespace json = boost::json;
using base::Millis;

static constexpr std::int64_t MaxAttempt = 1'000'000'000;
static constexpr std::int64_t MaxDurationMs = 400LL * 24 * 3600 * 1000;

static std::optional<std::uint64_t> parseMask(std::string_view Text) {
  std::uint64_t Mask = 0;
  auto [End, Ec] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Mask);
  if (Ec != std::errc{} || End != Text.data() + Text.size())
    return std::nullopt;
  return Mask;
}

base::Expected<WorkerModel::Command>
WorkerModel::Command::parse(const json::value &Value) {
  base::JsonReader R(Value, "commands", "commands.");
  Command C;
  C.Op = R.string("op", 16);
  C.Id.first.first = R.string("job", 128);
  C.Id.first.second = unsigned(R.integer("attempt", 1, MaxAttempt));
  C.Id.second = unsigned(R.integerOr("task", 0, 0, 63));
  C.Request.Task = C.Id.second;
  C.Request.Tasks = unsigned(R.integerOr("tasks", 1, 1, 64));
  C.Request.Kind = R.string("kind", "", 128);
  C.Request.Input = R.string("input", "", 64UL * 1024);
  C.Resume = Millis(R.integerOr("resume_ms", 0, 0, MaxDurationMs));
  C.Grace = Millis(R.integerOr("grace_ms", 0, 0, MaxDurationMs));
  C.SpeedPercent = unsigned(R.integerOr("percent", 50, 1, 100));
  std::string Mask = R.string("slots", "0", 20);
  if (auto M = parseMask(Mask))
    C.Slots = *M;
  else
    R.fail("slots", "must be a decimal number");
  if (const base::Error *E = R.error())
    return tl::unexpected(*E);
  return C;
}

std::uint64_t WorkerModel::usedSlots() const {
  std::uint64_t Used = 0;
  for (const auto &[Id, T] : Tasks)
    if (T.active())
      Used |= T.Slots;
  return Used;
}

/// Returns the result's code; empty when the command was carried out.
std::string_view WorkerModel::execute(const Command &C, Millis Now) {
  if (C.Op == "reserve")
    return reserve(C, Now);
  if (C.Op == "start")
    return start(C, Now);
  if (C.Op == "stop")
    return stop(C, Now);
  if (C.Op == "checkpoint" || C.Op == "throttle")
    return checkpointOrThrottle(C, Now);
  return "invalid";
}

std::string_view WorkerModel::reserve(const Command &C, Millis Now) {
  if (Settings.RefuseStoppedAttempts && StoppedAttempts.contains(C.Id.first))
    return "stopped";
  if (Tasks.contains(C.Id))
    return "";
  std::uint64_t AllSlots =
      Settings.Slots >= 64 ? ~0ULL : (1ULL << Settings.Slots) - 1;
  if (C.Slots == 0 || (C.Slots & ~AllSlots) || C.Id.second >= C.Request.Tasks)
    return "invalid";
  if (!leaseValid(Now) || (C.Slots & usedSlots()))
    return "busy";
  Task T;
  T.Request = C.Request;
  T.Outcome = Behaviour(C.Request);
  T.Slots = C.Slots;
  T.Progress = T.Checkpoint = C.Resume;
  T.AuditIndex = Audit.size();
  AuditEntry A;
  A.Boot = Boot;
  A.Epoch = CurrentEpoch;
  A.Job = C.Id.first.first;
  A.Attempt = C.Id.first.second;
  A.Task = C.Id.second;
  A.Tasks = C.Request.Tasks;
  A.Slots = C.Slots;
  A.InputPrefix = C.Request.Input.substr(0, 64);
  A.Reserved = Now;
  Audit.push_back(std::move(A));
  Tasks.emplace(C.Id, std::move(T));
  return "";
}

std::string_view WorkerModel::start(const Command &C, Millis Now) {
  if (Settings.RefuseStoppedAttempts && StoppedAttempts.contains(C.Id.first))
    return "stopped";
  auto It = Tasks.find(C.Id);
  if (It == Tasks.end()) {
    if (C.Request.Tasks != 1)
      return "not_reserved";
    if (std::string_view Code = reserve(C, Now); !Code.empty())
      return Code;
    It = Tasks.find(C.Id);
  }
  Task &T = It->second;
  if (T.State == TaskState::Stopped)
    return "stopped";
  if (T.State != TaskState::Reserved)
    return "";
  T.State = TaskState::Running;
  T.Progress = T.Checkpoint = C.Resume;
  T.ProgressAt = Now;
  T.NextUsage = Now + usagePeriod();
  Audit[T.AuditIndex].Started = Now;
  addEvent("started", C.Id, T);
  return "";
}

std::string_view WorkerModel::stop(const Command &C, Millis Now) {
  StoppedAttempts.insert(C.Id.first);
  auto It = Tasks.find(C.Id);
  if (It == Tasks.end() || !It->second.active())
    return "";
  Task &T = It->second;
  Millis At = Now + C.Grace;
  if (T.State == TaskState::Running && C.Grace.count() > 0)
    T.StopAt = T.StopAt ? std::min(*T.StopAt, At) : At;
  else
    endTask(C.Id, T, EndReason::Stopped, Now);
  return "";
}

std::string_view WorkerModel::checkpointOrThrottle(const Command &C,
                                                   Millis Now) {
  auto It = Tasks.find(C.Id);
  if (It == Tasks.end() || It->second.State != TaskState::Running)
    return "not_reserved";
  Task &T = It->second;
  addUsage(C.Id, T, Now);
  if (C.Op == "checkpoint")
    T.Checkpoint = T.Progress;
  else
    T.SpeedPercent = C.SpeedPercent;
  return "";
}

} // namespace heathersaddle::standin
