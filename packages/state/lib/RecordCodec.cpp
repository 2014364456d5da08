// One JSON object per record: the envelope fields w (writer), n (sequence
// number), t (writer's clock) and k (kind), and the body b. The codec checks
// only syntax and ranges; State::apply checks the record against the state.

#include "JsonFields.h"
#include "heathersaddle/state/Record.h"

namespace heathersaddle::state {

namespace json = boost::json;
using base::JsonReader;

namespace {

template <class... Ts> struct Overloaded : Ts... { using Ts::operator()...; };
template <class... Ts> Overloaded(Ts...) -> Overloaded<Ts...>;

json::object authorityToJson(const Authority &By) {
  return {{"cell", By.Cell}, {"epoch", By.Epoch}};
}

json::object attemptToJson(const Authority &By, const std::string &Job,
                           unsigned Attempt) {
  json::object O = authorityToJson(By);
  O["job"] = Job;
  O["attempt"] = Attempt;
  return O;
}

json::value bodyToJson(const JobAccepted &B) {
  return {{"cell", B.Cell}, {"spec", toJson(B.Spec)}};
}
json::value bodyToJson(const CancelRequested &B) { return {{"job", B.Job}}; }
json::value bodyToJson(const Claim &B) {
  return {{"cell", B.Cell}, {"daemon", B.Daemon}, {"base", B.BaseEpoch}};
}
json::value bodyToJson(const Released &B) { return authorityToJson(B.By); }
json::value bodyToJson(const Heartbeat &B) { return authorityToJson(B.By); }
json::value bodyToJson(const DaemonJoined &B) {
  return {{"daemon", B.Daemon},
          {"address", B.Address},
          {"data_centre", B.DataCentre}};
}
json::value bodyToJson(const DaemonLeft &B) { return {{"daemon", B.Daemon}}; }
json::value bodyToJson(const WorkerRegistered &B) {
  json::object O = authorityToJson(B.By);
  O["worker"] = B.Spec.Name;
  O["address"] = B.Address;
  O["rack"] = B.Spec.Rack;
  O["slots"] = B.Spec.Slots;
  O["accelerators"] = B.Spec.Accelerators;
  O["cores"] = B.Cores;
  O["memory_mb"] = B.MemoryMb;
  return O;
}
json::value bodyToJson(const WorkerStatusChanged &B) {
  json::object O = authorityToJson(B.By);
  O["worker"] = B.Worker;
  O["status"] = name(B.Status);
  return O;
}
json::value bodyToJson(const Placed &B) {
  json::object O = attemptToJson(B.By, B.Job, B.Attempt);
  O["start"] = B.Start;
  O["tasks"] = toJson(B.Tasks);
  return O;
}
json::value bodyToJson(const StartCommitted &B) {
  return attemptToJson(B.By, B.Job, B.Attempt);
}
json::value bodyToJson(const StopRequested &B) {
  json::object O = attemptToJson(B.By, B.Job, B.Attempt);
  O["reason"] = B.Reason;
  O["for"] = B.ForAccount;
  return O;
}
json::value bodyToJson(const AttemptEnded &B) {
  json::object O = attemptToJson(B.By, B.Job, B.Attempt);
  O["why"] = name(B.Why);
  O["progress_ms"] = B.ProgressMs;
  O["failed_workers"] = toJson(B.FailedWorkers);
  return O;
}
json::value bodyToJson(const JobEnded &B) {
  json::object O = attemptToJson(B.By, B.Job, B.Attempt);
  O["outcome"] = name(B.Result);
  O["reason"] = B.Reason;
  O["ran"] = B.Ran;
  O["parts"] = toJson(B.Parts);
  if (!B.FailedWorkers.empty())
    O["failed_workers"] = toJson(B.FailedWorkers);
  return O;
}
json::value bodyToJson(const AnswerRelayed &B) {
  return {{"job", B.Job}, {"attempt", B.Attempt}, {"parts", toJson(B.Parts)}};
}
json::value bodyToJson(const Rerouted &B) {
  json::object O = authorityToJson(B.By);
  O["job"] = B.Job;
  O["to"] = B.ToCell;
  return O;
}
json::value bodyToJson(const HomesMoved &B) {
  json::object O = authorityToJson(B.By);
  O["homes"] = toJson(B.Homes);
  return O;
}
json::value bodyToJson(const ListPublished &B) {
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
json::value bodyToJson(const JobsExpired &B) {
  json::object O = authorityToJson(B.By);
  O["jobs"] = toJson(B.Jobs);
  return O;
}
json::value bodyToJson(const SnapshotTaken &B) {
  return {{"id", B.Id}, {"covered", B.Covered}};
}
json::value bodyToJson(const Noop &) { return json::object(); }

Authority readAuthority(JsonReader &R) {
  return {R.string("cell", MaxStoredNameBytes), R.unsigned64("epoch")};
}
unsigned readAttempt(JsonReader &R) {
  return static_cast<unsigned>(R.integer("attempt", 0, 1'000'000));
}

// The braced initializers below rely on evaluation from left to right.

Body readJobAccepted(JsonReader &R) {
  JobAccepted B;
  B.Cell = R.string("cell", MaxStoredNameBytes);
  if (const json::value *Spec = R.find("spec"))
    B.Spec = specFrom(*Spec, R);
  else
    R.fail("spec", "is required");
  return B;
}

Body readWorkerSeen(JsonReader &R) {
  WorkerRegistered B;
  B.By = readAuthority(R);
  B.Spec.Name = R.string("worker", MaxStoredNameBytes);
  B.Address = R.string("address", MaxStoredNameBytes);
  B.Spec.Rack = R.string("rack", MaxStoredNameBytes);
  B.Spec.Slots = static_cast<unsigned>(R.integer("slots", 1, pool::MaxSlots));
  B.Spec.Accelerators =
      static_cast<unsigned>(R.integer("accelerators", 0, pool::MaxSlots));
  B.Cores = static_cast<unsigned>(R.integer("cores", 0, 1'000'000));
  B.MemoryMb = R.unsigned64("memory_mb");
  return B;
}

Body readJobEnded(JsonReader &R) {
  JobEnded B;
  B.By = readAuthority(R);
  B.Job = R.string("job", MaxStoredNameBytes);
  B.Attempt = readAttempt(R);
  B.Result = outcomeFrom(R, "outcome");
  B.Reason = R.string("reason", MaxStoredReasonBytes);
  B.Ran = R.booleanOr("ran", true);
  B.Parts = stringsFrom(R, "parts", pool::MaxTasks);
  if (R.find("failed_workers"))
    B.FailedWorkers = stringsFrom(R, "failed_workers", pool::MaxTasks);
  return B;
}

Body readAttemptEnded(JsonReader &R) {
  AttemptEnded B;
  B.By = readAuthority(R);
  B.Job = R.string("job", MaxStoredNameBytes);
  B.Attempt = readAttempt(R);
  B.Why = attemptEndFrom(R, "why");
  B.ProgressMs = R.integer("progress_ms", 0, std::int64_t{1} << 53);
  B.FailedWorkers = stringsFrom(R, "failed_workers", pool::MaxTasks);
  return B;
}

Body readListPublished(JsonReader &R) {
  constexpr std::size_t MaxRemoved = 10'000;
  ListPublished B;
  auto Kind = listKind(R.string("list", MaxStoredNameBytes));
  if (!Kind) {
    R.fail("list", Kind.error().Message);
    return B;
  }
  B.Change.Kind = *Kind;
  B.Change.Base = R.unsigned64("base");
  B.Change.Remove = stringsFrom(R, "remove", MaxRemoved);
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
    return CancelRequested{R.string("job", MaxStoredNameBytes)};
  if (Kind == "claim")
    return Claim{R.string("cell", MaxStoredNameBytes),
                 R.string("daemon", MaxStoredNameBytes), R.unsigned64("base")};
  if (Kind == "released")
    return Released{readAuthority(R)};
  if (Kind == "heartbeat")
    return Heartbeat{readAuthority(R)};
  if (Kind == "daemon_joined")
    return DaemonJoined{R.string("daemon", MaxStoredNameBytes),
                        R.string("address", MaxStoredNameBytes),
                        R.string("data_centre", MaxStoredNameBytes)};
  if (Kind == "daemon_left")
    return DaemonLeft{R.string("daemon", MaxStoredNameBytes)};
  if (Kind == "worker_seen")
    return readWorkerSeen(R);
  if (Kind == "worker_status")
    return WorkerStatusChanged{readAuthority(R),
                               R.string("worker", MaxStoredNameBytes),
                               workerStatusFrom(R, "status")};
  if (Kind == "placed")
    return Placed{readAuthority(R), R.string("job", MaxStoredNameBytes),
                  readAttempt(R), R.booleanOr("start", false),
                  placementsFrom(R, "tasks")};
  if (Kind == "start_committed")
    return StartCommitted{readAuthority(R), R.string("job", MaxStoredNameBytes),
                          readAttempt(R)};
  if (Kind == "stop_requested")
    return StopRequested{readAuthority(R), R.string("job", MaxStoredNameBytes),
                         readAttempt(R),
                         R.string("reason", MaxStoredReasonBytes),
                         R.string("for", MaxStoredNameBytes)};
  if (Kind == "attempt_ended")
    return readAttemptEnded(R);
  if (Kind == "job_ended")
    return readJobEnded(R);
  if (Kind == "answer_relayed")
    return AnswerRelayed{R.string("job", MaxStoredNameBytes), readAttempt(R),
                         stringsFrom(R, "parts", pool::MaxTasks)};
  if (Kind == "rerouted")
    return Rerouted{readAuthority(R), R.string("job", MaxStoredNameBytes),
                    R.string("to", MaxStoredNameBytes)};
  if (Kind == "homes_moved")
    return HomesMoved{readAuthority(R), homesFrom(R, "homes")};
  if (Kind == "list_published")
    return readListPublished(R);
  if (Kind == "forgotten")
    return JobsExpired{readAuthority(R), stringsFrom(R, "jobs", MaxLiveJobs)};
  if (Kind == "snapshot_taken")
    return SnapshotTaken{R.string("id", MaxStoredNameBytes),
                         R.unsigned64("covered")};
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
      std::visit([](const auto &B) { return bodyToJson(B); }, R.What);
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
  std::string Kind = Envelope.string("k", MaxStoredNameBytes);
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
