// Load pattern: the operator drains a data centre, which takes a third or more
// of the pool away at once, and returns it a while later.
//
// Workers there get no new work. What runs there ends there: its leases are
// renewed and its ends are acknowledged. Placements of which no start was sent
// are revoked. A start that may have arrived is barred by a stop, as the worker
// could otherwise begin it at any later time; whether it did is not awaited,
// since a run that has just begun loses little.
#include "Owner.h"

namespace heathersaddle::cluster {

/// What is known of the operator's topic is up to 2.2 s old while the store is
/// not disrupted, as the store delays the answer to a read by up to 1 s.
static constexpr Millis MinDrainStateAge{2'500};
static constexpr Millis HeldStartsReportPeriod{1'000};

bool Owner::isDrained(const Session &S) const {
  return Shared.Drained.contains(S.Entry.DataCentre);
}

bool Owner::isDrainedWorker(std::string_view Worker) const {
  auto It = Sessions.find(Worker);
  return It != Sessions.end() && isDrained(It->second);
}

/// Where no request has ever been read, starts are sent even if the operator's
/// topic cannot be read: operators of such deployments may never drain any.
///
/// A worker that only a record names may be in a drained data centre until the
/// registry lists it. If it never does, the starts are given up like others
/// that have no answer.
bool Owner::startsWaitForDrains(const Session &S) {
  Millis MaxAge = std::max(Shared.Settings.DrainNotice - StartDeliveryTime,
                           MinDrainStateAge);
  bool Stale =
      Shared.Drained.everRequested() && Shared.OperatorTopicAge > MaxAge;
  bool DataCentreUnknown =
      S.Entry.DataCentre.empty() && !Shared.Drained.empty();
  if (Shared.OperatorTopicRead && !Stale && !DataCentreUnknown)
    return false;
  Shared.count("starts_held_for_drains");
  MonoTime T = Shared.mono();
  if (T - HeldStartsReportedAt >= HeldStartsReportPeriod) {
    HeldStartsReportedAt = T;
    Shared.log(448, {{"worker", S.Entry.Id},
                     {"topic_read", Shared.OperatorTopicRead},
                     {"topic_age_ms", Shared.OperatorTopicAge.count()},
                     {"data_centre_known", !DataCentreUnknown}});
  }
  return true;
}

void Owner::drainChanged(const DrainChange &Change) {
  PlanNeeded = true;
  // Until then, all daemons accept and refuse jobs by the former capacity.
  RecordWriter.publishSoon();
  if (!Change.Requested || Deposed || RecordWriter.releaseSent())
    return;
  unsigned Unsent = 0;
  unsigned Unconfirmed = 0;
  unsigned Running = 0;
  std::vector<UnitId> Units;
  for (auto &[Id, S] : Sessions) {
    if (S.Entry.DataCentre != Change.DataCentre)
      continue;
    for (auto &[Run, R] : S.Runs) {
      Running += R.Stage == RunStage::Confirmed;
      bool Starts =
          R.Stage == RunStage::Recording || R.Stage == RunStage::Starting;
      // The list of a worker that has not answered this owner yet may show that
      // it runs what an earlier owner placed there.
      if (!Starts || !isCurrentRun(Run) || (R.MayHaveArrived && !S.Synced))
        continue;
      ++(R.MayHaveArrived ? Unconfirmed : Unsent);
      R.StopReason = DataCentreDrained;
      Units.push_back(unitOf(*Shared.Ledger.find(Run.Task.Job), Run.Task.Key));
    }
  }
  for (const UnitId &Unit : Units)
    stopUnit(Unit, DataCentreDrained);
  Shared.count("placements_revoked", Unsent + Unconfirmed);
  Shared.log(449, {{"data_centre", Change.DataCentre},
                   {"unsent", Unsent},
                   {"unconfirmed", Unconfirmed},
                   {"running", Running}});
}

} // namespace heathersaddle::cluster
