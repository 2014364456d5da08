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
  Environment Env;
  Env.Variable = [&](std::string_view Name) -> std::optional<std::string> {
    auto Found = Variables.find(std::string(Name));
    if (Found == Variables.end())
      return std::nullopt;
    return Found->second;
  };
  Env.ReadFile = [](const std::string &Path) -> base::Expected<std::string> {
    return "content of " + Path + "\n";
  };
  return parseCommandLine(Args, Env);
}

std::string errorFieldOf(const std::vector<std::string> &Args) {
  auto I = parse(Args, {{"HEATHERSADDLE_SERVERS", "127.0.0.1:1"}});
  return I ? "accepted" : I.error().Field;
}

} // namespace

BOOST_AUTO_TEST_SUITE(CommandLineParsing)

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
  BOOST_TEST((S.Idempotent && S.Urgent && S.WaitForEnd && S.Key == "k"));
  BOOST_TEST((S.DeadlineMs == 9 && S.RunTimeMs == 7));
  BOOST_TEST((S.Cores == 5 && S.MemoryMb == 6));
  BOOST_TEST(I->TimeLimit.count() == 12);
  BOOST_TEST((I->Format == Output::Json));
}

// Guards against calls to a wrong server because the variable was misparsed,
// and against the token file's newline in a header.
BOOST_AUTO_TEST_CASE(ServersAndTokenAreReadFromEnvironmentAndFile) {
  auto I = parse({"pool", "--token-file", "t"},
                 {{"HEATHERSADDLE_SERVERS", "a:1, b:2,c:3"},
                  {"HEATHERSADDLE_TOKEN", "unused"}});
  BOOST_REQUIRE(I);
  BOOST_TEST(I->Servers == (std::vector<std::string>{"a:1", "b:2", "c:3"}));
  BOOST_TEST(I->Token == "content of t");
}

// Guards against sending a request that the user did not intend.
BOOST_AUTO_TEST_CASE(InvalidArgumentsNameTheirFlag) {
  BOOST_TEST(errorFieldOf({"submit", "--tasks", "65"}) == "tasks");
  BOOST_TEST(errorFieldOf({"submit", "--accelerators", "0"}) == "slots");
  BOOST_TEST(errorFieldOf({"submit", "--within", "row"}) == "within");
  BOOST_TEST(errorFieldOf({"submit", "--key", "a b"}) == "key");
  BOOST_TEST(errorFieldOf({"submit", "--input", "a", "--input-file", "b"}) ==
             "input-file");
  BOOST_TEST(errorFieldOf({"pool", "--server", "a:70000"}) == "server");
  BOOST_TEST(errorFieldOf({"pool", "--attempts", "0"}) == "attempts");
  BOOST_TEST(errorFieldOf({"pool", "--output", "xml"}) == "output");
  BOOST_TEST(errorFieldOf({"status", "../lists"}) == "JOB");
  BOOST_TEST(errorFieldOf({"lists", "show", "hosts"}) == "LIST");
  BOOST_TEST(errorFieldOf({"dev-platform", "--accelerators", "9"}) ==
             "accelerators");
  BOOST_TEST(!parse({"pool", "--tasks", "1"}));
  BOOST_TEST(!parse({"remove"}));
  BOOST_TEST(!parse({"pool"}));
  BOOST_TEST(!parse({"status"}, {{"HEATHERSADDLE_SERVERS", "a:1"}}));
}

// Guards against a command whose help has no example.
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

BOOST_AUTO_TEST_SUITE(AnswerRendering)

// Guards against dropping fields that only some rows have.
BOOST_AUTO_TEST_CASE(ArrayOfObjectsBecomesAlignedTable) {
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

// Guards against an answer that sends control sequences to the terminal.
BOOST_AUTO_TEST_CASE(ControlCharactersAreReplaced) {
  boost::json::object Value{{"answer", "a\x1b[2Jb"}};
  BOOST_TEST(renderText(Value) == "answer: a?[2Jb\n");
}

BOOST_AUTO_TEST_SUITE_END()
