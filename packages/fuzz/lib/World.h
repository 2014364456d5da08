#ifndef HEATHERSADDLE_FUZZ_WORLD_H
#define HEATHERSADDLE_FUZZ_WORLD_H

#include "Oracle.h"
#include "heathersaddle/fuzz/Run.h"

namespace heathersaddle::fuzz {

/// Everything in one run: hosts, callers, faults and the oracle.
class World {
public:
  explicit World(const RunSettings &Settings);

  /// Starts the daemons and publishes the first lists.
  void setUp();
  void take(const Step &S);
  /// Heals all faults and lets time pass until every job has ended.
  void finish();

  const std::optional<Violation> &found() const { return Found; }
  RunResult result() const;

private:
  void report(std::string Rule, std::string Detail);
  void addHosts();
  control::NodeSettings nodeSettings(unsigned Index) const;
  void pass(Millis Time);
  bool publishFirst(const state::ListChange &Change);
  void takeCallerStep(const Step &S);
  void takeOperatorStep(const Step &S);
  void takeDaemonFault(const Step &S);
  void takeLogFault(const Step &S);
  void takeWorkerFault(const Step &S);
  void cutRegion(const Step &S);
  void heal();
  DaemonHost &daemon(std::uint64_t Draw);
  WorkerHost &worker(std::uint64_t Draw);
  std::string cellOf(unsigned Index) const;

  Simulation Sim;
  Random Rng;
  Network Net;
  LogHost Log;
  Surroundings Around;
  Callers Requests;
  Oracle Check;
  std::vector<std::unique_ptr<WorkerHost>> Workers;
  std::vector<std::unique_ptr<DaemonHost>> Daemons;
  bool RememberStopped;
  unsigned Cells = 1;
  std::size_t Taken = 0;
  std::uint64_t FaultSteps = 0;
  std::optional<Violation> Found;
};

} // namespace heathersaddle::fuzz

#endif
