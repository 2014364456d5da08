// Approach: one queue of closures ordered by virtual time; equal times run in
// the order of insertion, so a run depends on nothing but the seed and steps.
#include "Simulation.h"
#include <algorithm>

namespace heathersaddle::fuzz {

void Simulation::after(Millis Delay, Task Run) {
  Queue.push({Now + Delay, Inserted++, std::move(Run)});
}

void Simulation::runUntil(Millis Until) {
  while (!Stopped && !Queue.empty() && Queue.top().At <= Until) {
    // The element is removed at once, so moving from it keeps the order.
    Entry E = std::move(const_cast<Entry &>(Queue.top()));
    Queue.pop();
    Now = E.At;
    E.Run();
  }
  if (!Stopped)
    Now = Until;
}

void Network::extend(Millis &Until, Millis Lasts) const {
  Until = std::max(Until, Sim.now() + Lasts);
}

void Network::cut(unsigned Daemon, Endpoint To, Millis Lasts) {
  extend(CutUntil[{Daemon, To}], Lasts);
}

bool Network::isCut(unsigned Daemon, Endpoint To) const {
  auto It = CutUntil.find({Daemon, To});
  return It != CutUntil.end() && Sim.now() < It->second;
}

Fate Network::draw(unsigned Daemon, Endpoint To) {
  Fate F;
  F.Delay = Millis(Rng.within(1, 3));
  F.Lost = isCut(Daemon, To);
  if (!F.Lost && Sim.now() < ChaosUntil) {
    F.Lost = Rng.chance(10);
    if (Rng.chance(20))
      F.Delay = Millis(Rng.within(50, 6'000));
    if (Rng.chance(10))
      F.RepeatAfter = Millis(Rng.within(1, 6'000));
    FaultCount += F.Lost || F.Delay > Millis{3} || F.RepeatAfter.count();
  }
  return F;
}

Millis Network::disturbedUntil(unsigned Daemon, Endpoint To) const {
  auto It = CutUntil.find({Daemon, To});
  return std::max(ChaosUntil, It == CutUntil.end() ? Millis{} : It->second);
}

void Network::heal() {
  for (auto &[Link, Until] : CutUntil)
    Until = std::min(Until, Sim.now());
  ChaosUntil = std::min(ChaosUntil, Sim.now());
}

} // namespace heathersaddle::fuzz
