#include "CallBudget.h"
#include "heathersaddle/cluster/Node.h"
#include <boost/test/unit_test.hpp>
#include <cmath>

using namespace heathersaddle::cluster;
using heathersaddle::base::Millis;
using Purpose = CallBudget::Purpose;

namespace {

constexpr Millis Now{1'000};

CallLimits limitsOf(std::int64_t CpuMilli, std::size_t Descriptors,
                    std::int64_t LinkBytesPerSecond) {
  NodeSettings S;
  S.CpuMilli = CpuMilli;
  S.MaxDescriptors = Descriptors;
  S.LinkBytesPerSecond = LinkBytesPerSecond;
  return callLimits(S);
}

/// Sends calls until one is not allowed, but 100,000 at most.
unsigned sendAll(CallBudget &B, Purpose P) {
  unsigned Sent = 0;
  for (; Sent < 100'000 && B.allows(P, 0, Now); ++Sent)
    B.sent();
  return Sent;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CallsToWorkers)

BOOST_AUTO_TEST_SUITE(LimitsOfAHost)

// Guards against a limit that leaves no descriptors to callers and the store,
// or that no daemon of the platform could reach.
BOOST_AUTO_TEST_CASE(FollowFromItsDescriptors) {
  BOOST_TEST(limitsOf(500, 8'192, 25'000'000).InFlight == 3'996);
  BOOST_TEST(limitsOf(500, 4'100, 25'000'000).InFlight == 1'950);
}

// Guards against a small host that accepts work and can never start it.
BOOST_AUTO_TEST_CASE(AllowOrdersOnAnyHost) {
  CallBudget B(limitsOf(1, 1, 125));
  BOOST_TEST(B.allows(Purpose::Order, 0, Now));
  B.sent();
  B.ended();
  BOOST_TEST(B.allows(Purpose::Report, 0, Now));
}

// Guards against idle connections to workers that take the descriptors of
// callers and the store, and against a limit that the calls in flight and the
// first syncs of 350 workers exceed.
BOOST_AUTO_TEST_CASE(LeaveDescriptorsBesideTheConnectionsToWorkers) {
  BOOST_TEST(maxWorkerConnections(4'100) == 2'730u);
  BOOST_TEST(maxWorkerConnections(4'100) >
             limitsOf(500, 4'100, 25'000'000).InFlight + 2U * 350U);
  BOOST_TEST(maxWorkerConnections(100) == 0u);
}

// Guards against totals over all servers and clients that exceed the
// descriptors of the host, and against too few for usual callers.
BOOST_AUTO_TEST_CASE(LeaveDescriptorsForClients) {
  for (std::size_t Descriptors : {400U, 3'075U, 4'100U, 65'536U})
    BOOST_TEST(maxWorkerConnections(Descriptors) +
                   maxClientConnections(Descriptors) + MaxStoreConnections +
                   MaxPeerConnections <=
               Descriptors - 180);
  BOOST_TEST(maxClientConnections(3'075) == 830u);
  BOOST_TEST(maxClientConnections(1) == 32u);
}

// Guards against calls that take the whole processor or the whole link.
BOOST_AUTO_TEST_CASE(FollowFromTheScarcerOfProcessorAndLink) {
  BOOST_TEST(std::lround(limitsOf(500, 8'192, 25'000'000).PerSecond) == 3'750);
  BOOST_TEST(std::lround(limitsOf(120, 8'192, 25'000'000).PerSecond) == 900);
  BOOST_TEST(limitsOf(120, 8'192, 1'250'000).PerSecond < 900);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Budget)

// Guards against copies without limit when many workers are cut off at once.
BOOST_AUTO_TEST_CASE(IsLimitedPerWorkerAndInAll) {
  CallBudget B({.InFlight = 100, .ToWorker = 10, .PerSecond = 10'000});
  BOOST_TEST(B.allows(Purpose::Order, 9, Now));
  BOOST_TEST(!B.allows(Purpose::Order, 10, Now));
  BOOST_TEST(!B.allows(Purpose::Renewal, 10, Now));
  sendAll(B, Purpose::Renewal);
  BOOST_TEST(B.inFlight() == 100);
}

// Guards against orders that take the place of the renewals of leases, and
// reports that take the place of orders.
BOOST_AUTO_TEST_CASE(KeepsAPartForMoreUrgentCalls) {
  CallBudget B({.InFlight = 100, .ToWorker = 10, .PerSecond = 10'000});
  CallBudget Rate({.InFlight = 1'000, .ToWorker = 10, .PerSecond = 100});
  for (CallBudget *Each : {&B, &Rate}) {
    BOOST_TEST(sendAll(*Each, Purpose::Report) == 50);
    BOOST_TEST(sendAll(*Each, Purpose::Order) == 25);
    BOOST_TEST(sendAll(*Each, Purpose::Renewal) == 25);
  }
}

// Guards against a limit that stays reached after its calls have ended.
BOOST_AUTO_TEST_CASE(RecoversAsCallsEndAndTimePasses) {
  CallBudget B({.InFlight = 10, .ToWorker = 10, .PerSecond = 10});
  sendAll(B, Purpose::Renewal);
  BOOST_TEST(!B.allows(Purpose::Renewal, 0, Now));
  for (unsigned N = 0; N < 10; ++N)
    B.ended();
  BOOST_TEST(!B.allows(Purpose::Renewal, 0, Now));
  BOOST_TEST(B.allows(Purpose::Renewal, 0, Now + Millis(100)));
  BOOST_TEST(!B.allows(Purpose::Order, 0, Now + Millis(100)));
  BOOST_TEST(B.allows(Purpose::Order, 0, Now + Millis(1'000)));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against orders on which nothing depends that are sent before those
// that free room or complete a gang.
BOOST_AUTO_TEST_CASE(AreSortedByWhatDependsOnThem) {
  using Need = OrderUrgency::Need;
  OrderUrgency Stop{Need::FreesRoom, 0, Millis(50)};
  OrderUrgency AlmostComplete{Need::CompletesUnit, 1, Millis(40)};
  OrderUrgency JustBegun{Need::CompletesUnit, 30, Millis(10)};
  OrderUrgency Early{Need::Other, 0, Millis(10)};
  OrderUrgency Late{Need::Other, 0, Millis(20)};
  BOOST_TEST((Stop < AlmostComplete));
  BOOST_TEST((AlmostComplete < JustBegun));
  BOOST_TEST((JustBegun < Early));
  BOOST_TEST((Early < Late));
}

BOOST_AUTO_TEST_SUITE_END()
