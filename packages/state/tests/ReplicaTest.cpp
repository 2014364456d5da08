#include "Fixture.h"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace heathersaddle;
using namespace heathersaddle::state;
using testing::Log;

namespace {

/// Appends random records, many of them invalid, as confused or superseded
/// daemons would.
class RandomHistory : public Log {
public:
  explicit RandomHistory(unsigned Seed) : Random(Seed) {
    open();
    addWorker("w3");
    lists();
  }

  Record next() {
    std::uint64_t Writer = 1 + pick(3);
    Wall += static_cast<base::WallMs>(pick(5'000));
    return {Writer, ++Sequences[Writer], Wall, body(Writer)};
  }

  bool chance(unsigned Percent) { return pick(100) < Percent; }

private:
  unsigned pick(unsigned N) { return static_cast<unsigned>(Random() % N); }

  std::string jobId() { return "j" + std::to_string(pick(12)); }
  std::string worker() { return "w" + std::to_string(1 + pick(3)); }
  std::string account() { return pick(2) ? "a" : "b"; }

  Authority by() {
    return {"dc1", S.cell("dc1")->Epoch - (chance(10) ? 1 : 0)};
  }

  unsigned attempt(const std::string &Id) {
    const Job *J = S.job(Id);
    return (J ? J->Attempt : 0) + (chance(10) ? 1 : 0);
  }

  Body accepted() {
    JobSpec J = spec(jobId(), account(), 1 + pick(3), pick(2) != 0);
    J.Urgent = pick(2) != 0;
    return JobAccepted{J, "dc1"};
  }

  Body placed() {
    std::string Id = jobId();
    const Job *J = S.job(Id);
    std::vector<pool::Placement> Tasks;
    unsigned Count = J ? J->Spec.Shape.Tasks : 1;
    for (unsigned I = 0; I < Count; ++I)
      Tasks.push_back({worker(), pool::SlotMask{1} << pick(8)});
    return Placed{by(), Id, attempt(Id) + 1, Count == 1, Tasks};
  }

  Body ended() {
    std::string Id = jobId();
    const Job *J = S.job(Id);
    std::vector<std::string> Parts(J ? J->Spec.Shape.Tasks : 1, "part");
    auto Result = static_cast<Outcome>(1 + pick(5));
    return JobEnded{by(),
                    Id,
                    attempt(Id),
                    Result,
                    "r",
                    pick(2) != 0,
                    Result == Outcome::Finished ? Parts
                                                : std::vector<std::string>{}};
  }

  Body listed() {
    ListChange C;
    C.Kind = pick(2) ? ListKind::Plans : ListKind::Customers;
    C.Base = S.version(C.Kind) - (chance(20) ? 1 : 0);
    if (C.Kind == ListKind::Plans)
      C.PutPlans.push_back(plan("gold", 4 * (1 + pick(2))));
    else
      C.PutCustomers.push_back(customer(account(), "gold", chance(40)));
    return ListPublished{C};
  }

  Body body(std::uint64_t Writer) {
    std::string Id = jobId();
    switch (pick(14)) {
    case 0:
    case 1:
    case 2:
      return accepted();
    case 3:
    case 4:
    case 5:
    case 6:
      return placed();
    case 7:
      return StartCommitted{by(), Id, attempt(Id)};
    case 8:
      return StopRequested{by(), Id, attempt(Id), "reclaim", account()};
    case 9:
      return AttemptEnded{
          by(), Id, attempt(Id), static_cast<AttemptEnd>(pick(4)), 5, {}};
    case 10:
      return ended();
    case 11:
      return listed();
    case 12:
      if (pick(3))
        return WorkerStatusChanged{by(), worker(),
                                   static_cast<pool::WorkerStatus>(pick(4))};
      return WorkerRegistered{by(), {worker(), "rack1", 8, 8}, "a", 64, 1};
    default:
      return chance(30) ? Body{Claim{"dc1", "d1", S.cell("dc1")->Epoch}}
                        : Body{CancelRequested{Writer ? Id : ""}};
    }
  }

  std::mt19937 Random;
};

/// Recounts from the jobs what the state and its pool keep in other forms.
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

/// Invariant G: what stands in a home and does not belong to its account can
/// be reclaimed, because it is idempotent and not guaranteed.
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
// one of them came from a snapshot, and against slots that are held twice or
// homes that cannot be reclaimed.
BOOST_AUTO_TEST_CASE(AgreeOnEveryHistory) {
  constexpr unsigned Seeds = 150, Steps = 200;
  std::uint64_t Applied = 0;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    BOOST_TEST_CONTEXT("seed " << Seed) {
      RandomHistory H(Seed);
      auto Replica = State::restore(H.S.serialize());
      BOOST_REQUIRE(Replica);
      for (unsigned Step = 0; Step < Steps; ++Step) {
        Record R = H.next();
        Verdict Here = H.S.apply(H.S.nextOffset(), R);
        Verdict There = Replica->apply(Replica->nextOffset(), encode(R));
        Applied += Here.Applied;
        BOOST_REQUIRE_EQUAL(Here.Applied, There.Applied);
        checkConsistency(H.S);
        checkHomes(H.S);
        if (H.chance(5)) {
          BOOST_REQUIRE_EQUAL(H.S.serialize(), Replica->serialize());
          Replica = State::restore(H.S.serialize());
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
