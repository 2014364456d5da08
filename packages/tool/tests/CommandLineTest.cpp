#define BOOST_TEST_MODULE tool
#include "heathersaddle/tool/CommandLine.h"
#include "heathersaddle/tool/Render.h"
#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace heathersaddle;
using namespace heathersaddle::tool;

namespace {

base::Expected<Invocation>
parse(const std::vector<std::string> &Args,
      const std::map<std::string, std::string> &Variables = {}) {
  Surroundings From;
  From.Variable = [&](std::string_view Name) -> std::optional<std::string> {
    auto Found = Variables.find(std::string(Name));
    if (Found == Variables.end())
      return std::nullopt;
    return Found->second;
  };
  From.ReadFile = [](const std::string &Path) -> base::Expected<std::string> {
    return "content of " + Path + "\n";
  };
  return parseCommandLine(Args, From);
}

std::string faultOf(const std::vector<std::string> &Args) {
  auto I = parse(Args, {{"HEATHERSADDLE_SERVERS", "127.0.0.1:1"}});
  return I ? "accepted" : I.error().Field;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ParsingTheCommandLine)

// Guards against losing a flag between the command line and the request.
BOOST_AUTO_TEST_CASE(SubmitKeepsEveryFlag) {
  auto I = parse({"submit",
                  "--server",
                  "a:1",
                  "--server",
                  "b:2",
                  "--tasks",
                  "4",
                  "--accelerators",
                  "2",
                  "--slots",
                  "3",
                  "--within",
                  "rack",
                  "--kind",
                  "echo",
                  "--input",
                  "x",
                  "--idempotent",
                  "--urgent",
                  "--deadline-ms",
                  "9",
                  "--run-time-ms",
                  "7",
                  "--cores",
                  "5",
                  "--memory-mb",
                  "6",
                  "--key",
                  "k",
                  "--wait",
                  "--timeout-ms",
                  "12",
                  "--output",
                  "json"});
  BOOST_REQUIRE(I);
  BOOST_TEST(I->Servers == (std::vector<std::string>{"a:1", "b:2"}));
  const SubmitArguments &S = I->Submit;
  BOOST_TEST((S.Tasks == 4 && S.Accelerators == 2 && S.Slots == 3));
  BOOST_TEST((S.Within == "rack" && S.Kind == "echo" && S.Input == "x"));
  BOOST_TEST((S.Idempotent && S.Urgent && S.ThenWait && S.Key == "k"));
  BOOST_TEST((S.DeadlineMs == 9 && S.RunTimeMs == 7));
  BOOST_TEST((S.Cores == 5 && S.MemoryMb == 6));
  BOOST_TEST(I->TimeLimit.count() == 12);
  BOOST_TEST((I->Format == Output::Json));
}

// Guards against calls to a wrong host because a variable was misread, and
// against a newline of the token file ending up in a header.
BOOST_AUTO_TEST_CASE(ServersAndTokenComeFromTheSurroundings) {
  auto I = parse({"pool", "--token-file", "t"},
                 {{"HEATHERSADDLE_SERVERS", "a:1, b:2,c:3"},
                  {"HEATHERSADDLE_TOKEN", "unused"}});
  BOOST_REQUIRE(I);
  BOOST_TEST(I->Servers == (std::vector<std::string>{"a:1", "b:2", "c:3"}));
  BOOST_TEST(I->Token == "content of t");
}

// Guards against sending a request that the user did not mean.
BOOST_AUTO_TEST_CASE(FaultsNameTheirFlag) {
  BOOST_TEST(faultOf({"submit", "--tasks", "65"}) == "tasks");
  BOOST_TEST(faultOf({"submit", "--accelerators", "0"}) == "slots");
  BOOST_TEST(faultOf({"submit", "--within", "row"}) == "within");
  BOOST_TEST(faultOf({"submit", "--key", "a b"}) == "key");
  BOOST_TEST(faultOf({"submit", "--input", "a", "--input-file", "b"}) ==
             "input-file");
  BOOST_TEST(faultOf({"pool", "--server", "a:70000"}) == "server");
  BOOST_TEST(faultOf({"pool", "--attempts", "0"}) == "attempts");
  BOOST_TEST(faultOf({"pool", "--output", "xml"}) == "output");
  BOOST_TEST(faultOf({"status", "../lists"}) == "JOB");
  BOOST_TEST(faultOf({"lists", "show", "hosts"}) == "LIST");
  BOOST_TEST(faultOf({"dev-platform", "--accelerators", "9"}) ==
             "accelerators");
  BOOST_TEST(!parse({"pool", "--tasks", "1"}));
  BOOST_TEST(!parse({"remove"}));
  BOOST_TEST(!parse({"pool"}));
  BOOST_TEST(!parse({"status"}, {{"HEATHERSADDLE_SERVERS", "a:1"}}));
}

// Guards against a command whose help shows no use.
BOOST_AUTO_TEST_CASE(HelpShowsAnExampleForEachCommand) {
  for (std::string Name : {"submit", "status", "wait", "cancel", "pool",
                           "explain", "dev-platform"}) {
    auto I = parse({Name, "--help"});
    BOOST_REQUIRE(I);
    BOOST_TEST(I->HelpText.find("Example:\n  heathersaddle " + Name) !=
               std::string::npos);
  }
  auto I = parse({"lists", "publish", "--help"});
  BOOST_REQUIRE(I);
  BOOST_TEST(I->HelpText.find("--base") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RenderingAnswers)

// Guards against dropping fields that only some rows have.
BOOST_AUTO_TEST_CASE(RowsBecomeAnAlignedTable) {
  auto Value = boost::json::parse(
      R"({"version":3,"plans":[{"name":"a","share":1},{"name":"long","x":true}],)"
      R"("notes":[]})");
  BOOST_TEST(renderText(Value) == "version: 3\n"
                                  "plans:\n"
                                  "  name  share  x\n"
                                  "  a     1      -\n"
                                  "  long  -      true\n"
                                  "notes: none\n");
}

// Guards against an answer that steers the terminal with control sequences.
BOOST_AUTO_TEST_CASE(ControlCharactersAreReplaced) {
  boost::json::object Value{{"answer", "a\x1b[2Jb"}};
  BOOST_TEST(renderText(Value) == "answer: a?[2Jb\n");
}

BOOST_AUTO_TEST_SUITE_END()
