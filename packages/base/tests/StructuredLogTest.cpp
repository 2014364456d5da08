#include "heathersaddle/base/StructuredLog.h"
#include <boost/test/unit_test.hpp>
#include <sstream>
#include <unistd.h>

using namespace heathersaddle::base;

namespace {

struct Pipe {
  int Descriptors[2] = {-1, -1};
  Pipe() { BOOST_REQUIRE(pipe(Descriptors) == 0); }
  ~Pipe() {
    close(Descriptors[0]);
    close(Descriptors[1]);
  }
  Pipe(const Pipe &) = delete;
  Pipe &operator=(const Pipe &) = delete;
  /// Reads the pipe and splits its content into lines.
  std::vector<std::string> lines() {
    std::string Text(1 << 20, '\0');
    auto Read = read(Descriptors[0], Text.data(), Text.size());
    Text.resize(Read > 0 ? static_cast<std::size_t>(Read) : 0);
    std::istringstream In(Text);
    std::vector<std::string> Lines;
    for (std::string Line; std::getline(In, Line);)
      Lines.push_back(Line);
    return Lines;
  }
};

} // namespace

BOOST_AUTO_TEST_SUITE(TheStructuredLog)

// Guards against a line that a log collector cannot parse.
BOOST_AUTO_TEST_CASE(WritesOneObjectPerLine) {
  Pipe P;
  StructuredLog Log(P.Descriptors[1], "entry-1");
  Log.write(425, 1'000, {{"job", std::string("a\"\n")}, {"offset", 7U}});
  auto Lines = P.lines();
  BOOST_REQUIRE(Lines.size() == 1u);
  auto V = boost::json::parse(Lines[0]).as_object();
  BOOST_TEST(V["event"].as_string() == "job_accepted");
  BOOST_TEST(V["job"].as_string() == "a\"\n");
  BOOST_TEST(V["offset"].as_int64() == 7);
}

// Guards against a burst of refusals that fills the disks of the log collector.
BOOST_AUTO_TEST_CASE(LimitsTheLinesOfAnEventPerSecond) {
  Pipe P;
  StructuredLog Log(P.Descriptors[1], "d");
  for (int N = 0; N < 1'000; ++N)
    Log.write(426, 1'500, {});
  Log.write(425, 1'500, {});
  BOOST_TEST(P.lines().size() == StructuredLog::MaxLinesPerSecond + 1);
  Log.write(426, 2'500, {});
  BOOST_TEST(Log.dropped() == 1'000 - StructuredLog::MaxLinesPerSecond);
}

// Guards against blocking the process when the log is not read, and against
// incomplete lines.
BOOST_AUTO_TEST_CASE(NeverBlocksAndWritesOnlyCompleteLines) {
  Pipe P;
  StructuredLog Log(P.Descriptors[1], "d");
  for (WallMs Second = 0; Second < 100; ++Second)
    for (int N = 0; N < 150; ++N)
      Log.write(426, Second * 1'000, {{"reason", "backlog"}});
  BOOST_TEST(Log.dropped() > 0u);
  (void)P.lines();
  Log.write(425, 200'000, {});
  Log.write(425, 200'001, {});
  auto Lines = P.lines();
  BOOST_REQUIRE(Lines.size() >= 2u);
  bool Counted = false;
  // The first line is the rest of the line that did not fit in the pipe.
  for (std::size_t N = 1; N < Lines.size(); ++N) {
    boost::system::error_code Ec;
    auto V = boost::json::parse(Lines[N], Ec);
    BOOST_REQUIRE(!Ec);
    Counted |= V.as_object().contains("dropped_lines");
  }
  BOOST_TEST(Counted);
}

BOOST_AUTO_TEST_SUITE_END()
