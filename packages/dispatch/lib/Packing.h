#ifndef HEATHERSADDLE_DISPATCH_PACKING_H
#define HEATHERSADDLE_DISPATCH_PACKING_H

#include "SpeedChoice.h"

namespace heathersaddle::dispatch {

/// Free resources per worker, as available to one search.
using FreeResources = std::vector<Resources>;

/// Whether the worker may run tasks of the step.
bool allowed(const Worker &W, const workload::JobSpec &Spec,
             const workload::Step &S);
/// As above; if only some workers may run the step, \p On must be one of them.
bool allowed(const Worker &On, const WaitingTasks &W);

/// Penalty of the worker for this step; 0 if nothing speaks against it.
int penalty(const Worker &On, const WaitingTasks &W);
/// Whether a gang should rather wait for room on other workers.
bool isDegraded(const Worker &On, const WaitingTasks &W);

/// Places up to \p Count tasks on \p Candidates, or fewer if no more fit.
/// Workers with a lower penalty come first, then \p Speeds decides, then the
/// tightest fit. Subtracts the resources of the tasks from \p Free.
std::vector<std::size_t> pack(const Fleet &F, FreeResources &Free,
                              std::span<const std::size_t> Candidates,
                              const WaitingTasks &W, std::size_t Count,
                              const SpeedOrder &Speeds);
/// As above, with the order of speeds for single tasks of \p W.
std::vector<std::size_t> pack(const Fleet &F, FreeResources &Free,
                              std::span<const std::size_t> Candidates,
                              const WaitingTasks &W, std::size_t Count);

/// The workers of one rack that may run a step.
struct Rack {
  std::string Name;
  std::vector<std::size_t> Members;
};

/// Workers by rack for each kind of step, computed once per pass.
class Racks {
public:
  explicit Racks(const Fleet &F) : CurrentFleet(F) {}
  const std::vector<Rack> &racksFor(const WaitingTasks &W);
  /// The members of all racks for this kind of step.
  const std::vector<std::size_t> &workersFor(const WaitingTasks &W);

private:
  struct Kind {
    std::vector<Rack> ByRack;
    std::vector<std::size_t> All;
  };
  Kind &kind(const WaitingTasks &W);
  const Fleet &CurrentFleet;
  /// By service, required label, if only some workers may run the step, the
  /// step itself, and whether avoided workers may be used.
  std::map<std::tuple<std::string, std::string, UnitId, bool>, Kind> Kinds;
};

/// Places a whole gang; empty if it does not fit. The rack with its data is
/// tried first. A gang that prefers one rack is spread over several only if it
/// fits on no single one and \p MaySpread is set. Of several racks, the one
/// that gives the gang the speed it needs comes first, then the tightest fit.
std::vector<std::size_t> packGang(const Fleet &F, Racks &R, FreeResources &Free,
                                  const WaitingTasks &W, bool MaySpread);

/// Whether at least one rack could hold the gang if the rack were empty.
bool fitsOneEmptyRack(const Fleet &F, Racks &R, const WaitingTasks &W);

} // namespace heathersaddle::dispatch

#endif
