#include "CopyPacing.h"
#include "Deployment.h"

using namespace heathersaddle;
using namespace heathersaddle::cluster;
using base::Millis;

namespace {

/// Half of all calls to the 30 workers are not answered, and carried out late.
struct LossyDeployment : Deployment {
  explicit LossyDeployment(std::uint64_t Seed) {
    Random.seed(Seed);
    for (const char *Id : {"w1", "w2", "w3"})
      setDraining(Id, true);
    for (int N = 10; N < 40; ++N)
      addWorker("v" + std::to_string(N), "r" + std::to_string(N % 3));
    run(500);
    LateCallShare = 0.5;
  }
  /// The runs of the job that are at work, if all have the same number.
  std::size_t present(const std::string &Job) const {
    std::map<unsigned, std::size_t> ByNumber;
    for (const auto &[Id, W] : Workers)
      for (const auto &R : W.Runs)
        ByNumber[R.Number] += R.Task.Job == Job;
    std::size_t Most = 0;
    for (const auto &[Number, Runs] : ByNumber)
      Most = std::max(Most, Runs);
    return Most;
  }
};

constexpr std::uint64_t Seeds = 20;

} // namespace

BOOST_AUTO_TEST_SUITE(CallsToWorkersOverALossyPath)

// Guards against gangs that are stopped as a whole and started again and again,
// because the start of one member was tried only three times. The members of a
// gang wait for one another for 3 s at least.
BOOST_AUTO_TEST_CASE(NineOfTenGangsStartWithinTheTimeToAssemble) {
  for (unsigned Members : {5U, 11U, 30U}) {
    unsigned Started = 0;
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      LossyDeployment D(Seed);
      auto J = D.job("1", Members, 1, 60'000);
      J.Steps[0].Gang = true;
      J.Steps[0].MaxPerWorker = 1;
      D.GangSizes["1"] = Members;
      BOOST_REQUIRE(!D.submit(D.anyDaemon(), J));
      BOOST_REQUIRE(D.runUntil([&] { return D.present("1") > 0; }, 3'000));
      Started += D.runUntil([&] { return D.present("1") == Members; }, 3'000);
    }
    BOOST_TEST(Started * 10 >= Seeds * 9, Members << " members: " << Started);
  }
}

// Guards against runs that are lost and begun anew because a few renewals of
// their leases had no answer.
BOOST_AUTO_TEST_CASE(NineOfTenRunsKeepTheirLease) {
  unsigned Tasks = 0;
  unsigned Runs = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    LossyDeployment D(Seed);
    D.LateCallShare = 0;
    auto J = D.job("1", 30, 1, 20'000);
    J.Steps[0].MaxPerWorker = 1;
    BOOST_REQUIRE(!D.submit(D.anyDaemon(), J));
    BOOST_REQUIRE(D.runUntil([&] { return D.Starts.size() == 30; }, 2'000));
    D.LateCallShare = 0.5;
    D.run(18'000);
    for (const auto &[Task, Count] : D.Starts) {
      ++Tasks;
      Runs += Count;
    }
  }
  BOOST_TEST(Runs * 10 <= Tasks * 11, Runs << " runs of " << Tasks);
}

// Guards against urgent work that waits for room, because the stops of what is
// in its way were tried too seldom. Its account's reserved GPUs are due within
// 2.7 s.
BOOST_AUTO_TEST_CASE(UrgentWorkGetsItsReservedRoomInTime) {
  unsigned InTime = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    LossyDeployment D(Seed);
    D.LateCallShare = 0;
    auto Filling = D.job("low", 240, 1, 60'000);
    Filling.Priority = 2;
    BOOST_REQUIRE(!D.submit(D.anyDaemon(), Filling));
    BOOST_REQUIRE(D.runUntil([&] { return D.Starts.size() == 240; }, 3'000));
    D.run(1'000);
    D.LateCallShare = 0.5;
    auto Urgent = D.job("urgent", 2, 8, 1'000);
    Urgent.Priority = 0;
    BOOST_REQUIRE(!D.submit(D.anyDaemon(), Urgent));
    InTime += D.runUntil(
        [&] {
          return D.Starts.contains({"urgent", {0, 0, 0}}) &&
                 D.Starts.contains({"urgent", {0, 0, 1}});
        },
        2'700);
  }
  BOOST_TEST(InTime * 10 >= Seeds * 9, InTime << " of " << Seeds);
}

// Guards against work that is lost or runs twice because orders, or the answers
// to them, are late.
BOOST_AUTO_TEST_CASE(WorkRunsOnceAndEnds) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    LossyDeployment D(Seed);
    for (int N = 0; N < 10; ++N) {
      std::string Id = std::to_string(N);
      auto J = D.job(Id, 6, 2, 1'000);
      J.Priority = static_cast<unsigned>(N % 3);
      J.Steps[0].Gang = N % 2;
      if (J.Steps[0].Gang)
        D.GangSizes[Id] = 6;
      BOOST_REQUIRE(!D.submit(D.anyDaemon(), J));
    }
    BOOST_TEST(D.runUntil(
        [&] {
          for (int N = 0; N < 10; ++N)
            if (!D.allShow(std::to_string(N), JobState::Completed))
              return false;
          return true;
        },
        20'000));
    BOOST_TEST(!D.RunsOverlapped);
    BOOST_TEST(!D.StartedAfterAcknowledgedEnd);
    BOOST_TEST(!D.StartedAfterEndAcknowledgedLater);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(CopiesOfACall)

// Guards against a worker behind a slow link that is sent many copies of each
// call.
BOOST_AUTO_TEST_CASE(AreSentAtTheRateAtWhichTheWorkerAnswers) {
  CopyPacing P;
  Millis Quick = P.interval(1);
  P.answered(Millis(10));
  BOOST_TEST((P.interval(1) == Quick));
  P.answered(Millis(400));
  BOOST_TEST((P.interval(1) == Millis(800)));
  for (int N = 0; N < 50; ++N)
    P.answered(Millis(10));
  BOOST_TEST((P.interval(1) == Quick));
}

// Guards against a worker that has failed and is called seven times a second
// for every run that is to be stopped there.
BOOST_AUTO_TEST_CASE(BecomeRareIfNoneIsAnswered) {
  CopyPacing P;
  BOOST_TEST((P.interval(1) < Millis(200)));
  BOOST_TEST((P.interval(20) == Millis(1'000)));
}

BOOST_AUTO_TEST_SUITE_END()
