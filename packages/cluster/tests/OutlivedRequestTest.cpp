#include "Deployment.h"
#include "PauseDetector.h"
#include <stdexcept>

using namespace heathersaddle;
using namespace heathersaddle::cluster;
using base::Millis;

namespace {

/// A caller that can close its connection, and the answer for it.
struct Caller {
  void submit(Node &N, workload::JobSpec Spec, std::int64_t WaitMs = 3'000) {
    N.submit(
        std::move(Spec),
        [this](const std::optional<Refusal> &R) {
          Answered = true;
          Answer = R;
        },
        base::Millis(WaitMs), [this] { return Connected; });
  }
  bool isRefused(Refusal::Kind Why) const {
    return Answered && Answer && Answer->Why == Why;
  }

  bool Connected = true;
  bool Answered = false;
  std::optional<Refusal> Answer;
};

bool isStored(const World &W, const std::string &Job) {
  return std::any_of(W.ControlTopic.Records.begin(),
                     W.ControlTopic.Records.end(),
                     [&](const KeyValue &R) { return R.Key == "j/" + Job; });
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(SubmissionWhoseCallerHasGone, Deployment)

// Guards against a job that runs after its caller was told by another daemon
// that it never runs: this daemon was frozen and read the request late.
BOOST_AUTO_TEST_CASE(IsNotStored) {
  for (auto &[Name, N] : Daemons) {
    Caller C;
    C.Connected = false;
    C.submit(*N, job(Name, 1, 1, 300));
    run(500);
    BOOST_TEST(C.isRefused(Refusal::Abandoned));
    BOOST_TEST(!isStored(*this, Name));
    BOOST_TEST(N->stats().Counts.at("submissions_dropped") == 1u);
  }
  BOOST_TEST(Starts.empty());
}

// Guards against the same if the caller closes the connection while its job
// waits for the end of an earlier append.
BOOST_AUTO_TEST_CASE(IsNotStoredByTheNextAppend) {
  AppendDurationMs = 400;
  for (auto &[Name, N] : Daemons) {
    Caller First;
    Caller Leaving;
    Caller Staying;
    First.submit(*N, job(Name + "1", 1, 1, 300));
    run(50);
    Leaving.submit(*N, job(Name + "2", 1, 1, 300));
    Staying.submit(*N, job(Name + "3", 1, 1, 300));
    Leaving.Connected = false;
    run(2'500);
    BOOST_TEST((First.Answered && !First.Answer));
    BOOST_TEST(Leaving.isRefused(Refusal::Abandoned));
    BOOST_TEST((Staying.Answered && !Staying.Answer));
    BOOST_TEST(isStored(*this, Name + "3"));
    BOOST_TEST(!isStored(*this, Name + "2"));
  }
}

// Guards against a refusal of a job of which an earlier copy may be stored.
BOOST_AUTO_TEST_CASE(IsNotRefusedWhileAnEarlierCopyMayBeStored) {
  AppendDurationMs = 400;
  Node &Owner = *Daemons[owner()];
  Caller First;
  Caller Repeated;
  First.submit(Owner, job("1", 1, 1, 300));
  run(50);
  Repeated.Connected = false;
  Repeated.submit(Owner, job("1", 1, 1, 300));
  BOOST_TEST(Repeated.isRefused(Refusal::Unresolved));
}

// Guards against a job that is stored after its caller has stopped waiting, and
// against another daemon that is asked to store it.
BOOST_AUTO_TEST_CASE(IsNotStoredIfTheCallerWaitsNoLonger) {
  for (auto &[Name, N] : Daemons) {
    Caller C;
    C.submit(*N, job(Name, 1, 1, 300), 0);
    run(500);
    BOOST_TEST(C.isRefused(Refusal::Abandoned));
    BOOST_TEST(!isStored(*this, Name));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(PauseOfTheProcess)

// Guards against taking a request for new that was sent to the daemon while it
// was frozen.
BOOST_AUTO_TEST_CASE(RequestsMayHaveWaitedSinceBeforeIt) {
  PauseDetector P(Millis(1'000));
  for (std::int64_t Ms = 1'000; Ms <= 2'000; Ms += 50)
    BOOST_TEST(!P.processRuns(Millis(Ms)));
  BOOST_TEST(P.maxWaited(Millis(2'000)).count() == 0);
  auto Pause = P.processRuns(Millis(6'000));
  BOOST_REQUIRE(Pause);
  BOOST_TEST(Pause->count() == 4'000);
  BOOST_TEST(P.maxWaited(Millis(6'000)).count() == 4'000);
  // Connections are accepted and read one after the other.
  BOOST_TEST(!P.processRuns(Millis(6'040)));
  BOOST_TEST(P.maxWaited(Millis(6'040)).count() == 4'040);
  BOOST_TEST(!P.allInputRead(Millis(6'050)));
  BOOST_TEST(P.maxWaited(Millis(6'060)).count() == 0);
}

// Guards against the same if the process is frozen again, or right after it has
// looked for input.
BOOST_AUTO_TEST_CASE(RequestsMayHaveWaitedThroughSeveral) {
  PauseDetector P(Millis(0));
  BOOST_TEST(P.processRuns(Millis(2'000)).has_value());
  BOOST_TEST(P.processRuns(Millis(4'000)).has_value());
  BOOST_TEST(P.maxWaited(Millis(4'000)).count() == 4'000);
  BOOST_TEST(P.allInputRead(Millis(8'000)).has_value());
  BOOST_TEST(P.inputMayHaveWaited());
  BOOST_TEST(P.maxWaited(Millis(8'000)).count() == 8'000);
}

// Guards against a daemon that refuses all requests because it is never idle.
BOOST_AUTO_TEST_CASE(IsNotSeenUnderLoad) {
  PauseDetector P(Millis(0));
  for (std::int64_t Ms = 0; Ms <= 60'000; Ms += 200)
    BOOST_TEST(!P.processRuns(Millis(Ms)));
  BOOST_TEST(!P.inputMayHaveWaited());
}

// Guards against a job that runs after its caller was told by another daemon
// that it never runs, although its connection does not show that it has gone.
BOOST_FIXTURE_TEST_CASE(JobsThatWaitedThroughItAreNotStored, Deployment) {
  Node &Frozen = follower();
  std::string Name;
  for (auto &[N, D] : Daemons)
    if (D.get() == &Frozen)
      Name = N;
  SuspendedDaemons.insert(Name);
  run(4'000);
  // The request is the first that the daemon reads when it resumes.
  Caller Late;
  auto Remaining = [&] {
    return (Frozen.waitsUntil(DefaultCallerWait) - Frozen.now()).count();
  };
  Late.submit(Frozen, job("1", 1, 1, 300), Remaining());
  resume(Name);
  Caller AlsoLate;
  AlsoLate.submit(Frozen, job("2", 1, 1, 300), Remaining());
  Frozen.allInputRead();
  run(500);
  Caller New;
  BOOST_TEST(Remaining() == DefaultCallerWait.count());
  New.submit(Frozen, job("3", 1, 1, 300), Remaining());
  run(500);
  BOOST_TEST(Late.isRefused(Refusal::Abandoned));
  BOOST_TEST(AlsoLate.isRefused(Refusal::Abandoned));
  BOOST_TEST((New.Answered && !New.Answer));
  BOOST_TEST(!isStored(*this, "1"));
  BOOST_TEST(!isStored(*this, "2"));
  BOOST_TEST(Frozen.stats().Counts.at("process_pauses") == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ExceptionOutOfANode, Deployment)

// Guards against going on with state that is partly modified, and against
// ending the process for an exception that modified nothing.
BOOST_AUTO_TEST_CASE(MakesItsStateUnsound) {
  auto Throw = [](const auto &) { throw std::runtime_error("fault"); };
  Node &Submitting = anyDaemon();
  BOOST_CHECK_THROW(Submitting.submit(job("1", 1, 1, 300), Throw, Millis(0)),
                    std::runtime_error);
  BOOST_TEST(!Submitting.isStateSound());
  Node &Completing = *std::next(Daemons.begin())->second;
  BOOST_TEST(Completing.isStateSound());
  BOOST_CHECK_THROW(
      Completing.deliver([] { throw std::runtime_error("fault"); }),
      std::runtime_error);
  BOOST_TEST(!Completing.isStateSound());
  Node &Healthy = *std::next(Daemons.begin(), 2)->second;
  run(500);
  BOOST_TEST(!submit(Healthy, job("2", 1, 1, 300)));
  BOOST_TEST(Healthy.isStateSound());
}

BOOST_AUTO_TEST_SUITE_END()
