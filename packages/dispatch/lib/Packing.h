#ifndef HEATHERSADDLE_DISPATCH_PACKING_H
#define HEATHERSADDLE_DISPATCH_PACKING_H

#include "heathersaddle/dispatch/Planner.h"

namespace heathersaddle::dispatch {

/// Free room per worker as one search sees it.
using Room = std::vector<Resources>;

/// Whether the worker may run tasks of the step at all.
bool allowed(const Worker &W, const workload::JobSpec &Spec,
             const workload::Step &S);

/// How much speaks against the worker for this step; 0: nothing.
int doubt(const Worker &On, const WaitingTasks &W);
/// Whether a gang had better wait for other workers to be freed.
bool unsound(const Worker &On, const WaitingTasks &W);

/// Places up to \p Count tasks on \p Candidates, tightest fit first, sound
/// workers before doubtful ones; fewer when no more fit. Takes the room.
std::vector<std::size_t> pack(const Fleet &F, Room &Free,
                              std::span<const std::size_t> Candidates,
                              const WaitingTasks &W, std::size_t Count);

/// The workers of one rack that may run a step.
struct Rack {
  std::string Name;
  std::vector<std::size_t> Members;
};

/// Workers by rack for each kind of step, computed once a pass.
class Racks {
public:
  explicit Racks(const Fleet &F) : F(F) {}
  const std::vector<Rack> &of(const WaitingTasks &W);
  /// All members of all racks of the kind.
  const std::vector<std::size_t> &all(const WaitingTasks &W);

private:
  struct Kind {
    std::vector<Rack> ByRack;
    std::vector<std::size_t> All;
  };
  Kind &kind(const WaitingTasks &W);
  const Fleet &F;
  /// By service, required label and, for work that only some workers may run,
  /// its step.
  std::map<std::tuple<std::string, std::string, UnitId>, Kind> Kinds;
};

/// Places a whole gang, within one rack where that matters and a rack could
/// hold it; empty when it does not fit.
std::vector<std::size_t> packGang(const Fleet &F, Racks &R, Room &Free,
                                  const WaitingTasks &W, bool MaySpread);

/// Whether some rack could hold the gang if it were empty.
bool fitsOneEmptyRack(const Fleet &F, Racks &R, const WaitingTasks &W);

} // namespace heathersaddle::dispatch

#endif
