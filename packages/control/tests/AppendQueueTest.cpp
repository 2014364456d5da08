#include "AppendQueue.h"
#include <boost/test/unit_test.hpp>

namespace heathersaddle::control {

BOOST_AUTO_TEST_SUITE(AQueueOfAppends)

// Guards against a node that has nothing to append and believes for ever that
// the log is down, because the responses of its last appends were lost.
BOOST_AUTO_TEST_CASE(StopsFailingWhenTheTailShowsItsRecords) {
  Core NodeCore(NodeSettings{.Name = "d1", .Incarnation = 7});
  AppendQueue Q(NodeCore);
  BOOST_REQUIRE(Q.push(state::Noop{}, nullptr));
  std::string Text;
  for (int Try = 0; Try != 2; ++Try) {
    NodeCore.CurrentTime.Mono += base::Millis(10'000);
    Q.sendIfDue();
    BOOST_REQUIRE(!NodeCore.Actions.empty());
    auto Sent = std::get<AppendAction>(NodeCore.Actions.back());
    Text = Sent.Records.front();
    Q.onAppended(Sent.Call, base::makeError(base::ErrorCode::Unresolved,
                                            "append", "lost"));
  }
  BOOST_REQUIRE(Q.failing());
  state::Verdict V;
  V.Applied = true;
  Q.onApplied(*state::decode(Text), 0, V);
  Q.sendIfDue();
  BOOST_TEST(!Q.failing());
}

// Guards against a lost read that outlasts the bound for lists in force.
BOOST_AUTO_TEST_CASE(ReadsEndWellBeforeTheListBound) {
  NodeSettings S;
  BOOST_TEST((S.ReadWait + S.CallTimeout < base::Millis(8'000)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace heathersaddle::control
