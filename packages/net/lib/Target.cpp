#include "Target.h"
#include <charconv>

namespace heathersaddle::net {

/// A parameter of three bytes costs over 100 bytes of memory.
static constexpr std::size_t MaxQueryParameters = 64;

static int hexDigit(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;
  if (C >= 'A' && C <= 'F')
    return C - 'A' + 10;
  return -1;
}

static std::optional<std::string> percentDecode(std::string_view Text,
                                                bool PlusIsSpace) {
  std::string Out;
  for (std::size_t N = 0; N < Text.size(); ++N) {
    char C = Text[N];
    if (C == '%') {
      if (N + 2 >= Text.size())
        return std::nullopt;
      int High = hexDigit(Text[N + 1]);
      int Low = hexDigit(Text[N + 2]);
      if (High < 0 || Low < 0)
        return std::nullopt;
      C = static_cast<char>(High * 16 + Low);
      N += 2;
    } else if (C == '+' && PlusIsSpace) {
      C = ' ';
    }
    if (static_cast<unsigned char>(C) < 0x20 || C == 0x7f)
      return std::nullopt;
    Out += C;
  }
  return Out;
}

std::optional<Target> parseTarget(std::string_view Text) {
  if (Text.empty() || Text.front() != '/')
    return std::nullopt;
  std::size_t QuestionMark = Text.find('?');
  auto Path = percentDecode(Text.substr(0, QuestionMark), false);
  if (!Path)
    return std::nullopt;
  Target Result{std::move(*Path), {}};
  std::string_view Rest = QuestionMark == std::string_view::npos
                              ? ""
                              : Text.substr(QuestionMark + 1);
  while (!Rest.empty()) {
    std::size_t End = Rest.find('&');
    std::string_view Pair = Rest.substr(0, End);
    Rest = End == std::string_view::npos ? "" : Rest.substr(End + 1);
    std::size_t Equals = Pair.find('=');
    auto Name = percentDecode(Pair.substr(0, Equals), true);
    auto Value = percentDecode(
        Equals == std::string_view::npos ? "" : Pair.substr(Equals + 1), true);
    if (!Name || !Value || !Result.Query.emplace(*Name, *Value).second ||
        Result.Query.size() > MaxQueryParameters)
      return std::nullopt;
  }
  return Result;
}

std::optional<HostPort> parseHostPort(std::string_view Text) {
  std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return std::nullopt;
  std::string_view Host = Text.substr(0, Colon);
  std::string_view Port = Text.substr(Colon + 1);
  if (Host.front() == '[') {
    if (Host.size() < 3 || Host.back() != ']')
      return std::nullopt;
    Host = Host.substr(1, Host.size() - 2);
  } else if (Host.find(':') != std::string_view::npos) {
    return std::nullopt;
  }
  HostPort Result{std::string(Host), 0};
  auto [End, Ec] =
      std::from_chars(Port.data(), Port.data() + Port.size(), Result.Port);
  if (Ec != std::errc() || End != Port.data() + Port.size() || !Result.Port)
    return std::nullopt;
  return Result;
}

} // namespace heathersaddle::net
