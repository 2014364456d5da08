#include "heathersaddle/standin/TaskKinds.h"
#include <algorithm>
#include <charconv>

namespace heathersaddle::standin {

using base::Millis;

namespace {

constexpr Millis OverrunTime{600'000};
constexpr std::int64_t MaxRunTimeMs = 7LL * 24 * 3'600'000;
constexpr std::int64_t MaxLargeBytes = 1024L * 1024;

std::uint64_t fnv1a(std::string_view Text) {
  std::uint64_t Hash = 0xCBF29CE484222325ULL;
  for (unsigned char C : Text)
    Hash = (Hash ^ C) * 0x100000001B3ULL;
  return Hash;
}

std::string hex(std::uint64_t Value) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text(16, '0');
  for (std::size_t I = Text.size(); I-- != 0; Value >>= 4)
    Text[I] = Digits[Value & 15];
  return Text;
}

struct Kind {
  std::string_view Name;
  std::optional<std::int64_t> Number;
  bool Valid = true;
};

Kind parse(std::string_view Text) {
  auto Colon = Text.find(':');
  Kind K{Text.substr(0, Colon)};
  if (Colon == std::string_view::npos)
    return K;
  std::string_view Digits = Text.substr(Colon + 1);
  std::int64_t Number = 0;
  auto [End, Ec] =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Number);
  K.Valid = Ec == std::errc() && End == Digits.data() + Digits.size() &&
            Number >= 0 && Number <= MaxRunTimeMs;
  K.Number = Number;
  return K;
}

} // namespace

std::string echoAnswer(const TaskRequest &Request) {
  return std::to_string(Request.Task) + "/" + std::to_string(Request.Tasks) +
         ":" + hex(fnv1a(Request.Input)) + ":" + Request.Input;
}

TaskOutcome standardBehaviour(const TaskRequest &Request) {
  Kind K = parse(Request.Kind);
  if (K.Valid && K.Name == "echo" && !K.Number)
    return {Millis(0), true, echoAnswer(Request)};
  if (K.Valid && K.Name == "sleep" && K.Number)
    return {Millis(*K.Number), true, echoAnswer(Request)};
  if (K.Valid && K.Name == "fail")
    return {Millis(K.Number.value_or(0)), false, "the kind asks for a failure"};
  if (K.Valid && K.Name == "overrun" && !K.Number)
    return {OverrunTime, true, echoAnswer(Request)};
  if (K.Valid && K.Name == "large" && K.Number)
    return {Millis(0), true,
            std::string(std::size_t(std::min(*K.Number, MaxLargeBytes)), 'x')};
  return {Millis(0), false, "the kind '" + Request.Kind + "' is not known"};
}

} // namespace heathersaddle::standin
