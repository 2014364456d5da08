#include "HostList.h"
#include <boost/test/unit_test.hpp>

using namespace heathersaddle;
using namespace heathersaddle::control;

namespace {

struct Fixture {
  Core NodeCore{NodeSettings{}};
  HostList List{NodeCore};

  void receive(HostChanges Changes) {
    NodeCore.CurrentTime.Mono += NodeCore.Settings.HostListPeriod;
    NodeCore.Actions.clear();
    List.tick(true);
    BOOST_REQUIRE(NodeCore.Actions.size() == 1U);
    List.onChanges(std::get<HostsAction>(NodeCore.Actions[0]).Call,
                   std::move(Changes));
  }
  static HostEntry host(std::string Name, bool Leaving = false) {
    HostEntry H;
    H.Name = std::move(Name);
    H.Leaving = Leaving;
    return H;
  }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TheHostList, Fixture)

// Guards against a list of changes that is mistaken for the full host list.
BOOST_AUTO_TEST_CASE(KeepsHostsThatAChangeDoesNotName) {
  receive({false, {host("early")}, {}});
  BOOST_TEST(!List.known());
  receive({true, {host("a"), host("b"), host("c")}, {}});
  receive({false, {host("b", true)}, {"c"}});
  BOOST_TEST(List.hosts().size() == 2U);
  BOOST_TEST(!List.host("a")->Leaving);
  BOOST_TEST(List.host("b")->Leaving);
  BOOST_TEST(!List.host("c"));
  auto Generation = List.generation();
  receive({false, {}, {}});
  BOOST_TEST(List.generation() == Generation);
  receive({true, {host("a")}, {}});
  BOOST_TEST(List.hosts().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
