#include "Fixture.h"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace heathersaddle;
using namespace heathersaddle::state;
using testing::StateFixture;

namespace {

/// Generates random records, many of them invalid, like those of daemons that
/// are superseded or have an old state.
class RandomHistory : public StateFixture {
public:
  explicit RandomHistory(unsigned Seed) : Random(Seed) {
    claimCellWithWorkers();
    addWorker("w3");
    publishLists();
  }

  Record nextRecord() {
    std::uint64_t Writer = 1 + pick(3);
    WallClock += static_cast<base::WallMs>(pick(5'000));
    return {Writer, ++Sequences[Writer], WallClock, randomBody(Writer)};
  }

  bool chance(unsigned Percent) { return pick(100) < Percent; }

private:
  unsigned pick(unsigned N) { return static_cast<unsigned>(Random() % N); }

  std::string randomJobId() { return "j" + std::to_string(pick(12)); }
  std::string randomWorker() { return "w" + std::to_string(1 + pick(3)); }
  std::string randomAccount() { return pick(2) ? "a" : "b"; }

  Authority authority() {
    return {"dc1", LogState.cell("dc1")->Epoch - (chance(10) ? 1 : 0)};
  }

  unsigned randomAttempt(const std::string &Id) {
    const Job *J = LogState.job(Id);
    return (J ? J->Attempt : 0) + (chance(10) ? 1 : 0);
  }

  Body randomJob() {
    JobSpec J = spec(randomJobId(), randomAccount(), 1 + pick(3), pick(2) != 0);
    J.Urgent = pick(2) != 0;
    return JobAccepted{J, "dc1"};
  }

  Body randomPlacement() {
    std::string Id = randomJobId();
    const Job *J = LogState.job(Id);
    std::vector<pool::Placement> Tasks;
    unsigned Count = J ? J->Spec.Shape.Tasks : 1;
    for (unsigned I = 0; I < Count; ++I)
      Tasks.push_back({randomWorker(), pool::SlotMask{1} << pick(8)});
    return Placed{authority(), Id, randomAttempt(Id) + 1, Count == 1, Tasks};
  }

  Body randomJobEnd() {
    std::string Id = randomJobId();
    const Job *J = LogState.job(Id);
    std::vector<std::string> Parts(J ? J->Spec.Shape.Tasks : 1, "part");
    auto Result = static_cast<Outcome>(1 + pick(5));
    return JobEnded{authority(),
                    Id,
                    randomAttempt(Id),
                    Result,
                    "r",
                    pick(2) != 0,
                    Result == Outcome::Finished ? Parts
                                                : std::vector<std::string>{}};
  }

  Body randomListChange() {
    ListChange C;
    C.Kind = pick(2) ? ListKind::Plans : ListKind::Customers;
    C.Base = LogState.version(C.Kind) - (chance(20) ? 1 : 0);
    if (C.Kind == ListKind::Plans)
      C.PutPlans.push_back(plan("gold", 4 * (1 + pick(2))));
    else
      C.PutCustomers.push_back(customer(randomAccount(), "gold", chance(40)));
    return ListPublished{C};
  }

  Body randomBody(std::uint64_t Writer) {
    std::string Id = randomJobId();
    switch (pick(14)) {
    case 0:
    case 1:
    case 2:
      return randomJob();
    case 3:
    case 4:
    case 5:
    case 6:
      return randomPlacement();
    case 7:
      return StartCommitted{authority(), Id, randomAttempt(Id)};
    case 8:
      return StopRequested{authority(), Id, randomAttempt(Id), "reclaim",
                           randomAccount()};
    case 9:
      return AttemptEnded{
          authority(), Id, randomAttempt(Id), static_cast<AttemptEnd>(pick(4)),
          5,           {}};
    case 10:
      return randomJobEnd();
    case 11:
      return randomListChange();
    case 12:
      if (pick(3))
        return WorkerStatusChanged{authority(), randomWorker(),
                                   static_cast<pool::WorkerStatus>(pick(4))};
      return WorkerRegistered{
          authority(), {randomWorker(), "rack1", 8, 8}, "a", 64, 1};
    default:
      return chance(30) ? Body{Claim{"dc1", "d1", LogState.cell("dc1")->Epoch}}
                        : Body{CancelRequested{Writer ? Id : ""}};
    }
  }

  std::mt19937 Random;
};

/// Counts live jobs and used slots anew from the jobs and compares them with
/// the state and its pool.
void checkConsistency(const State &S) {
  std::map<std::pair<std::string, unsigned>, std::string> Holders;
  std::size_t Live = 0;
  for (const auto &[Id, J] : S.jobs()) {
    Live += J.live();
    BOOST_REQUIRE(J.placed() == !J.Tasks.empty());
    BOOST_REQUIRE(J.Tasks.empty() || J.Tasks.size() == J.Spec.Shape.Tasks);
    for (const pool::Placement &P : J.Tasks)
      for (unsigned Slot = 0; Slot < pool::MaxSlots; ++Slot)
        if ((P.Slots >> Slot) & 1)
          BOOST_REQUIRE(Holders.emplace(std::pair(P.Worker, Slot), Id).second);
  }
  BOOST_REQUIRE_EQUAL(S.liveJobs(), Live);
  BOOST_REQUIRE_EQUAL(S.cell("dc1")->Pool.usedSlots(), Holders.size());
}

/// Checks that work in the home of another account can be reclaimed, which
/// means that it is idempotent and not guaranteed.
void checkHomes(const State &S) {
  const pool::Pool &P = S.cell("dc1")->Pool;
  for (const auto &[Id, J] : S.jobs())
    for (const pool::Placement &T : J.Tasks)
      for (unsigned Slot = 0; Slot < pool::MaxSlots; ++Slot) {
        std::string_view Home =
            (T.Slots >> Slot) & 1 ? P.homeOf(T.Worker, Slot) : "";
        if (!Home.empty() && Home != J.Spec.Account) {
          BOOST_REQUIRE(!P.isGuaranteed(Id));
          BOOST_REQUIRE(J.Spec.Idempotent);
        }
      }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Replicas)

// Guards against daemons that derive different states from one log, also when
// one of them was restored from a snapshot, and against slots that are
// allocated twice or homes that cannot be reclaimed.
BOOST_AUTO_TEST_CASE(AgreeOnEveryHistory) {
  constexpr unsigned Seeds = 150, Steps = 200;
  std::uint64_t Applied = 0;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      RandomHistory H(Seed);
      auto Replica = State::restore(H.LogState.serialize());
      BOOST_REQUIRE(Replica);
      for (unsigned Step = 0; Step < Steps; ++Step) {
        Record R = H.nextRecord();
        Verdict Here = H.LogState.apply(H.LogState.nextOffset(), R);
        Verdict There = Replica->apply(Replica->nextOffset(), encode(R));
        Applied += Here.Applied;
        BOOST_REQUIRE_EQUAL(Here.Applied, There.Applied);
        checkConsistency(H.LogState);
        checkHomes(H.LogState);
        if (H.chance(5)) {
          BOOST_REQUIRE_EQUAL(H.LogState.serialize(), Replica->serialize());
          Replica = State::restore(H.LogState.serialize());
          BOOST_REQUIRE(Replica);
        }
      }
    }
  }
  BOOST_TEST_MESSAGE("seeds 1 to " << Seeds << ", " << Applied
                                   << " records applied");
  BOOST_TEST(Applied > Seeds * Steps / 5);
}

BOOST_AUTO_TEST_SUITE_END()
