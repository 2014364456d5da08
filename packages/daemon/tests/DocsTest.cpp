#include "Metrics.h"
#include "heathersaddle/daemon/Settings.h"
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

using namespace heathersaddle;
using namespace heathersaddle::daemon;

namespace {

/// The rows of the Markdown tables in \p File whose first cell is in backquotes
/// and starts with \p Prefix.
std::vector<std::string> tableRows(const std::string &File,
                                   const std::string &Prefix) {
  std::ifstream In(File);
  BOOST_REQUIRE_MESSAGE(In, File);
  std::vector<std::string> Rows;
  for (std::string Line; std::getline(In, Line);)
    if (Line.starts_with("| `" + Prefix))
      Rows.push_back(Line);
  return Rows;
}

std::string quoted(std::string_view Text) {
  return Text.empty() ? "" : "`" + std::string(Text) + "`";
}

std::string row(std::initializer_list<std::string> Cells) {
  std::string Line = "|";
  for (const std::string &Cell : Cells)
    Line += Cell.empty() ? " |" : " " + Cell + " |";
  return Line;
}

ParsedSettings parse(std::vector<std::string> Flags,
                     std::map<std::string, std::string, std::less<>> Env = {}) {
  Env.emplace("HEATHERSADDLE_PEER_KEY", "0123456789abcdef");
  for (const char *Required :
       {"--name=entry1", "--data-centre=dc1", "--log=127.0.0.1:9000"})
    Flags.insert(Flags.begin(), Required);
  return parseSettings(Flags, [&Env](std::string_view Name) {
    auto Found = Env.find(Name);
    return Found == Env.end() ? std::nullopt : std::optional(Found->second);
  });
}

/// Like parse(), but without the required settings and with an empty
/// environment.
ParsedSettings parseFlagsOnly(const std::vector<std::string> &Flags) {
  return parseSettings(Flags, [](std::string_view) { return std::nullopt; });
}

std::string join(const std::vector<std::string> &Lines) {
  std::string Text;
  for (const std::string &Line : Lines)
    Text += Line + "\n";
  return Text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(OperatorSettings)

// Guards against a flag or variable that is read but not stored.
BOOST_AUTO_TEST_CASE(FlagsTakePrecedenceOverVariables) {
  auto P = parse({"--listen", "[::1]:0", "--sync-wait-ms=100"},
                 {{"HEATHERSADDLE_SYNC_WAIT_MS", "x"},
                  {"HEATHERSADDLE_LOG_LEVEL", "debug"},
                  {"HEATHERSADDLE_MAX_WAITERS", "7"}});
  BOOST_TEST(join(P.Faults) == "");
  BOOST_TEST(P.Values.Node.Name == "entry1");
  BOOST_TEST(P.Values.ListenAddress == "::1");
  BOOST_TEST(P.Values.ListenPort == 0);
  BOOST_TEST(P.Values.Node.SyncWait.count() == 100);
  BOOST_TEST(P.Values.Node.MaxWaiters == 7u);
  BOOST_TEST((P.Values.LogLevel == base::Severity::Debug));
}

// Guards against reporting only one invalid setting per start, and against
// printing the peer key.
BOOST_AUTO_TEST_CASE(AllInvalidValuesAreReported) {
  auto P = parse({"--listen=localhost:80", "--log=x", "--traffic-threads=0",
                  "--owner-silence-ms=3999", "--worker-lease-ms=119999",
                  "--operator-token-sha256=AB", "--colour=red", "stray"},
                 {{"HEATHERSADDLE_PEER_KEY", "secret"},
                  {"HEATHERSADDLE_MAX_WAIT_MS", "600001"}});
  std::string All = join(P.Faults);
  BOOST_TEST(P.Faults.size() == 10u, All);
  for (const char *Part :
       {"--listen (HEATHERSADDLE_LISTEN): 'localhost:80' is not allowed;",
        "allowed: IP-ADDRESS:PORT", "--log (", "--traffic-threads (",
        "'0' is not allowed", "--colour", "stray", "--owner-silence-ms (",
        "--worker-lease-ms (", "--operator-token-sha256 (",
        "HEATHERSADDLE_PEER_KEY: the value",
        "--max-wait-ms (HEATHERSADDLE_MAX_WAIT_MS): '600001'"})
    BOOST_TEST(All.find(Part) != std::string::npos, Part << "\n" << All);
  BOOST_TEST(All.find("secret") == std::string::npos);
}

// Guards against starting without the settings that have no default.
BOOST_AUTO_TEST_CASE(MissingRequiredSettingsAreReported) {
  std::string All = join(parseFlagsOnly({}).Faults);
  for (const char *Part :
       {"--name (", "--data-centre (", "--log (", "HEATHERSADDLE_PEER_KEY"})
    BOOST_TEST(All.find(Part) != std::string::npos, Part);
  BOOST_TEST(parseFlagsOnly({"--check", "--help"}).CheckOnly);
  BOOST_TEST(parseFlagsOnly({"--check", "--help"}).HelpRequested);
}

// Guards against defaults in the settings table, which the documentation shows,
// that differ from the defaults in the code.
BOOST_AUTO_TEST_CASE(TableDefaultsMatchStructDefaults) {
  std::vector<std::string> Flags;
  for (const SettingInfo &I : settingsTable())
    if (!I.Default.empty())
      Flags.push_back("--" + std::string(I.Flag) + "=" +
                      std::string(I.Default));
  Settings A = parse(Flags).Values;
  Settings B = parse({}).Values;
  BOOST_TEST(A.ListenAddress == B.ListenAddress);
  BOOST_TEST(A.ListenPort == B.ListenPort);
  BOOST_TEST(A.TrafficThreads == B.TrafficThreads);
  BOOST_TEST(A.MaxConnections == B.MaxConnections);
  BOOST_TEST((A.LogLevel == B.LogLevel));
  auto Times = [](const Settings &S) {
    const control::NodeSettings &N = S.Node;
    return std::vector{S.MaxWait,
                       S.DrainDelay,
                       S.StopLimit,
                       N.OwnerSilenceTimeout,
                       N.OwnerHeartbeat,
                       N.OwnerRefusedTimeout,
                       N.RankDelay,
                       N.SyncWait,
                       N.WorkerLease,
                       N.HostListPeriod,
                       N.CallTimeout,
                       N.ReadWait,
                       N.UnknownOutcomeGrace,
                       N.Policy.ReclaimGrace,
                       N.SnapshotPeriod};
  };
  BOOST_TEST((Times(A) == Times(B)));
  BOOST_TEST(A.Node.MaxWaiters == B.Node.MaxWaiters);
  BOOST_TEST(A.Node.SnapshotRecords == B.Node.SnapshotRecords);
}

// Guards against documentation that differs from the program.
BOOST_AUTO_TEST_CASE(DocumentationMatchesTheTable) {
  std::vector<std::string> Expected;
  for (const SettingInfo &S : settingsTable())
    Expected.push_back(
        row({quoted(S.Variable),
             S.Flag.empty() ? "" : quoted("--" + std::string(S.Flag)),
             S.Required ? "required" : quoted(S.Default),
             std::string(S.Allowed), std::string(S.Help)}));
  auto Found = tableRows("docs/settings.md", "HEATHERSADDLE_");
  BOOST_TEST(join(Found) == join(Expected));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OperatorMetrics)

// Guards against documentation that differs from the program.
BOOST_AUTO_TEST_CASE(DocumentationMatchesTheTable) {
  std::vector<std::string> Expected;
  for (const MetricInfo &M : metricsTable())
    Expected.push_back(row({quoted(M.Name), M.IsCounter ? "counter" : "gauge",
                            std::string(M.Labels), std::string(M.Help)}));
  auto Found = tableRows("docs/metrics.md", "heathersaddle_");
  BOOST_TEST(join(Found) == join(Expected));
}

// Guards against label values that grow without bound or break the format.
BOOST_AUTO_TEST_CASE(SeriesAreBoundedAndLabelsAreEscaped) {
  Metrics M;
  for (std::size_t N = 0; N < 2 * Metrics::MaxSeries; ++N)
    M.add("heathersaddle_rejected_total", label("reason", std::to_string(N)),
          1);
  M.add("heathersaddle_unlisted_total", "", 1);
  M.set("heathersaddle_cell_epoch", label("cell", "a\"b\\c\n"), 3);
  std::istringstream Text(M.text());
  std::size_t Series = 0;
  bool Escaped = false;
  for (std::string Line; std::getline(Text, Line);) {
    Series += Line.starts_with("heathersaddle_rejected_total{");
    Escaped |= Line == R"(heathersaddle_cell_epoch{cell="a\"b\\c "} 3)";
    BOOST_TEST(Line.find("unlisted") == std::string::npos);
  }
  BOOST_TEST(Series == Metrics::MaxSeries);
  BOOST_TEST(Escaped);
}

BOOST_AUTO_TEST_SUITE_END()
