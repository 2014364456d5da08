#include "JsonFields.h"
#include <array>

namespace heathersaddle::state {

namespace json = boost::json;
using base::JsonReader;

namespace {

constexpr std::size_t MaxStoredStringBytes = 256 * 1024;

constexpr std::array<std::string_view, 6> OutcomeNames{
    "none", "finished", "failed", "cancelled", "not_run", "unknown"};
constexpr std::array<std::string_view, 5> JobStatusNames{
    "pending", "reserved", "running", "stopping", "ended"};
constexpr std::array<std::string_view, 4> AttemptEndNames{
    "stopped", "task_failed", "worker_lost", "not_started"};
constexpr std::array<std::string_view, 4> WorkerStatusNames{
    "up", "leaving", "quarantined", "lost"};
constexpr std::array<std::string_view, 3> AdjacencyNames{"none", "worker",
                                                         "rack"};

template <class Enum, std::size_t N>
Enum enumFrom(JsonReader &R, std::string_view Field,
              const std::array<std::string_view, N> &Names) {
  std::string Text = R.string(Field, MaxStoredNameBytes);
  for (std::size_t I = 0; I < N; ++I)
    if (Names[I] == Text)
      return static_cast<Enum>(I);
  std::string Allowed;
  for (std::string_view Name : Names)
    Allowed += (Allowed.empty() ? "" : ", ") + std::string(Name);
  R.fail(Field, "must be one of " + Allowed);
  return Enum{};
}

template <class Enum, std::size_t N>
std::string_view nameOf(Enum Value,
                        const std::array<std::string_view, N> &Names) {
  return Names[static_cast<std::size_t>(Value)];
}

std::vector<pool::Placement>
placementsOf(const json::array &Items, JsonReader &R, std::string_view Field) {
  std::vector<pool::Placement> Tasks;
  for (const json::value &Item : Items) {
    const json::array *Pair = Item.if_array();
    boost::system::error_code Ec;
    if (!Pair || Pair->size() != 2 || !(*Pair)[0].is_string()) {
      R.fail(Field, "must hold [worker, slot mask] pairs");
      return {};
    }
    pool::Placement P;
    P.Worker = std::string((*Pair)[0].as_string());
    P.Slots = (*Pair)[1].to_number<std::uint64_t>(Ec);
    if (Ec)
      R.fail(Field, "has a slot mask that is not an unsigned integer");
    Tasks.push_back(std::move(P));
  }
  return Tasks;
}

} // namespace

std::string_view name(Outcome Result) { return nameOf(Result, OutcomeNames); }
std::string_view name(JobStatus Status) {
  return nameOf(Status, JobStatusNames);
}
std::string_view name(AttemptEnd Why) { return nameOf(Why, AttemptEndNames); }
std::string_view name(pool::WorkerStatus Status) {
  return nameOf(Status, WorkerStatusNames);
}
std::string_view name(pool::Adjacency Within) {
  return nameOf(Within, AdjacencyNames);
}

Outcome outcomeFrom(JsonReader &R, std::string_view Field) {
  return enumFrom<Outcome>(R, Field, OutcomeNames);
}
JobStatus jobStatusFrom(JsonReader &R, std::string_view Field) {
  return enumFrom<JobStatus>(R, Field, JobStatusNames);
}
AttemptEnd attemptEndFrom(JsonReader &R, std::string_view Field) {
  return enumFrom<AttemptEnd>(R, Field, AttemptEndNames);
}
pool::WorkerStatus workerStatusFrom(JsonReader &R, std::string_view Field) {
  return enumFrom<pool::WorkerStatus>(R, Field, WorkerStatusNames);
}
pool::Adjacency adjacencyFrom(JsonReader &R, std::string_view Field) {
  return enumFrom<pool::Adjacency>(R, Field, AdjacencyNames);
}

json::value toJson(const JobSpec &S) {
  return {{"id", S.Id},
          {"account", S.Account},
          {"kind", S.Kind},
          {"input", S.Input},
          {"tasks", S.Shape.Tasks},
          {"slots", S.Shape.SlotsPerTask},
          {"accelerators", S.Shape.Accelerators},
          {"within", name(S.Shape.Within)},
          {"idempotent", S.Idempotent},
          {"urgent", S.Urgent},
          {"accepted_ms", S.AcceptedMs},
          {"deadline_ms", S.DeadlineMs},
          {"run_time_ms", S.RunTimeMs},
          {"digest", S.Digest}};
}

JobSpec specFrom(const json::value &Value, JsonReader &Parent) {
  constexpr std::int64_t MaxMs = std::int64_t{1} << 53;
  JsonReader R(Value, "decode", "spec.");
  JobSpec S;
  S.Id = R.string("id", MaxStoredNameBytes);
  S.Account = R.string("account", MaxStoredNameBytes);
  S.Kind = R.string("kind", MaxStoredNameBytes);
  S.Input = R.string("input", MaxInputBytes);
  S.Shape.Tasks = static_cast<unsigned>(R.integer("tasks", 1, pool::MaxTasks));
  S.Shape.SlotsPerTask =
      static_cast<unsigned>(R.integer("slots", 1, pool::MaxSlots));
  S.Shape.Accelerators = R.booleanOr("accelerators", true);
  S.Shape.Within = adjacencyFrom(R, "within");
  S.Idempotent = R.booleanOr("idempotent", false);
  S.Urgent = R.booleanOr("urgent", false);
  S.AcceptedMs = R.integer("accepted_ms", 0, MaxMs);
  S.DeadlineMs = R.integer("deadline_ms", 0, MaxMs);
  S.RunTimeMs = R.integer("run_time_ms", 0, MaxMs);
  S.Digest = R.string("digest", MaxStoredNameBytes);
  if (const base::Error *E = R.error())
    Parent.fail(E->Field, E->Message);
  return S;
}

json::value toJson(const std::vector<pool::Placement> &Tasks) {
  json::array Items;
  Items.reserve(Tasks.size());
  for (const pool::Placement &P : Tasks)
    Items.push_back(json::array{P.Worker, P.Slots});
  return Items;
}

std::vector<pool::Placement> placementsFrom(JsonReader &R,
                                            std::string_view Field) {
  const json::array *Items = R.array(Field, true, pool::MaxTasks);
  return Items ? placementsOf(*Items, R, Field)
               : std::vector<pool::Placement>{};
}

json::value toJson(const std::vector<pool::Home> &Homes) {
  json::array Items;
  for (const pool::Home &H : Homes)
    Items.push_back({{"account", H.Account},
                     {"unit", H.Unit},
                     {"instance", H.Instance},
                     {"cell", H.Cell},
                     {"slots", toJson(H.Slots)}});
  return Items;
}

std::vector<pool::Home> homesFrom(JsonReader &R, std::string_view Field) {
  constexpr std::size_t MaxHomes = 100'000;
  std::vector<pool::Home> Homes;
  const json::array *Items = R.array(Field, true, MaxHomes);
  for (std::size_t I = 0; Items && I < Items->size(); ++I) {
    JsonReader H((*Items)[I], "decode", "homes.");
    pool::Home Home;
    Home.Account = H.string("account", MaxStoredNameBytes);
    Home.Unit = static_cast<unsigned>(H.integer("unit", 0, 1'000'000));
    Home.Instance = static_cast<unsigned>(H.integer("instance", 0, 1'000'000));
    Home.Cell = H.string("cell", MaxStoredNameBytes);
    Home.Slots = placementsFrom(H, "slots");
    if (const base::Error *E = H.error())
      R.fail(E->Field, E->Message);
    Homes.push_back(std::move(Home));
  }
  return Homes;
}

json::value toJson(const std::vector<std::string> &Texts) {
  json::array Items;
  for (const std::string &Text : Texts)
    Items.push_back(json::value(Text));
  return Items;
}

std::vector<std::string> stringsFrom(JsonReader &R, std::string_view Field,
                                     std::size_t MaxItems) {
  std::vector<std::string> Texts;
  const json::array *Items = R.array(Field, true, MaxItems);
  for (std::size_t I = 0; Items && I < Items->size(); ++I) {
    const json::string *Text = (*Items)[I].if_string();
    if (!Text || Text->size() > MaxStoredStringBytes) {
      R.fail(Field, "must hold strings of at most 256 KiB");
      return {};
    }
    Texts.emplace_back(Text->data(), Text->size());
  }
  return Texts;
}

} // namespace heathersaddle::state
