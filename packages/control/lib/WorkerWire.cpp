// Approach: parses the replies of workers. Workers are not trusted to be
// correct: a missing or wrong field invalidates only the entry that it is in.
// Bounds: MaxListItems entries of each list are read; the others follow in a
// later reply.
#include "WorkerWire.h"
#include "heathersaddle/base/Json.h"
#include "heathersaddle/pool/Shape.h"

namespace heathersaddle::control {

namespace {
constexpr std::size_t MaxListItems = 4'096;
constexpr std::size_t MaxNameBytes = 256;
/// Above state::MaxAnswerBytes: an answer that is too large must still be read,
/// because it ends its job.
constexpr std::size_t MaxTextBytes = 64 * 1024 * 1024;

const json::array *list(const json::object &Reply, std::string_view Field) {
  const json::value *V = Reply.if_contains(Field);
  return V ? V->if_array() : nullptr;
}

TaskId readTaskId(base::JsonReader &R) {
  TaskId N;
  N.Job = R.string("job", MaxNameBytes);
  N.Attempt = unsigned(R.integer("attempt", 0, UINT32_MAX));
  N.TaskIndex = unsigned(R.integerOr("task", 0, 0, pool::MaxTasks - 1));
  return N;
}

std::string firstString(base::JsonReader &R,
                        std::initializer_list<std::string_view> Fields) {
  for (std::string_view F : Fields)
    if (R.find(F))
      return R.string(F, "", MaxTextBytes);
  return {};
}
} // namespace

base::Expected<WorkerIdentity> readIdentity(const json::value &Reply) {
  base::JsonReader R(Reply, "worker reply");
  WorkerIdentity Who;
  const json::value *Boot = R.find("boot");
  if (Boot && !Boot->is_string())
    Who.Boot = json::serialize(*Boot);
  else
    Who.Boot = R.string("boot", MaxNameBytes);
  Who.ClockMs = R.integer("clock_ms", 0, INT64_MAX);
  if (const base::Error *E = R.error())
    return tl::unexpected(*E);
  return Who;
}

std::vector<CommandResult> readResults(const json::object &Reply) {
  std::vector<CommandResult> Results;
  const json::array *Items = list(Reply, "results");
  if (!Items)
    return Results;
  for (const json::value &V : *Items) {
    base::JsonReader R(V, "worker reply");
    bool Ok = R.booleanOr("ok", false);
    Results.push_back({Ok, R.string("code", "", MaxNameBytes)});
  }
  return Results;
}

std::vector<WorkerEvent> readWorkerEvents(const json::object &Reply) {
  std::vector<WorkerEvent> Events;
  const json::array *Items = list(Reply, "events");
  if (!Items)
    return Events;
  for (std::size_t I = 0; I < Items->size() && I < MaxListItems; ++I) {
    base::JsonReader R((*Items)[I], "worker event");
    WorkerEvent E;
    E.Sequence = std::uint64_t(R.integer("seq", 0, INT64_MAX));
    E.Kind = R.string("event", MaxNameBytes);
    E.Task = readTaskId(R);
    E.Text = firstString(R, {"answer", "error"});
    E.ProgressMs = R.integerOr("progress_ms", 0, 0, INT64_MAX);
    if (!R.error())
      Events.push_back(std::move(E));
  }
  return Events;
}

std::vector<ListedTask> readTasks(const json::object &Reply) {
  std::vector<ListedTask> Tasks;
  const json::array *Items = list(Reply, "tasks");
  if (!Items)
    return Tasks;
  for (std::size_t I = 0; I < Items->size() && I < MaxListItems; ++I) {
    base::JsonReader R((*Items)[I], "worker task");
    ListedTask T;
    T.Task = readTaskId(R);
    T.State = R.string("state", MaxNameBytes);
    T.ProgressMs = R.integerOr("progress_ms", 0, 0, INT64_MAX);
    if (!R.error())
      Tasks.push_back(std::move(T));
  }
  return Tasks;
}

} // namespace heathersaddle::control
