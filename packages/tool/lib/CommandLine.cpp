// Each command has its own cxxopts description, so that a command does not
// accept a flag that only another command has. cxxopts reports errors by
// exceptions; parseCommand() catches them.

#include "heathersaddle/tool/CommandLine.h"
#include "Help.h"
#include <algorithm>
#include <array>
#include <cxxopts.hpp>

namespace heathersaddle::tool {

using base::ErrorCode;
using base::Expected;
using base::makeError;

namespace {

constexpr std::size_t MaxInputBytes = 64 * 1024;
constexpr std::size_t MaxListBytes = 256 * 1024;
constexpr unsigned MaxAttempts = 100;

struct VerbName {
  std::string_view Name;
  Verb Command;
};
constexpr std::array<VerbName, 7> SingleWordVerbs{
    {{"submit", Verb::Submit},
     {"status", Verb::Status},
     {"wait", Verb::Wait},
     {"cancel", Verb::Cancel},
     {"pool", Verb::Pool},
     {"explain", Verb::Explain},
     {"dev-platform", Verb::DevPlatform}}};
constexpr std::array<VerbName, 3> ListVerbs{{{"publish", Verb::ListsPublish},
                                             {"show", Verb::ListsShow},
                                             {"history", Verb::ListsHistory}}};

constexpr std::array<VerbName, 1> ReportVerbs{{{"burn", Verb::ReportBurn}}};

tl::unexpected<base::Error> argumentError(std::string_view Field,
                                          std::string_view Message) {
  return makeError(ErrorCode::InvalidArgument, "command line", Message, {},
                   Field);
}

template <class Names>
std::optional<Verb> findVerb(const Names &Verbs, std::string_view Name) {
  for (const VerbName &V : Verbs)
    if (V.Name == Name)
      return V.Command;
  return std::nullopt;
}

bool takesJob(Verb V) {
  return V == Verb::Status || V == Verb::Wait || V == Verb::Cancel ||
         V == Verb::Explain;
}

bool takesList(Verb V) {
  return V == Verb::ListsPublish || V == Verb::ListsShow;
}

void addConnectionFlags(cxxopts::Options &O) {
  O.add_options("Connection")(
      "server", "HOST:PORT of a daemon; repeat for more, tried in order",
      cxxopts::value<std::vector<std::string>>())(
      "token-file", "file that holds the bearer token",
      cxxopts::value<std::string>())(
      "attempts", "tries of one call over all servers, 1 to 100",
      cxxopts::value<unsigned>()->default_value("8"));
}

void addSubmitFlags(cxxopts::Options &O) {
  O.add_options("Job")("tasks", "tasks of the gang, 1 to 64",
                       cxxopts::value<unsigned>()->default_value("1"))(
      "accelerators", "accelerators of one task",
      cxxopts::value<unsigned>()->default_value("1"))(
      "slots", "slots of one task; 0: as many as accelerators",
      cxxopts::value<unsigned>()->default_value("0"))(
      "within", "none, worker or rack",
      cxxopts::value<std::string>()->default_value("none"))(
      "kind", "kind of the work",
      cxxopts::value<std::string>()->default_value("echo"))(
      "input", "the input as text", cxxopts::value<std::string>())(
      "input-file", "file that holds the input; - is the standard input",
      cxxopts::value<std::string>())(
      "idempotent", "the job may be started again after a loss")(
      "urgent", "start before other work")(
      "deadline-ms", "deadline, in ms after acceptance",
      cxxopts::value<std::int64_t>())("run-time-ms", "declared run time, in ms",
                                      cxxopts::value<std::int64_t>())(
      "cores", "cores of one task",
      cxxopts::value<unsigned>())("memory-mb", "memory of one task, in MB",
                                  cxxopts::value<std::uint64_t>())(
      "key", "idempotency key; generated when absent",
      cxxopts::value<std::string>())("wait", "wait for the answer");
}

void addPlatformFlags(cxxopts::Options &O) {
  O.add_options("Stand-in")("data-centres", "number of data centres",
                            cxxopts::value<unsigned>()->default_value("3"))(
      "racks", "racks in a data centre",
      cxxopts::value<unsigned>()->default_value("2"))(
      "workers-per-rack", "workers in a rack",
      cxxopts::value<unsigned>()->default_value("8"))(
      "slots", "slots of a worker, 1 to 64",
      cxxopts::value<unsigned>()->default_value("8"))(
      "accelerators", "accelerators of a worker, at most its slots",
      cxxopts::value<unsigned>()->default_value("8"))(
      "port", "port of the log and the host list; 0: a free one",
      cxxopts::value<unsigned>()->default_value("7070"))(
      "seed", "seed of injected faults",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "host-list-lag-ms", "delay of the host list, in ms",
      cxxopts::value<std::int64_t>()->default_value("0"));
}

cxxopts::Options describe(Verb V, const std::string &Name) {
  cxxopts::Options O("heathersaddle " + Name, std::string(summary(V)));
  O.add_options()("h,help", "print this help")(
      "output", "text or json",
      cxxopts::value<std::string>()->default_value("text"))(
      "operands", "", cxxopts::value<std::vector<std::string>>());
  O.parse_positional({"operands"});
  if (V == Verb::DevPlatform)
    addPlatformFlags(O);
  else
    addConnectionFlags(O);
  if (V == Verb::Submit)
    addSubmitFlags(O);
  if (V == Verb::Submit || V == Verb::Wait)
    O.add_options()("timeout-ms", "how long to wait, in ms",
                    cxxopts::value<std::int64_t>()->default_value("60000"));
  if (V == Verb::ListsPublish)
    O.add_options()("base",
                    "version that the file changes; the one in force when "
                    "absent",
                    cxxopts::value<std::uint64_t>());
  if (V == Verb::ReportBurn)
    O.add_options()("html", "file for the report as one HTML page",
                    cxxopts::value<std::string>());
  O.custom_help("[flags]");
  O.positional_help(std::string(operands(V)));
  return O;
}

bool validServer(std::string_view Server) {
  auto Colon = Server.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return false;
  std::string_view Port = Server.substr(Colon + 1);
  if (Port.empty() || Port.size() > 5 ||
      !std::all_of(Port.begin(), Port.end(),
                   [](char C) { return C >= '0' && C <= '9'; }))
    return false;
  int Number = std::stoi(std::string(Port));
  return Number > 0 && Number <= 65535;
}

std::vector<std::string> splitList(std::string_view Text) {
  std::vector<std::string> Items;
  while (!Text.empty()) {
    auto End = Text.find_first_of(", ");
    if (End != 0)
      Items.emplace_back(Text.substr(0, End));
    if (End == std::string_view::npos)
      break;
    Text.remove_prefix(End + 1);
  }
  return Items;
}

std::string trimmed(std::string Text) {
  while (!Text.empty() && (Text.back() == '\n' || Text.back() == '\r'))
    Text.pop_back();
  return Text;
}

/// Reads the parsed flags of one command into an Invocation.
class InvocationReader {
public:
  InvocationReader(const cxxopts::ParseResult &Flags, const Environment &Env,
                   Invocation &Result)
      : Flags(Flags), Env(Env), Result(Result) {}

  Expected<void> read() {
    const auto Format = Flags["output"].as<std::string>();
    if (Format != "text" && Format != "json")
      return argumentError("output", "must be text or json");
    Result.Format = Format == "json" ? Output::Json : Output::Text;
    if (auto Done = readOperands(); !Done)
      return Done;
    if (Result.Command == Verb::DevPlatform)
      return readPlatform();
    if (auto Done = readConnection(); !Done)
      return Done;
    if (Flags.count("timeout-ms"))
      Result.TimeLimit = base::Millis(Flags["timeout-ms"].as<std::int64_t>());
    if (Result.TimeLimit < base::Millis(0))
      return argumentError("timeout-ms", "must not be negative");
    readOptional("html", Result.HtmlFile);
    if (Flags.count("html") && Result.HtmlFile.empty())
      return argumentError("html", "must name a file");
    if (Result.Command == Verb::Submit)
      return readSubmit();
    return {};
  }

private:
  Expected<void> readOperands() {
    std::vector<std::string> Operands;
    if (Flags.count("operands"))
      Operands = Flags["operands"].as<std::vector<std::string>>();
    std::size_t ExpectedCount = 0;
    if (takesJob(Result.Command) || takesList(Result.Command))
      ExpectedCount = 1;
    if (Result.Command == Verb::ListsPublish)
      ExpectedCount = 2;
    if (Operands.size() != ExpectedCount)
      return argumentError(
          "", "expects " + std::to_string(ExpectedCount) + " operands, not " +
                  std::to_string(Operands.size()) + "; see --help");
    if (takesJob(Result.Command))
      return readJob(Operands[0]);
    if (takesList(Result.Command))
      return readList(Operands);
    return {};
  }

  Expected<void> readJob(const std::string &Job) {
    bool Valid = !Job.empty() && Job.size() <= 128 &&
                 std::all_of(Job.begin(), Job.end(), [](unsigned char C) {
                   return std::isalnum(C) || C == '-' || C == '_' || C == '.';
                 });
    if (!Valid)
      return argumentError("JOB", "is not a job id");
    Result.Job = Job;
    return {};
  }

  Expected<void> readList(const std::vector<std::string> &Operands) {
    if (Operands[0] != "customers" && Operands[0] != "plans")
      return argumentError("LIST", "must be customers or plans");
    Result.ListName = Operands[0];
    if (Result.Command != Verb::ListsPublish)
      return {};
    auto Text = Env.ReadFile(Operands[1]);
    if (!Text)
      return tl::unexpected(Text.error());
    if (Text->size() > MaxListBytes)
      return argumentError("FILE", "is longer than 256 KiB");
    Result.ListText = *std::move(Text);
    if (Flags.count("base"))
      Result.ListBase = Flags["base"].as<std::uint64_t>();
    return {};
  }

  Expected<void> readConnection() {
    if (Flags.count("server"))
      Result.Servers = Flags["server"].as<std::vector<std::string>>();
    else if (auto Text = Env.Variable("HEATHERSADDLE_SERVERS"))
      Result.Servers = splitList(*Text);
    if (Result.Servers.empty())
      return argumentError("server", "is required, or HEATHERSADDLE_SERVERS");
    for (const std::string &S : Result.Servers)
      if (!validServer(S))
        return argumentError("server", "'" + S + "' is not HOST:PORT");
    Result.Attempts = Flags["attempts"].as<unsigned>();
    if (Result.Attempts < 1 || Result.Attempts > MaxAttempts)
      return argumentError("attempts", "must be within 1 and 100");
    return readToken();
  }

  // The token has no flag of its own, because other users of the machine can
  // read command lines.
  Expected<void> readToken() {
    if (Flags.count("token-file")) {
      auto Text = Env.ReadFile(Flags["token-file"].as<std::string>());
      if (!Text)
        return tl::unexpected(Text.error());
      Result.Token = trimmed(*std::move(Text));
    } else if (auto Text = Env.Variable("HEATHERSADDLE_TOKEN")) {
      Result.Token = *Text;
    }
    if (Result.Token.find_first_of("\r\n") != std::string::npos)
      return argumentError("token-file", "must hold one line");
    return {};
  }

  Expected<void> readSubmit() {
    SubmitArguments &S = Result.Submit;
    S.Tasks = Flags["tasks"].as<unsigned>();
    S.Accelerators = Flags["accelerators"].as<unsigned>();
    S.Slots = Flags["slots"].as<unsigned>();
    S.Within = Flags["within"].as<std::string>();
    S.Kind = Flags["kind"].as<std::string>();
    S.Idempotent = Flags.count("idempotent") != 0;
    S.Urgent = Flags.count("urgent") != 0;
    S.WaitForEnd = Flags.count("wait") != 0;
    readOptional("deadline-ms", S.DeadlineMs);
    readOptional("run-time-ms", S.RunTimeMs);
    readOptional("cores", S.Cores);
    readOptional("memory-mb", S.MemoryMb);
    readOptional("key", S.Key);
    readOptional("input", S.Input);
    if (Flags.count("input-file")) {
      if (Flags.count("input"))
        return argumentError("input-file",
                             "must not be given together with --input");
      auto Text = Env.ReadFile(Flags["input-file"].as<std::string>());
      if (!Text)
        return tl::unexpected(Text.error());
      S.Input = *std::move(Text);
    }
    return checkSubmit();
  }

  Expected<void> checkSubmit() const {
    const SubmitArguments &S = Result.Submit;
    if (S.Tasks < 1 || S.Tasks > 64)
      return argumentError("tasks", "must be within 1 and 64");
    if (S.Accelerators > 64)
      return argumentError("accelerators", "must be within 0 and 64");
    if (S.Slots > 64)
      return argumentError("slots", "must be within 0 and 64");
    if (S.Slots == 0 && S.Accelerators == 0)
      return argumentError("slots",
                           "is required for a task without accelerators");
    if (S.Within != "none" && S.Within != "worker" && S.Within != "rack")
      return argumentError("within", "must be none, worker or rack");
    if (S.DeadlineMs < 0)
      return argumentError("deadline-ms", "must not be negative");
    if (S.RunTimeMs < 0)
      return argumentError("run-time-ms", "must not be negative");
    if (S.Input.size() > MaxInputBytes)
      return argumentError("input", "is longer than 64 KiB");
    bool Printable =
        std::all_of(S.Key.begin(), S.Key.end(),
                    [](unsigned char C) { return C > 32 && C < 127; });
    if (S.Key.size() > 128 || !Printable)
      return argumentError("key", "must be at most 128 printable characters");
    return {};
  }

  Expected<void> readPlatform() {
    PlatformArguments &P = Result.Platform;
    P.DataCentres = Flags["data-centres"].as<unsigned>();
    P.Racks = Flags["racks"].as<unsigned>();
    P.Workers = Flags["workers-per-rack"].as<unsigned>();
    P.Slots = Flags["slots"].as<unsigned>();
    P.Accelerators = Flags["accelerators"].as<unsigned>();
    P.Port = Flags["port"].as<unsigned>();
    P.Seed = Flags["seed"].as<std::uint64_t>();
    P.HostListLagMs = Flags["host-list-lag-ms"].as<std::int64_t>();
    if (P.DataCentres < 1 || P.DataCentres > 8)
      return argumentError("data-centres", "must be within 1 and 8");
    if (P.Racks < 1 || P.Racks > 128)
      return argumentError("racks", "must be within 1 and 128");
    if (P.Workers < 1 || P.Workers > 64)
      return argumentError("workers-per-rack", "must be within 1 and 64");
    if (P.Slots < 1 || P.Slots > 64)
      return argumentError("slots", "must be within 1 and 64");
    if (P.Accelerators > P.Slots)
      return argumentError("accelerators", "must not exceed the slots");
    if (P.Port > 65535)
      return argumentError("port", "must be within 0 and 65535");
    if (P.HostListLagMs < 0)
      return argumentError("host-list-lag-ms", "must not be negative");
    return {};
  }

  template <class T> void readOptional(const char *Flag, T &Value) const {
    if (Flags.count(Flag))
      Value = Flags[Flag].as<T>();
  }

  const cxxopts::ParseResult &Flags;
  const Environment &Env;
  Invocation &Result;
};

Expected<Invocation> parseCommand(Verb V, const std::string &Name,
                                  std::span<const std::string> Args,
                                  const Environment &Env) {
  cxxopts::Options O = describe(V, Name);
  std::vector<const char *> Argv{"heathersaddle"};
  for (const std::string &A : Args)
    Argv.push_back(A.c_str());
  Invocation Result;
  try {
    auto Flags = O.parse(static_cast<int>(Argv.size()), Argv.data());
    if (Flags.count("help")) {
      Result.HelpText =
          O.help() + "\nExample:\n  " + std::string(example(V)) + "\n";
      return Result;
    }
    Result.Command = V;
    if (auto Done = InvocationReader(Flags, Env, Result).read(); !Done)
      return tl::unexpected(Done.error());
  } catch (const cxxopts::exceptions::exception &E) {
    return argumentError("", E.what());
  }
  return Result;
}

/// Parses a command of two words, such as `lists show`. \p Subcommands lists
/// the second words for the error message.
template <class Names>
Expected<Invocation>
parseGroup(const Names &Verbs, std::string_view Subcommands,
           std::span<const std::string> Args, const Environment &Env) {
  if (Args.size() > 1)
    if (auto V = findVerb(Verbs, Args[1]))
      return parseCommand(*V, Args[0] + " " + Args[1], Args.subspan(2), Env);
  if (Args.size() > 1 && (Args[1] == "--help" || Args[1] == "-h")) {
    Invocation Help;
    Help.HelpText = overview();
    return Help;
  }
  return argumentError("", Args[0] + " expects " + std::string(Subcommands));
}

} // namespace

Expected<Invocation> parseCommandLine(std::span<const std::string> Args,
                                      const Environment &Env) {
  if (Args.empty())
    return argumentError("", "a command is required; see heathersaddle --help");
  const std::string &CommandName = Args[0];
  if (CommandName == "--help" || CommandName == "-h" || CommandName == "help") {
    Invocation Help;
    Help.HelpText = overview();
    return Help;
  }
  if (auto V = findVerb(SingleWordVerbs, CommandName))
    return parseCommand(*V, CommandName, Args.subspan(1), Env);
  if (CommandName == "lists")
    return parseGroup(ListVerbs, "publish, show or history", Args, Env);
  if (CommandName == "report")
    return parseGroup(ReportVerbs, "burn", Args, Env);
  return argumentError("",
                       "'" + CommandName + "' is not a command; see --help");
}

} // namespace heathersaddle::tool
