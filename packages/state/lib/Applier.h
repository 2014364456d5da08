#ifndef HEATHERSADDLE_STATE_LIB_APPLIER_H
#define HEATHERSADDLE_STATE_LIB_APPLIER_H

#include "heathersaddle/state/State.h"
#include <string>
#include <string_view>

namespace heathersaddle::state {

/// Applies one record to a state. Each on() handler checks the record against
/// the state at its place in the log and changes the state only when all
/// checks have passed.
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
  /// The cell when the record's writer owns it in the epoch it names.
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
  /// The job \p Id of a cell that the writer owns.
  base::Expected<Job *> ownedJob(const Authority &By, std::string_view Id);
  /// The live job \p Id of the cell in attempt \p Attempt.
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

/// Guarantees owed under the given lists and held terms.
std::vector<pool::Guarantee>
guaranteesOwed(const PlanMap &Plans, const CustomerMap &Customers,
               const std::map<std::string, HeldTerms, std::less<>> &Held);

/// Names one instance of a guarantee unit in messages.
std::string unitName(const pool::UnmetUnit &U);

/// The homes of all cells.
std::vector<pool::Home>
allHomes(const std::map<std::string, Cell, std::less<>> &Cells);

/// The account whose guaranteed job would lie in another account's home under
/// \p Homes; empty when there is none. Accounts in \p Exempt are passed over.
std::string
displacedAccount(const std::map<std::string, Cell, std::less<>> &Cells,
                 const std::map<std::string, Job, std::less<>> &Jobs,
                 std::span<const pool::Home> Homes,
                 const std::set<std::string, std::less<>> &Exempt = {});

/// Binds homes anew after a change of workers or terms. Keeps the homes that
/// are still valid where anything else would displace guaranteed work, and
/// lists the units without a home.
void rebindHomes(std::map<std::string, Cell, std::less<>> &Cells,
                 const std::map<std::string, Job, std::less<>> &Jobs,
                 std::span<const pool::Guarantee> Owed,
                 std::vector<std::string> &Degraded);

/// Distributes \p Homes over the cells.
void setHomes(std::map<std::string, Cell, std::less<>> &Cells,
              std::span<const pool::Home> Homes);

} // namespace heathersaddle::state

#endif
