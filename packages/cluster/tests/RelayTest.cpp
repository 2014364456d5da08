#include "heathersaddle/cluster/Relay.h"
#include "Deployment.h"

using namespace heathersaddle;
using namespace heathersaddle::cluster;

BOOST_AUTO_TEST_SUITE(PassingRequestsOn)

BOOST_AUTO_TEST_SUITE(WhatTheCallerIsTold)

// Guards against "not run" about a job that either daemon may have stored.
BOOST_AUTO_TEST_CASE(NothingHasRunOnlyIfBothKnowThat) {
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

// Guards against a caller who is refused although one of the two has served it.
BOOST_AUTO_TEST_CASE(WhatOneHasServedIsServed) {
  BOOST_TEST((replyToChange(PeerAnswer::Served, LocalOutcome::NotHandled) ==
              CallerReply::FromPeer));
  for (PeerAnswer P : {PeerAnswer::NotHandled, PeerAnswer::Unknown})
    BOOST_TEST(
        (replyToChange(P, LocalOutcome::Done) == CallerReply::FromThisDaemon));
}

// Guards against appends of all daemons in the way of the owner's.
BOOST_AUTO_TEST_CASE(NobodyElseTriesWhileTheStoreIsSlow) {
  BOOST_TEST(!shouldServeHere(PeerAnswer::Unknown, true));
  BOOST_TEST(shouldServeHere(PeerAnswer::Unknown, false));
  BOOST_TEST(shouldServeHere(PeerAnswer::NotHandled, true));
}

// Guards against a question that is answered as if it had changed something.
BOOST_AUTO_TEST_CASE(AQuestionIsNeverUnresolved) {
  for (PeerAnswer P :
       {PeerAnswer::Refused, PeerAnswer::NotHandled, PeerAnswer::Unknown})
    BOOST_TEST((replyToQuery(LocalOutcome::NotHandled, P) ==
                CallerReply::FromThisDaemon));
  BOOST_TEST((replyToQuery(LocalOutcome::NotHandled, PeerAnswer::Served) ==
              CallerReply::FromPeer));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ADeploymentWithThreeDaemons, Deployment)

// Guards against requests that go round in circles, or to nobody.
BOOST_AUTO_TEST_CASE(RequestsGoToTheOwner) {
  BOOST_TEST(follower().forwardTarget() == owner() + ":relay");
  BOOST_TEST(Daemons[owner()]->forwardTarget().empty());
}

// Guards against callers who are held up by an owner that has died.
BOOST_AUTO_TEST_CASE(ASilentOwnerGetsNoRequests) {
  Node &Other = follower();
  SuspendedDaemons.insert(owner());
  run(1'600);
  BOOST_TEST(Other.forwardTarget().empty());
}

// Guards against a daemon that refuses although the owner could serve: it
// cannot know that the owner has changed meanwhile.
BOOST_AUTO_TEST_CASE(ADaemonWithoutTheStoreAsksTheLastOwnerItKnows) {
  Node &Follower = disconnectFollowerFromStore();
  run(5'000);
  BOOST_TEST(!Follower.forwardTarget().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WhenTheStoreIsSlow)

// Guards against callers who wait until their deadline because each job is
// stored by an append of its own: 17 a second came, three were stored.
BOOST_FIXTURE_TEST_CASE(JobsThatComeMeanwhileAreStoredTogether, Deployment) {
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

// Guards against an owner that is replaced only because its records take longer
// to be seen: 36 daemons claimed at once, and no job was stored for four
// seconds.
BOOST_FIXTURE_TEST_CASE(TheOwnerStays, Deployment) {
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
// daemons when an owner dies meanwhile.
BOOST_FIXTURE_TEST_CASE(FewDaemonsClaimAtOnce, Deployment) {
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
  // Half of them at most.
  BOOST_TEST(ClaimAttempts - ClaimsBefore <= 20u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
