// SettingsTable describes every setting: its name, the allowed values, its help
// and the function that parses it. Flags, environment variables, the help text
// and the documentation are derived from it. checkCombinations() holds the
// checks that involve two settings.
#include "heathersaddle/daemon/Settings.h"
#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cxxopts.hpp>

namespace heathersaddle::daemon {

namespace {

/// Parses and stores a value; returns false if it is not allowed.
using Parser = bool (*)(Settings &, std::string_view);

struct SettingEntry {
  std::string_view Flag;
  std::string_view Default;
  std::string_view Allowed;
  std::string_view Help;
  bool Required;
  bool Secret; ///< No flag, and the value is never printed.
  Parser Parse;
};

template <class T>
bool parseNumber(std::string_view Text, std::uint64_t Min, std::uint64_t Max,
                 T &Into) {
  std::uint64_t Value = 0;
  auto [End, Ec] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Ec != std::errc() || End != Text.data() + Text.size() || Value < Min ||
      Value > Max)
    return false;
  Into = T(Value);
  return true;
}

bool parseLabel(std::string_view Text, std::string &Into) {
  if (Text.empty() || Text.size() > 64 ||
      !std::all_of(Text.begin(), Text.end(), [](unsigned char C) {
        return std::isalnum(C) || C == '.' || C == '_' || C == '-';
      }))
    return false;
  Into = Text;
  return true;
}

bool splitAddress(std::string_view Text, std::string &Host,
                  std::uint16_t &Port) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return false;
  Host = Text.substr(0, Colon);
  if (Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  return !Host.empty() && parseNumber(Text.substr(Colon + 1), 0, 65'535, Port);
}

bool parseListenAddress(Settings &S, std::string_view Text) {
  boost::system::error_code Ec;
  if (!splitAddress(Text, S.ListenAddress, S.ListenPort))
    return false;
  boost::asio::ip::make_address(S.ListenAddress, Ec);
  return !Ec;
}

bool parseAddress(std::string_view Text, std::string &Into) {
  std::string Host;
  std::uint16_t Port = 0;
  if (!splitAddress(Text, Host, Port) || Port == 0 || Text.size() > 255)
    return false;
  Into = Text;
  return true;
}

bool parseDigest(std::string_view Text, std::string &Into) {
  if (Text.size() != 64 ||
      Text.find_first_not_of("0123456789abcdef") != std::string_view::npos)
    return false;
  Into = Text;
  return true;
}

bool parsePeerKey(Settings &S, std::string_view Text) {
  if (Text.size() < 16 || Text.size() > 256 ||
      !std::all_of(Text.begin(), Text.end(),
                   [](unsigned char C) { return C > 0x20 && C < 0x7f; }))
    return false;
  S.PeerKey = Text;
  return true;
}

bool parseLogLevel(Settings &S, std::string_view Text) {
  auto Level = base::severity(Text);
  if (Level)
    S.LogLevel = *Level;
  return Level.has_value();
}

#define HS_NUMBER(MEMBER, MIN, MAX)                                            \
  [](Settings &S, std::string_view T) {                                        \
    return parseNumber(T, MIN, MAX, S.MEMBER);                                 \
  }

constexpr std::string_view AddressFormat = "HOST:PORT, port 1 to 65535";
constexpr std::string_view LabelFormat =
    "1 to 64 letters, digits, dots, underscores or hyphens";

const SettingEntry SettingsTable[] = {
    {"name", "", LabelFormat, "Name of this daemon, unique in the deployment",
     true, false,
     [](Settings &S, std::string_view T) {
       return parseLabel(T, S.Node.Name);
     }},
    {"data-centre", "", LabelFormat, "Data centre of this host", true, false,
     [](Settings &S, std::string_view T) {
       return parseLabel(T, S.Node.DataCentre);
     }},
    {"log", "", AddressFormat, "Address of the platform's log", true, false,
     [](Settings &S, std::string_view T) {
       return parseAddress(T, S.LogAddress);
     }},
    {"hosts", "", AddressFormat,
     "Address of the platform's host list; the log's when not set", false,
     false,
     [](Settings &S, std::string_view T) {
       return parseAddress(T, S.HostsAddress);
     }},
    {"listen", "127.0.0.1:8480",
     "IP-ADDRESS:PORT, port 0 to 65535, 0 takes a free port",
     "Where callers and peers connect", false, false, parseListenAddress},
    {"advertise", "", AddressFormat,
     "Address at which peers reach this daemon; the listening one when not set",
     false, false,
     [](Settings &S, std::string_view T) {
       return parseAddress(T, S.Advertise);
     }},
    {"operator-token-sha256", "", "64 lower-case hexadecimal digits",
     "SHA-256 of the operators' token; no operator has access when not set",
     false, false,
     [](Settings &S, std::string_view T) {
       return parseDigest(T, S.OperatorTokenSha256);
     }},
    {"peer-key", "", "16 to 256 visible ASCII characters",
     "Key that all daemons of the deployment share; only a variable, because "
     "other users see flags",
     true, true, parsePeerKey},
    {"traffic-threads", "2", "1 to 64", "Threads for HTTP", false, false,
     HS_NUMBER(TrafficThreads, 1, 64)},
    {"max-connections", "2048", "16 to 65536", "Most callers' connections",
     false, false, HS_NUMBER(MaxConnections, 16, 65'536)},
    {"max-wait-ms", "60000", "0 to 600000", "Longest wait of one request",
     false, false, HS_NUMBER(MaxWait, 0, 600'000)},
    {"max-waiters", "1000", "1 to 100000", "Most requests waiting at once",
     false, false, HS_NUMBER(Node.MaxWaiters, 1, 100'000)},
    {"drain-delay-ms", "500", "0 to 60000",
     "Time between not ready and closing the port in a stop, for the balancer",
     false, false, HS_NUMBER(DrainDelay, 0, 60'000)},
    {"stop-limit-ms", "30000", "1000 to 600000",
     "Longest stop; then the daemon exits with code 1", false, false,
     HS_NUMBER(StopLimit, 1'000, 600'000)},
    {"log-level", "info", "debug, info, warning or error",
     "Least severity of the events written to standard error", false, false,
     parseLogLevel},
    {"owner-heartbeat-ms", "2000", "100 to 60000",
     "Period of an owner's heartbeat records", false, false,
     HS_NUMBER(Node.OwnerHeartbeat, 100, 60'000)},
    {"owner-silence-ms", "5000",
     "200 to 600000, at least twice owner-heartbeat-ms",
     "Silence in the log after which an owner is suspected", false, false,
     HS_NUMBER(Node.OwnerSilenceTimeout, 200, 600'000)},
    {"owner-refused-ms", "1000", "100 to 60000",
     "Time of refused connections after which an owner is suspected", false,
     false, HS_NUMBER(Node.OwnerRefusedTimeout, 100, 60'000)},
    {"rank-delay-ms", "500", "0 to 60000",
     "Added to the suspicion time for each daemon that ranks higher", false,
     false, HS_NUMBER(Node.RankDelay, 0, 60'000)},
    {"sync-wait-ms", "60000", "100 to 600000",
     "How long a worker may hold a sync request", false, false,
     HS_NUMBER(Node.SyncWait, 100, 600'000)},
    {"worker-lease-ms", "150000", "300 to 3600000, at least twice sync-wait-ms",
     "Lease of a worker", false, false,
     HS_NUMBER(Node.WorkerLease, 300, 3'600'000)},
    {"host-list-period-ms", "2000", "100 to 5000",
     "Period of reading the host list; a leaving worker must get no new work "
     "within 5 s",
     false, false, HS_NUMBER(Node.HostListPeriod, 100, 5'000)},
    {"call-limit-ms", "3000", "100 to 60000",
     "Time limit of one exchange with the log, a worker or a peer", false,
     false, HS_NUMBER(Node.CallTimeout, 100, 60'000)},
    {"read-wait-ms", "3000", "100 to 60000",
     "How long the log may hold a read request", false, false,
     HS_NUMBER(Node.ReadWait, 100, 60'000)},
    {"unknown-grace-ms", "30000", "0 to 3600000",
     "Wait for an unreachable worker past the deadline before the outcome is "
     "unknown",
     false, false, HS_NUMBER(Node.UnknownOutcomeGrace, 0, 3'600'000)},
    {"reclaim-grace-ms", "10000", "0 to 600000",
     "Time a reclaimed job gets for its checkpoint", false, false,
     HS_NUMBER(Node.Policy.ReclaimGrace, 0, 600'000)},
    {"snapshot-records", "10000", "100 to 1000000",
     "Records between two snapshots", false, false,
     HS_NUMBER(Node.SnapshotRecords, 100, 1'000'000)},
    {"snapshot-period-ms", "21600000", "1000 to 43200000",
     "Longest time between two snapshots", false, false,
     HS_NUMBER(Node.SnapshotPeriod, 1'000, 43'200'000)},
};
#undef HS_NUMBER

std::string environmentVariable(std::string_view Flag) {
  std::string Name = "HEATHERSADDLE_";
  for (char C : Flag)
    Name +=
        C == '-'
            ? '_'
            : static_cast<char>(std::toupper(static_cast<unsigned char>(C)));
  return Name;
}

cxxopts::Options buildOptions() {
  cxxopts::Options O("heathersaddled");
  O.allow_unrecognised_options();
  auto Add = O.add_options();
  for (const SettingEntry &E : SettingsTable)
    if (!E.Secret)
      Add(std::string(E.Flag), "", cxxopts::value<std::string>());
  Add("check", "");
  Add("help", "");
  return O;
}

std::string describe(const SettingEntry &E) {
  std::string Variable = environmentVariable(E.Flag);
  return E.Secret ? Variable
                  : "--" + std::string(E.Flag) + " (" + Variable + ")";
}

void apply(const SettingEntry &E, const std::optional<std::string> &Value,
           ParsedSettings &Into) {
  if (!Value) {
    if (E.Required)
      Into.Faults.push_back(describe(E) +
                            ": not set; allowed: " + std::string(E.Allowed));
    return;
  }
  if (!E.Parse(Into.Values, *Value))
    Into.Faults.push_back(
        describe(E) + ": " + (E.Secret ? "the value" : "'" + *Value + "'") +
        " is not allowed; allowed: " + std::string(E.Allowed));
}

void checkCombinations(ParsedSettings &P) {
  const control::NodeSettings &N = P.Values.Node;
  auto Check = [&P](bool Valid, std::string_view Flag, base::Millis Value,
                    std::string_view Allowed) {
    if (!Valid)
      P.Faults.push_back("--" + std::string(Flag) + " (" +
                         environmentVariable(Flag) + "): '" +
                         std::to_string(Value.count()) +
                         "' is not allowed; allowed: " + std::string(Allowed));
  };
  Check(N.OwnerSilenceTimeout >= 2 * N.OwnerHeartbeat, "owner-silence-ms",
        N.OwnerSilenceTimeout, "at least twice owner-heartbeat-ms");
  Check(N.WorkerLease >= 2 * N.SyncWait, "worker-lease-ms", N.WorkerLease,
        "at least twice sync-wait-ms");
}

} // namespace

ParsedSettings parseSettings(std::span<const std::string> Arguments,
                             const Environment &Env) {
  ParsedSettings Result;
  std::vector<const char *> Argv{"heathersaddled"};
  for (const std::string &A : Arguments)
    Argv.push_back(A.c_str());
  std::optional<cxxopts::ParseResult> Flags;
  try {
    Flags = buildOptions().parse(static_cast<int>(Argv.size()), Argv.data());
  } catch (const std::exception &E) {
    Result.Faults.emplace_back(E.what());
  }
  if (Flags) {
    Result.CheckOnly = Flags->count("check") > 0;
    Result.HelpRequested = Flags->count("help") > 0;
    for (const std::string &Unknown : Flags->unmatched())
      Result.Faults.push_back("'" + Unknown +
                              "' is not a setting; see --help for all");
  }
  for (const SettingEntry &E : SettingsTable) {
    std::string Flag(E.Flag);
    std::optional<std::string> Value;
    if (Flags && !E.Secret && Flags->count(Flag))
      Value = (*Flags)[Flag].as<std::string>();
    else
      Value = Env(environmentVariable(E.Flag));
    apply(E, Value, Result);
  }
  checkCombinations(Result);
  return Result;
}

std::vector<SettingInfo> settingsTable() {
  std::vector<SettingInfo> All;
  for (const SettingEntry &E : SettingsTable)
    All.push_back({E.Secret ? "" : E.Flag, environmentVariable(E.Flag),
                   E.Default, E.Allowed, E.Help, E.Required});
  return All;
}

std::string helpText() {
  std::string Text =
      "heathersaddled: schedules jobs on a shared pool of accelerators.\n\n"
      "Usage: heathersaddled [--FLAG VALUE]... [--check] [--help]\n\n"
      "  --check  checks the settings and exits: 0 when all are allowed\n"
      "  --help   shows this text\n\n"
      "A flag takes precedence over its environment variable.\n\n";
  for (const SettingInfo &S : settingsTable()) {
    Text += S.Flag.empty()
                ? "  " + S.Variable
                : "  --" + std::string(S.Flag) + " (" + S.Variable + ")";
    Text += S.Required ? ", required" : "";
    Text += "\n      " + std::string(S.Help) +
            ".\n      Allowed: " + std::string(S.Allowed) + ".";
    if (!S.Default.empty())
      Text += " Default: " + std::string(S.Default) + ".";
    Text += "\n";
  }
  return Text + "\nExample:\n"
                "  HEATHERSADDLE_PEER_KEY=0123456789abcdef heathersaddled \\\n"
                "    --name entry1 --data-centre dc1 --log 127.0.0.1:9000 \\\n"
                "    --listen 127.0.0.1:8480\n";
}

} // namespace heathersaddle::daemon
