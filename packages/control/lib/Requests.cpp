// Approach: a request becomes a record and completes with the result of that
// record. A repeated idempotency key is detected by the state: before the
// append when the state holds the job already, otherwise when the second record
// is voided. Answers pushed by an owner during a log outage are kept outside
// the state until the log shows the end of the job.
// Bounds: MaxWaiters long polls, MaxPushedAnswers pushed answers,
// RequestTimeout per record.
#include "Requests.h"
#include "JobIds.h"
#include "Routing.h"
#include "heathersaddle/base/Json.h"

namespace heathersaddle::control {

namespace {
constexpr std::size_t MaxPushedAnswers = 1'000;
/// How long a caller waits for the result of its record.
constexpr base::Millis RequestTimeout{8'000};

base::Error noSuchJob(std::string_view Job) {
  return {base::ErrorCode::NotFound, "job", "",
          "there is no job " + std::string(Job), "job"};
}

base::Error appendError(const AppendResult &Result, std::string_view Step) {
  if (Result.Status == AppendStatus::Voided)
    return Result.Verdict.Why;
  if (Result.Status == AppendStatus::Dropped)
    return {base::ErrorCode::Unavailable, std::string(Step), "",
            "the log did not take the record; nothing took effect", ""};
  return {base::ErrorCode::Unresolved, std::string(Step), "",
          "the log does not answer; the request may still take effect", ""};
}

base::Error queueFull(std::string_view Step) {
  return {base::ErrorCode::Unavailable, std::string(Step), "",
          "too many records are waiting for the log", ""};
}
} // namespace

void Requests::submit(SubmitRequest Request,
                      const Completion<SubmitResult> &Done) {
  state::JobSpec &Spec = Request.Spec;
  Spec.AcceptedMs = NodeCore.stateClock();
  Spec.Id = Request.Key.empty()
                ? freshJobId(NodeCore.Settings.Incarnation, ++JobCounter)
                : keyedJobId(Spec.Account, Request.Key);
  if (NodeCore.State.job(Spec.Id)) {
    onAccepted(Spec, {AppendStatus::Voided, 0, {}}, Done);
    return;
  }
  if (auto Why = refusal(Spec)) {
    Done(tl::unexpected(std::move(*Why)));
    return;
  }
  std::string Cell = chooseCell(NodeCore.State, Spec);
  if (Cell.empty()) {
    Done(base::makeError(base::ErrorCode::Unavailable, "submit",
                         "there is no data centre to run it in"));
    return;
  }
  state::JobAccepted Record{Spec, Cell};
  ++OpenRequests;
  auto OnResult = [this, Spec = std::move(Spec),
                   Done](const AppendResult &Result) {
    --OpenRequests;
    onAccepted(Spec, Result, Done);
  };
  if (!Queue.push(std::move(Record), std::move(OnResult), RequestTimeout)) {
    --OpenRequests;
    Done(tl::unexpected(queueFull("submit")));
  }
}

std::optional<base::Error> Requests::refusal(const state::JobSpec &Spec) const {
  // The state decides when the record is applied; this check keeps records out
  // of the log that would certainly be voided.
  const state::Plan *Terms = NodeCore.State.terms(Spec.Account);
  if (!Terms || NodeCore.State.departed(Spec.Account))
    return base::Error{base::ErrorCode::PermissionDenied, "submit", "",
                       "the account may submit nothing", "account"};
  if (NodeCore.State.liveJobs(Spec.Account) >= Terms->MaxJobs)
    return base::Error{base::ErrorCode::ResourceExhausted, "submit", "",
                       "the account has as many live jobs as its plan allows",
                       "max_jobs"};
  return std::nullopt;
}

void Requests::onAccepted(const state::JobSpec &Spec,
                          const AppendResult &Result,
                          const Completion<SubmitResult> &Done) const {
  if (Result.Status == AppendStatus::Applied) {
    Done(SubmitResult{Spec.Id, false});
    return;
  }
  const state::Job *Known = NodeCore.State.job(Spec.Id);
  if (!Known) {
    Done(tl::unexpected(appendError(Result, "submit")));
    return;
  }
  if (Known->Spec.Account == Spec.Account && Known->Spec.Digest == Spec.Digest)
    Done(SubmitResult{Spec.Id, true});
  else
    Done(base::makeError(base::ErrorCode::Conflict, "submit",
                         "the idempotency key was used for another request", "",
                         "Idempotency-Key"));
}

JobAnswer Requests::answer(const state::Job &J) const {
  JobAnswer A{J.Spec.Id, J.Status, J.Result, J.Reason, J.Ran, J.Parts};
  auto It = PushedAnswers.find(J.Spec.Id);
  if (J.live() && It != PushedAnswers.end()) {
    A.Status = state::JobStatus::Ended;
    A.Result = state::Outcome::Finished;
    A.Ran = true;
    A.Parts = It->second.Parts;
  } else if (J.live()) {
    A.Ran = J.EverStarted || J.Started;
  }
  return A;
}

const std::vector<std::string> *
Requests::pushedAnswer(const state::Job &J) const {
  auto It = PushedAnswers.find(J.Spec.Id);
  return It != PushedAnswers.end() && It->second.Attempt == J.Attempt
             ? &It->second.Parts
             : nullptr;
}

bool Requests::ended(std::string_view Job) const {
  const state::Job *J = NodeCore.State.job(Job);
  return !J || !J->live() || PushedAnswers.contains(Job);
}

base::Expected<JobAnswer> Requests::status(std::string_view Job,
                                           std::string_view Account) const {
  const state::Job *J = NodeCore.State.job(Job);
  if (!J || J->Spec.Account != Account)
    return tl::unexpected(noSuchJob(Job));
  return answer(*J);
}

void Requests::wait(std::string_view Job, std::string_view Account,
                    base::Millis MaxWait, Completion<JobAnswer> Done) {
  auto Now = status(Job, Account);
  if (!Now || Now->Status == state::JobStatus::Ended || MaxWait.count() <= 0) {
    Done(std::move(Now));
    return;
  }
  if (Waiters.size() >= NodeCore.Settings.MaxWaiters) {
    Done(base::makeError(base::ErrorCode::Unavailable, "wait",
                         "too many requests are waiting for answers"));
    return;
  }
  Waiters.push_back({std::string(Job), std::string(Account),
                     NodeCore.now() + MaxWait, std::move(Done)});
  WaitersByJob.emplace(std::string(Job), std::prev(Waiters.end()));
}

void Requests::complete(const std::vector<Waiter> &Ready) {
  for (const Waiter &W : Ready)
    W.Done(status(W.Job, W.Account));
}

void Requests::tick() {
  std::vector<Waiter> Ready;
  for (auto It = WaitersByJob.begin(); It != WaitersByJob.end();) {
    if (NodeCore.now() < It->second->Deadline) {
      ++It;
      continue;
    }
    Ready.push_back(std::move(*It->second));
    Waiters.erase(It->second);
    It = WaitersByJob.erase(It);
  }
  complete(Ready);
}

void Requests::onJobChanged(std::string_view Job) {
  const state::Job *J = NodeCore.State.job(Job);
  if (!J || !J->live())
    if (auto It = PushedAnswers.find(Job); It != PushedAnswers.end())
      PushedAnswers.erase(It);
  if (!ended(Job))
    return;
  std::vector<Waiter> Ready;
  auto [First, Last] = WaitersByJob.equal_range(Job);
  for (auto It = First; It != Last; It = WaitersByJob.erase(It)) {
    Ready.push_back(std::move(*It->second));
    Waiters.erase(It->second);
  }
  complete(Ready);
}

void Requests::onRestored() {
  // A job that the state does not hold may follow later in the log, so its
  // waiters stay.
  std::vector<std::string> Jobs;
  for (const Waiter &W : Waiters)
    if (NodeCore.State.job(W.Job) && ended(W.Job))
      Jobs.push_back(W.Job);
  for (const std::string &Job : Jobs)
    onJobChanged(Job);
}

void Requests::answerAllWaiters() {
  WaitersByJob.clear();
  std::vector<Waiter> Ready(std::make_move_iterator(Waiters.begin()),
                            std::make_move_iterator(Waiters.end()));
  Waiters.clear();
  complete(Ready);
}

void Requests::cancel(std::string_view Job, std::string_view Account,
                      const Completion<JobAnswer> &Done) {
  auto Now = status(Job, Account);
  if (!Now || Now->Status == state::JobStatus::Ended) {
    Done(std::move(Now));
    return;
  }
  ++OpenRequests;
  auto OnResult = [this, Job = std::string(Job), Account = std::string(Account),
                   Done](const AppendResult &Result) {
    --OpenRequests;
    auto After = status(Job, Account);
    bool Over = After && After->Status == state::JobStatus::Ended;
    if (Result.Status == AppendStatus::Applied || Over || !After)
      Done(std::move(After));
    else
      Done(tl::unexpected(appendError(Result, "cancel")));
  };
  if (!Queue.push(state::CancelRequested{std::string(Job)}, std::move(OnResult),
                  RequestTimeout)) {
    --OpenRequests;
    Done(tl::unexpected(queueFull("cancel")));
  }
}

void Requests::publish(state::ListChange Change,
                       const Completion<state::ListVerdict> &Done) {
  ++OpenRequests;
  auto OnResult = [this, Kind = Change.Kind, Base = Change.Base,
                   Done](const AppendResult &Result) {
    --OpenRequests;
    if (Result.Status != AppendStatus::Applied &&
        Result.Status != AppendStatus::Voided) {
      Done(tl::unexpected(appendError(Result, "publish")));
      return;
    }
    for (const state::ListVerdict &V : NodeCore.State.listHistory())
      if (V.Offset == Result.Offset && V.Kind == Kind) {
        Done(V);
        return;
      }
    Done(state::ListVerdict{
        Kind, Result.Offset, Base, NodeCore.State.version(Kind),
        Result.Status == AppendStatus::Applied, Result.Verdict.Why.Message,
        NodeCore.State.clock()});
  };
  if (!Queue.push(state::ListPublished{std::move(Change)}, std::move(OnResult),
                  RequestTimeout)) {
    --OpenRequests;
    Done(tl::unexpected(queueFull("publish")));
  }
}

namespace {

/// The replies of all peers to one pushed answer.
struct PushRound {
  std::size_t RepliesPending = 0;
  bool LogDownForAll = true;
};

bool reportsLogDown(const base::Expected<json::value> &Reply) {
  const json::object *O = Reply ? Reply->if_object() : nullptr;
  const json::value *Down = O ? O->if_contains("log_down") : nullptr;
  return Down && Down->is_bool() && Down->as_bool();
}

} // namespace

// Two rounds. The first sends the answer to every peer to record. Only when
// every peer has replied that the log is down for it as well does the second
// release the answer to callers before it is recorded: a peer that does not
// reply may still reach the log, and a later owner there could record another
// outcome first.
void Requests::pushAnswer(const state::Job &J,
                          const std::vector<std::string> &Parts) {
  const state::Cell *Cell = NodeCore.State.cell(J.Cell);
  json::array List;
  for (const std::string &P : Parts)
    List.emplace_back(P);
  json::object Body{{"job", J.Spec.Id},
                    {"cell", J.Cell},
                    {"epoch", Cell ? Cell->Epoch : 0},
                    {"attempt", J.Attempt},
                    {"answer", std::move(List)},
                    {"tell", false}};
  std::map<std::string, std::string> Peers;
  for (const auto &[Name, D] : NodeCore.State.daemons())
    if (Name != NodeCore.Settings.Name)
      Peers.emplace(Name, D.Address);
  (void)onPushedAnswer(Body);
  auto Tell = [this, Peers, Body]() mutable {
    Body["tell"] = true;
    for (const auto &[Name, Address] : Peers)
      NodeCore.callPeer(Name, Address, "/v1/peer/answers", Body,
                        [](const base::Expected<json::value> &) {});
    (void)onPushedAnswer(Body);
  };
  if (Peers.empty())
    return Tell();
  auto Round = std::make_shared<PushRound>();
  Round->RepliesPending = Peers.size();
  for (const auto &[Name, Address] : Peers)
    NodeCore.callPeer(
        Name, Address, "/v1/peer/answers", Body,
        [Round, Tell](const base::Expected<json::value> &R) mutable {
          Round->LogDownForAll &= reportsLogDown(R);
          if (--Round->RepliesPending == 0 && Round->LogDownForAll)
            Tell();
        });
}

base::Expected<json::value> Requests::onPushedAnswer(const json::value &Body) {
  base::JsonReader R(Body, "peer answers");
  std::string Job = R.string("job", 256);
  std::string Cell = R.string("cell", 256);
  auto Epoch = std::uint64_t(R.integer("epoch", 0, INT64_MAX));
  auto Attempt = unsigned(R.integer("attempt", 0, UINT32_MAX));
  const json::array *Parts = R.array("answer", true, pool::MaxTasks);
  if (const base::Error *E = R.error())
    return tl::unexpected(*E);
  const state::Job *J = NodeCore.State.job(Job);
  const state::Cell *View = NodeCore.State.cell(Cell);
  if (!J || !View || J->Cell != Cell || View->Epoch != Epoch ||
      J->Attempt != Attempt)
    return base::makeError(base::ErrorCode::Conflict, "peer answers",
                           "the answer does not match the job's state", Cell);
  bool Down = LogDown && LogDown();
  json::object Reply{{"ok", true}, {"log_down", Down}};
  if (!J->live())
    return Reply;
  if (PushedAnswers.size() >= MaxPushedAnswers)
    return base::makeError(base::ErrorCode::Unavailable, "peer answers",
                           "too many pushed answers are kept");
  PushedAnswer A{{}, Attempt};
  for (const json::value &P : *Parts)
    A.Parts.emplace_back(P.is_string() ? std::string(P.as_string()) : "");
  if (A.Parts.size() != J->Spec.Shape.Tasks)
    return base::makeError(base::ErrorCode::InvalidArgument, "peer answers",
                           "the answer is not whole", Cell, "answer");
  relay(*J, A);
  // While the log is up, callers get the answer once it is recorded.
  if (Down && R.booleanOr("tell", false)) {
    PushedAnswers.insert_or_assign(Job, std::move(A));
    onJobChanged(Job);
  }
  return Reply;
}

void Requests::relay(const state::Job &J, const PushedAnswer &A) {
  if (!RelaysInFlight.insert(J.Spec.Id).second)
    return;
  auto OnResult = [this, Id = J.Spec.Id](const AppendResult &) {
    RelaysInFlight.erase(Id);
  };
  if (!Queue.push(state::AnswerRelayed{J.Spec.Id, A.Attempt, A.Parts},
                  OnResult))
    RelaysInFlight.erase(J.Spec.Id);
}

} // namespace heathersaddle::control
