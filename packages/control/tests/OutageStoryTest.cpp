#include "Snapshots.h"
#include "TwoDaemons.h"
#include <boost/test/unit_test.hpp>

using namespace heathersaddle;
using namespace heathersaddle::control;

BOOST_FIXTURE_TEST_SUITE(AnAppend, TwoDaemons)

// Guards against a job that is accepted twice, or refused although its record
// took effect.
BOOST_AUTO_TEST_CASE(WhoseResponseIsLostTakesEffectOnce) {
  unsigned Before = countRecords("job_accepted");
  LoseAppendReplies = 3;
  std::string Id = submit(owner(), 1, false, "ok:100");
  BOOST_REQUIRE(runUntil([&] { return ended(Id); }, 20'000));
  BOOST_TEST(starts(Id) == 1U);
  BOOST_TEST(countRecords("job_accepted") >= Before + 1);
  BOOST_TEST(owner().state().jobs().size() == 1U);
}

// Guards against a record that is dropped after one failed append.
BOOST_AUTO_TEST_CASE(ThatWasLostIsRepeated) {
  LoseAppends = 1;
  std::string Id = submit(other(), 1, true, "ok:100");
  BOOST_TEST(runUntil([&] { return ended(Id); }, 20'000));
}

// Guards against a job that runs after its caller was told that the request
// failed, and against the message "nothing took effect" when that is not
// certain.
BOOST_AUTO_TEST_CASE(ThatItsCallerNoLongerWaitsForIsVoided) {
  SubmitRequest R;
  R.Spec.Account = "maison";
  R.Spec.Kind = "ok:100";
  std::optional<base::Expected<SubmitResult>> Got;
  other().submit(
      R, [&](auto X) { Got = std::move(X); }, now());
  LogDown = true;
  BOOST_REQUIRE(runUntil([&] { return Got.has_value(); }, 20'000));
  BOOST_REQUIRE(!Got->has_value());
  BOOST_TEST(bool(Got->error().Code == base::ErrorCode::Unresolved));
  LogDown = false;
  run(20'000);
  BOOST_TEST(other().state().jobs().empty());
  BOOST_TEST(owner().state().jobs().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(WhileTheLogIsDown, TwoDaemons)

// Guards against answers that are held back until the end of the outage, and
// against leases that expire during it.
BOOST_AUTO_TEST_CASE(WorkRunsOnAndItsAnswerReachesTheCaller) {
  std::string Id = submit(other(), 2, true, "ok:400000");
  BOOST_REQUIRE(runUntilStarted(Id));
  LogDown = true;
  run(395'000);
  std::optional<JobAnswer> Got;
  other().wait(
      Id, "maison", base::Millis(60'000),
      [&](base::Expected<JobAnswer> A) { Got = A.value(); }, now());
  BOOST_REQUIRE(runUntil([&] { return Got.has_value(); }, 30'000));
  BOOST_TEST(bool(Got->Result == state::Outcome::Finished));
  BOOST_TEST(Got->Parts.size() == 2U);
  LogDown = false;
  BOOST_REQUIRE(runUntil([&] { return ended(Id); }, 30'000));
  BOOST_TEST(starts(Id) == 2U);
  BOOST_TEST(job(Id).Attempt == 1U);
}

// Guards against owners that lose their cells because they could not write
// heartbeats.
BOOST_AUTO_TEST_CASE(NoCellChangesHands) {
  std::uint64_t Epoch = owner().state().cell("north")->Epoch;
  LogDown = true;
  run(60'000);
  LogDown = false;
  run(30'000);
  BOOST_TEST(owner().state().cell("north")->Epoch == Epoch);
}

// Guards against requests that are accepted although nothing can be recorded.
BOOST_AUTO_TEST_CASE(NewWorkIsRefusedAsNotRun) {
  LogDown = true;
  run(30'000);
  SubmitRequest R;
  R.Spec.Account = "maison";
  std::optional<base::Expected<SubmitResult>> Got;
  owner().submit(
      R, [&](auto X) { Got = std::move(X); }, now());
  BOOST_REQUIRE(Got.has_value() && !Got->has_value());
  BOOST_TEST(bool(Got->error().Code == base::ErrorCode::Unavailable));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(AnOwnerThat, TwoDaemons)

// Guards against work that is lost or started twice at any point between
// acceptance and start when its owner is killed there.
BOOST_AUTO_TEST_CASE(IsKilledAtAnyPointLosesNothing) {
  for (int Offset = 0; Offset <= 300; Offset += 20)
    for (bool Idempotent : {false, true})
      for (unsigned Tasks : {1U, 2U}) {
        TwoDaemons World;
        std::string Id =
            World.submit(World.other(), Tasks, Idempotent, "ok:2000");
        World.run(Offset);
        World.Daemons[World.Owner].Alive = false;
        bool Ended = World.runUntil([&] { return World.ended(Id); }, 400'000);
        BOOST_TEST_CONTEXT("offset " << Offset << " idempotent " << Idempotent
                                     << " tasks " << Tasks) {
          BOOST_REQUIRE(Ended);
          BOOST_TEST(bool(World.job(Id).Result == state::Outcome::Finished));
          BOOST_TEST(World.starts(Id) == Tasks);
        }
      }
}

// Guards against acknowledging the answer of a task to its worker before the
// log holds it.
BOOST_AUTO_TEST_CASE(IsKilledBetweenTwoPartsLeavesTheFirstWithItsWorker) {
  std::string Id = submit(other(), 2, false, "ok:20000");
  BOOST_REQUIRE(runUntilStarted(Id));
  Workers[workerOf(Id, 0)].Tasks.begin()->second.Kind = "ok:1000";
  run(8'000);
  Daemons[Owner].Alive = false;
  BOOST_REQUIRE(runUntil([&] { return ended(Id); }, 200'000));
  BOOST_TEST(bool(job(Id).Result == state::Outcome::Finished));
  BOOST_TEST(job(Id).Parts.at(0) == "part 0");
  BOOST_TEST(starts(Id) == 2U);
}

// Guards against an owner that acts after its cell was taken over.
BOOST_AUTO_TEST_CASE(IsPausedActsNoMoreAfterItResumes) {
  std::string Id = submit(other(), 2, false, "ok:20000");
  BOOST_REQUIRE(runUntilStarted(Id));
  Daemons[Owner].Paused = true;
  BOOST_REQUIRE(
      runUntil([&] { return !other().ownedCells().empty(); }, 20'000));
  Daemons[Owner].Paused = false;
  BOOST_REQUIRE(runUntil([&] { return ended(Id); }, 60'000));
  BOOST_TEST(bool(job(Id).Result == state::Outcome::Finished));
  BOOST_TEST(starts(Id) == 2U);
  BOOST_TEST(owner().ownedCells().empty());
}

// Guards against a planned stop that interrupts work or leaves the cell without
// an owner.
BOOST_AUTO_TEST_CASE(StopsHandsItsCellOver) {
  std::string Id = submit(other(), 2, false, "ok:20000");
  BOOST_REQUIRE(runUntilStarted(Id));
  owner().beginStop(now());
  BOOST_TEST(!owner().ready());
  BOOST_REQUIRE(runUntil([&] { return owner().stopped(); }, 5'000));
  Daemons[Owner].Alive = false;
  BOOST_TEST(runUntil([&] { return !other().ownedCells().empty(); }, 2'000));
  BOOST_REQUIRE(runUntil([&] { return ended(Id); }, 60'000));
  BOOST_TEST(bool(job(Id).Result == state::Outcome::Finished));
  BOOST_TEST(starts(Id) == 2U);
}

// Guards against a claim by a daemon that a network partition cuts off from the
// workers.
BOOST_AUTO_TEST_CASE(FailsIsNotReplacedByADaemonThatReachesNoWorker) {
  for (auto &[Name, W] : Workers)
    CutLinks.emplace(Other, Name);
  Daemons[Owner].Alive = false;
  run(30'000);
  BOOST_TEST(other().ownedCells().empty());
  CutLinks.clear();
  BOOST_TEST(runUntil([&] { return !other().ownedCells().empty(); }, 20'000));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ANewOwner, TwoDaemons)

// Guards against one unreachable worker that blocks all placements of a new
// owner until it counts as lost.
BOOST_AUTO_TEST_CASE(StartsWorkWhileOneWorkerIsUnreachable) {
  Daemons[Owner].Alive = false;
  CutLinks.insert({Other, "w1"});
  BOOST_REQUIRE(
      runUntil([&] { return !other().ownedCells().empty(); }, 20'000));
  std::string Job = submit(other(), 1, true);
  BOOST_TEST(runUntil([&] { return starts(Job) == 1U; }, 6'000));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ADaemonThatStarts, TwoDaemons)

// Guards against acting on a state that lacks some records of the log.
BOOST_AUTO_TEST_CASE(IsNotReadyWithoutASnapshotOfATrimmedLog) {
  Stream &S = Log["control"];
  S.Records.erase(S.Records.begin(), S.Records.begin() + 5);
  S.Oldest = 5;
  Node &N = addDaemon("d3", "north");
  run(10'000);
  BOOST_TEST(!N.ready());
  // A snapshot by a daemon that has the whole state makes it ready.
  std::uint64_t Covered = owner().state().nextOffset();
  for (std::string &Chunk :
       snapshotChunks("s", Covered, owner().state().serialize()))
    Log["snapshots"].Records.push_back(std::move(Chunk));
  BOOST_TEST(runUntil([&] { return N.ready(); }, 20'000));
  BOOST_TEST(N.state().digest() == owner().state().digest());
}

// Guards against snapshots that are never written or cannot be read.
BOOST_AUTO_TEST_CASE(ReadsTheSnapshotThatAnOwnerWrote) {
  BOOST_REQUIRE(runUntil([&] { return !Log["snapshots"].Records.empty(); },
                         7 * 3'600'000));
  Stream &S = Log["control"];
  S.Oldest = S.next() - 10;
  S.Records.erase(S.Records.begin(), S.Records.end() - 10);
  Node &N = addDaemon("d3", "north");
  BOOST_TEST(runUntil([&] { return N.ready(); }, 20'000));
  run(5'000);
  BOOST_TEST(N.state().digest() == owner().state().digest());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Daemons)

// Guards against one daemon that keeps every cell because it started first.
BOOST_AUTO_TEST_CASE(TakeTheCellsOfTheirOwnDataCentre) {
  World W;
  W.addWorker("n1", "north", "r1");
  W.addWorker("s1", "south", "r2");
  Node &North = W.addDaemon("d1", "north");
  BOOST_REQUIRE(
      W.runUntil([&] { return North.ownedCells().size() == 2; }, 20'000));
  Node &South = W.addDaemon("d2", "south");
  BOOST_REQUIRE(W.runUntil(
      [&] { return South.ownedCells() == std::vector<std::string>{"south"}; },
      120'000));
  std::uint64_t Epoch = North.state().cell("south")->Epoch;
  W.run(600'000);
  BOOST_TEST(North.ownedCells() == std::vector<std::string>{"north"});
  BOOST_TEST(North.state().cell("south")->Epoch == Epoch);
}

// Guards against entries of daemons on replaced hosts, which would delay every
// takeover.
BOOST_FIXTURE_TEST_CASE(ThatNoLongerExistAreRemoved, TwoDaemons) {
  Daemons[Other].Alive = false;
  BOOST_TEST(runUntil(
      [&] { return !owner().state().daemons().contains(Other); }, 120'000));
}

BOOST_AUTO_TEST_SUITE_END()
