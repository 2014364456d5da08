// Approach: any record under an owner's epoch counts as a heartbeat. When the
// owner has written none for too long although the log can be read, or its
// daemon refuses connections, the other daemons claim the cell one after the
// other in rank order: those of the cell's own data centre first, then those
// that own the fewest cells. A claimant first checks that it can reach the
// cell's workers itself. The log alone decides which claim wins.
// Bounds: MaxWorkersTried workers per attempt, one attempt per cell at a time.
#include "Ownership.h"

namespace heathersaddle::control {

namespace {
constexpr unsigned MaxWorkersTried = 4;
constexpr base::Millis ClaimRetryDelay{2'000};
constexpr base::Millis HandOverCheckPeriod{5'000};
/// Minimum time between two hand-overs by this daemon: a new owner needs some
/// seconds to sync all workers.
constexpr base::Millis HandOverPeriod{60'000};
/// A cell is claimed only when the log was read less than this long ago,
/// because an owner seems silent while the log is not read.
constexpr base::Millis MaxReadAge{1'000};

/// The cell and epoch under which an owner wrote the record, or null.
const state::Authority *authorityOf(const state::Body &B) {
  return std::visit(
      [](const auto &X) -> const state::Authority * {
        if constexpr (requires { X.By; })
          return &X.By;
        else
          return nullptr;
      },
      B);
}
} // namespace

CellOwner *Ownership::owned(std::string_view Cell) {
  auto It = Owners.find(Cell);
  return It == Owners.end() ? nullptr : It->second.get();
}

const CellOwner *Ownership::owned(std::string_view Cell) const {
  auto It = Owners.find(Cell);
  return It == Owners.end() ? nullptr : It->second.get();
}

std::vector<std::string> Ownership::cells() const {
  std::vector<std::string> Names;
  for (const auto &[Cell, O] : Owners)
    Names.push_back(Cell);
  return Names;
}

void Ownership::tick(bool LogDown, bool Stopping) {
  for (auto It = Owners.begin(); It != Owners.end();) {
    CellOwner &O = *It->second;
    O.tick(LogDown);
    if (O.takeReadRequested())
      LogTail.readNow();
    if (O.deposed() || O.released()) {
      NodeCore.log(EventReleased, "no longer owner of cell " + It->first);
      It = Owners.erase(It);
    } else {
      ++It;
    }
  }
  if (LogDown || Stopping)
    return;
  watchCells();
  const auto &Cells = NodeCore.State.cells();
  OtherDaemons.tick(!Cells.empty() && owned(Cells.begin()->first));
  handOver();
}

std::map<std::string_view, unsigned> Ownership::cellsPerDaemon() const {
  std::map<std::string_view, unsigned> CellCounts;
  for (const auto &[Name, View] : NodeCore.State.cells())
    ++CellCounts[View.Owner];
  return CellCounts;
}

// The daemon that starts first finds all cells without an owner and claims
// them. Cells are handed over to daemons of their own data centre, and
// otherwise to daemons with fewer cells, one at a time. The order is strict, so
// no cell goes back and forth.
std::string Ownership::betterOwner(const std::string &Cell) const {
  auto CellCounts = cellsPerDaemon();
  unsigned Mine = CellCounts[NodeCore.Settings.Name];
  std::string Best;
  std::tuple BestKey(NodeCore.Settings.DataCentre != Cell, Mine - 1);
  for (const auto &[Name, D] : NodeCore.State.daemons()) {
    std::tuple Key(D.DataCentre != Cell, CellCounts[Name]);
    if (Name != NodeCore.Settings.Name && Key < BestKey) {
      Best = Name;
      BestKey = Key;
    }
  }
  return Best;
}

void Ownership::handOver() {
  if (NodeCore.now() < HandOverAt)
    return;
  HandOverAt = NodeCore.now() + HandOverCheckPeriod;
  bool ReadinessWanted = false;
  for (auto &[Cell, O] : Owners) {
    std::string Better = betterOwner(Cell);
    if (Better.empty())
      continue;
    ReadinessWanted = true;
    if (!OtherDaemons.ready(Better) || !O->quiescent())
      continue;
    O->release();
    HandOverAt = NodeCore.now() + HandOverPeriod;
    break;
  }
  OtherDaemons.setReadinessWanted(ReadinessWanted);
}

void Ownership::watchCells() {
  for (const auto &[Cell, View] : NodeCore.State.cells())
    Watches.try_emplace(Cell, CellWatch{.OwnerSilentSince = NodeCore.now()});
  if (std::exchange(HostListGeneration, Hosts.generation()) !=
      Hosts.generation())
    for (const auto &[Name, H] : Hosts.hosts())
      if (!H.DataCentre.empty())
        Watches.try_emplace(H.DataCentre,
                            CellWatch{.OwnerSilentSince = NodeCore.now()});
  for (auto &[Cell, W] : Watches)
    if (!owned(Cell))
      reviewCell(Cell, W);
}

void Ownership::reviewCell(const std::string &Cell, CellWatch &W) {
  const state::Cell *View = NodeCore.State.cell(Cell);
  if (View && !View->Owner.empty() && View->Owner != NodeCore.Settings.Name)
    ping(Cell, *View, W);
  if (W.ClaimInProgress || NodeCore.now() < W.RetryAt ||
      !claimDue(Cell, View, W))
    return;
  if (NodeCore.now() - LogTail.lastRead() > MaxReadAge) {
    LogTail.readNow();
    return;
  }
  tryWorkers(Cell, View ? View->Epoch : 0);
}

bool Ownership::claimDue(const std::string &Cell, const state::Cell *View,
                         const CellWatch &W) {
  std::string_view Owner = View ? std::string_view(View->Owner) : "";
  // The owner was an earlier process of this daemon, which has exited.
  if (Owner == NodeCore.Settings.Name)
    return true;
  base::MonoTime At = W.OwnerSilentSince;
  if (!Owner.empty()) {
    At += NodeCore.Settings.OwnerSilenceTimeout;
    if (W.RefusedSince != base::MonoTime{})
      At = std::min(At, W.RefusedSince + NodeCore.Settings.OwnerRefusedTimeout);
  }
  return NodeCore.now() >= At + NodeCore.Settings.RankDelay * rank(Cell, Owner);
}

unsigned Ownership::rank(std::string_view Cell, std::string_view Owner) const {
  auto CellCounts = cellsPerDaemon();
  auto Key = [&](std::string_view Name, const state::Daemon &D) {
    return std::tuple(D.DataCentre != Cell, CellCounts[Name], Name);
  };
  const auto &Daemons = NodeCore.State.daemons();
  auto Me = Daemons.find(NodeCore.Settings.Name);
  if (Me == Daemons.end())
    return unsigned(Daemons.size());
  auto Mine = Key(Me->first, Me->second);
  unsigned Before = 0;
  for (const auto &[Name, D] : Daemons)
    if (Name != Owner && Name != NodeCore.Settings.Name && Key(Name, D) < Mine)
      ++Before;
  return Before;
}

void Ownership::ping(const std::string &Cell, const state::Cell &View,
                     CellWatch &W) {
  auto Owner = NodeCore.State.daemons().find(View.Owner);
  // Only the first two daemons in rank order ping the owner; the others rely on
  // the silence timeout, so that pings stay within the byte budget.
  if (W.Pinging || NodeCore.now() < W.PingAt ||
      Owner == NodeCore.State.daemons().end() || rank(Cell, View.Owner) > 1)
    return;
  W.Pinging = true;
  W.PingAt = NodeCore.now() + NodeCore.Settings.OwnerRefusedTimeout / 2;
  std::string Name = View.Owner;
  NodeCore.callPeer(
      Name, Owner->second.Address, "/v1/peer/ping", json::object(),
      [this, Cell, Name](const base::Expected<json::value> &R) {
        CellWatch &Entry = Watches[Cell];
        Entry.Pinging = false;
        const state::Cell *Now = NodeCore.State.cell(Cell);
        bool Refused = !R && R.error().Code == base::ErrorCode::Unavailable;
        if (!Refused || !Now || Now->Owner != Name)
          Entry.RefusedSince = {};
        else if (Entry.RefusedSince == base::MonoTime{})
          Entry.RefusedSince = NodeCore.now();
      });
}

std::vector<std::pair<std::string, std::string>>
Ownership::workersOf(const std::string &Cell) const {
  std::vector<std::pair<std::string, std::string>> Workers;
  for (const auto &[Name, H] : Hosts.hosts())
    if (H.DataCentre == Cell)
      Workers.emplace_back(Name, H.Address);
  if (const state::Cell *View = NodeCore.State.cell(Cell);
      View && Workers.empty())
    for (const auto &[Name, W] : View->Workers)
      if (W.Status != pool::WorkerStatus::Lost)
        Workers.emplace_back(Name, W.Address);
  return Workers;
}

void Ownership::tryWorkers(const std::string &Cell, std::uint64_t Epoch) {
  CellWatch &W = Watches[Cell];
  W.ClaimInProgress = true;
  auto Workers = workersOf(Cell);
  std::shuffle(Workers.begin(), Workers.end(), NodeCore.Rng);
  if (Workers.size() > MaxWorkersTried)
    Workers.resize(MaxWorkersTried);
  W.WorkersTried = W.RepliesPending = unsigned(Workers.size());
  W.WorkersReached = 0;
  if (Workers.empty()) {
    claim(Cell, Epoch);
    return;
  }
  // An empty command list under the current epoch changes nothing.
  json::object Body{{"cell", Cell},
                    {"epoch", Epoch},
                    {"owner", NodeCore.Settings.Name},
                    {"commands", json::array()}};
  for (const auto &[Name, Address] : Workers)
    NodeCore.callWorker(
        Name, Address, "/v1/commands", Body, NodeCore.Settings.CallTimeout,
        [this, Cell, Epoch](const base::Expected<json::value> &R) {
          onWorkerTried(Cell, Epoch,
                        R || R.error().Code == base::ErrorCode::Conflict);
        });
}

void Ownership::onWorkerTried(const std::string &Cell, std::uint64_t Epoch,
                              bool Reached) {
  CellWatch &W = Watches[Cell];
  W.WorkersReached += Reached ? 1 : 0;
  if (--W.RepliesPending > 0)
    return;
  const state::Cell *View = NodeCore.State.cell(Cell);
  bool Current = (View ? View->Epoch : 0) == Epoch;
  if (Current && 2 * W.WorkersReached >= W.WorkersTried &&
      claimDue(Cell, View, W)) {
    claim(Cell, Epoch);
    return;
  }
  W.ClaimInProgress = false;
  W.RetryAt = NodeCore.now() + ClaimRetryDelay;
}

void Ownership::claim(const std::string &Cell, std::uint64_t Epoch) {
  auto Done = [this, Cell](const AppendResult &Result) {
    CellWatch &W = Watches[Cell];
    W.ClaimInProgress = false;
    if (Result.Status != AppendStatus::Applied)
      W.RetryAt = NodeCore.now() + ClaimRetryDelay;
  };
  if (!Queue.push(state::Claim{Cell, NodeCore.Settings.Name, Epoch}, Done))
    Done({AppendStatus::Dropped, 0, {}});
}

void Ownership::onApplied(const state::Record &R, const state::Verdict &V) {
  if (V.Applied) {
    if (const state::Authority *By = authorityOf(R.What))
      Watches[By->Cell].OwnerSilentSince = NodeCore.now();
    if (const auto *Taken = std::get_if<state::Claim>(&R.What)) {
      CellWatch &W = Watches[Taken->Cell];
      W.OwnerSilentSince = NodeCore.now();
      W.RefusedSince = {};
    }
  }
  for (auto &[Cell, O] : Owners)
    O->onApplied(R, V);
  const auto *Taken = std::get_if<state::Claim>(&R.What);
  if (!Taken || !V.Applied || R.Writer != NodeCore.Settings.Incarnation)
    return;
  const state::Cell *View = NodeCore.State.cell(Taken->Cell);
  auto O = std::make_shared<CellOwner>(NodeCore, Queue, Hosts, Taken->Cell,
                                       View->Epoch);
  O->OnUnrecordedAnswer = OnUnrecordedAnswer;
  O->FindPushedAnswer = FindPushedAnswer;
  Owners.insert_or_assign(Taken->Cell, O);
  O->begin();
  NodeCore.log(EventClaimed, "owner of cell " + Taken->Cell + " in epoch " +
                                 std::to_string(View->Epoch));
}

void Ownership::onRestored() {
  Owners.clear();
  onLogUp();
}

void Ownership::onLogUp() {
  // No owner could write heartbeats while the log was down.
  for (auto &[Cell, W] : Watches)
    W.OwnerSilentSince = NodeCore.now();
}

void Ownership::release() {
  for (auto &[Cell, O] : Owners)
    O->release();
}

} // namespace heathersaddle::control
