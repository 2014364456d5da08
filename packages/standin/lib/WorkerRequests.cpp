// Both requests pass acceptEpoch(), which checks the fields that they share and
// refuses lower epochs, before they have any effect.
#include "WorkerCommands.h"
#include <algorithm>
#include <limits>

namespace heathersaddle::standin {

namespace json = boost::json;
using base::Millis;

static constexpr std::int64_t MaxNumber =
    std::numeric_limits<std::int64_t>::max();
static constexpr std::int64_t MaxUsagePeriodMs = 24 * 3'600'000;

static WorkerReply errorReply(unsigned Status, const base::Error &E) {
  return {Status, json::object{{"error",
                                {{"code", base::name(E.Code)},
                                 {"field", E.Field},
                                 {"message", E.Message},
                                 {"step", E.Step}}}}};
}

std::optional<WorkerReply> WorkerModel::acceptEpoch(const json::value &Body,
                                                    std::string_view Step) {
  base::JsonReader R(Body, Step);
  std::string Cell = R.string("cell", 64);
  auto Epoch = std::uint64_t(R.integer("epoch", 0, MaxNumber));
  R.string("owner", 128);
  if (const base::Error *E = R.error())
    return errorReply(400, *E);
  std::uint64_t &HighestEpoch = Epochs[Cell];
  if (Epoch < HighestEpoch) {
    base::Error E{base::ErrorCode::Conflict, std::string(Step), "",
                  "the epoch is lower than the worker's", "epoch"};
    WorkerReply Reply = errorReply(409, E);
    Reply.Body.as_object()["epoch"] = HighestEpoch;
    return Reply;
  }
  HighestEpoch = CurrentEpoch = Epoch;
  return std::nullopt;
}

WorkerReply WorkerModel::commands(const json::value &Body, Millis Now) {
  advance(Now);
  base::JsonReader R(Body, "commands");
  const json::array *Items = R.array("commands", true, MaxCommands);
  if (const base::Error *E = R.error())
    return errorReply(400, *E);
  std::vector<Command> Parsed;
  for (const json::value &Item : *Items) {
    auto C = Command::parse(Item);
    if (!C)
      return errorReply(400, C.error());
    Parsed.push_back(std::move(*C));
  }
  if (auto Refusal = acceptEpoch(Body, "commands"))
    return *Refusal;
  json::array Results;
  for (const Command &C : Parsed) {
    std::string_view Code = execute(C, Now);
    json::object Result{{"ok", Code.empty()}};
    if (!Code.empty())
      Result["code"] = Code;
    Results.push_back(std::move(Result));
  }
  advance(Now);
  return {200, json::object{{"boot", Boot},
                            {"clock_ms", Now.count()},
                            {"results", std::move(Results)}}};
}

WorkerReply WorkerModel::sync(const json::value &Body, Millis Now) {
  advance(Now);
  base::JsonReader R(Body, "sync");
  Millis Until(R.integerOr("lease_until_ms", 0, 0, MaxNumber));
  auto After = std::uint64_t(R.integerOr("after", 0, 0, MaxNumber));
  Millis Usage(R.integerOr("usage_ms", RequestedUsagePeriod.count(), 0,
                           MaxUsagePeriodMs));
  if (const base::Error *E = R.error())
    return errorReply(400, *E);
  if (auto Refusal = acceptEpoch(Body, "sync"))
    return *Refusal;
  setUsagePeriod(Usage);
  LeaseUntil = std::max(LeaseUntil, Until);
  // An acknowledged number above the last event dates from before a restart; it
  // must not remove events that the sender has not received.
  while (After <= LastEventNumber && !Events.empty() &&
         Events.front().Number <= After)
    Events.pop_front();
  return syncReply(Body, Now);
}

bool WorkerModel::shouldWait(const json::value &Body) const {
  base::JsonReader R(Body, "sync");
  auto After = std::uint64_t(R.integerOr("after", 0, 0, MaxNumber));
  return !R.booleanOr("full", false) &&
         R.integerOr("wait_ms", 0, 0, MaxNumber) > 0 &&
         !hasNonUsageEvents(After);
}

/// Also shifts the reports that are already scheduled, so that a longer period
/// takes effect at once.
void WorkerModel::setUsagePeriod(Millis Period) {
  const Millis Before = usagePeriod();
  RequestedUsagePeriod = Period;
  for (auto &[Id, T] : Tasks)
    T.NextUsage += usagePeriod() - Before;
}

bool WorkerModel::hasNonUsageEvents(std::uint64_t After) const {
  if (After > LastEventNumber)
    After = 0;
  return std::any_of(Events.begin(), Events.end(), [After](const Event &E) {
    return E.Number > After && E.Type != "usage";
  });
}

WorkerReply WorkerModel::syncReply(const json::value &Body, Millis Now) {
  advance(Now);
  if (auto Refusal = acceptEpoch(Body, "sync"))
    return *Refusal;
  base::JsonReader R(Body, "sync");
  auto After = std::uint64_t(R.integerOr("after", 0, 0, MaxNumber));
  json::object Reply{{"boot", Boot},
                     {"clock_ms", Now.count()},
                     {"cursor", LastEventNumber},
                     {"events", eventList(After)}};
  if (R.booleanOr("full", false))
    Reply["tasks"] = taskList(Now);
  return {200, std::move(Reply)};
}

json::array WorkerModel::eventList(std::uint64_t After) const {
  if (After > LastEventNumber)
    After = 0;
  json::array List;
  for (const Event &E : Events) {
    if (E.Number <= After)
      continue;
    json::object Item{
        {"seq", E.Number},         {"event", E.Type},
        {"job", E.Id.first.first}, {"attempt", E.Id.first.second},
        {"task", E.Id.second},     {"progress_ms", E.Progress.count()}};
    if (E.Type == "finished")
      Item["answer"] = E.Text;
    if (E.Type == "failed")
      Item["error"] = E.Text;
    List.push_back(std::move(Item));
  }
  return List;
}

json::array WorkerModel::taskList(Millis Now) const {
  static constexpr std::string_view Names[] = {"reserved", "running",
                                               "finished", "failed", "stopped"};
  json::array List;
  for (const auto &[Id, T] : Tasks)
    List.push_back(json::object{{"job", Id.first.first},
                                {"attempt", Id.first.second},
                                {"task", Id.second},
                                {"state", Names[unsigned(T.State)]},
                                {"progress_ms", progressOf(T, Now).count()}});
  return List;
}

} // namespace heathersaddle::standin
