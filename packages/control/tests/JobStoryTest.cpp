#define BOOST_TEST_MODULE control
#include "TwoDaemons.h"
#include <boost/test/unit_test.hpp>

using namespace heathersaddle;
using namespace heathersaddle::control;

BOOST_FIXTURE_TEST_SUITE(AJob, TwoDaemons)

// Guards against answers that reach only callers of the owner.
BOOST_AUTO_TEST_CASE(IsAnsweredByTheDaemonWhereItsCallerWaits) {
  std::string Id = submit(other(), 1, true);
  base::Expected<JobAnswer> Got;
  bool Called = false;
  other().wait(
      Id, "maison", base::Millis(30'000),
      [&](base::Expected<JobAnswer> A) {
        Got = std::move(A);
        Called = true;
      },
      now());
  BOOST_REQUIRE(runUntil([&] { return Called; }, 5'000));
  BOOST_REQUIRE(Got.has_value());
  BOOST_TEST(bool(Got->Result == state::Outcome::Finished));
  BOOST_REQUIRE_EQUAL(Got->Parts.size(), 1U);
  BOOST_TEST(Got->Parts[0] == "part 0");
}

// Guards against a gang of which only some tasks run or are answered.
BOOST_AUTO_TEST_CASE(OfManyTasksEndsAsAWhole) {
  std::string Id = submit(owner(), 3, true);
  BOOST_REQUIRE(runUntil([&] { return ended(Id); }, 10'000));
  BOOST_TEST(bool(job(Id).Result == state::Outcome::Finished));
  BOOST_TEST(job(Id).Parts.size() == 3U);
  BOOST_TEST(starts(Id) == 3U);
}

// Guards against a second run when a client repeats its request to another
// daemon.
BOOST_AUTO_TEST_CASE(WithARepeatedKeyIsAcceptedOnce) {
  std::string First = submit(owner(), 1, false, "ok:500", "key");
  std::string Second = submit(other(), 1, false, "ok:500", "key");
  BOOST_TEST(First == Second);
  run(3'000);
  BOOST_TEST(starts(First) == 1U);
}

// Guards against a gang that continues to run after one of its tasks failed.
BOOST_AUTO_TEST_CASE(WithAFailedTaskStopsTheWholeGang) {
  std::string Id = submit(owner(), 2, false, "ok:60000");
  BOOST_REQUIRE(runUntilStarted(Id));
  Workers[workerOf(Id, 1)].Tasks.begin()->second.Kind = "fail:10";
  BOOST_REQUIRE(runUntil([&] { return ended(Id); }, 30'000));
  BOOST_TEST(bool(job(Id).Result == state::Outcome::Failed));
  for (auto &[Name, W] : Workers)
    BOOST_TEST(W.runningTasks() == 0U);
}

// Guards against reporting a job as cancelled while tasks of it still run.
BOOST_AUTO_TEST_CASE(IsCancelledOnlyWhenItsWorkersConfirm) {
  std::string Id = submit(owner(), 2, true, "ok:60000");
  BOOST_REQUIRE(runUntilStarted(Id));
  other().cancel(
      Id, "maison", [](auto) {}, now());
  BOOST_REQUIRE(runUntil([&] { return ended(Id); }, 10'000));
  BOOST_TEST(bool(job(Id).Result == state::Outcome::Cancelled));
  BOOST_TEST(job(Id).Ran);
  for (auto &[Name, W] : Workers)
    BOOST_TEST(W.runningTasks() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AWorkerThat, TwoDaemons)

// Guards against a repeated start after a lost reply.
BOOST_AUTO_TEST_CASE(LosesAStartReplyRunsTheTaskOnce) {
  LoseStartReplies = 2;
  std::string Id = submit(owner(), 1, false, "ok:3000");
  BOOST_REQUIRE(runUntil([&] { return ended(Id); }, 30'000));
  BOOST_TEST(bool(job(Id).Result == state::Outcome::Finished));
  BOOST_TEST(starts(Id) == 1U);
}

// Guards against a second run of work that must not be repeated.
BOOST_AUTO_TEST_CASE(RestartsLeavesNonIdempotentWorkUnknown) {
  std::string Id = submit(owner(), 1, false, "ok:60000");
  BOOST_REQUIRE(runUntilStarted(Id));
  Workers[workerOf(Id)].restart();
  BOOST_REQUIRE(runUntil([&] { return ended(Id); }, 70'000));
  BOOST_TEST(bool(job(Id).Result == state::Outcome::Unknown));
  BOOST_TEST(starts(Id) == 1U);
}

// Guards against a gang that is never resumed, and one of which only some tasks
// are resumed.
BOOST_AUTO_TEST_CASE(RestartsResumesTheWholeGang) {
  std::string Id = submit(owner(), 2, true, "ok:5000");
  BOOST_REQUIRE(runUntilStarted(Id));
  Workers[workerOf(Id, 1)].restart();
  BOOST_REQUIRE(runUntil([&] { return ended(Id); }, 120'000));
  BOOST_TEST(bool(job(Id).Result == state::Outcome::Finished));
  BOOST_TEST(job(Id).Attempt == 2U);
  BOOST_TEST(starts(Id) == 4U);
}

// Guards against the loss of hours of progress when a worker restarts.
BOOST_AUTO_TEST_CASE(RestartsResumesFromTheLastCheckpoint) {
  std::string Id = submit(owner(), 1, true, "ok:20000000");
  BOOST_REQUIRE(runUntilStarted(Id));
  FakeWorker &W = Workers[workerOf(Id)];
  run(1'000'000);
  W.reportUsage();
  run(3'000'000);
  BOOST_REQUIRE(W.Adjustments["checkpoint"] > 0);
  W.restart();
  BOOST_REQUIRE(runUntil([&] { return job(Id).Attempt == 2; }, 60'000));
  BOOST_TEST(job(Id).ProgressMs >= 990'000);
  BOOST_TEST(job(Id).ProgressMs <= 1'010'000);
}

// Guards against a second attempt while the first may still run.
BOOST_AUTO_TEST_CASE(IsUnreachableKeepsItsWorkUntilItsLeaseIsOver) {
  std::string Id = submit(owner(), 1, true, "ok:400000");
  BOOST_REQUIRE(runUntilStarted(Id));
  std::string First = workerOf(Id);
  CutLinks = {{"d1", First}, {"d2", First}};
  bool Overlap = false;
  bool Moved = runUntil(
      [&] {
        unsigned Running = 0;
        for (auto &[Name, W] : Workers)
          Running += W.runningTasks();
        Overlap = Overlap || Running > 1;
        return starts(Id) == 2;
      },
      400'000);
  BOOST_TEST(Moved);
  BOOST_TEST(!Overlap);
}

// Guards against new work on a host that the platform is about to remove.
BOOST_AUTO_TEST_CASE(LeavesGetsNoNewWork) {
  Hosts[0].Leaving = true;
  run(5'000);
  std::vector<std::string> Ids;
  Ids.reserve(24);
  for (int I = 0; I < 24; ++I)
    Ids.push_back(submit(owner(), 1, true, "ok:100"));
  run(5'000);
  for (const std::string &Id : Ids)
    BOOST_TEST(Workers[Hosts[0].Name].Starts[Id] == 0U);
}

// Guards against a recorded placement that is sent to a worker long after the
// host list showed it leaving.
BOOST_AUTO_TEST_CASE(LeavesBeforeItGetsItsTaskDoesNotStartIt) {
  for (const HostEntry &H : Hosts)
    CutLinks.insert({{"d1", H.Name}, {"d2", H.Name}});
  std::string Id = submit(owner(), 1, true, "ok:100");
  run(1'000);
  BOOST_REQUIRE(job(Id).placed());
  std::string First = workerOf(Id);
  for (HostEntry &H : Hosts)
    H.Leaving = H.Name == First;
  run(5'000);
  CutLinks.clear();
  BOOST_REQUIRE(runUntil([&] { return ended(Id); }, 300'000));
  BOOST_TEST(bool(job(Id).Result == state::Outcome::Finished));
  BOOST_TEST(Workers[First].Starts[Id] == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
