// A submission is stored before it is acknowledged: on the owner together with
// its own records (Writer.cpp), on another daemon by itself (Intake.cpp), which
// is needed only when the owner could not be asked. Questions are answered from
// the topic.
#include "NodeImpl.h"
#include "heathersaddle/cluster/Admission.h"

namespace heathersaddle::cluster {

/// For the record of a cancellation.
static constexpr Millis StoreLimit{700};
/// An owner that has recorded nothing for this long, when others are about to
/// claim, gets no requests from other daemons; a slow store adds twice the
/// length of an append.
static constexpr Millis PeerSilence{1'500};
/// Callers are told to return up to one part in this many later than the
/// backlog asks for.
static constexpr int ReturnSpread = 2;
/// An unknown job is called so only by a daemon that read the topic this
/// recently.
static constexpr Millis KnownWithin{2'500};
/// Most time to find out whether a job exists: a read that was under way and
/// one more, at the store's usual speed.
static constexpr Millis UnknownPatience{2'000};
/// The owner publishes the backlog about once a second; work accepted here
/// since then is added for this long.
static constexpr Millis BacklogAge{1'500};

void Node::Impl::submit(workload::JobSpec Spec,
                        std::function<void(std::optional<Refusal>)> Done) {
  if (C.Ledger.find(Spec.Id)) {
    C.count("submissions_repeated");
    return Done(std::nullopt);
  }
  // Load pattern: the store turns some daemons away and serves the others.
  // Callers must learn at once that nothing was done here, so that they can go
  // to a daemon that is served.
  // A daemon that is stopping still serves the callers who reach it.
  if (Control.failing() || !Control.fresh(KnownWithin)) {
    C.count("submissions_refused_unavailable");
    C.log(426, {{"job", Spec.Id},
                {"queue", Spec.Queue},
                {"reason", "store_unreachable"},
                {"next", Control.next()}});
    return Done(Refusal{Refusal::Unavailable,
                        outageRetryDelay(Control.silentFor()),
                        "the store cannot be reached"});
  }
  for (const workload::Step &S : Spec.Steps)
    if (S.Gang && S.Count * RowBytes > C.Settings.RecordBytes) {
      C.count("submissions_refused_invalid");
      C.log(426, {{"job", Spec.Id},
                  {"queue", Spec.Queue},
                  {"reason", "gang_too_wide"},
                  {"tasks", S.Count}});
      return Done(Refusal{Refusal::Invalid, Millis(0),
                          "the gang has more tasks than can be recorded"});
    }
  const workload::Ownership &O = C.Ledger.owner();
  Load L;
  L.Workers = O.Workers;
  MonoTime T = C.mono();
  std::erase_if(Accepted,
                [T](const Recent &R) { return T - R.At > BacklogAge; });
  for (std::size_t P = 0; P < O.BacklogMs.size() && P <= Spec.Priority; ++P)
    L.WorkAheadMs += O.BacklogMs[P];
  for (const Recent &R : Accepted)
    if (R.Priority <= Spec.Priority)
      L.WorkAheadMs += R.WorkMs;
  if (auto After = overloadRetryDelay(Spec, L)) {
    // Callers who were refused together do not return together.
    *After += C.randomUpTo(*After / ReturnSpread);
    C.count("submissions_refused_overload");
    C.log(426, {{"job", Spec.Id},
                {"queue", Spec.Queue},
                {"reason", "backlog"},
                {"ahead_ms", L.WorkAheadMs},
                {"workers", L.Workers},
                {"retry_after_ms", After->count()},
                {"epoch", O.Epoch}});
    return Done(Refusal{Refusal::Overloaded, *After,
                        "the work ahead would make this job too late"});
  }
  Spec.AcceptedMs = C.wall();
  std::int64_t Work = 0;
  workload::Resources Total = O.MeanCapacity;
  for (const workload::Step &S : Spec.Steps)
    Work += workload::workerMs(S, Total, 1) * S.Count;
  Submission S{Spec.Id,        Spec.Queue, Spec.Priority,
               Work,           T,          workload::Ledger::submission(Spec),
               std::move(Done)};
  // Two appends at a time would only wait for one another.
  if (Own && !Stopping)
    Own->store(std::move(S));
  else
    Incoming.add(std::move(S));
}

void Node::Impl::stored(const Submission &S, std::uint64_t Offset) {
  C.recordLatency("submission_stored", S.Priority, C.mono() - S.Started);
  // Visible here at once; the topic brings it to the others.
  if (Control.following())
    (void)C.Ledger.applyCallersRecord(S.Record);
  Accepted.push_back({C.mono(), S.Priority, S.WorkMs});
  if (Own)
    Own->jobChanged(S.Job);
  C.count("submissions_accepted");
  C.log(425, {{"job", S.Job},
              {"queue", S.Queue},
              {"offset", Offset},
              {"stored_ms", (C.mono() - S.Started).count()}});
}

StatusResult Node::Impl::status(std::string_view Id) const {
  if (const Job *J = C.Ledger.find(Id))
    return {Lookup::Found, J->shown()};
  // Counted from when the read was sent: a process that was suspended finds old
  // answers when it goes on.
  bool Recent = Control.covers(C.mono() - KnownWithin);
  return {Recent ? Lookup::Unknown : Lookup::Stale, JobState::Queued};
}

void Node::Impl::cancel(std::string_view Id, std::function<void(Lookup)> Done) {
  const Job *J = C.Ledger.find(Id);
  if (!J) {
    // Another daemon may have accepted it just now. Whoever is told that it is
    // unknown relies on its not running, so the topic has to be read first.
    UnknownCancels.push_back({std::string(Id), C.mono(), std::move(Done)});
    return;
  }
  if (J->endStored() || J->CancelRequested)
    return Done(Lookup::Found);
  auto Record = workload::Ledger::cancellation(Id, C.wall());
  C.count("store_appends");
  C.Actions.push_back(
      AppendAction{{Record},
                   std::nullopt,
                   StoreLimit,
                   [this, Alive = Alive, Record, Done = std::move(Done),
                    Id = std::string(Id)](const AppendResult &R) {
                     if (!*Alive)
                       return;
                     bool Stored = R.Verdict == AppendVerdict::Appended;
                     C.count(Stored ? "cancels_accepted" : "cancels_failed");
                     C.log(427, {{"job", Id}, {"stored", Stored}});
                     if (!Stored)
                       return Done(Lookup::Stale);
                     if (Control.following())
                       (void)C.Ledger.applyCallersRecord(Record);
                     if (Own)
                       Own->jobChanged(Id);
                     Done(Lookup::Found);
                   }});
}

void Node::Impl::resolveCancels() {
  if (UnknownCancels.empty())
    return;
  MonoTime T = C.mono();
  auto All = std::exchange(UnknownCancels, {});
  for (UnknownCancel &U : All) {
    if (C.Ledger.find(U.Job))
      cancel(U.Job, std::move(U.Done));
    else if (Control.covers(U.Since))
      U.Done(Lookup::Unknown);
    else if (T - U.Since > UnknownPatience)
      U.Done(Lookup::Stale);
    else
      UnknownCancels.push_back(std::move(U));
  }
}

std::string Node::Impl::forwardTarget() const {
  const workload::Ownership &O = C.Ledger.owner();
  if (Own || O.Released || O.Daemon == C.Settings.Name)
    return {};
  // Its records tell that it works, as long as they can be read.
  Millis Patience = PeerSilence + 2 * ownersAppend();
  bool Silent = C.mono() - OwnerHeardAt > Patience;
  return Silent && Control.fresh(Patience) ? "" : O.Address;
}

std::optional<std::size_t> Node::Impl::waiting(std::string_view Queue) const {
  if (!Control.fresh(KnownWithin))
    return std::nullopt;
  std::size_t Count = 0;
  for (const auto &[Id, J] : C.Ledger.jobs())
    Count += J.Known && J.Spec.Queue == Queue && J.State == JobState::Queued &&
             !J.CancelRequested;
  return Count;
}

} // namespace heathersaddle::cluster
