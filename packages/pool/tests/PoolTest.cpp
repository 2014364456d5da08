#define BOOST_TEST_MODULE pool
#include "Naive.h"
#include "Property.h"
#include <map>

using namespace heathersaddle::tests;

static Shape randomShape() {
  return {.Tasks = pick(1, 4),
          .SlotsPerTask = pick(1, 5),
          .Accelerators = pick(0, 2) != 0,
          .Within = static_cast<Adjacency>(pick(0, 2))};
}

// Three workers in two racks with random slots taken by single-slot jobs.
static Pool randomPool() {
  Pool P;
  for (unsigned W = 0; W != 3; ++W) {
    unsigned Slots = 4U << pick(0, 1);
    std::string Name = "w" + std::to_string(W);
    RC_ASSERT(P.addWorker({Name, "r" + std::to_string(W / 2), Slots,
                           pick(0, 1) ? Slots : Slots / 2}));
    for (unsigned S = 0; S != Slots; ++S)
      if (pick(0, 2) == 0) {
        Placement T{Name, SlotMask{1} << S};
        RC_ASSERT(P.allocate(Name + "-" + std::to_string(S), "a", {&T, 1}));
      }
    if (pick(0, 9) == 0)
      P.setStatus(Name, WorkerStatus::Leaving);
  }
  return P;
}

static std::vector<NaiveWorker> naiveView(const Pool &P) {
  std::vector<NaiveWorker> Out;
  for (const WorkerSpec &W : P.workers())
    Out.push_back({W, P.freeSlots(W.Name)});
  return Out;
}

BOOST_AUTO_TEST_SUITE(FindingRoom)

// Guards against missing a fitting placement, or returning an illegal one.
BOOST_AUTO_TEST_CASE(AgreesWithExhaustiveSearch) {
  property("find_free_feasibility", 41, 6000, [] {
    Pool P = randomPool();
    Shape S = randomShape();
    auto Found = P.findFree(S);
    RC_ASSERT(Found.has_value() == fits(naiveView(P), S));
    if (!Found)
      return;
    RC_ASSERT(legal(P, S, *Found));
    RC_ASSERT(P.allocate("new", "a", *Found).has_value());
  });
}

// Guards against splitting a large free block while a smaller one would do.
BOOST_AUTO_TEST_CASE(KeepsLargeBlocksWhole) {
  property("find_free_fragmentation", 42, 4000, [] {
    Pool P = randomPool();
    Shape S{.Tasks = 1, .SlotsPerTask = 1U << pick(0, 2), .Accelerators = true};
    auto Found = P.findFree(S);
    if (!Found)
      return;
    std::vector<unsigned> Best;
    std::vector<NaiveWorker> View = naiveView(P);
    for (NaiveWorker &W : View) {
      SlotMask Before = W.Free;
      SlotMask Fast = Before & ((SlotMask{1} << W.Spec.Accelerators) - 1);
      for (SlotMask M : ranges(Fast, S.SlotsPerTask)) {
        W.Free = Before & ~M;
        Best = std::max(Best, blockCounts(View));
      }
      W.Free = Before;
    }
    RC_ASSERT(P.allocate("new", "a", *Found).has_value());
    // The search also separates plain from accelerated slots, so only workers
    // with accelerators on all slots are compared.
    std::vector<unsigned> Got = blockCounts(naiveView(P));
    RC_ASSERT(Got.size() == Best.size());
    for (const WorkerSpec &W : P.workers())
      if (W.Accelerators != W.Slots)
        return;
    RC_ASSERT(Got == Best);
  });
}

// Guards against ending a job as impossible that an idle pool could run.
BOOST_AUTO_TEST_CASE(CouldEverFitAgreesWithExhaustiveSearchOfAnIdlePool) {
  property("could_ever_fit", 43, 3000, [] {
    Pool P = randomPool();
    Shape S = randomShape();
    std::vector<NaiveWorker> Idle = naiveView(P);
    for (NaiveWorker &W : Idle)
      W.Free = *P.status(W.Spec.Name) == WorkerStatus::Up
                   ? (SlotMask{1} << W.Spec.Slots) - 1
                   : 0;
    RC_ASSERT(P.couldEverFit(S) == fits(Idle, S));
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(HoldingSlots)

static Pool twoWorkers() {
  Pool P;
  BOOST_REQUIRE(P.addWorker({"w1", "r1", 8, 8}));
  BOOST_REQUIRE(P.addWorker({"w2", "r1", 8, 8}));
  return P;
}

// Guards against a gang that keeps part of its slots after a failed allocation.
BOOST_AUTO_TEST_CASE(AllocatesAllTasksOrNone) {
  Pool P = twoWorkers();
  std::vector<Placement> Ask = {{"w1", 0x0F}, {"w2", 0x06}};
  BOOST_TEST(!P.allocate("j", "a", Ask)); // 0x06 straddles two blocks.
  BOOST_TEST(P.usedSlots() == 0U);
  Ask[1] = {"w1", 0x0C};
  BOOST_TEST(!P.allocate("j", "a", Ask)); // Overlaps its own first task.
  Ask[1] = {"w2", 0x0C};
  BOOST_TEST(P.allocate("j", "a", Ask).has_value());
  BOOST_TEST(!P.allocate("j", "a", Ask));
  BOOST_TEST(P.usedSlots() == 6U);
  P.release("j");
  BOOST_TEST(P.freeSlotCount() == 16U);
}

// Guards against new jobs on a worker that is leaving (requirement 6), and
// against losing track of the jobs that still run there.
BOOST_AUTO_TEST_CASE(LeavingWorkerKeepsItsWorkAndTakesNone) {
  Pool P = twoWorkers();
  Placement T{"w1", 0x01};
  BOOST_REQUIRE(P.allocate("j", "a", {&T, 1}));
  P.setStatus("w1", WorkerStatus::Leaving);
  T.Slots = 0x02;
  BOOST_TEST(!P.allocate("k", "a", {&T, 1}));
  BOOST_TEST(P.freeSlots("w1") == 0U);
  BOOST_TEST(P.jobsOn("w1").size() == 1U);
  BOOST_TEST(!P.removeWorker("w1"));
  P.release("j");
  BOOST_TEST(P.removeWorker("w1").has_value());
  BOOST_TEST(P.upSlots() == 8U);
}

// Guards against treating a job as guaranteed that lies partly outside the
// homes of its account, and against overlapping homes.
BOOST_AUTO_TEST_CASE(JobPartlyOutsideOwnHomesIsBorrowing) {
  Pool P = twoWorkers();
  std::vector<Home> Homes = {{"a", 0, 0, "c", {{"w1", 0x0F}}},
                             {"b", 0, 0, "c", {{"w1", 0xF0}}}};
  BOOST_REQUIRE(P.setHomes(Homes));
  std::vector<Placement> Both = {{"w1", 0x01}, {"w1", 0x10}};
  BOOST_REQUIRE(P.allocate("mixed", "a", Both));
  Placement Own{"w1", 0x0C};
  BOOST_REQUIRE(P.allocate("own", "a", {&Own, 1}));
  BOOST_TEST(P.isGuaranteed("own"));
  BOOST_TEST(!P.isGuaranteed("mixed"));
  BOOST_TEST(P.borrowersFrom("b") == std::vector<std::string>{"mixed"});
  BOOST_TEST(P.homeOf("w1", 5) == "b");
  BOOST_TEST(P.homeOf("w2", 0).empty());
  Homes[1].Slots[0].Slots = 0x18;
  BOOST_TEST(!P.setHomes(Homes));
  BOOST_TEST(P.homeOf("w1", 5) == "b");
}

// Guards against drift between the counters, the per-slot owners and the
// index under long sequences of changes.
BOOST_AUTO_TEST_CASE(StaysConsistentUnderRandomChanges) {
  property("pool_stateful", 44, 3000, [] {
    Pool P = randomPool();
    std::map<std::string, std::vector<Placement>> Held;
    for (const WorkerSpec &W : P.workers())
      for (const std::string &J : P.jobsOn(W.Name))
        Held[J].assign(P.placements(J).begin(), P.placements(J).end());
    for (unsigned Step = 0; Step != 25; ++Step) {
      if (pick(0, 2) == 0 && !Held.empty()) {
        P.release(Held.begin()->first);
        Held.erase(Held.begin());
      } else if (auto Where = P.findFree(randomShape())) {
        std::string Job = "s" + std::to_string(Step);
        RC_ASSERT(P.allocate(Job, "a", *Where).has_value());
        Held[Job] = *Where;
      } else {
        P.setStatus("w" + std::to_string(pick(0, 2)),
                    static_cast<WorkerStatus>(pick(0, 3)));
      }
      std::map<std::string, SlotMask> Taken;
      unsigned Used = 0;
      for (const auto &[Job, Where] : Held)
        for (const Placement &T : Where) {
          RC_ASSERT((Taken[T.Worker] & T.Slots) == 0U);
          Taken[T.Worker] |= T.Slots;
          Used += std::popcount(T.Slots);
        }
      RC_ASSERT(P.usedSlots() == Used);
      unsigned Free = 0;
      for (const WorkerSpec &W : P.workers()) {
        SlotMask All = (SlotMask{1} << W.Slots) - 1;
        bool Up = *P.status(W.Name) == WorkerStatus::Up;
        RC_ASSERT(P.freeSlots(W.Name) == (Up ? All & ~Taken[W.Name] : 0));
        Free += std::popcount(P.freeSlots(W.Name));
      }
      RC_ASSERT(P.freeSlotCount() == Free);
    }
  });
}

BOOST_AUTO_TEST_SUITE_END()
