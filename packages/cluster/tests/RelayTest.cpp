#include "heathersaddle/cluster/Relay.h"
#include "Deployment.h"

using namespace heathersaddle;
using namespace heathersaddle::cluster;

BOOST_AUTO_TEST_SUITE(RequestForwarding)

BOOST_AUTO_TEST_SUITE(ReplyToCaller)

// Guards against the answer "not run" for a job that either daemon may have
// stored.
BOOST_AUTO_TEST_CASE(NotRunIsReportedOnlyIfCertainForBothDaemons) {
  for (LocalOutcome Own : {LocalOutcome::Refused, LocalOutcome::NotHandled})
    BOOST_TEST(
        (replyToChange(PeerAnswer::Unknown, Own) == CallerReply::Unresolved));
  for (PeerAnswer P : {PeerAnswer::NotHandled, PeerAnswer::Unknown})
    BOOST_TEST((replyToChange(P, LocalOutcome::MayHaveRun) ==
                CallerReply::Unresolved));
  for (LocalOutcome Own : {LocalOutcome::Refused, LocalOutcome::NotHandled})
    BOOST_TEST((replyToChange(PeerAnswer::NotHandled, Own) ==
                CallerReply::FromThisDaemon));
}

// Guards against a refusal although one of the two daemons has served the
// request.
BOOST_AUTO_TEST_CASE(RequestServedByOneDaemonIsNotRefused) {
  BOOST_TEST((replyToChange(PeerAnswer::Served, LocalOutcome::NotHandled) ==
              CallerReply::FromPeer));
  for (PeerAnswer P : {PeerAnswer::NotHandled, PeerAnswer::Unknown})
    BOOST_TEST(
        (replyToChange(P, LocalOutcome::Done) == CallerReply::FromThisDaemon));
}

// Guards against appends by all daemons that delay the owner's.
BOOST_AUTO_TEST_CASE(UnansweredRequestIsNotServedHereWhileTheStoreIsSlow) {
  BOOST_TEST(!shouldServeHere(PeerAnswer::Unknown, true));
  BOOST_TEST(shouldServeHere(PeerAnswer::Unknown, false));
  BOOST_TEST(shouldServeHere(PeerAnswer::NotHandled, true));
}

// Guards against a query that is answered as if it might have changed state.
BOOST_AUTO_TEST_CASE(QueryIsNeverUnresolved) {
  for (PeerAnswer P :
       {PeerAnswer::Refused, PeerAnswer::NotHandled, PeerAnswer::Unknown})
    BOOST_TEST((replyToQuery(LocalOutcome::NotHandled, P) ==
                CallerReply::FromThisDaemon));
  BOOST_TEST((replyToQuery(LocalOutcome::NotHandled, PeerAnswer::Served) ==
              CallerReply::FromPeer));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(DeploymentWithThreeDaemons, Deployment)

// Guards against requests that are forwarded in circles, or to no daemon.
BOOST_AUTO_TEST_CASE(RequestsAreForwardedToTheOwner) {
  BOOST_TEST(follower().forwardTarget() == owner() + ":relay");
  BOOST_TEST(Daemons[owner()]->forwardTarget().empty());
}

// Guards against callers that are delayed by an owner that has failed.
BOOST_AUTO_TEST_CASE(SilentOwnerGetsNoRequests) {
  Node &Other = follower();
  SuspendedDaemons.insert(owner());
  run(1'600);
  BOOST_TEST(Other.forwardTarget().empty());
}

// Guards against a daemon that refuses requests although the owner could serve
// them: without the store it cannot know whether the owner has changed.
BOOST_AUTO_TEST_CASE(DaemonWithoutStoreForwardsToLastKnownOwner) {
  Node &Follower = disconnectFollowerFromStore();
  run(5'000);
  BOOST_TEST(!Follower.forwardTarget().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(SlowStore)

// Guards against callers that wait until their deadline because each job is
// stored by a separate append: 17 jobs a second arrived, three were stored.
BOOST_FIXTURE_TEST_CASE(JobsArrivingDuringAnAppendAreStoredTogether,
                        Deployment) {
  AppendDurationMs = 288;
  Node &Owner = *Daemons[owner()];
  unsigned Stored = 0;
  for (int N = 0; N < 34; ++N) {
    Owner.submit(job("slow" + std::to_string(N), 1, 1, 100),
                 [&](const std::optional<Refusal> &R) { Stored += !R; });
    run(59);
  }
  run(1'300);
  BOOST_TEST(Stored == 34u);
}

// Guards against an owner that is replaced only because its records are read
// later: 36 daemons claimed at once, and no job was stored for four seconds.
BOOST_FIXTURE_TEST_CASE(OwnerIsNotReplaced, Deployment) {
  for (int N = 0; N < 17; ++N)
    addDaemon("more" + std::to_string(N));
  run(1'000);
  std::string OldOwner = owner();
  unsigned ClaimsBefore = ClaimAttempts;
  AppendDurationMs = ReadDelayMs = 288;
  for (int N = 0; N < 100; ++N) {
    Daemons[OldOwner]->submit(job("slow" + std::to_string(N), 1, 1, 100),
                              [](const std::optional<Refusal> &) {});
    run(59);
    for (auto &[Name, D] : Daemons)
      if (Name != OldOwner)
        BOOST_REQUIRE(D->forwardTarget() == OldOwner + ":relay");
  }
  BOOST_TEST(owner() == OldOwner);
  BOOST_TEST(ClaimAttempts == ClaimsBefore);
}

// Guards against a store that is busy for seconds with the claims of all
// daemons when an owner fails while the store is slow.
BOOST_FIXTURE_TEST_CASE(AtMostHalfOfTheDaemonsClaim, Deployment) {
  for (int N = 0; N < 37; ++N)
    addDaemon("more" + std::to_string(N));
  run(1'000);
  std::string OldOwner = owner();
  AppendDurationMs = ReadDelayMs = 288;
  run(2'000);
  unsigned ClaimsBefore = ClaimAttempts;
  SuspendedDaemons.insert(OldOwner);
  BOOST_TEST(runUntil(
      [&] {
        for (auto &[Name, D] : Daemons)
          if (Name != OldOwner && D->isOwner())
            return true;
        return false;
      },
      7'000));
  // Half of the 40 daemons.
  BOOST_TEST(ClaimAttempts - ClaimsBefore <= 20u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
