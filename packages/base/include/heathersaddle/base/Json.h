#ifndef HEATHERSADDLE_BASE_JSON_H
#define HEATHERSADDLE_BASE_JSON_H

#include "heathersaddle/base/Error.h"
#include <boost/json.hpp>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace heathersaddle::base {

/// Whether strings may hold bytes that are not UTF-8.
enum class JsonStrings { Utf8, AnyBytes };

/// Parses \p Text; nesting is limited to 32 levels.
Expected<boost::json::value> parseJson(std::string_view Text,
                                       std::string_view Step,
                                       JsonStrings Strings = JsonStrings::Utf8);

/// The most values, names of members included, that \p Text can have if it is
/// valid JSON. Costs one pass over the bytes and no memory.
std::size_t maxJsonValues(std::string_view Text);

/// Reads the fields of one JSON object and keeps the first error.
///
/// \code
///   JsonReader R(Value, "submit");
///   Job.Kind = R.string("kind", "default", 64);
///   Job.Tasks = R.integer("tasks", 1, 1, 64);
///   R.allowOnly({"kind", "tasks"});
///   if (auto Err = R.error()) return tl::unexpected(*Err);
/// \endcode
class JsonReader {
public:
  /// \p Path names the enclosing field in errors, e.g. "shape.".
  JsonReader(const boost::json::value &Value, std::string_view Step,
             std::string_view Path = {});

  /// A required string of at most \p MaxBytes.
  std::string string(std::string_view Field, std::size_t MaxBytes);
  /// An optional string.
  std::string string(std::string_view Field, std::string_view Default,
                     std::size_t MaxBytes);
  /// A required integer within [Min, Max].
  std::int64_t integer(std::string_view Field, std::int64_t Min,
                       std::int64_t Max);
  /// An optional integer within [Min, Max].
  std::int64_t integerOr(std::string_view Field, std::int64_t Default,
                         std::int64_t Min, std::int64_t Max);
  /// An optional number. One outside [Min, Max] is taken as the nearest of the
  /// two; a fraction is dropped.
  std::int64_t clampedOr(std::string_view Field, std::int64_t Default,
                         std::int64_t Min, std::int64_t Max);
  /// A required unsigned 64-bit integer.
  std::uint64_t unsigned64(std::string_view Field);
  bool booleanOr(std::string_view Field, bool Default);
  /// The array at \p Field, or null when it is absent or invalid.
  const boost::json::array *array(std::string_view Field, bool Required,
                                  std::size_t MaxItems);
  /// The value at \p Field, or null when absent.
  const boost::json::value *find(std::string_view Field) const;
  /// Rejects every field that is not in \p Known.
  void allowOnly(std::initializer_list<std::string_view> Known);
  /// Records an error at \p Field, unless there is one already.
  void fail(std::string_view Field, std::string_view Message);

  const Error *error() const { return HasError ? &FirstError : nullptr; }

private:
  const boost::json::object *Object = nullptr;
  std::string Step;
  std::string Path;
  Error FirstError;
  bool HasError = false;
};

} // namespace heathersaddle::base

#endif
