#ifndef HEATHERSADDLE_POLICY_TESTS_WORLD_H
#define HEATHERSADDLE_POLICY_TESTS_WORLD_H

#include "../../pool/tests/Property.h"
#include "heathersaddle/policy/Scheduler.h"
#include <algorithm>
#include <bit>
#include <map>
#include <set>

namespace heathersaddle::tests {

using namespace heathersaddle::policy;
using namespace heathersaddle::pool;

/// A cell whose decisions take effect at once. Checks every decision against
/// the rules when it is made, and the invariants after every event.
class World {
public:
  struct Entry {
    JobView View;
    bool Placed = false;
    bool Stopping = false;
    base::WallMs StartMs = 0;
  };

  explicit World(const Settings &S = {}) : Config(S), Sched(S) {}

  void addWorkers(unsigned Count, unsigned Slots, unsigned PerRack) {
    for (unsigned W = 0; W != Count; ++W)
      RC_ASSERT(
          Cell.addWorker({"w" + std::to_string(W),
                          "r" + std::to_string(W / PerRack), Slots, Slots}));
  }

  void guarantee(const std::vector<Guarantee> &Gs) {
    PackResult R = packHomes({{"c", &Cell}}, Gs);
    RC_ASSERT(R.Missing.empty());
    RC_ASSERT(Cell.setHomes(R.Homes));
  }

  JobView &submit(const std::string &Account, const Shape &S, bool Idempotent,
                  bool Urgent = false) {
    JobView V;
    V.Id = "j" + std::to_string(NextJobNumber++);
    V.Account = Account;
    V.Kind = "k" + std::to_string(S.SlotsPerTask);
    V.Shape = S;
    V.Idempotent = Idempotent;
    V.Urgent = Urgent;
    V.AcceptedMs = Now;
    Entry &E = Jobs[V.Id];
    E.View = V;
    Sched.jobPending(V, Now);
    return E.View;
  }

  void finish(const std::string &Id) {
    Cell.release(Id);
    Sched.jobFinished(Id, Now);
    Jobs.erase(Id);
  }

  void cancel(const std::string &Id) {
    Cell.release(Id);
    Sched.jobRemoved(Id);
    Jobs.erase(Id);
  }

  void endAttempt(const std::string &Id, AttemptEnd Why,
                  std::vector<std::string> Failed = {}) {
    Entry &E = Jobs.at(Id);
    Cell.release(Id);
    E.Placed = E.Stopping = false;
    ++E.View.Attempt;
    Sched.attemptEnded(Id, Why, Failed, Now);
    Sched.jobPending(E.View, Now);
  }

  void loseWorker(const std::string &Name) {
    Cell.setStatus(Name, WorkerStatus::Lost);
    for (const std::string &Id : Cell.jobsOn(Name)) {
      if (Jobs.at(Id).View.Idempotent)
        endAttempt(Id, AttemptEnd::WorkerLost);
      else
        cancel(Id);
    }
  }

  /// Runs passes until nothing is left for now; all stops are completed.
  void settle() {
    for (unsigned Pass = 0; Pass != 200; ++Pass) {
      std::vector<Decision> Ds = Sched.decide(Cell, Now);
      for (const Decision &D : Ds)
        std::visit([this](const auto &Each) { apply(Each); }, D);
      checkInvariants();
      finishStops();
      if (Ds.empty() && !Sched.hasMore())
        return;
    }
    RC_FAIL("200 passes did not settle the cell");
  }

  /// Runs one pass and leaves its stops in progress.
  std::vector<Decision> pass() {
    std::vector<Decision> Ds = Sched.decide(Cell, Now);
    for (const Decision &D : Ds)
      std::visit([this](const auto &Each) { apply(Each); }, D);
    checkInvariants();
    return Ds;
  }

  void finishStops() {
    std::vector<std::string> Stopped;
    for (const auto &[Id, E] : Jobs)
      if (E.Stopping)
        Stopped.push_back(Id);
    for (const std::string &Id : Stopped)
      endAttempt(Id, AttemptEnd::Stopped);
  }

  std::vector<std::string> placed() const {
    std::vector<std::string> Out;
    for (const auto &[Id, E] : Jobs)
      if (E.Placed)
        Out.push_back(Id);
    return Out;
  }

  bool runs(const std::string &Id) const {
    auto E = Jobs.find(Id);
    return E != Jobs.end() && E->second.Placed;
  }

  Settings Config;
  Pool Cell;
  Scheduler Sched;
  base::WallMs Now = 1'000'000;
  std::map<std::string, Entry> Jobs;
  std::map<std::string, unsigned> Quota;
  std::vector<EndDecision> Ended;
  unsigned Stops = 0, Swaps = 0;

private:
  bool onForeignHome(const std::string &Id) const {
    for (const Placement &T : Cell.placements(Id))
      for (unsigned S = 0; S != MaxSlots; ++S)
        if (T.Slots >> S & 1) {
          std::string_view Owner = Cell.homeOf(T.Worker, S);
          if (!Owner.empty() && Owner != Jobs.at(Id).View.Account)
            return true;
        }
    return false;
  }

  void apply(const PlaceDecision &D) {
    RC_ASSERT(Jobs.contains(D.Job));
    Entry &E = Jobs.at(D.Job);
    RC_ASSERT(!E.Placed);
    const Shape &S = E.View.Shape;
    RC_ASSERT(D.Tasks.size() == S.Tasks);
    std::set<std::string> Names, Racks;
    for (const Placement &T : D.Tasks) {
      RC_ASSERT(std::popcount(T.Slots) == static_cast<int>(S.SlotsPerTask));
      Names.insert(T.Worker);
      Racks.insert(Cell.worker(T.Worker)->Rack);
    }
    RC_ASSERT(S.Within != Adjacency::Worker || Names.size() == 1U);
    RC_ASSERT(S.Within != Adjacency::Rack || Racks.size() == 1U);
    RC_ASSERT(Cell.allocate(D.Job, E.View.Account, D.Tasks).has_value());
    E.Placed = true;
    E.StartMs = Now;
    Sched.jobPlaced(D.Job, D.Tasks, Now);
  }

  void apply(const StopDecision &D) {
    Entry &E = Jobs.at(D.Job);
    RC_ASSERT(E.Placed && !E.Stopping);
    RC_ASSERT(E.View.Idempotent);
    bool Foreign = D.ForAccount != E.View.Account;
    RC_ASSERT(!Foreign || !Cell.isGuaranteed(D.Job));
    RC_ASSERT(D.Reason == "reclaim" || !E.View.Urgent);
    if (D.Reason == "reclaim") {
      auto Borrowers = Cell.borrowersFrom(D.ForAccount);
      RC_ASSERT(std::find(Borrowers.begin(), Borrowers.end(), D.Job) !=
                Borrowers.end());
    }
    E.Stopping = true;
    ++Stops;
    Sched.jobStopping(D.Job);
  }

  void apply(const HomesDecision &D) {
    std::set<std::string> Guaranteed;
    for (const auto &[Id, E] : Jobs)
      if (Cell.isGuaranteed(Id))
        Guaranteed.insert(Id);
    std::vector<Home> Before = Cell.homes();
    RC_ASSERT(Before.size() == D.Homes.size());
    for (std::size_t H = 0; H != Before.size(); ++H) {
      RC_ASSERT(Before[H].Account == D.Homes[H].Account);
      RC_ASSERT(Before[H].Slots.size() == D.Homes[H].Slots.size());
      for (std::size_t I = 0; I != Before[H].Slots.size(); ++I)
        RC_ASSERT(std::popcount(Before[H].Slots[I].Slots) ==
                  std::popcount(D.Homes[H].Slots[I].Slots));
    }
    RC_ASSERT(Cell.setHomes(D.Homes).has_value());
    for (const std::string &Id : Guaranteed)
      RC_ASSERT(Cell.isGuaranteed(Id));
    ++Swaps;
  }

  void apply(const EndDecision &D) {
    Ended.push_back(D);
    RC_ASSERT(!Jobs.at(D.Job).Placed);
    cancel(D.Job);
  }

  void apply(const WorkerDecision &D) { Cell.setStatus(D.Worker, D.Status); }

  // Checks that placed jobs hold slots for all their tasks and no slot is taken
  // twice, that a job in a home of another account is idempotent and not
  // guaranteed (invariant G), and that no account exceeds its quota.
  void checkInvariants() {
    std::map<std::string, SlotMask> Taken;
    std::map<std::string, unsigned> Used;
    for (const auto &[Id, E] : Jobs) {
      auto Where = Cell.placements(Id);
      RC_ASSERT(Where.size() == (E.Placed ? E.View.Shape.Tasks : 0U));
      for (const Placement &T : Where) {
        RC_ASSERT((Taken[T.Worker] & T.Slots) == 0U);
        Taken[T.Worker] |= T.Slots;
        Used[E.View.Account] += std::popcount(T.Slots);
      }
      if (E.Placed && onForeignHome(Id)) {
        RC_ASSERT(E.View.Idempotent);
        RC_ASSERT(!Cell.isGuaranteed(Id));
      }
    }
    for (const auto &[Account, MaxSlotsUsed] : Quota)
      RC_ASSERT(MaxSlotsUsed == 0 || Used[Account] <= MaxSlotsUsed);
  }

  unsigned NextJobNumber = 0;
};

} // namespace heathersaddle::tests

#endif
