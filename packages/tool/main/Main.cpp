#include "heathersaddle/tool/Program.h"
#include <iostream>

using namespace heathersaddle::tool;

int main(int Count, char **Values) {
  const std::vector<std::string> Args(Values + 1, Values + Count);
  auto I = parseCommandLine(Args, processEnvironment());
  if (!I) {
    std::cerr << "heathersaddle: " << I.error().toString() << "\n";
    return static_cast<int>(ExitCode::Usage);
  }
  if (I->Command == Verb::Help) {
    std::cout << I->HelpText;
    return 0;
  }
  if (I->Command == Verb::DevPlatform)
    return servePlatform(*I);
  CommandResult Result = runRemote(*I);
  std::cout << Result.Out;
  std::cerr << Result.Err;
  return static_cast<int>(Result.Code);
}
