#ifndef HEATHERSADDLE_FUZZ_WORLD_H
#define HEATHERSADDLE_FUZZ_WORLD_H

#include "Oracle.h"
#include "heathersaddle/fuzz/Run.h"

namespace heathersaddle::fuzz {

/// The simulated system of one run: hosts, callers, faults and the oracle.
class World {
public:
  explicit World(const RunSettings &Settings);

  /// Starts the daemons and publishes the initial lists.
  void setUp();
  void take(const Step &S);
  /// Heals all faults and lets time pass until every job has ended.
  void finish();

  const std::optional<Violation> &firstViolation() const {
    return FirstViolation;
  }
  RunResult result() const;

private:
  void report(std::string Rule, std::string Detail);
  void addHosts();
  control::NodeSettings nodeSettings(unsigned Index) const;
  void advance(Millis Time);
  bool publishInitial(const state::ListChange &Change);
  void takeCallerStep(const Step &S);
  void takeOperatorStep(const Step &S);
  void takeDaemonFault(const Step &S);
  void takeLogFault(const Step &S);
  void takeWorkerFault(const Step &S);
  void cutDataCentre(const Step &S);
  void heal();
  DaemonHost &daemon(std::uint64_t Draw);
  WorkerHost &worker(std::uint64_t Draw);
  std::string cellOf(unsigned Index) const;

  Simulation Sim;
  Random Rng;
  Network Net;
  LogHost Log;
  Environment Env;
  Callers AllCallers;
  Oracle TestOracle;
  std::vector<std::unique_ptr<WorkerHost>> Workers;
  std::vector<std::unique_ptr<DaemonHost>> Daemons;
  bool RefuseStoppedAttempts;
  unsigned CellCount = 1;
  std::size_t StepsTaken = 0;
  std::uint64_t FaultSteps = 0;
  std::optional<Violation> FirstViolation;
};

} // namespace heathersaddle::fuzz

#endif
