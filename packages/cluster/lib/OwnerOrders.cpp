// Orders to workers: starts and stops of runs. Copies of a start are sent with
// the same run number, which the worker carries out at most once, until one is
// answered (CopyPacing.cpp). After a timeout the start is replaced by a stop,
// which also prevents a start that arrives later from running.
#include "Owner.h"
#include <algorithm>

namespace heathersaddle::cluster {

/// Time limit of the first copy of a start or stop. It is long, so that a
/// worker that has become slow is known as such.
static constexpr Millis CallTimeout{1'000};
static constexpr Millis CallRetryDelay{200};
static constexpr Millis ConfirmedStopPeriod{1'000};
/// How often runs are checked for calls that are due.
static constexpr Millis CallCheckPeriod{20};
/// A start without an answer is abandoned after OrderTime or, if that is
/// sooner, after this share of the time that gangs have to assemble, so that
/// the stops arrive before the other members time out.
static constexpr double GangStartTimeoutShare = 0.6;
/// A worker that refuses a start, or does not answer it in time, gets no work
/// for this long.
static constexpr Millis AvoidAfterRefusal{3'000};
static constexpr Millis AvoidAfterNoRoom{400};
static constexpr Millis HeldCallsReportPeriod{1'000};

static std::int64_t heldGpus(const Session &S) {
  std::int64_t Sum = 0;
  for (const auto &[Id, R] : S.Runs)
    Sum += R.Room.Gpus;
  return Sum;
}

/// Whether \p R fits beside all runs that the worker may have.
static bool hasRoomFor(const Session &S, const RunState &R) {
  workload::Resources Free = S.Entry.Capacity;
  for (const auto &[Id, Other] : S.Runs)
    if (Other.MayHaveArrived)
      Free -= Other.Room;
  return R.Room.fitsIn(Free);
}

/// A plan is carried out once its placements are stored, which takes seconds if
/// the store is slow; the worker may have changed meanwhile.
std::string_view Owner::startFault(const Session &S, const RunState &R) const {
  if (S.Entry.Draining)
    return "the worker is draining";
  if (isDrained(S))
    return DataCentreDrained;
  // The worker may have begun the run.
  if (R.MayHaveArrived)
    return {};
  if (!hasRoomFor(S, R))
    return "the worker's capacity has shrunk";
  if (!R.Ticket.empty() && Shared.mono() > R.TicketValidUntil)
    return "the ticket has expired";
  return {};
}

/// Load pattern: under a burst, or while the store answers its reads late, the
/// owner knows neither of the latest cancellations nor of workers that have
/// begun to drain. What it started meanwhile would be thrown away.
bool Owner::startsWaitForState() {
  bool CancelsKnown =
      Shared.ControlTopicAge <= maxAgeForStarts(Shared.Settings.CancelNotice);
  bool DrainsKnown =
      Registry.caughtUp() &&
      Registry.age() <= maxAgeForStarts(Shared.Settings.WorkerDrainNotice);
  if (CancelsKnown && DrainsKnown)
    return false;
  Shared.count("starts_held_for_state");
  return true;
}

void Owner::makeStartDue(const std::string &Worker, const RunId &Id) {
  auto It = Sessions.find(Worker);
  if (It == Sessions.end())
    return;
  auto Run = It->second.Runs.find(Id);
  if (Run == It->second.Runs.end() || Run->second.Stage != RunStage::Recording)
    return;
  Run->second.Stage = RunStage::Starting;
  Run->second.RetryAt = Shared.mono();
  CallsDue = true;
}

void Owner::sendStart(const std::string &Worker, const RunId &Id) {
  auto It = Sessions.find(Worker);
  if (It == Sessions.end())
    return;
  Session &S = It->second;
  auto Found = S.Runs.find(Id);
  const Job *J = Shared.Ledger.find(Id.Task.Job);
  if (Found == S.Runs.end() || !J)
    return;
  RunState &R = Found->second;
  if (R.Stage != RunStage::Starting)
    return;
  if (!isCurrentRun(Id) || J->CancelRequested)
    return stopRun(S, Id, "its job has ended");
  if (auto Fault = startFault(S, R); !Fault.empty()) {
    R.StopReason = Fault;
    if (isDrained(S))
      Shared.count("placements_revoked");
    return R.MayHaveArrived ? stopUnit(unitOf(*J, Id.Task.Key), Fault)
                            : finishRun(Id, EndReason::Stopped, "", S);
  }
  if (startsWaitForDrains(S) || startsWaitForState()) {
    R.RetryAt = Shared.mono() + CallRetryDelay;
    // The wait is no fault of the worker.
    R.CopiesHeldBack = true;
    return;
  }
  auto LeaseUntilMs = grantLease(S);
  if (!LeaseUntilMs) {
    R.RetryAt = Shared.mono() + CallRetryDelay;
    return;
  }
  R.HeldBack = false;
  R.MayHaveArrived = true;
  R.SentAt = Shared.mono();
  if (!R.StartAttempts++)
    R.StartingSince = R.SentAt;
  else // The lists may show the run before another copy is answered.
    S.NextSyncAt = std::min(S.NextSyncAt, R.SentAt);
  R.RetryAt = R.SentAt + S.Pacing.interval(R.StartAttempts, lossOf(S));
  StartAction A;
  A.Worker = {S.Entry.Id, S.Entry.Address};
  A.Task = Id.Task;
  A.Run = Id.Run;
  A.Payload = J->Spec.Payload;
  A.LeaseUntilMs = *LeaseUntilMs;
  A.Epoch = Epoch;
  A.Checkpoint = J->task(Id.Task.Key).Checkpoint;
  A.Ticket = R.Ticket;
  A.TimeLimit = R.StartAttempts > 1 ? S.Pacing.timeLimit() : CallTimeout;
  Shared.count("starts");
  A.Done = trackOrder(Worker, Id, OrderKind::Start);
  Shared.Actions.push_back(std::move(A));
}

std::function<void(WorkerReply)>
Owner::trackOrder(const std::string &Worker, const RunId &Id, OrderKind Kind) {
  Session &Receiver = Sessions.at(Worker);
  RunState &Ordered = Receiver.Runs.at(Id);
  Budget.sent();
  recordCall(Receiver, Shared.mono());
  ++Receiver.CallsInFlight;
  ++(Kind == OrderKind::Start ? Ordered.StartsInFlight : Ordered.StopsInFlight);
  return [this, Alive = Alive, Worker, Id, Kind, SentAt = Shared.mono(),
          Address = Receiver.Entry.Address](const WorkerReply &Reply) {
    if (!*Alive)
      return;
    Budget.ended();
    auto It = Sessions.find(Worker);
    if (It == Sessions.end())
      return;
    Session &S = It->second;
    // A session or a run may have been forgotten and learned of again.
    S.CallsInFlight -= S.CallsInFlight > 0;
    recordAnswer(S, Reply.Verdict, SentAt);
    // The run may have ended since, by another copy of its start.
    if (Kind == OrderKind::Start && Reply.Verdict == WorkerVerdict::NoAnswer) {
      MonoTime &Latest = S.UnansweredStarts[Id];
      Latest = std::max(Latest, SentAt);
    }
    auto Found = S.Runs.find(Id);
    if (Found == S.Runs.end()) {
      // The starts that had no answer by then were barred at the restart.
      if (Kind == OrderKind::Start && SentAt < S.IncarnationSeenAt &&
          Reply.Verdict == WorkerVerdict::NoAnswer)
        barInThisIncarnation(S, Id);
      return;
    }
    RunState &R = Found->second;
    unsigned &InFlight =
        Kind == OrderKind::Start ? R.StartsInFlight : R.StopsInFlight;
    InFlight -= InFlight > 0;
    if (clockRestarted(S, Reply, SentAt)) {
      // The next sync lists what runs in the new incarnation.
      S.Synced = false;
      S.NextSyncAt = Shared.mono();
      R.RetryAt = Shared.mono() + CallRetryDelay;
      return;
    }
    updateClock(S, Reply);
    if (endsSession(S, Reply.Verdict, Address))
      return;
    if (Reply.Verdict != WorkerVerdict::NoAnswer &&
        Reply.Verdict != WorkerVerdict::NotDelivered &&
        Reply.Verdict != WorkerVerdict::OtherIncarnation)
      noteAnswer(S);
    if (Kind == OrderKind::Start)
      onStarted(S, R, Id, SentAt, Reply);
    else
      onStopped(S, R, SentAt, Reply);
  };
}

void Owner::onStarted(Session &S, RunState &R, const RunId &Id, MonoTime SentAt,
                      const WorkerReply &Reply) {
  MonoTime T = Shared.mono();
  Shared.recordLatency("start_answered", T - SentAt);
  if (Reply.Verdict == WorkerVerdict::Ok)
    markBegun(Id.Task.Job);
  // Another copy has been answered, or the run is being stopped.
  if (R.Stage != RunStage::Starting)
    return;
  auto NeverRan = [&](Millis Avoid, std::string_view Why) {
    Shared.count("starts_refused");
    Shared.log(416, {{"worker", S.Entry.Id},
                     {"job", Id.Task.Job},
                     {"run", Id.Run},
                     {"gpus_needed", R.Room.Gpus},
                     {"gpus_held", heldGpus(S)},
                     {"runs", S.Runs.size()},
                     {"reason", Why}});
    S.AvoidUntil = std::max(S.AvoidUntil, T + Avoid);
    // An earlier copy of this start may still arrive; the stop keeps it from
    // running.
    if (R.StartAttempts > 1)
      return stopRun(S, Id, Why);
    finishRun(Id, EndReason::Stopped, "", S);
  };
  switch (Reply.Verdict) {
  case WorkerVerdict::Ok:
    onConfirmed(S, R, Id);
    S.NextSyncAt = std::min(S.NextSyncAt, T);
    return;
  case WorkerVerdict::RunTooOld:
    // The run has ended, or was stopped before this start arrived; the next
    // sync shows which.
    onConfirmed(S, R, Id);
    S.NextSyncAt = T;
    return;
  case WorkerVerdict::DeadlinePassed:
    R.RetryAt = T;
    CallsDue = true;
    return;
  case WorkerVerdict::NoRoom:
    return NeverRan(AvoidAfterNoRoom, "no room");
  case WorkerVerdict::TicketInvalid:
    AdviceByStep.erase(stepOf(Id.Task));
    return NeverRan(Millis(0), "the ticket is not valid");
  case WorkerVerdict::Invalid:
    return NeverRan(AvoidAfterRefusal,
                    "the worker rejected the start as invalid");
  case WorkerVerdict::Unhealthy:
    return NeverRan(AvoidAfterRefusal, "the worker is unhealthy");
  case WorkerVerdict::Fenced:
    return;                             // Handled by endsSession().
  case WorkerVerdict::OtherIncarnation: // The worker has another address now.
    R.RetryAt = T + Shared.jitter(CallRetryDelay);
    return;
  case WorkerVerdict::NotDelivered:
    R.RetryAt = R.StartAttempts > 1 ? T + Shared.jitter(CallRetryDelay) : T;
    CallsDue = true;
    [[fallthrough]];
  case WorkerVerdict::NoAnswer:
    S.NextSyncAt = std::min(S.NextSyncAt, T);
    return;
  }
}

void Owner::barInThisIncarnation(Session &S, const RunId &Id) {
  RunState &R = S.Runs[Id];
  R.Stage = RunStage::Stopping;
  R.MayHaveArrived = true;
  R.Crashed = true;
  R.StopConfirmed = false;
  R.RetryAt = Shared.mono();
  CallsDue = true;
}

void Owner::sendStop(const std::string &Worker, const RunId &Id) {
  auto It = Sessions.find(Worker);
  if (It == Sessions.end() || It->second.Entry.Address.empty())
    return;
  Session &S = It->second;
  RunState &R = S.Runs[Id];
  R.HeldBack = false;
  R.SentAt = Shared.mono();
  R.RetryAt = R.SentAt + S.Pacing.interval(++R.StopAttempts, lossOf(S));
  StopAction A;
  A.Worker = {S.Entry.Id, S.Entry.Address};
  A.Task = Id.Task;
  A.Run = Id.Run;
  A.Epoch = Epoch;
  A.TimeLimit = R.StopAttempts > 1 ? S.Pacing.timeLimit() : CallTimeout;
  Shared.count("stops");
  A.Done = trackOrder(Worker, Id, OrderKind::Stop);
  Shared.Actions.push_back(std::move(A));
}

void Owner::onStopped(Session &S, RunState &R, MonoTime SentAt,
                      const WorkerReply &Reply) {
  MonoTime T = Shared.mono();
  // An answer from the worker's previous incarnation says nothing about the
  // current one.
  if (Reply.Verdict == WorkerVerdict::Ok && !R.StopConfirmed &&
      SentAt >= S.IncarnationSeenAt) {
    R.StopConfirmed = true;
    R.ConfirmedAt = T;
  }
  // The stop is repeated, at a low rate once confirmed, until the end is
  // listed.
  if (R.StopConfirmed)
    R.RetryAt = T + ConfirmedStopPeriod;
  else if (Reply.Verdict != WorkerVerdict::NoAnswer)
    R.RetryAt = T + Shared.jitter(CallRetryDelay);
  S.NextSyncAt = std::min(S.NextSyncAt, T);
}

void Owner::giveUpStart(const std::string &Worker, Session &S,
                        const RunId &Id) {
  const Job *J = Shared.Ledger.find(Id.Task.Job);
  auto Run = S.Runs.find(Id);
  // It may have been stopped with another member of its gang.
  if (Run == S.Runs.end() || Run->second.Stage != RunStage::Starting)
    return;
  Shared.log(417, {{"worker", Worker},
                   {"job", Id.Task.Job},
                   {"run", Id.Run},
                   {"copies", Run->second.StartAttempts},
                   {"held_back", Run->second.CopiesHeldBack}});
  // The limits of this daemon are no fault of the worker.
  if (!Run->second.CopiesHeldBack)
    S.AvoidUntil = std::max(S.AvoidUntil, Shared.mono() + AvoidAfterRefusal);
  if (J && J->Spec.has(Id.Task.Key) && J->Spec.Steps[Id.Task.Key.Step].Gang)
    stopUnit(unitOf(*J, Id.Task.Key), "a member did not start");
  else
    stopRun(S, Id, "its start had no answer");
}

OrderUrgency
Owner::urgencyOf(const RunId &Id, const RunState &R,
                 const std::map<UnitId, unsigned> &Starting) const {
  using Need = OrderUrgency::Need;
  OrderUrgency U;
  U.DueAt = R.RetryAt;
  if (R.Stage == RunStage::Stopping) {
    U.For = R.StopConfirmed ? Need::Other : Need::FreesRoom;
    return U;
  }
  const Job *J = Shared.Ledger.find(Id.Task.Job);
  if (!J || !J->Spec.has(Id.Task.Key))
    return U;
  bool Gang = J->Spec.Steps[Id.Task.Key.Step].Gang;
  if (Gang || J->Spec.Priority == 0)
    U.For = Need::CompletesUnit;
  U.UnconfirmedMembers = Gang ? Starting.at(unitOf(*J, Id.Task.Key)) : 1;
  return U;
}

std::vector<Owner::DueOrder> Owner::dueOrders(Millis GiveUpAfter) {
  MonoTime T = Shared.mono();
  std::vector<std::pair<const std::string *, RunId>> Overdue;
  std::vector<std::pair<const std::string *, RunId>> Due;
  std::map<UnitId, unsigned> Starting;
  for (auto &[Worker, S] : Sessions)
    for (auto &[Id, R] : S.Runs) {
      bool Starts = R.Stage == RunStage::Starting;
      if (Starts)
        if (const Job *J = Shared.Ledger.find(Id.Task.Job);
            J && J->Spec.has(Id.Task.Key))
          ++Starting[unitOf(*J, Id.Task.Key)];
      if (T < R.RetryAt || !(Starts ? S.Synced && S.ClockMs >= 0
                                    : R.Stage == RunStage::Stopping))
        continue;
      if (Starts && R.StartAttempts && T - R.StartingSince > GiveUpAfter)
        Overdue.emplace_back(&Worker, Id);
      else
        Due.emplace_back(&Worker, Id);
    }
  for (const auto &[Worker, Id] : Overdue)
    giveUpStart(*Worker, Sessions.at(*Worker), Id);
  std::vector<DueOrder> Orders;
  Orders.reserve(Due.size());
  for (const auto &[Worker, Id] : Due) {
    const auto &Runs = Sessions.at(*Worker).Runs;
    if (auto R = Runs.find(Id); R != Runs.end())
      Orders.push_back({urgencyOf(Id, R->second, Starting), *Worker, Id});
  }
  std::sort(Orders.begin(), Orders.end(),
            [](const DueOrder &A, const DueOrder &B) {
              return A.Urgency < B.Urgency;
            });
  return Orders;
}

void Owner::sendDueCalls() {
  MonoTime T = Shared.mono();
  if (!CallsDue && T - CallsCheckedAt < CallCheckPeriod)
    return;
  CallsDue = false;
  CallsCheckedAt = T;
  auto Assembly = Millis(static_cast<std::int64_t>(
      GangStartTimeoutShare *
      static_cast<double>(Shared.Settings.GangAssembly.count())));
  std::size_t Waiting = 0;
  for (const DueOrder &D : dueOrders(std::min(OrderTime, Assembly))) {
    auto It = Sessions.find(D.Worker);
    if (It == Sessions.end())
      continue;
    Session &S = It->second;
    auto Run = S.Runs.find(D.Id);
    if (Run == S.Runs.end())
      continue;
    if (!Budget.allows(CallBudget::Purpose::Order, S.CallsInFlight, T)) {
      noteHeldBack(Run->second.HeldBack, "orders_held_back", OrdersHeldBack);
      Run->second.CopiesHeldBack = true;
      ++Waiting;
      continue;
    }
    Run->second.Stage == RunStage::Stopping ? sendStop(D.Worker, D.Id)
                                            : sendStart(D.Worker, D.Id);
  }
  reportHeldCalls(Waiting);
}

void Owner::noteHeldBack(bool &HeldBack, std::string_view Counter,
                         unsigned &SinceReport) {
  if (std::exchange(HeldBack, true))
    return;
  ++SinceReport;
  Shared.count(Counter);
}

void Owner::reportHeldCalls(std::size_t Waiting) {
  MonoTime T = Shared.mono();
  if ((!OrdersHeldBack && !SyncCopiesHeldBack && !Waiting) ||
      T - HeldCallsReportedAt < HeldCallsReportPeriod)
    return;
  HeldCallsReportedAt = T;
  Shared.log(445, {{"orders", std::exchange(OrdersHeldBack, 0)},
                   {"sync_copies", std::exchange(SyncCopiesHeldBack, 0)},
                   {"orders_waiting", Waiting},
                   {"in_flight", Budget.inFlight()},
                   {"limit", Budget.limits().InFlight},
                   {"limit_per_s", Budget.limits().PerSecond}});
}

} // namespace heathersaddle::cluster
