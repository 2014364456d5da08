#include "Naive.h"
#include "Property.h"
#include <map>

using namespace heathersaddle::tests;

static bool sameHome(const Home &H, const UnmetUnit &U) {
  return H.Account == U.Account && H.Unit == U.Unit && H.Instance == U.Instance;
}

// Whether all single-worker units fit, by trying every block for each.
static bool packable(std::vector<SlotMask> Free, std::vector<unsigned> Sizes) {
  if (Sizes.empty())
    return true;
  unsigned Size = Sizes.back();
  Sizes.pop_back();
  for (std::size_t W = 0; W != Free.size(); ++W)
    for (SlotMask M : ranges(Free[W], Size)) {
      std::vector<SlotMask> Next = Free;
      Next[W] &= ~M;
      if (packable(Next, Sizes))
        return true;
    }
  return false;
}

// Each home has its unit's shape on accelerators of Up workers of one cell.
static void checkShapes(const std::map<std::string, const Pool *> &Cells,
                        const std::vector<Guarantee> &Gs, const PackResult &R) {
  std::map<std::pair<std::string, std::string>, SlotMask> Taken;
  for (const Home &H : R.Homes) {
    const Pool &P = *Cells.at(H.Cell);
    const GuaranteeUnit *U = nullptr;
    for (const Guarantee &G : Gs)
      if (G.Account == H.Account)
        U = &G.Units.at(H.Unit);
    RC_ASSERT(U && H.Instance < U->Count && H.Slots.size() == U->Workers);
    std::set<std::string> Names, Racks;
    for (const Placement &S : H.Slots) {
      SlotMask &T = Taken[{H.Cell, S.Worker}];
      RC_ASSERT((T & S.Slots) == 0U);
      T |= S.Slots;
      RC_ASSERT(*P.status(S.Worker) == WorkerStatus::Up);
      RC_ASSERT(std::bit_width(S.Slots) <= P.worker(S.Worker)->Accelerators);
      RC_ASSERT(ranges(S.Slots, U->Accelerators).size() == 1U);
      RC_ASSERT(std::popcount(S.Slots) == static_cast<int>(U->Accelerators));
      Names.insert(S.Worker);
      Racks.insert(P.worker(S.Worker)->Rack);
    }
    RC_ASSERT(Names.size() == U->Workers);
    RC_ASSERT(!U->WithinRack || Racks.size() == 1U);
  }
}

static Pool somePool(unsigned Workers, unsigned Slots) {
  Pool P;
  for (unsigned W = 0; W != Workers; ++W)
    RC_ASSERT(P.addWorker(
        {"w" + std::to_string(W), "r" + std::to_string(W / 2), Slots, Slots}));
  return P;
}

BOOST_AUTO_TEST_SUITE(PackingHomes)

// Guards against rejecting a list version whose guarantees could be kept, or
// accepting one whose guarantees cannot.
BOOST_AUTO_TEST_CASE(PacksSingleWorkerUnitsWheneverPossible) {
  property("pack_single_worker", 51, 3000, [] {
    Pool P = somePool(2, 4);
    std::vector<Guarantee> Gs(2);
    std::vector<unsigned> Sizes;
    for (unsigned A = 0; A != 2; ++A) {
      Gs[A].Account = "a" + std::to_string(A);
      for (unsigned U = 0, N = pick(1, 2); U != N; ++U) {
        GuaranteeUnit Unit{.Accelerators = 1U << pick(0, 2),
                           .Count = pick(1, 2)};
        Gs[A].Units.push_back(Unit);
        Sizes.insert(Sizes.end(), Unit.Count, Unit.Accelerators);
      }
    }
    std::sort(Sizes.begin(), Sizes.end());
    std::map<std::string, const Pool *> Cells = {{"c", &P}};
    PackResult R = packHomes(Cells, Gs);
    RC_ASSERT(R.Homes.size() + R.Missing.size() == Sizes.size());
    checkShapes(Cells, Gs, R);
    RC_ASSERT(R.Missing.empty() == packable({0xF, 0xF}, Sizes));
  });
}

// Guards against moving homes (and the guaranteed jobs on them) without need,
// and against homes on workers that are not up.
BOOST_AUTO_TEST_CASE(KeepsCurrentHomesWherePossible) {
  property("pack_keeps_current", 52, 2000, [] {
    Pool P = somePool(6, 8), Q = somePool(4, 8);
    std::map<std::string, const Pool *> Cells = {{"c", &P}, {"d", &Q}};
    std::vector<Guarantee> Gs;
    for (const char *Name : {"a", "b", "c"})
      Gs.push_back({Name,
                    {{1U << pick(0, 3), pick(1, 2), pick(0, 1) == 1, 1},
                     {1U << pick(0, 2), 1, false, pick(1, 3)}}});
    PackResult Before = packHomes(Cells, Gs);
    checkShapes(Cells, Gs, Before);
    std::string Lost = "w" + std::to_string(pick(0, 3));
    P.setStatus(Lost, WorkerStatus::Lost);
    PackResult After = packHomes(Cells, Gs, Before.Homes);
    checkShapes(Cells, Gs, After);
    RC_ASSERT(After.Homes.size() + After.Missing.size() ==
              Before.Homes.size() + Before.Missing.size());
    RC_ASSERT(After.Missing.size() <= packHomes(Cells, Gs).Missing.size());
    // Packing anew is allowed only if it binds a unit that would be left out.
    if (!After.Missing.empty() || After.Homes == packHomes(Cells, Gs).Homes)
      return;
    for (const Home &H : Before.Homes) {
      bool Hit = H.Cell == "c" && std::any_of(H.Slots.begin(), H.Slots.end(),
                                              [&](const Placement &S) {
                                                return S.Worker == Lost;
                                              });
      bool Kept = std::find(After.Homes.begin(), After.Homes.end(), H) !=
                  After.Homes.end();
      RC_ASSERT(Hit != Kept);
    }
  });
}

// Guards against leaving a unit without a home only because a smaller one was
// kept where it was.
BOOST_AUTO_TEST_CASE(MovesHomesWhenAUnitWouldBeLeftOut) {
  Pool P;
  BOOST_REQUIRE(P.addWorker({"w1", "r", 8, 8}));
  BOOST_REQUIRE(P.addWorker({"w2", "r", 8, 8}));
  std::vector<Guarantee> Gs = {{"a", {{4, 1, false, 2}, {8, 1, false, 1}}}};
  std::vector<Home> Spread = {{"a", 0, 0, "c", {{"w1", 0x0F}}},
                              {"a", 0, 1, "c", {{"w2", 0x0F}}}};
  PackResult R = packHomes({{"c", &P}}, Gs, Spread);
  BOOST_TEST(R.Missing.empty());
  Gs[0].Units.pop_back();
  BOOST_TEST((packHomes({{"c", &P}}, Gs, Spread).Homes == Spread));
}

// Guards against a unit that keeps its home when no list guarantees it any
// more.
BOOST_AUTO_TEST_CASE(RemovesHomesThatAreNoLongerGuaranteed) {
  Pool P;
  BOOST_REQUIRE(P.addWorker({"w", "r", 8, 8}));
  std::vector<Guarantee> Gs = {{"a", {{4, 1, false, 2}}}};
  PackResult R = packHomes({{"c", &P}}, Gs);
  BOOST_REQUIRE(R.Homes.size() == 2U);
  Gs = {{"b", {{8, 1, false, 1}}}};
  PackResult Next = packHomes({{"c", &P}}, Gs, R.Homes);
  BOOST_REQUIRE(Next.Homes.size() == 1U);
  BOOST_TEST(Next.Homes[0].Account == "b");
  Gs[0].Units[0].Count = 2;
  Next = packHomes({{"c", &P}}, Gs, R.Homes);
  BOOST_REQUIRE(Next.Missing.size() == 1U);
  BOOST_TEST(!sameHome(Next.Homes[0], Next.Missing[0]));
}

BOOST_AUTO_TEST_SUITE_END()
