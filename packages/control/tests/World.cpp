#include "World.h"
#include <boost/test/unit_test.hpp>

namespace heathersaddle::control {

namespace json = boost::json;

/// Offset of the workers' clocks from the simulation's.
static constexpr std::int64_t WorkerClockOffset = 777'000;
static constexpr std::int64_t StepMs = 10;

static tl::unexpected<base::Error> failure(base::ErrorCode Code) {
  return base::makeError(Code, "world", "injected failure");
}

World::World() { Log["control"], Log["snapshots"]; }

void World::addWorker(const std::string &Name, const std::string &Cell,
                      const std::string &Rack) {
  Workers[Name];
  Hosts.push_back({Name, Name + ":1", Cell, Rack, 8, 8, 64, 256 * 1024, false});
}

Node &World::addDaemon(const std::string &Name, const std::string &Cell) {
  NodeSettings S;
  S.Name = Name;
  S.Address = Name + ":1";
  S.DataCentre = Cell;
  S.Incarnation = ++Incarnations;
  S.Seed = 7;
  Daemon &D = Daemons[Name];
  D.Alive = true;
  D.Paused = false;
  std::erase_if(Calls, [&](const Call &C) { return C.Daemon == Name; });
  D.Instance = std::make_unique<Node>(S);
  D.Instance->start(now());
  return *D.Instance;
}

void World::publishLists(Node &N) {
  state::ListChange Plans;
  Plans.Kind = state::ListKind::Plans;
  Plans.PutPlans = {{.Name = "p"}};
  state::ListChange Customers;
  Customers.Kind = state::ListKind::Customers;
  Customers.PutCustomers = {{"maison", std::string(64, 'a'), "p", false}};
  unsigned Accepted = 0;
  auto Count = [&](const base::Expected<state::ListVerdict> &V) {
    Accepted += V && V->Accepted ? 1 : 0;
  };
  N.publish(Plans, Count, now());
  run(100);
  N.publish(Customers, Count, now());
  run(100);
  BOOST_REQUIRE_EQUAL(Accepted, 2U);
}

void World::run(std::int64_t Ms) {
  runUntil([] { return false; }, Ms);
}

bool World::runUntil(const std::function<bool()> &Done, std::int64_t MaxMs) {
  for (std::int64_t End = Clock + MaxMs; Clock < End;) {
    if (Done())
      return true;
    Clock += StepMs;
    for (auto &[Name, W] : Workers)
      if (!W.Down)
        W.advance(Clock + WorkerClockOffset);
    for (auto &[Name, D] : Daemons) {
      if (!D.Alive || D.Paused)
        continue;
      D.Instance->tick(now());
      for (Action &A : D.Instance->takeActions())
        Calls.push_back({Name, D.Instance.get(), std::move(A), Clock});
    }
    std::vector<Call> Open = std::exchange(Calls, {});
    for (Call &C : Open) {
      Daemon &D = Daemons[C.Daemon];
      if (!D.Alive || D.Instance.get() != C.Caller)
        continue;
      if (D.Paused || !serve(C))
        Calls.push_back(std::move(C));
    }
  }
  return Done();
}

bool World::serve(Call &C) {
  return std::visit([&](auto &A) { return serve(C, A); }, C.What);
}

bool World::serve(Call &C, AppendAction &A) {
  if (LogDown) {
    C.Caller->onAppended(A.Call, failure(base::ErrorCode::Unavailable), now());
    return true;
  }
  bool Lost = LoseAppends > 0;
  bool ReplyLost = LoseAppendReplies > 0;
  LoseAppends -= Lost ? 1 : 0;
  LoseAppendReplies -= ReplyLost ? 1 : 0;
  Stream &S = Log[A.Stream];
  std::uint64_t First = S.next();
  if (!Lost)
    S.Records.insert(S.Records.end(), A.Records.begin(), A.Records.end());
  if (Lost || ReplyLost)
    C.Caller->onAppended(A.Call, failure(base::ErrorCode::Timeout), now());
  else
    C.Caller->onAppended(A.Call, First, now());
  return true;
}

bool World::serve(Call &C, ReadAction &A) {
  if (LogDown) {
    C.Caller->onRead(A.Call, failure(base::ErrorCode::Unavailable), now());
    return true;
  }
  const Stream &S = Log[A.Stream];
  ReadResult R{S.Oldest, S.next(), A.From < S.Oldest, {}};
  for (std::uint64_t At = A.From;
       !R.Trimmed && At < S.next() && R.Records.size() < A.Max; ++At)
    R.Records.push_back(S.Records[At - S.Oldest]);
  if (R.Records.empty() && !R.Trimmed && !timedOut(C, A.Wait))
    return false;
  C.Caller->onRead(A.Call, std::move(R), now());
  return true;
}

bool World::serve(Call &C, WorkerAction &A) {
  FakeWorker &W = Workers[A.Worker];
  const json::object &Body = A.Body.as_object();
  auto Fail = [&](base::ErrorCode Code) {
    C.Caller->onWorkerReply(A.Call, failure(Code), now());
    return true;
  };
  if (CutLinks.contains({C.Daemon, A.Worker}))
    return timedOut(C, A.TimeLimit) ? Fail(base::ErrorCode::Timeout) : false;
  if (W.Down)
    return Fail(base::ErrorCode::Unavailable);
  bool Start = json::serialize(A.Body).find("\"start\"") != std::string::npos;
  auto Reply = W.handle(A.Path, Body, !std::exchange(C.Arrived, true));
  if (!Reply)
    return Fail(base::ErrorCode::Conflict);
  if (Start && LoseStartReplies > 0) {
    --LoseStartReplies;
    return Fail(base::ErrorCode::Timeout);
  }
  const json::value *Wait = Body.if_contains("wait_ms");
  if (Wait && W.shouldWait(Body) &&
      !timedOut(C, base::Millis(Wait->to_number<std::int64_t>())))
    return false;
  C.Caller->onWorkerReply(A.Call, json::value(std::move(*Reply)), now());
  return true;
}

bool World::serve(Call &C, PeerAction &A) {
  auto It = Daemons.find(A.Daemon);
  if (It == Daemons.end() || !It->second.Alive) {
    C.Caller->onPeerReply(A.Call, failure(base::ErrorCode::Unavailable), now());
    return true;
  }
  if (It->second.Paused && !timedOut(C, A.TimeLimit))
    return false;
  if (It->second.Paused)
    C.Caller->onPeerReply(A.Call, failure(base::ErrorCode::Timeout), now());
  else
    C.Caller->onPeerReply(
        A.Call, It->second.Instance->onPeerRequest(A.Path, A.Body, now()),
        now());
  return true;
}

bool World::serve(Call &C, HostsAction &A) {
  C.Caller->onHosts(A.Call, Hosts, now());
  return true;
}

std::string World::submit(Node &N, unsigned Tasks, bool Idempotent,
                          const std::string &Kind, const std::string &Key) {
  SubmitRequest R;
  R.Spec.Account = "maison";
  R.Spec.Kind = Kind;
  R.Spec.Shape.Tasks = Tasks;
  R.Spec.Shape.SlotsPerTask = Tasks > 1 ? 8 : 1;
  R.Spec.Idempotent = Idempotent;
  R.Spec.Digest = Kind;
  R.Key = Key;
  std::string Id;
  std::string Problem;
  N.submit(
      R,
      [&](const base::Expected<SubmitResult> &X) {
        if (X)
          Id = X->Job;
        else
          Problem = X.error().toString();
      },
      now());
  runUntil([&] { return !Id.empty() || !Problem.empty(); }, 20'000);
  BOOST_REQUIRE_MESSAGE(!Id.empty(), Problem);
  return Id;
}

const state::Job &World::job(const std::string &Id) const {
  for (const auto &[Name, D] : Daemons)
    if (D.Alive && !D.Paused)
      if (const state::Job *J = D.Instance->state().job(Id))
        return *J;
  BOOST_FAIL("no daemon knows job " + Id);
  std::abort();
}

bool World::ended(const std::string &Id) const { return !job(Id).live(); }

unsigned World::countRecords(std::string_view Kind) const {
  unsigned Count = 0;
  for (const std::string &Text : Log.at("control").Records) {
    auto R = state::decode(Text);
    Count += R && state::kindName(R->What) == Kind ? 1 : 0;
  }
  return Count;
}

} // namespace heathersaddle::control
