#ifndef HEATHERSADDLE_STATE_LIB_APPLIER_H
#define HEATHERSADDLE_STATE_LIB_APPLIER_H

#include "heathersaddle/state/State.h"
#include <string>
#include <string_view>

namespace heathersaddle::state {

/// Applies one record to a state. Each on() handler checks the record against
/// the state at the record's offset and changes the state only if all checks
/// pass.
class Applier {
public:
  Applier(State &S, const Record &R, std::uint64_t Offset)
      : CurrentState(S), CurrentRecord(R), Offset(Offset) {}

  Verdict run();

private:
  using Result = base::Expected<void>;

  // ApplyOwnership.cpp
  Result on(const Claim &B);
  Result on(const Released &B);
  Result on(const Heartbeat &B);
  Result on(const DaemonJoined &B);
  Result on(const DaemonLeft &B);
  Result on(const SnapshotTaken &B);
  Result on(const Noop &B);
  /// The cell of \p By, if the record's writer owns it in the epoch of \p By.
  base::Expected<Cell *> ownedCell(const Authority &By);

  // ApplyJobs.cpp
  Result on(const JobAccepted &B);
  Result on(const CancelRequested &B);
  Result on(const Placed &B);
  Result on(const StartCommitted &B);
  Result on(const StopRequested &B);
  Result on(const AttemptEnded &B);
  Result on(const JobEnded &B);
  Result on(const AnswerRelayed &B);
  Result on(const Rerouted &B);
  Result on(const JobsExpired &B);
  /// The job \p Id, if it is in the cell of \p By and the writer owns the cell.
  base::Expected<Job *> ownedJob(const Authority &By, std::string_view Id);
  /// Like ownedJob(), for a live job whose current attempt is \p Attempt.
  base::Expected<Job *> liveJobInAttempt(const Authority &By,
                                         std::string_view Id, unsigned Attempt);
  Result checkPlacement(const Cell &C, const Job &J, const Placed &B) const;
  void releaseSlots(Cell &C, Job &J);
  void recordFirstStart(Job &J);
  void recordEndObjectives(const Job &J);
  void endJob(Job &J, const JobEnded &B);

  // ApplyPool.cpp
  Result on(const WorkerRegistered &B);
  Result on(const WorkerStatusChanged &B);
  Result on(const HomesMoved &B);
  void removeIfLostAndIdle(Cell &C, std::string_view Worker);

  // ApplyLists.cpp
  Result on(const ListPublished &B);
  Result tryPublish(const ListChange &Change);
  void dropHeldTerms(std::string_view Account);

  State &CurrentState;
  const Record &CurrentRecord;
  std::uint64_t Offset;
  Verdict CurrentVerdict;
};

/// Guarantees of the accounts in the lists and of departed accounts that still
/// hold terms.
std::vector<pool::Guarantee>
guaranteesOwed(const PlanMap &Plans, const CustomerMap &Customers,
               const std::map<std::string, HeldTerms, std::less<>> &Held);

/// The name of one instance of a guarantee unit, for messages.
std::string unitName(const pool::UnmetUnit &U);

/// The homes of all cells.
std::vector<pool::Home>
allHomes(const std::map<std::string, Cell, std::less<>> &Cells);

/// An account with a placed job that would lie in another account's home under
/// \p Homes although it is guaranteed or not idempotent; empty when there is
/// none. Jobs of accounts in \p Exempt count only when not idempotent.
std::string
displacedAccount(const std::map<std::string, Cell, std::less<>> &Cells,
                 const std::map<std::string, Job, std::less<>> &Jobs,
                 std::span<const pool::Home> Homes,
                 const std::set<std::string, std::less<>> &Exempt = {});

/// Assigns homes again after a change of workers or terms. If the new homes
/// would displace guaranteed or non-idempotent work, keeps only the current
/// homes that are still valid. Lists the units without a home in \p Degraded.
void rebindHomes(std::map<std::string, Cell, std::less<>> &Cells,
                 const std::map<std::string, Job, std::less<>> &Jobs,
                 std::span<const pool::Guarantee> Owed,
                 std::vector<std::string> &Degraded);

/// Sets the homes of every cell to those of \p Homes that are in it.
void setHomes(std::map<std::string, Cell, std::less<>> &Cells,
              std::span<const pool::Home> Homes);

} // namespace heathersaddle::state

#endif
