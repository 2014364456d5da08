#define BOOST_TEST_MODULE state
#include "Fixture.h"
#include <boost/test/unit_test.hpp>

using namespace heathersaddle;
using namespace heathersaddle::state;
using testing::StateFixture;

namespace {
struct CellWithAccounts : StateFixture {
  CellWithAccounts() {
    claimCellWithWorkers();
    publishLists();
  }
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(AJob, CellWithAccounts)

BOOST_AUTO_TEST_SUITE(IsAccepted)

// Guards against accepting two jobs under one idempotency key.
BOOST_AUTO_TEST_CASE(OnceWhenItIsRepeatedThroughAnotherDaemon) {
  BOOST_TEST(accept(spec("j1", "a")).Applied);
  Verdict Again = append(3, JobAccepted{spec("j1", "a"), "dc1"});
  BOOST_TEST(!Again.Applied);
  BOOST_TEST(Again.Why.Field == "repeat");
  BOOST_TEST(LogState.liveJobs() == 1u);
}

// Guards against treating a different request under a used key as a repeat.
BOOST_AUTO_TEST_CASE(NotWhenTheKeyBelongsToAnotherRequest) {
  accept(spec("j1", "a"));
  JobSpec Other = spec("j1", "a");
  Other.Digest = "other";
  BOOST_TEST(accept(Other).Why.Field == "idempotency_key");
}

// Guards against accepting jobs from departed or unknown accounts.
BOOST_AUTO_TEST_CASE(OnlyFromListedAccountsThatHaveNotDeparted) {
  BOOST_TEST(!accept(spec("j1", "stranger")).Applied);
  publishCustomers({customer("b", "gold", true)}, 1);
  BOOST_TEST(!accept(spec("j2", "b")).Applied);
}

// Guards against an account that fills the queues of the pool, and against a
// quota that is not released when jobs end.
BOOST_AUTO_TEST_CASE(UpToTheQuotaOfThePlan) {
  Plan Small = plan("gold", 8);
  Small.MaxJobs = 2;
  BOOST_REQUIRE(publishPlans({Small}, 1).Applied);
  accept(spec("j1", "a"));
  accept(spec("j2", "a"));
  Verdict V = accept(spec("j3", "a"));
  BOOST_TEST(!V.Applied);
  BOOST_TEST((V.Why.Code == base::ErrorCode::ResourceExhausted));
  BOOST_TEST(accept(spec("j4", "b")).Applied);
  append(1, JobEnded{owner(), "j1", 0, Outcome::NotRun, "r", false, {}, {}});
  BOOST_TEST(accept(spec("j3", "a")).Applied);
}

// Guards against applying a repeated append twice.
BOOST_AUTO_TEST_CASE(OnceWhenTheAppendIsRepeated) {
  Record R{77, 1, WallClock, JobAccepted{spec("j1", "a"), "dc1"}};
  BOOST_TEST(LogState.apply(LogState.nextOffset(), encode(R)).Applied);
  BOOST_TEST(LogState.apply(LogState.nextOffset(), encode(R)).Duplicate);
}

// Guards against applying a late append that its writer has given up and
// followed by a later record.
BOOST_AUTO_TEST_CASE(NeverAfterALaterRecordOfTheSameWriter) {
  BOOST_TEST(LogState
                 .apply(LogState.nextOffset(),
                        encode(Record{77, 2, WallClock, Noop{}}))
                 .Applied);
  Record Late{77, 1, WallClock, JobAccepted{spec("j1", "a"), "dc1"}};
  BOOST_TEST(LogState.apply(LogState.nextOffset(), encode(Late)).Duplicate);
  BOOST_TEST(!LogState.job("j1"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(IsPlaced)

// Guards against running part of a gang.
BOOST_AUTO_TEST_CASE(AsAWholeGangAndReservedBeforeItStarts) {
  accept(spec("g", "a", 2));
  std::string W = homeWorker("a");
  BOOST_TEST(!place("g", 1, false, {{W, 1}}).Applied);
  BOOST_TEST(!place("g", 1, true, {{W, 1}, {W, 2}}).Applied);
  BOOST_TEST(place("g", 1, false, {{W, 1}, {W, 2}}).Applied);
  BOOST_TEST(!LogState.job("g")->Started);
  BOOST_TEST(append(1, StartCommitted{owner(), "g", 1}).Applied);
  BOOST_TEST(LogState.job("g")->Started);
}

// Guards against applying records of a superseded owner.
BOOST_AUTO_TEST_CASE(OnlyByTheOwnerOfTheEpoch) {
  accept(spec("j", "a"));
  Authority Old = owner();
  append(2, DaemonJoined{"d2", "127.0.0.1:2", "dc1"});
  BOOST_TEST(append(2, Claim{"dc1", "d2", 1}).Applied);
  std::string W = homeWorker("a");
  BOOST_TEST(!append(1, Placed{Old, "j", 1, true, {{W, 1}}}).Applied);
  BOOST_TEST(!append(1, Placed{owner(), "j", 1, true, {{W, 1}}}).Applied);
  BOOST_TEST(append(2, Placed{owner(), "j", 1, true, {{W, 1}}}).Applied);
}

// Guards against two owners after concurrent claims.
BOOST_AUTO_TEST_CASE(ByTheFirstOfTwoClaims) {
  append(2, DaemonJoined{"d2", "127.0.0.1:2", "dc1"});
  append(3, DaemonJoined{"d3", "127.0.0.1:3", "dc1"});
  BOOST_TEST(append(3, Claim{"dc1", "d3", 1}).Applied);
  BOOST_TEST(!append(2, Claim{"dc1", "d2", 1}).Applied);
  BOOST_TEST(LogState.cell("dc1")->Owner == "d3");
}

// Guards against running a non-idempotent job twice.
BOOST_AUTO_TEST_CASE(AgainOnlyWhenItCertainlyDidNotStart) {
  std::string W = homeWorker("a");
  accept(spec("j", "a"));
  place("j", 1, true, {{W, 1}});
  BOOST_TEST(!append(1, AttemptEnded{owner(), "j", 1, AttemptEnd::WorkerLost})
                  .Applied);
  BOOST_TEST(
      append(1, AttemptEnded{owner(), "j", 1, AttemptEnd::NotStarted}).Applied);
  BOOST_TEST(place("j", 2, true, {{W, 1}}).Applied);
}

// Guards against a failure count that is lost when a new owner restores the
// state, so that a failing job is retried without end.
BOOST_AUTO_TEST_CASE(WithItsFailuresCountedAcrossOwners) {
  std::string W = homeWorker("a");
  accept(spec("j", "a", 1, true));
  for (unsigned Attempt = 1; Attempt <= 2; ++Attempt) {
    place("j", Attempt, true, {{W, 1}});
    append(1,
           AttemptEnded{owner(), "j", Attempt, AttemptEnd::TaskFailed, 0, {W}});
  }
  auto Copy = State::restore(LogState.serialize());
  BOOST_REQUIRE(Copy);
  BOOST_TEST(Copy->job("j")->Failures == 2u);
}

// Guards against placing a non-idempotent job on slots that can be reclaimed.
BOOST_AUTO_TEST_CASE(NeverOnBorrowedSlotsWhenNonIdempotent) {
  accept(spec("j", "a"));
  BOOST_TEST(!place("j", 1, true, {{homeWorker("b"), 1}}).Applied);
  accept(spec("k", "a", 1, true));
  BOOST_TEST(place("k", 1, true, {{homeWorker("b"), 1}}).Applied);
}

// Guards against reclaiming slots from guaranteed work.
BOOST_AUTO_TEST_CASE(AndReclaimedOnlyFromBorrowedSlots) {
  accept(spec("own", "a", 1, true));
  accept(spec("lent", "a", 1, true));
  place("own", 1, true, {{homeWorker("a"), 1}});
  place("lent", 1, true, {{homeWorker("b"), 1}});
  BOOST_TEST(
      !append(1, StopRequested{owner(), "own", 1, "reclaim", "b"}).Applied);
  BOOST_TEST(
      append(1, StopRequested{owner(), "lent", 1, "reclaim", "b"}).Applied);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Ends)

// Guards against reporting "not run" for a job that may have run.
BOOST_AUTO_TEST_CASE(AsNotRunOnlyWhenThatIsCertain) {
  std::string W = homeWorker("a");
  accept(spec("j", "a", 1, true));
  place("j", 1, true, {{W, 1}});
  append(1, AttemptEnded{owner(), "j", 1, AttemptEnd::WorkerLost});
  JobEnded NotRun{owner(), "j", 1, Outcome::NotRun, "r", false, {}};
  BOOST_TEST(!append(1, NotRun).Applied);
}

// Guards against recording two outcomes for one job.
BOOST_AUTO_TEST_CASE(ExactlyOnce) {
  accept(spec("j", "a"));
  place("j", 1, true, {{homeWorker("a"), 1}});
  JobEnded Done{owner(), "j", 1, Outcome::Finished, "", true, {"answer"}};
  BOOST_TEST(append(1, Done).Applied);
  Done.Parts = {"other"};
  BOOST_TEST(!append(1, Done).Applied);
  BOOST_TEST(LogState.job("j")->Parts.front() == "answer");
  BOOST_TEST(LogState.cell("dc1")->Pool.usedSlots() == 0u);
}

// Guards against losing an answer that callers have received because the owner
// was cut off from the log and superseded before it could write the record.
BOOST_AUTO_TEST_CASE(WithAnAnswerThatAnotherDaemonRelays) {
  accept(spec("j", "a"));
  place("j", 1, true, {{homeWorker("a"), 1}});
  append(2, DaemonJoined{"d2", "127.0.0.1:2", "dc1"});
  append(2, Claim{"dc1", "d2", 1});
  BOOST_TEST(!append(3, AnswerRelayed{"j", 2, {"answer"}}).Applied);
  BOOST_TEST(!append(3, AnswerRelayed{"j", 1, {}}).Applied);
  BOOST_TEST(append(3, AnswerRelayed{"j", 1, {"answer"}}).Applied);
  BOOST_TEST((LogState.job("j")->Result == Outcome::Finished));
  BOOST_TEST(!append(3, AnswerRelayed{"j", 1, {"other"}}).Applied);
  BOOST_TEST(LogState.cell("dc1")->Pool.usedSlots() == 0u);
}

// Guards against accepting an answer without the parts of all tasks.
BOOST_AUTO_TEST_CASE(WithOnePartPerTask) {
  std::string W = homeWorker("a");
  accept(spec("g", "a", 2));
  place("g", 1, false, {{W, 1}, {W, 2}});
  append(1, StartCommitted{owner(), "g", 1});
  JobEnded Half{owner(), "g", 1, Outcome::Finished, "", true, {"one"}};
  BOOST_TEST(!append(1, Half).Applied);
}

// Guards against removing answers before the retention time is over, also when
// one daemon's clock is far ahead.
BOOST_AUTO_TEST_CASE(AndIsKeptForTheRetentionTime) {
  accept(spec("j", "a"));
  append(1, JobEnded{owner(), "j", 0, Outcome::NotRun, "r", false, {}});
  WallClock += 10 * EndedJobRetentionMs;
  append(1, JobsExpired{owner(), {"j"}});
  BOOST_TEST(LogState.job("j"));
  for (base::WallMs T = 0; T < EndedJobRetentionMs; T += MaxClockStepMs)
    append(1, Heartbeat{owner()});
  append(1, JobsExpired{owner(), {"j"}});
  BOOST_TEST(!LogState.job("j"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
