#ifndef HEATHERSADDLE_TOOL_TESTS_SCRIPTEDSERVERS_H
#define HEATHERSADDLE_TOOL_TESTS_SCRIPTEDSERVERS_H

#include "heathersaddle/tool/Commands.h"
#include <deque>
#include <map>

namespace heathersaddle::tool {

inline base::Expected<HttpReply> reply(unsigned Status,
                                       std::string Body = "{}") {
  return HttpReply{Status, {}, std::move(Body)};
}
inline base::Expected<HttpReply> refused() {
  return base::makeError(base::ErrorCode::Unavailable, "send", "refused");
}
inline base::Expected<HttpReply> reset() {
  return base::makeError(base::ErrorCode::Unresolved, "send", "reset");
}
inline const std::string NotRun = R"({"error":{"run":"not_run"}})";

/// Servers that give scripted answers, and a clock that only Sleep advances.
struct Fixture {
  std::deque<base::Expected<HttpReply>> Script;
  std::vector<std::pair<std::string, HttpCall>> Sent;
  std::vector<base::Millis> Pauses;
  base::Millis Now{0};
  std::vector<std::string> Servers{"a:1", "b:2"};
  std::map<std::string, std::string> WrittenFiles;
  Invocation Args;

  CommandResult run(std::deque<base::Expected<HttpReply>> Answers) {
    Script = std::move(Answers);
    RetryPolicy Policy;
    Policy.Attempts = Args.Attempts;
    auto Sleep = [this](base::Millis Time) {
      Pauses.push_back(Time);
      Now += Time;
    };
    Caller ServerCaller(
        Servers, Policy,
        [this](std::string_view Server, const HttpCall &Call) {
          Sent.emplace_back(Server, Call);
          auto Next = Script.front();
          if (Script.size() > 1)
            Script.pop_front();
          return Next;
        },
        Sleep, 1);
    CommandContext Context;
    Context.ServerCaller = &ServerCaller;
    Context.MonoNow = [this] { return Now; };
    Context.Sleep = Sleep;
    Context.NewKey = [] { return std::string("generated"); };
    Context.WriteFile = [this](const std::string &Path,
                               const std::string &Text) {
      WrittenFiles[Path] = Text;
      return base::Expected<void>();
    };
    return tool::run(Args, Context);
  }
};

} // namespace heathersaddle::tool

#endif
