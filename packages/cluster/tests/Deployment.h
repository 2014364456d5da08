#ifndef HEATHERSADDLE_CLUSTER_TESTS_DEPLOYMENT_H
#define HEATHERSADDLE_CLUSTER_TESTS_DEPLOYMENT_H

#include "World.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace heathersaddle::cluster {

using workload::JobState;

/// A World with three workers and three daemons, one of which is the owner.
struct Deployment : World {
  Deployment() {
    for (const char *Id : {"w1", "w2", "w3"})
      addWorker(Id, "r1");
    for (const char *Name : {"a", "b", "c"})
      addDaemon(Name);
    BOOST_REQUIRE(runUntil([this] { return !owner().empty(); }, 3'000));
    run(200);
  }
  Node &anyDaemon() { return *Daemons.begin()->second; }
  Node &follower() {
    for (auto &[Name, N] : Daemons)
      if (!N->isOwner())
        return *N;
    return anyDaemon();
  }
  /// Returns a follower whose calls to the store get lost from now on.
  Node &disconnectFollowerFromStore() {
    Node &Follower = follower();
    for (auto &[Name, N] : Daemons)
      if (N.get() == &Follower)
        DaemonsWithoutStore.insert(Name);
    return Follower;
  }
  void setDraining(const std::string &Worker, bool Draining) {
    Workers[Worker].Entry.Draining = Draining;
    Registry.push_back({Worker, Workers[Worker].Entry});
  }
  /// Leaves \p Worker as the only one that gets new work.
  void useOnly(const std::string &Worker) {
    for (const auto &[Id, W] : Workers)
      if (Id != Worker)
        setDraining(Id, true);
    run(500);
  }
  bool shows(Node &N, const std::string &Id, JobState S) {
    auto R = N.status(Id);
    return R.Result == Lookup::Found && R.State == S;
  }
  bool allShow(const std::string &Id, JobState S) {
    return std::all_of(Daemons.begin(), Daemons.end(),
                       [&](auto &D) { return shows(*D.second, Id, S); });
  }
};

} // namespace heathersaddle::cluster

#endif
