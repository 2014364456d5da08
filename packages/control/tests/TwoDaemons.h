#ifndef HEATHERSADDLE_CONTROL_TESTS_TWODAEMONS_H
#define HEATHERSADDLE_CONTROL_TESTS_TWODAEMONS_H

#include "World.h"
#include <boost/test/unit_test.hpp>

namespace heathersaddle::control {

/// One data centre with four workers and two daemons.
struct TwoDaemons : World {
  TwoDaemons() {
    for (const char *W : {"w1", "w2", "w3", "w4"})
      addWorker(W, "north", "rack1");
    addDaemon("d1", "north");
    addDaemon("d2", "north");
    bool Up = runUntil(
        [&] {
          const state::Cell *C = d1().state().cell("north");
          return C && C->Workers.size() == 4;
        },
        10'000);
    BOOST_REQUIRE(Up);
    publishLists(d1());
    Owner = d1().ownedCells().empty() ? "d2" : "d1";
    Other = Owner == "d1" ? "d2" : "d1";
  }
  Node &d1() { return *Daemons["d1"].Instance; }
  Node &owner() { return *Daemons[Owner].Instance; }
  Node &other() { return *Daemons[Other].Instance; }
  unsigned starts(const std::string &Job) {
    unsigned Sum = 0;
    for (auto &[Name, W] : Workers)
      Sum += W.Starts[Job];
    return Sum;
  }
  /// The worker on which \p Task of \p Job is placed.
  std::string workerOf(const std::string &Job, unsigned Task = 0) {
    return job(Job).Tasks.at(Task).Worker;
  }
  bool runUntilStarted(const std::string &Job) {
    return runUntil([&] { return starts(Job) == job(Job).Spec.Shape.Tasks; },
                    5'000);
  }
  std::string Owner;
  std::string Other;
};

} // namespace heathersaddle::control

#endif
