// A submission is stored before it is acknowledged: on the owner together with
// its own records (Writer.cpp), on another daemon by itself (Intake.cpp), which
// is needed only when the owner could not be asked. Questions are answered from
// the topic.
#include "NodeImpl.h"
#include "heathersaddle/cluster/Admission.h"

namespace heathersaddle::cluster {

/// For the record of a cancellation.
static constexpr Millis StoreTimeout{700};
/// An owner that has recorded nothing for this long, when others are about to
/// claim, gets no requests from other daemons; a slow store adds twice the
/// length of an append.
static constexpr Millis ForwardOwnerTimeout{1'500};
/// Callers are told to return up to one part in this many later than the
/// backlog asks for.
static constexpr int RetryDelaySpread = 2;
/// An unknown job is called so only by a daemon that read the topic this
/// recently.
static constexpr Millis MaxStateAge{2'500};
/// Most time to find out whether a job exists: a read that was under way and
/// one more, at the store's usual speed.
static constexpr Millis JobLookupTimeout{2'000};
/// The owner publishes the backlog about once a second; work accepted here
/// since then is added for this long.
static constexpr Millis RecentSubmissionAge{1'500};

void Node::Impl::submit(workload::JobSpec Spec,
                        std::function<void(std::optional<Refusal>)> Done) {
  if (Shared.Ledger.find(Spec.Id)) {
    Shared.count("submissions_repeated");
    return Done(std::nullopt);
  }
  // Load pattern: the store turns some daemons away and serves the others.
  // Callers must learn at once that nothing was done here, so that they can go
  // to a daemon that is served.
  // A daemon that is stopping still serves the callers who reach it.
  if (Control.failing() || !Control.fresh(MaxStateAge)) {
    Shared.count("submissions_refused_unavailable");
    Shared.log(426, {{"job", Spec.Id},
                     {"queue", Spec.Queue},
                     {"reason", "store_unreachable"},
                     {"next", Control.next()}});
    return Done(Refusal{Refusal::Unavailable,
                        outageRetryDelay(Control.sinceEndRead()),
                        "the store cannot be reached"});
  }
  for (const workload::Step &S : Spec.Steps)
    if (S.Gang && S.Count * TaskEntryBytes > Shared.Settings.RecordBytes) {
      Shared.count("submissions_refused_invalid");
      Shared.log(426, {{"job", Spec.Id},
                       {"queue", Spec.Queue},
                       {"reason", "gang_too_wide"},
                       {"tasks", S.Count}});
      return Done(Refusal{Refusal::Invalid, Millis(0),
                          "the gang has more tasks than can be recorded"});
    }
  const workload::Ownership &O = Shared.Ledger.owner();
  Load L;
  L.Workers = O.Workers;
  MonoTime T = Shared.mono();
  std::erase_if(RecentSubmissions, [T](const RecentSubmission &R) {
    return T - R.At > RecentSubmissionAge;
  });
  for (std::size_t P = 0; P < O.BacklogMs.size() && P <= Spec.Priority; ++P)
    L.WorkAheadMs += O.BacklogMs[P];
  for (const RecentSubmission &R : RecentSubmissions)
    if (R.Priority <= Spec.Priority)
      L.WorkAheadMs += R.WorkMs;
  if (auto After = overloadRetryDelay(Spec, L)) {
    // Callers who were refused together do not return together.
    *After += Shared.randomUpTo(*After / RetryDelaySpread);
    Shared.count("submissions_refused_overload");
    Shared.log(426, {{"job", Spec.Id},
                     {"queue", Spec.Queue},
                     {"reason", "backlog"},
                     {"ahead_ms", L.WorkAheadMs},
                     {"workers", L.Workers},
                     {"retry_after_ms", After->count()},
                     {"epoch", O.Epoch}});
    return Done(Refusal{Refusal::Overloaded, *After,
                        "the backlog would delay this job too long"});
  }
  Spec.AcceptedMs = Shared.wall();
  std::int64_t Work = 0;
  workload::Resources Total = O.MeanCapacity;
  for (const workload::Step &S : Spec.Steps)
    Work += workload::workerMs(S, Total, 1) * S.Count;
  Submission S{Spec.Id,        Spec.Queue, Spec.Priority,
               Work,           T,          workload::Ledger::submission(Spec),
               std::move(Done)};
  // Two appends at a time would only wait for one another.
  if (ActiveOwner && !Stopping)
    ActiveOwner->store(std::move(S));
  else
    Incoming.add(std::move(S));
}

void Node::Impl::stored(const Submission &S, std::uint64_t Offset) {
  Shared.recordLatency("submission_stored", S.Priority,
                       Shared.mono() - S.Started);
  // Visible here at once; the topic brings it to the others.
  if (Control.following())
    (void)Shared.Ledger.applyCallersRecord(S.Record);
  RecentSubmissions.push_back({Shared.mono(), S.Priority, S.WorkMs});
  if (ActiveOwner)
    ActiveOwner->jobChanged(S.Job);
  Shared.count("submissions_accepted");
  Shared.log(425, {{"job", S.Job},
                   {"queue", S.Queue},
                   {"offset", Offset},
                   {"stored_ms", (Shared.mono() - S.Started).count()}});
}

StatusResult Node::Impl::status(std::string_view Id) const {
  if (const Job *J = Shared.Ledger.find(Id))
    return {Lookup::Found, J->shown()};
  // Counted from when the read was sent: a process that was suspended finds old
  // answers when it goes on.
  bool Recent = Control.covers(Shared.mono() - MaxStateAge);
  return {Recent ? Lookup::Unknown : Lookup::Stale, JobState::Queued};
}

void Node::Impl::cancel(std::string_view Id, std::function<void(Lookup)> Done) {
  const Job *J = Shared.Ledger.find(Id);
  if (!J) {
    // Another daemon may have accepted it just now. Whoever is told that it is
    // unknown relies on its not running, so the topic has to be read first.
    UnknownCancels.push_back({std::string(Id), Shared.mono(), std::move(Done)});
    return;
  }
  if (J->endStored() || J->CancelRequested)
    return Done(Lookup::Found);
  auto Record = workload::Ledger::cancellation(Id, Shared.wall());
  Shared.count("store_appends");
  Shared.Actions.push_back(AppendAction{
      {Record},
      std::nullopt,
      StoreTimeout,
      [this, Alive = Alive, Record, Done = std::move(Done),
       Id = std::string(Id)](const AppendResult &R) {
        if (!*Alive)
          return;
        bool Stored = R.Verdict == AppendVerdict::Appended;
        Shared.count(Stored ? "cancels_accepted" : "cancels_failed");
        Shared.log(427, {{"job", Id}, {"stored", Stored}});
        if (!Stored)
          return Done(Lookup::Stale);
        if (Control.following())
          (void)Shared.Ledger.applyCallersRecord(Record);
        if (ActiveOwner)
          ActiveOwner->jobChanged(Id);
        Done(Lookup::Found);
      }});
}

void Node::Impl::resolveCancels() {
  if (UnknownCancels.empty())
    return;
  MonoTime T = Shared.mono();
  auto All = std::exchange(UnknownCancels, {});
  for (UnknownCancel &U : All) {
    if (Shared.Ledger.find(U.Job))
      cancel(U.Job, std::move(U.Done));
    else if (Control.covers(U.Since))
      U.Done(Lookup::Unknown);
    else if (T - U.Since > JobLookupTimeout)
      U.Done(Lookup::Stale);
    else
      UnknownCancels.push_back(std::move(U));
  }
}

std::string Node::Impl::forwardTarget() const {
  const workload::Ownership &O = Shared.Ledger.owner();
  if (ActiveOwner || O.Released || O.Daemon == Shared.Settings.Name)
    return {};
  // Its records tell that it works, as long as they can be read.
  Millis Patience = ForwardOwnerTimeout + 2 * ownerAppendTime();
  bool Silent = Shared.mono() - OwnerRecordReadAt > Patience;
  return Silent && Control.fresh(Patience) ? "" : O.Address;
}

std::optional<std::size_t> Node::Impl::waiting(std::string_view Queue) const {
  if (!Control.fresh(MaxStateAge))
    return std::nullopt;
  std::size_t Count = 0;
  for (const auto &[Id, J] : Shared.Ledger.jobs())
    Count += J.Known && J.Spec.Queue == Queue && J.State == JobState::Queued &&
             !J.CancelRequested;
  return Count;
}

} // namespace heathersaddle::cluster
