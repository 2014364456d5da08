// One JSON object a record: an envelope {w, n, t, k, b} around the body. The
// codec checks form and ranges only; validity at a place in the log is decided
// by State::apply.

#include "JsonFields.h"
#include "heathersaddle/state/Record.h"

namespace heathersaddle::state {

namespace json = boost::json;
using base::JsonReader;

namespace {

template <class... Ts> struct Overloaded : Ts... { using Ts::operator()...; };
template <class... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

json::object with(const Authority &By) {
  return {{"cell", By.Cell}, {"epoch", By.Epoch}};
}

json::object attemptOf(const Authority &By, const std::string &Job,
                       unsigned Attempt) {
  json::object O = with(By);
  O["job"] = Job;
  O["attempt"] = Attempt;
  return O;
}

json::value bodyOf(const JobAccepted &B) {
  return {{"cell", B.Cell}, {"spec", toJson(B.Spec)}};
}
json::value bodyOf(const CancelRequested &B) { return {{"job", B.Job}}; }
json::value bodyOf(const Claim &B) {
  return {{"cell", B.Cell}, {"daemon", B.Daemon}, {"base", B.BaseEpoch}};
}
json::value bodyOf(const Released &B) { return with(B.By); }
json::value bodyOf(const Heartbeat &B) { return with(B.By); }
json::value bodyOf(const DaemonJoined &B) {
  return {{"daemon", B.Daemon},
          {"address", B.Address},
          {"data_centre", B.DataCentre}};
}
json::value bodyOf(const DaemonLeft &B) { return {{"daemon", B.Daemon}}; }
json::value bodyOf(const WorkerRegistered &B) {
  json::object O = with(B.By);
  O["worker"] = B.Spec.Name;
  O["address"] = B.Address;
  O["rack"] = B.Spec.Rack;
  O["slots"] = B.Spec.Slots;
  O["accelerators"] = B.Spec.Accelerators;
  O["cores"] = B.Cores;
  O["memory_mb"] = B.MemoryMb;
  return O;
}
json::value bodyOf(const WorkerStatusChanged &B) {
  json::object O = with(B.By);
  O["worker"] = B.Worker;
  O["status"] = name(B.Status);
  return O;
}
json::value bodyOf(const Placed &B) {
  json::object O = attemptOf(B.By, B.Job, B.Attempt);
  O["start"] = B.Start;
  O["tasks"] = toJson(B.Tasks);
  return O;
}
json::value bodyOf(const StartCommitted &B) {
  return attemptOf(B.By, B.Job, B.Attempt);
}
json::value bodyOf(const StopRequested &B) {
  json::object O = attemptOf(B.By, B.Job, B.Attempt);
  O["reason"] = B.Reason;
  O["for"] = B.ForAccount;
  return O;
}
json::value bodyOf(const AttemptEnded &B) {
  json::object O = attemptOf(B.By, B.Job, B.Attempt);
  O["why"] = name(B.Why);
  O["progress_ms"] = B.ProgressMs;
  O["failed_workers"] = toJson(B.FailedWorkers);
  return O;
}
json::value bodyOf(const JobEnded &B) {
  json::object O = attemptOf(B.By, B.Job, B.Attempt);
  O["outcome"] = name(B.Result);
  O["reason"] = B.Reason;
  O["ran"] = B.Ran;
  O["parts"] = toJson(B.Parts);
  if (!B.FailedWorkers.empty())
    O["failed_workers"] = toJson(B.FailedWorkers);
  return O;
}
json::value bodyOf(const AnswerRelayed &B) {
  return {{"job", B.Job}, {"attempt", B.Attempt}, {"parts", toJson(B.Parts)}};
}
json::value bodyOf(const Rerouted &B) {
  json::object O = with(B.By);
  O["job"] = B.Job;
  O["to"] = B.ToCell;
  return O;
}
json::value bodyOf(const HomesMoved &B) {
  json::object O = with(B.By);
  O["homes"] = toJson(B.Homes);
  return O;
}
json::value bodyOf(const ListPublished &B) {
  const ListChange &C = B.Change;
  PlanMap Plans;
  CustomerMap Customers;
  for (const Plan &P : C.PutPlans)
    Plans.emplace(P.Name, P);
  for (const Customer &Put : C.PutCustomers)
    Customers.emplace(Put.Account, Put);
  return {
      {"list", name(C.Kind)},
      {"base", C.Base},
      {"put", C.Kind == ListKind::Plans ? toJson(Plans) : toJson(Customers)},
      {"remove", toJson(C.Remove)}};
}
json::value bodyOf(const JobsExpired &B) {
  json::object O = with(B.By);
  O["jobs"] = toJson(B.Jobs);
  return O;
}
json::value bodyOf(const SnapshotTaken &B) {
  return {{"id", B.Id}, {"covered", B.Covered}};
}
json::value bodyOf(const Noop &) { return json::object(); }

Authority authority(JsonReader &R) {
  return {R.string("cell", MaxName), R.unsigned64("epoch")};
}
unsigned attempt(JsonReader &R) {
  return static_cast<unsigned>(R.integer("attempt", 0, 1'000'000));
}

// Braced initializers below are evaluated left to right.

Body readJobAccepted(JsonReader &R) {
  JobAccepted B;
  B.Cell = R.string("cell", MaxName);
  if (const json::value *Spec = R.find("spec"))
    B.Spec = specFrom(*Spec, R);
  else
    R.fail("spec", "is required");
  return B;
}

Body readWorkerSeen(JsonReader &R) {
  WorkerRegistered B;
  B.By = authority(R);
  B.Spec.Name = R.string("worker", MaxName);
  B.Address = R.string("address", MaxName);
  B.Spec.Rack = R.string("rack", MaxName);
  B.Spec.Slots = static_cast<unsigned>(R.integer("slots", 1, pool::MaxSlots));
  B.Spec.Accelerators =
      static_cast<unsigned>(R.integer("accelerators", 0, pool::MaxSlots));
  B.Cores = static_cast<unsigned>(R.integer("cores", 0, 1'000'000));
  B.MemoryMb = R.unsigned64("memory_mb");
  return B;
}

Body readJobEnded(JsonReader &R) {
  JobEnded B;
  B.By = authority(R);
  B.Job = R.string("job", MaxName);
  B.Attempt = attempt(R);
  B.Result = outcomeFrom(R, "outcome");
  B.Reason = R.string("reason", MaxReason);
  B.Ran = R.booleanOr("ran", true);
  B.Parts = textsFrom(R, "parts", pool::MaxTasks);
  if (R.find("failed_workers"))
    B.FailedWorkers = textsFrom(R, "failed_workers", pool::MaxTasks);
  return B;
}

Body readAttemptEnded(JsonReader &R) {
  AttemptEnded B;
  B.By = authority(R);
  B.Job = R.string("job", MaxName);
  B.Attempt = attempt(R);
  B.Why = attemptEndFrom(R, "why");
  B.ProgressMs = R.integer("progress_ms", 0, std::int64_t{1} << 53);
  B.FailedWorkers = textsFrom(R, "failed_workers", pool::MaxTasks);
  return B;
}

Body readListPublished(JsonReader &R) {
  constexpr std::size_t MaxRemoved = 10'000;
  ListPublished B;
  auto Kind = listKind(R.string("list", MaxName));
  if (!Kind) {
    R.fail("list", Kind.error().Message);
    return B;
  }
  B.Change.Kind = *Kind;
  B.Change.Base = R.unsigned64("base");
  B.Change.Remove = textsFrom(R, "remove", MaxRemoved);
  const json::value *Put = R.find("put");
  if (!Put) {
    R.fail("put", "is required");
    return B;
  }
  if (*Kind == ListKind::Plans) {
    auto Plans = parsePlans(*Put);
    if (!Plans)
      R.fail("put", Plans.error().Message);
    else
      for (auto &[Name, P] : *Plans)
        B.Change.PutPlans.push_back(P);
  } else {
    auto Customers = parseCustomers(*Put);
    if (!Customers)
      R.fail("put", Customers.error().Message);
    else
      for (auto &[Name, C] : *Customers)
        B.Change.PutCustomers.push_back(C);
  }
  return B;
}

Body readBody(std::string_view Kind, JsonReader &R) {
  if (Kind == "job_accepted")
    return readJobAccepted(R);
  if (Kind == "cancel_requested")
    return CancelRequested{R.string("job", MaxName)};
  if (Kind == "claim")
    return Claim{R.string("cell", MaxName), R.string("daemon", MaxName),
                 R.unsigned64("base")};
  if (Kind == "released")
    return Released{authority(R)};
  if (Kind == "heartbeat")
    return Heartbeat{authority(R)};
  if (Kind == "daemon_joined")
    return DaemonJoined{R.string("daemon", MaxName),
                        R.string("address", MaxName),
                        R.string("data_centre", MaxName)};
  if (Kind == "daemon_left")
    return DaemonLeft{R.string("daemon", MaxName)};
  if (Kind == "worker_seen")
    return readWorkerSeen(R);
  if (Kind == "worker_status")
    return WorkerStatusChanged{authority(R), R.string("worker", MaxName),
                               workerStatusFrom(R, "status")};
  if (Kind == "placed")
    return Placed{authority(R), R.string("job", MaxName), attempt(R),
                  R.booleanOr("start", false), placementsFrom(R, "tasks")};
  if (Kind == "start_committed")
    return StartCommitted{authority(R), R.string("job", MaxName), attempt(R)};
  if (Kind == "stop_requested")
    return StopRequested{authority(R), R.string("job", MaxName), attempt(R),
                         R.string("reason", MaxReason),
                         R.string("for", MaxName)};
  if (Kind == "attempt_ended")
    return readAttemptEnded(R);
  if (Kind == "job_ended")
    return readJobEnded(R);
  if (Kind == "answer_relayed")
    return AnswerRelayed{R.string("job", MaxName), attempt(R),
                         textsFrom(R, "parts", pool::MaxTasks)};
  if (Kind == "rerouted")
    return Rerouted{authority(R), R.string("job", MaxName),
                    R.string("to", MaxName)};
  if (Kind == "homes_moved")
    return HomesMoved{authority(R), homesFrom(R, "homes")};
  if (Kind == "list_published")
    return readListPublished(R);
  if (Kind == "forgotten")
    return JobsExpired{authority(R), textsFrom(R, "jobs", MaxLiveJobs)};
  if (Kind == "snapshot_taken")
    return SnapshotTaken{R.string("id", MaxName), R.unsigned64("covered")};
  if (Kind == "noop")
    return Noop{};
  R.fail("k", "is not a known record kind");
  return Noop{};
}

} // namespace

std::string_view kindName(const Body &B) {
  return std::visit(
      Overloaded{
          [](const JobAccepted &) { return "job_accepted"; },
          [](const CancelRequested &) { return "cancel_requested"; },
          [](const Claim &) { return "claim"; },
          [](const Released &) { return "released"; },
          [](const Heartbeat &) { return "heartbeat"; },
          [](const DaemonJoined &) { return "daemon_joined"; },
          [](const DaemonLeft &) { return "daemon_left"; },
          [](const WorkerRegistered &) { return "worker_seen"; },
          [](const WorkerStatusChanged &) { return "worker_status"; },
          [](const Placed &) { return "placed"; },
          [](const StartCommitted &) { return "start_committed"; },
          [](const StopRequested &) { return "stop_requested"; },
          [](const AttemptEnded &) { return "attempt_ended"; },
          [](const JobEnded &) { return "job_ended"; },
          [](const AnswerRelayed &) { return "answer_relayed"; },
          [](const Rerouted &) { return "rerouted"; },
          [](const HomesMoved &) { return "homes_moved"; },
          [](const ListPublished &) { return "list_published"; },
          [](const JobsExpired &) { return "forgotten"; },
          [](const SnapshotTaken &) { return "snapshot_taken"; },
          [](const Noop &) { return "noop"; },
      },
      B);
}

std::string encode(const Record &R) {
  json::value Body =
      std::visit([](const auto &B) { return bodyOf(B); }, R.What);
  return json::serialize(json::value{{"w", R.Writer},
                                     {"n", R.Sequence},
                                     {"t", R.At},
                                     {"k", kindName(R.What)},
                                     {"b", std::move(Body)}});
}

base::Expected<Record> decode(std::string_view Text) {
  auto Value = base::parseJson(Text, "decode");
  if (!Value)
    return tl::unexpected(Value.error());
  JsonReader Envelope(*Value, "decode");
  Record R;
  R.Writer = Envelope.unsigned64("w");
  R.Sequence = Envelope.unsigned64("n");
  R.At = Envelope.integer("t", 0, std::int64_t{1} << 53);
  std::string Kind = Envelope.string("k", MaxName);
  const json::value *Body = Envelope.find("b");
  if (!Body)
    Envelope.fail("b", "is required");
  if (const base::Error *E = Envelope.error())
    return tl::unexpected(*E);
  JsonReader Fields(*Body, "decode", Kind + ".");
  R.What = readBody(Kind, Fields);
  if (const base::Error *E = Fields.error())
    return tl::unexpected(*E);
  return R;
}

} // namespace heathersaddle::state
