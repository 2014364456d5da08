#include "heathersaddle/cluster/LeaseTerms.h"
#include <boost/test/unit_test.hpp>
#include <random>

using namespace heathersaddle;
using namespace heathersaddle::cluster;
using base::Millis;
using base::MonoTime;

BOOST_AUTO_TEST_SUITE(LeaseTermsTest)

static const LeaseTerms Terms(Millis(6'000));

BOOST_AUTO_TEST_SUITE(Grant)

BOOST_AUTO_TEST_CASE(IsAFullLeaseWhileTheClaimIsConfirmed) {
  MonoTime Now(50'000);
  for (int Age : {0, 400, 1'800})
    BOOST_TEST(Terms.endOfGrant(Now, Now - Millis(Age)).count() ==
               (Now + Terms.longest()).count());
}

BOOST_AUTO_TEST_CASE(IsShortenedAndEndsWhenTheClaimIsNotConfirmed) {
  MonoTime Now(50'000);
  MonoTime ConfirmedAt = Now - Millis(4'000);
  MonoTime End = Terms.endOfGrant(Now, ConfirmedAt);
  BOOST_TEST((End < Now + Terms.longest()));
  BOOST_TEST((End > Now));
  // However late it is granted.
  for (int Later : {1'000, 20'000})
    BOOST_TEST(Terms.endOfGrant(Now + Millis(Later), ConfirmedAt).count() ==
               End.count());
}

// Guards against a lease that lasts longer than its owner believes: the clock
// of the worker is slow, and was read long before.
BOOST_AUTO_TEST_CASE(EndsInTimeOnASlowClock) {
  MonoTime Now(50'000);
  for (int ReadBefore : {0, 800, 30'000}) {
    MonoTime ReadAt = Now - Millis(ReadBefore);
    MonoTime End = Terms.endOfGrant(Now, Now);
    Millis OnWorker = Terms.onWorkerClock(ReadAt, End);
    BOOST_TEST(OnWorker.count() <= ReadBefore + 6'000);
    // 2% slow.
    auto TrueMs =
        static_cast<std::int64_t>(static_cast<double>(OnWorker.count()) / 0.98);
    BOOST_TEST((ReadAt + Millis(TrueMs) <= End));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(NextOwner)

// Guards against a next owner that forgets the owner before the last one, whose
// leases may end later than those of one that released ownership at once.
BOOST_AUTO_TEST_CASE(CountsAllEarlierOwners) {
  EarlierLeases Earlier(Terms);
  Earlier.ownerRecordRead(1, false, MonoTime(10'000));
  Earlier.ownerRecordRead(2, false, MonoTime(10'100));
  Earlier.ownerRecordRead(2, true, MonoTime(10'200));
  BOOST_TEST(Earlier.endBefore(3).count() ==
             Terms.endAfterRecord(MonoTime(10'000)).count());
  Earlier.ownerRecordRead(3, false, MonoTime(13'000));
  Earlier.ownerRecordRead(3, false, MonoTime(20'000));
  BOOST_TEST(Earlier.endBefore(3).count() ==
             Terms.endAfterRecord(MonoTime(10'000)).count());
  BOOST_TEST(Earlier.endBefore(4).count() ==
             Terms.endAfterRecord(MonoTime(20'000)).count());
}

BOOST_AUTO_TEST_CASE(CountsOwnersWhoseRecordsItHasNotRead) {
  EarlierLeases Earlier(Terms);
  Earlier.recordsSkipped(MonoTime(10'000));
  Earlier.ownerRecordRead(7, true, MonoTime(10'000));
  BOOST_TEST(Earlier.endBefore(8).count() ==
             Terms.endAfterRecord(MonoTime(10'000)).count());
}

// Guards against a lease that ends later than the next owner expects, for any
// order of appends, grants, suspensions and reads.
BOOST_AUTO_TEST_CASE(ExpectsNoEndBeforeThatOfAnyGrant) {
  std::mt19937 Random(1);
  auto Upto = [&](int Max) {
    return Millis(std::uniform_int_distribution<int>(0, Max)(Random));
  };
  for (int Round = 0; Round < 1'000; ++Round) {
    EarlierLeases Earlier(Terms);
    MonoTime Time(10'000);
    MonoTime LatestEnd{};
    const std::uint64_t Owners = 1 + Round % 4;
    for (std::uint64_t Epoch = 1; Epoch <= Owners; ++Epoch) {
      MonoTime ConfirmedAt{};
      MonoTime ReadAt{};
      for (int Append = 0; Append <= Round % 3; ++Append) {
        MonoTime SentAt = Time;
        Time += Upto(1'500);
        ReadAt = std::max(ReadAt, Time + Upto(600));
        Earlier.ownerRecordRead(Epoch, false, ReadAt);
        if (Upto(3).count())
          ConfirmedAt = SentAt;
      }
      // It is not told that it has been replaced.
      if (ConfirmedAt.count())
        for (int Grant = 0; Grant < 4; ++Grant) {
          MonoTime At = ConfirmedAt + Upto(30'000);
          MonoTime End = Terms.endOfGrant(At, ConfirmedAt);
          if (End > At)
            LatestEnd = std::max(LatestEnd, End);
        }
      Time += Upto(2'000);
    }
    BOOST_REQUIRE((Earlier.endBefore(Owners + 1) >= LatestEnd));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
