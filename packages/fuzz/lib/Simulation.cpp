// One queue of closures ordered by virtual time. Closures of the same time run
// in the order of insertion, so a run depends on nothing but the seed and
// steps.
#include "Simulation.h"
#include <algorithm>

namespace heathersaddle::fuzz {

void Simulation::after(Millis Delay, Task Run) {
  Queue.push({Now + Delay, InsertedCount++, std::move(Run)});
}

void Simulation::runUntil(Millis Until) {
  while (!Stopped && !Queue.empty() && Queue.top().At <= Until) {
    // Moving from the top keeps the order of the queue, since the element is
    // removed at once.
    Entry E = std::move(const_cast<Entry &>(Queue.top()));
    Queue.pop();
    Now = E.At;
    E.Run();
  }
  if (!Stopped)
    Now = Until;
}

void Network::extend(Millis &Until, Millis Duration) const {
  Until = std::max(Until, Sim.now() + Duration);
}

void Network::cut(unsigned Daemon, Endpoint To, Millis Duration) {
  extend(CutUntil[{Daemon, To}], Duration);
}

bool Network::isCut(unsigned Daemon, Endpoint To) const {
  auto It = CutUntil.find({Daemon, To});
  return It != CutUntil.end() && Sim.now() < It->second;
}

Delivery Network::drawDelivery(unsigned Daemon, Endpoint To) {
  Delivery D;
  D.Delay = Millis(Rng.within(1, 3));
  D.Lost = isCut(Daemon, To);
  if (!D.Lost && Sim.now() < ChaosUntil) {
    D.Lost = Rng.chance(10);
    if (Rng.chance(20))
      D.Delay = Millis(Rng.within(50, 6'000));
    if (Rng.chance(10))
      D.RepeatAfter = Millis(Rng.within(1, 6'000));
    FaultCount += D.Lost || D.Delay > Millis{3} || D.RepeatAfter.count();
  }
  return D;
}

Millis Network::lastFaultEnd(unsigned Daemon, Endpoint To) const {
  auto It = CutUntil.find({Daemon, To});
  return std::max(ChaosUntil, It == CutUntil.end() ? Millis{} : It->second);
}

void Network::heal() {
  for (auto &[Link, Until] : CutUntil)
    Until = std::min(Until, Sim.now());
  ChaosUntil = std::min(ChaosUntil, Sim.now());
}

} // namespace heathersaddle::fuzz
