#ifndef HEATHERSADDLE_TOOL_COMMANDLINE_H
#define HEATHERSADDLE_TOOL_COMMANDLINE_H

#include "heathersaddle/base/Error.h"
#include "heathersaddle/base/Time.h"
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace heathersaddle::tool {

enum class Verb {
  Help,
  Submit,
  Status,
  Wait,
  Cancel,
  ListsPublish,
  ListsShow,
  ListsHistory,
  Pool,
  ReportBurn,
  Explain,
  DevPlatform
};

enum class Output { Text, Json };

/// A job as `submit` describes it; docs/design.md, section 8.
struct SubmitArguments {
  unsigned Tasks = 1;
  unsigned Accelerators = 1; ///< Per task; 0: none, which requires Slots.
  unsigned Slots = 0;        ///< Per task; 0: as many as accelerators.
  std::string Within = "none";
  std::string Kind = "echo";
  std::string Input;
  bool Idempotent = false;
  bool Urgent = false;
  std::int64_t DeadlineMs = 0; ///< After acceptance; 0: none.
  std::int64_t RunTimeMs = 0;  ///< 0: not declared.
  unsigned Cores = 0;
  std::uint64_t MemoryMb = 0;
  std::string Key; ///< Idempotency key; empty: one is generated.
  bool WaitForEnd = false;
};

/// Sizes of the stand-in that `dev-platform` serves.
struct PlatformArguments {
  unsigned DataCentres = 3;
  unsigned Racks = 2;   ///< Per data centre.
  unsigned Workers = 8; ///< Per rack.
  unsigned Slots = 8;
  unsigned Accelerators = 8;
  unsigned Port = 7070;
  std::uint64_t Seed = 1;
  std::int64_t HostListLagMs = 0;
};

/// One parsed command line.
struct Invocation {
  Verb Command = Verb::Help;
  std::string HelpText; ///< Set only for Verb::Help.
  Output Format = Output::Text;
  std::vector<std::string> Servers; ///< "HOST:PORT", in the order to try.
  std::string Token;                ///< Bearer token; may be empty.
  unsigned Attempts = 8;            ///< Tries of one call over all servers.
  base::Millis TimeLimit{60'000};   ///< Of `wait` and `submit --wait`.
  std::string Job;
  std::string ListName; ///< "customers" or "plans".
  std::string ListText; ///< Content of the file to publish.
  std::optional<std::uint64_t> ListBase;
  std::string HtmlFile; ///< Of `report burn`; empty: no page.
  SubmitArguments Submit;
  PlatformArguments Platform;
};

/// Environment variables and files that the command line reads; tests replace
/// them.
struct Environment {
  std::function<std::optional<std::string>(std::string_view)> Variable;
  /// Content of a file; "-" is the standard input.
  std::function<base::Expected<std::string>(const std::string &)> ReadFile;
};

/// Reads the arguments after the program name. An error names the flag at
/// fault in Error::Field. `--help` gives an Invocation with Verb::Help.
base::Expected<Invocation> parseCommandLine(std::span<const std::string> Args,
                                            const Environment &Env);

} // namespace heathersaddle::tool

#endif
