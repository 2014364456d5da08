#include "FakeWorker.h"
#include <algorithm>

namespace heathersaddle::control {

namespace json = boost::json;

static std::string text(const json::object &O, const char *Field) {
  return std::string(O.at(Field).as_string());
}

static std::int64_t runTime(const std::string &Kind) {
  return std::stoll(Kind.substr(Kind.find(':') + 1));
}

std::int64_t FakeWorker::progress(const Task &T) const {
  return T.Progress + (T.State == "running" ? Clock - T.StartedAt : 0);
}

void FakeWorker::addEvent(const char *Kind, const Id &Of, const Task &T,
                          const std::string &Text) {
  json::object E{{"seq", ++LastSeq},        {"event", Kind},
                 {"job", std::get<0>(Of)},  {"attempt", std::get<1>(Of)},
                 {"task", std::get<2>(Of)}, {"progress_ms", T.Progress},
                 {"answer", Text}};
  Events.push_back({LastSeq, std::move(E)});
}

void FakeWorker::advance(std::int64_t Now) {
  Clock = Now;
  for (auto &[Of, T] : Tasks) {
    bool Active = T.State == "running" || T.State == "reserved";
    bool LeaseExpired = Active && Now >= LeaseUntil;
    bool Done = T.State == "running" && progress(T) >= runTime(T.Kind);
    if (!Active ||
        (!LeaseExpired && !Done && (T.StopAt == 0 || Now < T.StopAt)))
      continue;
    T.Progress = progress(T);
    bool Fails = T.Kind.starts_with("fail");
    if (LeaseExpired) {
      T.State = "stopped";
      Tombstones.emplace(std::get<0>(Of), std::get<1>(Of));
      addEvent("lapsed", Of, T);
    } else if (Done) {
      T.State = Fails ? "failed" : "finished";
      addEvent(T.State.c_str(), Of, T,
               (Fails ? "error " : "part ") + std::to_string(std::get<2>(Of)));
    } else {
      T.State = "stopped";
      addEvent("stopped", Of, T);
    }
  }
}

std::string FakeWorker::execute(const json::object &Cmd) {
  std::string Op = text(Cmd, "op");
  Id Of{text(Cmd, "job"), Cmd.at("attempt").to_number<unsigned>(),
        Cmd.at("task").to_number<unsigned>()};
  std::pair Attempt(std::get<0>(Of), std::get<1>(Of));
  auto It = Tasks.find(Of);
  if (Op == "stop") {
    Tombstones.insert(Attempt);
    if (It != Tasks.end())
      It->second.StopAt = Clock + Cmd.at("grace_ms").to_number<int>();
    advance(Clock);
    return "";
  }
  if (Op == "checkpoint" || Op == "throttle") {
    ++Adjustments[Op];
    return It == Tasks.end() ? "not_reserved" : "";
  }
  if (Tombstones.contains(Attempt))
    return "stopped";
  if (It == Tasks.end()) {
    if (Op == "start" && Cmd.at("tasks").to_number<int>() != 1)
      return "not_reserved";
    if (Clock >= LeaseUntil)
      return "busy";
    It = Tasks.emplace(Of, Task{}).first;
    It->second.Kind = text(Cmd, "kind");
    It->second.Progress = Cmd.at("resume_ms").to_number<std::int64_t>();
  }
  Task &T = It->second;
  if (Op != "start" || T.State != "reserved")
    return "";
  T.State = "running";
  T.StartedAt = Clock;
  ++Starts[std::get<0>(Of)];
  addEvent("started", Of, T);
  return "";
}

std::optional<json::object> FakeWorker::handle(const std::string &Path,
                                               const json::object &Body,
                                               bool First) {
  std::uint64_t &Known = Epochs[text(Body, "cell")];
  auto Epoch = Body.at("epoch").to_number<std::uint64_t>();
  if (Epoch < Known)
    return std::nullopt;
  Known = Epoch;
  json::object Reply{{"boot", Boot}, {"clock_ms", Clock}};
  if (Path == "/v1/commands") {
    json::array Results;
    for (const json::value &V : Body.at("commands").as_array()) {
      std::string Code = execute(V.as_object());
      if (RepeatCommands)
        Code = execute(V.as_object());
      Results.push_back({{"ok", Code.empty()}, {"code", Code}});
    }
    Reply["results"] = std::move(Results);
    return Reply;
  }
  LeaseUntil =
      std::max(LeaseUntil, Body.at("lease_until_ms").to_number<std::int64_t>());
  auto After = Body.at("after").to_number<std::uint64_t>();
  while (First && !Events.empty() && Events.front().Seq <= After)
    Events.pop_front();
  json::array List;
  for (const Event &E : Events)
    List.push_back(E.Body);
  Reply["cursor"] = LastSeq;
  Reply["events"] = std::move(List);
  if (const json::value *Full = Body.if_contains("full");
      Full && Full->as_bool()) {
    json::array All;
    for (const auto &[Of, T] : Tasks)
      All.push_back({{"job", std::get<0>(Of)},
                     {"attempt", std::get<1>(Of)},
                     {"task", std::get<2>(Of)},
                     {"state", T.State},
                     {"progress_ms", progress(T)}});
    Reply["tasks"] = std::move(All);
  }
  return Reply;
}

bool FakeWorker::shouldWait(const json::object &Body) const {
  auto After = Body.at("after").to_number<std::uint64_t>();
  return LastSeq <= After || Events.empty();
}

void FakeWorker::reportUsage() {
  for (const auto &[Of, T] : Tasks) {
    Task Now = T;
    Now.Progress = progress(T);
    if (T.State == "running")
      addEvent("usage", Of, Now);
  }
}

void FakeWorker::restart() {
  Tasks.clear();
  Tombstones.clear();
  Events.clear();
  Epochs.clear();
  LastSeq = 0;
  LeaseUntil = 0;
  ++Boot;
}

unsigned FakeWorker::runningTasks() const {
  return unsigned(std::count_if(Tasks.begin(), Tasks.end(), [](auto &T) {
    return T.second.State == "running";
  }));
}

} // namespace heathersaddle::control
