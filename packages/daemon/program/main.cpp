#include "heathersaddle/daemon/Daemon.h"
#include <cstdlib>

int main(int Count, char **Values) {
  std::vector<std::string> Arguments(Values + 1, Values + Count);
  return heathersaddle::daemon::runProgram(
      Arguments, [](std::string_view Name) -> std::optional<std::string> {
        const char *Value = std::getenv(std::string(Name).c_str());
        if (!Value)
          return std::nullopt;
        return Value;
      });
}
