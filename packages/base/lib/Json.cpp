#include "heathersaddle/base/Json.h"
#include <algorithm>
#include <limits>

namespace heathersaddle::base {

namespace json = boost::json;

Expected<json::value> parseJson(std::string_view Text, std::string_view Step,
                                JsonStrings Strings) {
  json::parse_options Options;
  Options.max_depth = 32;
  Options.allow_invalid_utf8 = Strings == JsonStrings::AnyBytes;
  boost::system::error_code Ec;
  json::value Value =
      json::parse(json::string_view(Text.data(), Text.size()), Ec, {}, Options);
  if (Ec)
    return makeError(ErrorCode::InvalidArgument, Step,
                     "the body is not valid JSON: " + Ec.message());
  return Value;
}

std::size_t maxJsonValues(std::string_view Text) {
  // Each value but the first follows one of these characters.
  std::size_t Count = 1;
  bool InString = false;
  for (std::size_t N = 0; N < Text.size(); ++N) {
    char C = Text[N];
    if (InString && C == '\\')
      ++N;
    else if (C == '"')
      InString = !InString;
    else if (!InString && (C == ',' || C == ':' || C == '[' || C == '{'))
      ++Count;
  }
  return Count;
}

JsonReader::JsonReader(const json::value &Value, std::string_view Step,
                       std::string_view Path)
    : Object(Value.if_object()), Step(Step), Path(Path) {
  if (!Object)
    fail("", "must be a JSON object");
}

void JsonReader::fail(std::string_view Field, std::string_view Message) {
  if (HasError)
    return;
  HasError = true;
  FirstError = Error{ErrorCode::InvalidArgument, Step, "", std::string(Message),
                     Path + std::string(Field)};
}

const json::value *JsonReader::find(std::string_view Field) const {
  if (!Object)
    return nullptr;
  return Object->if_contains(json::string_view(Field.data(), Field.size()));
}

std::string JsonReader::string(std::string_view Field, std::size_t MaxBytes) {
  if (!find(Field)) {
    fail(Field, "is required");
    return {};
  }
  return string(Field, "", MaxBytes);
}

std::string JsonReader::string(std::string_view Field, std::string_view Default,
                               std::size_t MaxBytes) {
  const json::value *Value = find(Field);
  if (!Value)
    return std::string(Default);
  const json::string *Text = Value->if_string();
  if (!Text) {
    fail(Field, "must be a string");
    return {};
  }
  if (Text->size() > MaxBytes) {
    fail(Field, "is longer than " + std::to_string(MaxBytes) + " bytes");
    return {};
  }
  return std::string(Text->data(), Text->size());
}

std::int64_t JsonReader::integer(std::string_view Field, std::int64_t Min,
                                 std::int64_t Max) {
  if (!find(Field)) {
    fail(Field, "is required");
    return Min;
  }
  return integerOr(Field, Min, Min, Max);
}

std::int64_t JsonReader::integerOr(std::string_view Field, std::int64_t Default,
                                   std::int64_t Min, std::int64_t Max) {
  const json::value *Value = find(Field);
  if (!Value)
    return Default;
  if (!Value->is_int64() && !Value->is_uint64()) {
    fail(Field, "must be an integer");
    return Min;
  }
  boost::system::error_code Ec;
  auto Number = Value->to_number<std::int64_t>(Ec);
  if (Ec || Number < Min || Number > Max) {
    fail(Field, "must be within " + std::to_string(Min) + " and " +
                    std::to_string(Max));
    return Min;
  }
  return Number;
}

std::int64_t JsonReader::clampedOr(std::string_view Field, std::int64_t Default,
                                   std::int64_t Min, std::int64_t Max) {
  const json::value *Value = find(Field);
  if (!Value)
    return Default;
  if (Value->is_int64())
    return std::clamp(Value->as_int64(), Min, Max);
  if (Value->is_uint64())
    return std::clamp(
        static_cast<std::int64_t>(std::min<std::uint64_t>(
            Value->as_uint64(), std::numeric_limits<std::int64_t>::max())),
        Min, Max);
  if (!Value->is_double()) {
    fail(Field, "must be a number");
    return Min;
  }
  // A double may be too large for the cast.
  if (Value->as_double() >= static_cast<double>(Max))
    return Max;
  if (Value->as_double() <= static_cast<double>(Min))
    return Min;
  return static_cast<std::int64_t>(Value->as_double());
}

std::uint64_t JsonReader::unsigned64(std::string_view Field) {
  const json::value *Value = find(Field);
  boost::system::error_code Ec;
  std::uint64_t Number = 0;
  if (Value)
    Number = Value->to_number<std::uint64_t>(Ec);
  if (!Value || Ec)
    fail(Field, "must be an unsigned integer");
  return Number;
}

bool JsonReader::booleanOr(std::string_view Field, bool Default) {
  const json::value *Value = find(Field);
  if (!Value)
    return Default;
  if (!Value->is_bool()) {
    fail(Field, "must be true or false");
    return Default;
  }
  return Value->as_bool();
}

const json::array *JsonReader::array(std::string_view Field, bool Required,
                                     std::size_t MaxItems) {
  const json::value *Value = find(Field);
  if (!Value) {
    if (Required)
      fail(Field, "is required");
    return nullptr;
  }
  const json::array *Items = Value->if_array();
  if (!Items) {
    fail(Field, "must be an array");
    return nullptr;
  }
  if (Items->size() > MaxItems) {
    fail(Field, "has more than " + std::to_string(MaxItems) + " items");
    return nullptr;
  }
  return Items;
}

void JsonReader::allowOnly(std::initializer_list<std::string_view> Known) {
  if (!Object)
    return;
  for (const auto &Member : *Object) {
    std::string_view Key(Member.key().data(), Member.key().size());
    if (std::find(Known.begin(), Known.end(), Key) == Known.end())
      fail(Key, "is not a known field");
  }
}

} // namespace heathersaddle::base
