// Ownership of cells and membership of daemons. Of several claims that name the
// current epoch, the first one in the log takes effect.

#include "Applier.h"
#include "heathersaddle/base/TestSwitches.h"

namespace heathersaddle::state {

using base::ErrorCode;
using base::makeError;

base::Expected<Cell *> Applier::ownedCell(const Authority &By) {
  CurrentVerdict.Cell = By.Cell;
  auto Found = CurrentState.Cells.find(By.Cell);
  if (Found == CurrentState.Cells.end())
    return makeError(ErrorCode::NotFound, "apply", "unknown cell " + By.Cell);
  Cell &C = Found->second;
  if (base::enforced(base::SafetyRule::EpochCheck) &&
      (By.Epoch != C.Epoch || C.OwnerWriter != CurrentRecord.Writer ||
       C.Owner.empty()))
    return makeError(ErrorCode::PermissionDenied, "apply",
                     "the writer does not own cell " + By.Cell + " in epoch " +
                         std::to_string(By.Epoch) + "; the epoch is " +
                         std::to_string(C.Epoch),
                     C.Owner, "epoch");
  return &C;
}

Applier::Result Applier::on(const Claim &B) {
  CurrentVerdict.Cell = B.Cell;
  if (B.Cell.empty() || !CurrentState.Daemons.count(B.Daemon))
    return makeError(ErrorCode::NotFound, "apply", "unknown daemon " + B.Daemon,
                     B.Daemon, "daemon");
  auto Found = CurrentState.Cells.find(B.Cell);
  std::uint64_t Epoch =
      Found == CurrentState.Cells.end() ? 0 : Found->second.Epoch;
  if (B.BaseEpoch != Epoch)
    return makeError(
        ErrorCode::Conflict, "apply",
        "cell " + B.Cell + " is in epoch " + std::to_string(Epoch) + " already",
        Found == CurrentState.Cells.end() ? "" : Found->second.Owner, "base");
  Cell &C = CurrentState.Cells[B.Cell];
  C.Epoch = Epoch + 1;
  C.Owner = B.Daemon;
  C.OwnerWriter = CurrentRecord.Writer;
  C.HeartbeatMs = CurrentState.Clock;
  return {};
}

Applier::Result Applier::on(const Released &B) {
  auto C = ownedCell(B.By);
  if (!C)
    return tl::unexpected(C.error());
  (*C)->Owner.clear();
  return {};
}

Applier::Result Applier::on(const Heartbeat &B) {
  auto C = ownedCell(B.By);
  if (!C)
    return tl::unexpected(C.error());
  (*C)->HeartbeatMs = CurrentState.Clock;
  return {};
}

Applier::Result Applier::on(const DaemonJoined &B) {
  if (B.Daemon.empty() || B.DataCentre.empty())
    return makeError(ErrorCode::InvalidArgument, "apply",
                     "a daemon needs a name and a data centre");
  // A new process under a daemon's name ends the ownership of the earlier
  // process, which has exited or was replaced.
  for (auto &[Name, C] : CurrentState.Cells)
    if (C.Owner == B.Daemon && C.OwnerWriter != CurrentRecord.Writer)
      C.Owner.clear();
  CurrentState.Daemons[B.Daemon] = {B.Address, B.DataCentre};
  return {};
}

Applier::Result Applier::on(const DaemonLeft &B) {
  for (auto &[Name, C] : CurrentState.Cells)
    if (C.Owner == B.Daemon)
      C.Owner.clear();
  CurrentState.Daemons.erase(B.Daemon);
  return {};
}

Applier::Result Applier::on(const SnapshotTaken &) { return {}; }

Applier::Result Applier::on(const Noop &) { return {}; }

} // namespace heathersaddle::state
