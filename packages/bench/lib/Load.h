#ifndef HEATHERSADDLE_BENCH_LIB_LOAD_H
#define HEATHERSADDLE_BENCH_LIB_LOAD_H

#include "heathersaddle/policy/Scheduler.h"
#include <random>

namespace heathersaddle::bench {

/// One job of a generated load, with the values that only the simulation knows.
struct LoadJob {
  policy::JobView View; ///< AcceptedMs is the time of its submission.
  std::int64_t RunMs = 0;
  base::WallMs CancelMs = 0; ///< 0: never.
  int UnitIndex = -1;        ///< The guarantee unit that it requests; -1: none.
};

struct RackFault {
  std::string Rack;
  base::WallMs DownMs = 0;
  base::WallMs UpMs = 0;
};

struct Load {
  std::string Name;
  std::uint64_t Seed = 0;
  std::vector<pool::WorkerSpec> Workers;
  std::vector<pool::Guarantee> Guarantees;
  std::map<std::string, policy::AccountTerms> Terms;
  std::vector<LoadJob> Jobs; ///< Ordered by submission time.
  std::vector<RackFault> Faults;
  base::WallMs EndMs = 0;
  base::WallMs TickMs = 1'000;
  /// The figures count jobs submitted from this time on; earlier jobs fill the
  /// pool.
  base::WallMs MeasureFromMs = 0;
};

/// Render jobs of seconds to hours on 48 workers with 8 accelerators each, in
/// racks of 8.
Load dakar(std::uint64_t Seed);
/// Overnight redraws and urgent corrections on 48 workers, in racks of 6.
Load thailand(std::uint64_t Seed);
/// 3,600 workers and 87,000 running tasks of 760 accounts in one cell.
Load target(std::uint64_t Seed);
/// One of the target's five data centres, the scope of one scheduler: 720
/// workers (135 with accelerators), 17,400 running tasks.
Load targetCell(std::uint64_t Seed);

} // namespace heathersaddle::bench

#endif
