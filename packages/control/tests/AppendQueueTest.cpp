#include "AppendQueue.h"
#include <boost/test/unit_test.hpp>

namespace heathersaddle::control {

BOOST_AUTO_TEST_SUITE(AnAppendQueue)

// Guards against a node with nothing left to append that reports a log outage
// for ever because the responses to its last appends were lost.
BOOST_AUTO_TEST_CASE(ReportsNoFailureOnceItsRecordsAreReadBack) {
  Core NodeCore(NodeSettings{.Name = "d1", .Incarnation = 7});
  AppendQueue Q(NodeCore);
  BOOST_REQUIRE(Q.push(state::Noop{}, nullptr));
  std::string Text;
  for (int Attempt = 0; Attempt != 2; ++Attempt) {
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

// Guards against a lost read that lasts longer than the 8 s within which a list
// change must be in force.
BOOST_AUTO_TEST_CASE(HasAReadTimeLimitBelowTheListBound) {
  NodeSettings S;
  BOOST_TEST((S.ReadWait + S.CallTimeout < base::Millis(8'000)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace heathersaddle::control
