#include "heathersaddle/tool/Program.h"
#include "heathersaddle/net/HttpClient.h"
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <random>
#include <thread>

namespace heathersaddle::tool {

namespace {

std::uint64_t randomBits() {
  std::random_device Device;
  return (std::uint64_t(Device()) << 32) | Device();
}

std::string newKey() {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Key = "tool-";
  for (std::uint64_t Half : {randomBits(), randomBits()})
    for (int I = 0; I < 16; ++I, Half >>= 4)
      Key += Digits[Half & 15];
  return Key;
}

base::Millis monoNow() {
  return std::chrono::duration_cast<base::Millis>(
      std::chrono::steady_clock::now().time_since_epoch());
}

base::Expected<std::string> readFile(const std::string &Path) {
  using Iterator = std::istreambuf_iterator<char>;
  if (Path == "-")
    return std::string(Iterator(std::cin), Iterator());
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return base::makeError(base::ErrorCode::InvalidArgument, "read file",
                           "the file cannot be read", {}, Path);
  return std::string(Iterator(File), Iterator());
}

base::Expected<void> writeFile(const std::string &Path,
                               const std::string &Text) {
  std::ofstream File(Path, std::ios::binary | std::ios::trunc);
  File << Text;
  File.close();
  if (!File)
    return base::makeError(base::ErrorCode::InvalidArgument, "write file",
                           "the file cannot be written", Path);
  return {};
}

} // namespace

Environment processEnvironment() {
  return {[](std::string_view Name) -> std::optional<std::string> {
            const char *Value = std::getenv(std::string(Name).c_str());
            return Value ? std::optional<std::string>(Value) : std::nullopt;
          },
          readFile};
}

Transport httpTransport() {
  auto Client = std::make_shared<net::BlockingClient>();
  return [Client](std::string_view Server,
                  const HttpCall &Call) -> base::Expected<HttpReply> {
    net::ClientRequest Request;
    Request.Method = Call.Method;
    Request.Target = Call.Target;
    Request.Headers = Call.Headers;
    Request.Body = Call.Body;
    Request.TimeLimit = Call.TimeLimit;
    auto Response = Client->send(Server, std::move(Request));
    if (!Response)
      return tl::unexpected(Response.error());
    return HttpReply{Response->Status, Response->Headers, Response->Body};
  };
}

CommandResult runRemote(const Invocation &I) {
  auto Sleep = [](base::Millis Time) { std::this_thread::sleep_for(Time); };
  RetryPolicy Policy;
  Policy.Attempts = I.Attempts;
  Caller ServerCaller(I.Servers, Policy, httpTransport(), Sleep, randomBits());
  CommandContext Context;
  Context.ServerCaller = &ServerCaller;
  Context.MonoNow = monoNow;
  Context.Sleep = Sleep;
  Context.NewKey = newKey;
  Context.WriteFile = writeFile;
  return run(I, Context);
}

} // namespace heathersaddle::tool
