#include "Help.h"
#include <array>

namespace heathersaddle::tool {

namespace {

struct CommandHelp {
  Verb Command;
  std::string_view Operands;
  std::string_view Summary;
  std::string_view Example;
};

constexpr std::array<CommandHelp, 11> Entries{{
    {Verb::Submit, "", "Submits a job.",
     "heathersaddle submit --server 127.0.0.1:7101 --tasks 4 --accelerators 2 "
     "--within rack --kind sleep:500 --input hello --wait"},
    {Verb::Status, "JOB", "Prints the state of a job.",
     "heathersaddle status j-4f0c --output json"},
    {Verb::Wait, "JOB", "Waits for the end of a job and prints its answer.",
     "heathersaddle wait j-4f0c --timeout-ms 30000"},
    {Verb::Cancel, "JOB", "Cancels a job.", "heathersaddle cancel j-4f0c"},
    {Verb::ListsPublish, "LIST FILE",
     "Publishes a version of the customers or plans list.",
     "heathersaddle lists publish plans plans.json --base 3"},
    {Verb::ListsShow, "LIST", "Prints the list in force.",
     "heathersaddle lists show customers --output json"},
    {Verb::ListsHistory, "", "Prints the published versions.",
     "heathersaddle lists history"},
    {Verb::Pool, "", "Prints workers, slots and homes.",
     "heathersaddle pool --output json"},
    {Verb::ReportBurn, "",
     "Prints the burn of the error budgets, from all daemons.",
     "heathersaddle report burn --server 127.0.0.1:8480 --server "
     "127.0.0.1:8481 --html burn.html"},
    {Verb::Explain, "JOB", "Prints why a job waits or where it runs.",
     "heathersaddle explain j-4f0c"},
    {Verb::DevPlatform, "",
     "Serves a stand-in of the platform in the foreground.",
     "heathersaddle dev-platform --data-centres 1 --racks 1 "
     "--workers-per-rack 2 --port 7070"},
}};

const CommandHelp &entry(Verb V) {
  for (const CommandHelp &E : Entries)
    if (E.Command == V)
      return E;
  return Entries[0];
}

std::string_view commandName(std::string_view Example) {
  Example.remove_prefix(std::string_view("heathersaddle ").size());
  auto End = Example.find(' ');
  if (Example.substr(0, End) == "lists" || Example.substr(0, End) == "report")
    End = Example.find(' ', End + 1);
  return Example.substr(0, End);
}

} // namespace

std::string_view summary(Verb V) { return entry(V).Summary; }
std::string_view operands(Verb V) { return entry(V).Operands; }
std::string_view example(Verb V) { return entry(V).Example; }

std::string overview() {
  std::string Text = "heathersaddle COMMAND [flags]\n\nCommands:\n";
  for (const CommandHelp &E : Entries) {
    std::string Head =
        std::string(commandName(E.Example)) + " " + std::string(E.Operands);
    Head.resize(std::max<std::size_t>(Head.size(), 26), ' ');
    Text += "  " + Head + std::string(E.Summary) + "\n      " +
            std::string(E.Example) + "\n";
  }
  Text += "\nEvery command takes --output text|json and --help.\n"
          "Environment: HEATHERSADDLE_SERVERS (HOST:PORT, separated by "
          "commas),\n  HEATHERSADDLE_TOKEN (bearer token).\n"
          "Exit codes: 0 done, 1 refused, 2 usage, 3 unavailable, "
          "4 unresolved, 5 conflict,\n  6 not ended yet, 7 report incomplete, "
          "8 file not written, 10 failed,\n  "
          "11 cancelled, 12 not run, 13 unknown; see docs/tool.md.\n";
  return Text;
}

} // namespace heathersaddle::tool
