#include "heathersaddle/net/ClientBudget.h"
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace heathersaddle::net;
using Phase = ClientBudget::Phase;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t Kilobyte = 1024;

/// A budget with a clock that the test advances, and a list of the connections
/// that had to give way.
struct BudgetFixture {
  ClientBudget::Id open(ClientClass Class = ClientClass::Callers,
                        const std::string &Address = "a") {
    auto Number = ++Opened;
    auto Id = Budget.open(Class, Address,
                          [this, Number] { Closed.push_back(Number); });
    return Id.value_or(0);
  }
  /// A connection with a part of a request.
  ClientBudget::Id receiving(std::size_t Bytes,
                             const std::string &Address = "a",
                             ClientClass Class = ClientClass::Callers) {
    auto Id = open(Class, Address);
    Budget.enter(Id, Phase::Receiving);
    Budget.progress(Id, Bytes);
    Budget.markKnown(Id);
    if (!Budget.hold(Id, Bytes)) {
      Budget.release(Id);
      return 0;
    }
    return Id;
  }
  std::uint64_t refused(ClientClass Class) const {
    return Budget.counts(Class).ConnectionsRefused;
  }

  ClientBudget::TimePoint Now;
  // Callers: 70 connections and 700 KB at most; peers 25 and 250 KB reserved.
  ClientBudget Budget{{1000 * Kilobyte, 100}, 0, [this] { return Now; }};
  std::vector<unsigned> Closed;
  unsigned Opened = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Budget, BudgetFixture)

BOOST_AUTO_TEST_SUITE(OfConnections)

// Guards against a flood at one server that uses up the descriptors of all.
BOOST_AUTO_TEST_CASE(KeepsThePartsOfOtherServers) {
  while (open())
    ;
  BOOST_TEST(Opened == 66u); // 100 less the reserved parts of the others.
  for (unsigned N = 0; N < 25; ++N)
    BOOST_TEST(open(ClientClass::Peers) != 0u);
  for (unsigned N = 0; N < 5; ++N) {
    BOOST_TEST(open(ClientClass::Readiness) != 0u);
    BOOST_TEST(open(ClientClass::Metrics) != 0u);
  }
  BOOST_TEST(Budget.used().Connections == 100u);
  BOOST_TEST(Closed.empty());
}

// Guards against calls of other daemons that are refused while callers hold
// connections that nobody has reserved.
BOOST_AUTO_TEST_CASE(CallersGiveWayToOtherDaemons) {
  while (open())
    ;
  for (unsigned N = 0; N < 25; ++N)
    open(ClientClass::Peers);
  Now += milliseconds(100);
  BOOST_TEST(open(ClientClass::Peers) != 0u);
  BOOST_TEST(Closed == std::vector<unsigned>{1},
             boost::test_tools::per_element());
  BOOST_TEST(refused(ClientClass::Peers) == 0u);
  // Callers have no such right.
  Closed.clear();
  BOOST_TEST(open() != 0u);
  BOOST_TEST(Closed == std::vector<unsigned>{2},
             boost::test_tools::per_element());
}

// Guards against closing connections of other daemons while callers could give
// way.
BOOST_AUTO_TEST_CASE(CallersGiveWayBeforeOtherDaemons) {
  for (unsigned N = 0; N < 30; ++N)
    open(ClientClass::Peers);
  while (open())
    ;
  Now += milliseconds(100);
  BOOST_TEST(open(ClientClass::Peers) != 0u);
  BOOST_REQUIRE(Closed.size() == 1u);
  BOOST_TEST(Closed[0] > 30u);
}

// Guards against a descriptor shortage for new clients while idle connections
// are kept.
BOOST_AUTO_TEST_CASE(LongestIdleIsClosedFirst) {
  std::vector<ClientBudget::Id> Ids;
  while (auto Id = open()) {
    Budget.markKnown(Id);
    Ids.push_back(Id);
    Now += milliseconds(1);
  }
  Budget.enter(Ids[0], Phase::Handling);
  Budget.enter(Ids[1], Phase::Idle);
  Now += milliseconds(100);
  Closed.clear();
  BOOST_TEST(open() != 0u);
  BOOST_TEST(Closed == std::vector<unsigned>{3},
             boost::test_tools::per_element());
}

// Guards against idle clients that had valid requests being closed before
// strangers.
BOOST_AUTO_TEST_CASE(UnknownClientsAreClosedFirst) {
  auto First = open();
  Budget.markKnown(First);
  Now += milliseconds(1);
  while (open())
    ;
  Now += milliseconds(1'000);
  BOOST_TEST(open() != 0u);
  BOOST_TEST(Closed == std::vector<unsigned>{2},
             boost::test_tools::per_element());
}

// Guards against closing connections whose requests may have been stored.
BOOST_AUTO_TEST_CASE(RequestsBeingHandledAreNeverDropped) {
  while (auto Id = open())
    Budget.enter(Id, Phase::Handling);
  Now += milliseconds(60'000);
  BOOST_TEST(open() == 0u);
  BOOST_TEST(open(ClientClass::Callers, "b") == 0u);
  BOOST_TEST(Closed.empty());
}

// Guards against a readiness check that gets no connection since clients keep
// all of them with incomplete requests.
BOOST_AUTO_TEST_CASE(StalledReadinessCallsGiveWayAfterATenthOfASecond) {
  while (auto Id = open(ClientClass::Readiness)) {
    Budget.enter(Id, Phase::Receiving);
    Budget.progress(Id, 10);
  }
  Now += milliseconds(100);
  BOOST_TEST(open(ClientClass::Readiness) != 0u);
  BOOST_TEST(Closed == std::vector<unsigned>{1},
             boost::test_tools::per_element());
}

// Guards against a process that has fewer descriptors than it was told and
// can't accept connections any more.
BOOST_AUTO_TEST_CASE(OneIsClosedOnRequest) {
  auto Busy = open();
  Budget.enter(Busy, Phase::Handling);
  open();
  open(ClientClass::Peers);
  Budget.closeOne(ClientClass::Callers);
  BOOST_TEST(Closed.empty());
  Now += milliseconds(100);
  Budget.closeOne(ClientClass::Callers);
  Budget.closeOne(ClientClass::Callers);
  BOOST_TEST(Closed == std::vector<unsigned>{2},
             boost::test_tools::per_element());
}

// Guards against one group of clients that keeps all connections busy.
BOOST_AUTO_TEST_CASE(LargeAddressGivesWayToOthers) {
  while (auto Id = open()) {
    Budget.enter(Id, Phase::Receiving);
    Budget.progress(Id, 100 * Kilobyte);
  }
  // They are not slow, so others of the same address are refused.
  BOOST_TEST(open() == 0u);
  BOOST_TEST(open(ClientClass::Callers, "b") != 0u);
  BOOST_TEST(Closed.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfBytes)

// Guards against a load of progressing clients of which none finishes, as they
// are closed for one another.
BOOST_AUTO_TEST_CASE(ProgressingRequestsAreNotClosedForOthers) {
  unsigned Accepted = 0;
  while (receiving(50 * Kilobyte))
    ++Accepted;
  BOOST_TEST(Accepted == 13u); // Of 650 KB.
  BOOST_TEST(Closed.empty());
  BOOST_TEST(Budget.counts(ClientClass::Callers).RequestsRefused == 1u);
}

// Guards against clients that send most of a large body and then nothing.
BOOST_AUTO_TEST_CASE(SlowRequestsThatHoldMostAreClosedFirst) {
  receiving(60 * Kilobyte);
  receiving(90 * Kilobyte);
  while (receiving(50 * Kilobyte))
    ;
  Now += milliseconds(1'000);
  BOOST_TEST(receiving(50 * Kilobyte) != 0u);
  BOOST_TEST(Closed == std::vector<unsigned>{2},
             boost::test_tools::per_element());
}

// Guards against clients that are never slow by the time since the last byte.
BOOST_AUTO_TEST_CASE(RequestsBelowTheRateAreSlow) {
  std::vector<ClientBudget::Id> Ids;
  while (auto Id = receiving(50 * Kilobyte))
    Ids.push_back(Id);
  for (unsigned Second = 0; Second < 7; ++Second) {
    BOOST_TEST(receiving(50 * Kilobyte) == 0u);
    Now += milliseconds(1'000);
    for (auto Id : Ids)
      Budget.progress(Id, 1);
  }
  BOOST_TEST(receiving(50 * Kilobyte) != 0u);
}

// Guards against bodies of the largest size that leave no room for usual
// requests.
BOOST_AUTO_TEST_CASE(LargeRequestsLeaveRoomForUsualOnes) {
  while (receiving(100 * Kilobyte))
    ;
  BOOST_TEST(Budget.used().Bytes == 500 * Kilobyte);
  for (unsigned N = 0; N < 30; ++N)
    BOOST_TEST(receiving(4 * Kilobyte) != 0u);
  BOOST_TEST(Closed.empty());
}

// Guards against requests forwarded by other daemons being refused while
// callers use the memory.
BOOST_AUTO_TEST_CASE(CallersDoNotTakeThePartOfOtherDaemons) {
  while (receiving(50 * Kilobyte))
    ;
  for (unsigned N = 0; N < 5; ++N)
    BOOST_TEST(receiving(50 * Kilobyte, "a", ClientClass::Peers) != 0u);
  BOOST_TEST(Closed.empty());
}

// Guards against a handled request of which the response is dropped for want of
// memory, and against a budget that does not recover afterwards.
BOOST_AUTO_TEST_CASE(ResponsesExceedTheLimitIfNecessary) {
  std::vector<ClientBudget::Id> Ids;
  while (auto Id = receiving(50 * Kilobyte))
    Ids.push_back(Id);
  Budget.enter(Ids[0], Phase::Handling);
  Budget.holdRequired(Ids[0], 2'000 * Kilobyte);
  BOOST_TEST(Budget.used().Bytes == 2'600 * Kilobyte);
  BOOST_TEST(receiving(1) == 0u);
  for (auto Id : Ids)
    Budget.release(Id);
  BOOST_TEST(Budget.used().Bytes == 0u);
  BOOST_TEST(Budget.used().Connections == 0u);
  BOOST_TEST(receiving(1) != 0u);
}

// Guards against use of a connection that had to give way.
BOOST_AUTO_TEST_CASE(ClosedConnectionsHoldNothing) {
  auto First = receiving(50 * Kilobyte);
  while (receiving(50 * Kilobyte))
    ;
  Now += milliseconds(1'000);
  while (Closed.empty())
    receiving(50 * Kilobyte);
  BOOST_TEST(!Budget.hold(First, 1));
  BOOST_TEST(!Budget.enter(First, Phase::Handling));
  Budget.release(First);
  Budget.progress(First, 1);
  BOOST_TEST(Budget.used().Bytes == 650 * Kilobyte);
}

// Guards against memory that the allocator keeps after a peak, and against
// trimming all the time.
BOOST_AUTO_TEST_CASE(MemoryIsTrimmedOnceAfterAPeak) {
  auto Id = receiving(90 * Kilobyte);
  auto Other = receiving(90 * Kilobyte);
  Now += milliseconds(1'000);
  BOOST_TEST(!Budget.shouldTrim());
  Budget.release(Id);
  BOOST_TEST(!Budget.shouldTrim());
  Budget.release(Other);
  BOOST_TEST(Budget.shouldTrim());
  Now += milliseconds(1'000);
  BOOST_TEST(!Budget.shouldTrim());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
