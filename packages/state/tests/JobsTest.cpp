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

// Guards against a second job for one idempotency key.
BOOST_AUTO_TEST_CASE(OnceForRepeatsThroughSeveralDaemons) {
  BOOST_TEST(accept(spec("j1", "a")).Applied);
  Verdict Again = append(3, JobAccepted{spec("j1", "a"), "dc1"});
  BOOST_TEST(!Again.Applied);
  BOOST_TEST(Again.Why.Field == "repeat");
  BOOST_TEST(LogState.liveJobs() == 1u);
}

// Guards against answering a different request under a reused key.
BOOST_AUTO_TEST_CASE(NotWhenTheKeyBelongsToAnotherRequest) {
  accept(spec("j1", "a"));
  JobSpec Other = spec("j1", "a");
  Other.Digest = "other";
  BOOST_TEST(accept(Other).Why.Field == "idempotency_key");
}

// Guards against accepting work from accounts that have left or never were.
BOOST_AUTO_TEST_CASE(OnlyFromAccountsInForce) {
  BOOST_TEST(!accept(spec("j1", "stranger")).Applied);
  publishCustomers({customer("b", "gold", true)}, 1);
  BOOST_TEST(!accept(spec("j2", "b")).Applied);
}

// Guards against an account that fills the pool's queues, and against a quota
// that stays used up after its jobs have ended.
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

// Guards against a repeated append that takes effect twice.
BOOST_AUTO_TEST_CASE(OnceWhenTheAppendIsRepeated) {
  Record R{77, 1, WallClock, JobAccepted{spec("j1", "a"), "dc1"}};
  BOOST_TEST(LogState.apply(LogState.nextOffset(), encode(R)).Applied);
  BOOST_TEST(LogState.apply(LogState.nextOffset(), encode(R)).Duplicate);
}

// Guards against a late append that takes effect after its writer gave up.
BOOST_AUTO_TEST_CASE(NeverAfterALaterRecordOfTheWriter) {
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

// Guards against a part of a gang that runs without the whole.
BOOST_AUTO_TEST_CASE(WholeAndReservedBeforeItStarts) {
  accept(spec("g", "a", 2));
  std::string W = homeWorker("a");
  BOOST_TEST(!place("g", 1, false, {{W, 1}}).Applied);
  BOOST_TEST(!place("g", 1, true, {{W, 1}, {W, 2}}).Applied);
  BOOST_TEST(place("g", 1, false, {{W, 1}, {W, 2}}).Applied);
  BOOST_TEST(!LogState.job("g")->Started);
  BOOST_TEST(append(1, StartCommitted{owner(), "g", 1}).Applied);
  BOOST_TEST(LogState.job("g")->Started);
}

// Guards against a superseded owner that still takes effect.
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

// Guards against two owners after simultaneous claims.
BOOST_AUTO_TEST_CASE(ByTheFirstOfTwoClaims) {
  append(2, DaemonJoined{"d2", "127.0.0.1:2", "dc1"});
  append(3, DaemonJoined{"d3", "127.0.0.1:3", "dc1"});
  BOOST_TEST(append(3, Claim{"dc1", "d3", 1}).Applied);
  BOOST_TEST(!append(2, Claim{"dc1", "d2", 1}).Applied);
  BOOST_TEST(LogState.cell("dc1")->Owner == "d3");
}

// Guards against a non-idempotent job that runs twice.
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

// Guards against a failing job that starts afresh with every new owner.
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

// Guards against a job that cannot be repeated on slots that can be reclaimed.
BOOST_AUTO_TEST_CASE(NeverOnBorrowedSlotsWhenNonIdempotent) {
  accept(spec("j", "a"));
  BOOST_TEST(!place("j", 1, true, {{homeWorker("b"), 1}}).Applied);
  accept(spec("k", "a", 1, true));
  BOOST_TEST(place("k", 1, true, {{homeWorker("b"), 1}}).Applied);
}

// Guards against reclaiming an account's own guaranteed work.
BOOST_AUTO_TEST_CASE(AndReclaimedOnlyWhereItBorrows) {
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

// Guards against "not run" for a job that may have run.
BOOST_AUTO_TEST_CASE(AsNotRunOnlyWhenThatIsCertain) {
  std::string W = homeWorker("a");
  accept(spec("j", "a", 1, true));
  place("j", 1, true, {{W, 1}});
  append(1, AttemptEnded{owner(), "j", 1, AttemptEnd::WorkerLost});
  JobEnded NotRun{owner(), "j", 1, Outcome::NotRun, "r", false, {}};
  BOOST_TEST(!append(1, NotRun).Applied);
}

// Guards against two outcomes for one job.
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

// Guards against losing an answer that callers were told, because its owner
// was cut off from the log and superseded meanwhile.
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

// Guards against an answer with a part missing.
BOOST_AUTO_TEST_CASE(WithOnePartPerTask) {
  std::string W = homeWorker("a");
  accept(spec("g", "a", 2));
  place("g", 1, false, {{W, 1}, {W, 2}});
  append(1, StartCommitted{owner(), "g", 1});
  JobEnded Half{owner(), "g", 1, Outcome::Finished, "", true, {"one"}};
  BOOST_TEST(!append(1, Half).Applied);
}

// Guards against forgetting answers within the window, also when one daemon's
// clock is far ahead.
BOOST_AUTO_TEST_CASE(AndIsKeptForTheAnswerWindow) {
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
