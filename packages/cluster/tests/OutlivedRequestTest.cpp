#include "Deployment.h"

using namespace heathersaddle;
using namespace heathersaddle::cluster;

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
