#ifndef HEATHERSADDLE_BASE_STRUCTUREDLOG_H
#define HEATHERSADDLE_BASE_STRUCTUREDLOG_H

#include "heathersaddle/base/Event.h"
#include "heathersaddle/base/Time.h"
#include <boost/json.hpp>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <type_traits>

namespace heathersaddle::base {

/// A name and a string, number or boolean.
struct LogField {
  template <class T>
  LogField(std::string_view Name, const T &V) : Name(Name), Value(convert(V)) {}

  std::string_view Name;
  boost::json::value Value;

private:
  template <class T> static boost::json::value convert(const T &V) {
    if constexpr (std::is_convertible_v<T, std::string_view>)
      return boost::json::value(std::string_view(V));
    else
      return boost::json::value(V);
  }
};

using LogFields = std::initializer_list<LogField>;

/// Writes one JSON object per line to a file descriptor without blocking, and
/// limits the lines per second of each event.
///
/// \code
///   StructuredLog Log(STDOUT_FILENO, "entry-1");
///   Log.write(401, Now, {{"job", Id}, {"reason", "backlog"}});
/// \endcode
///
/// A line is dropped and counted when the pipe is full or the limit is
/// exceeded; the next line that is written contains the count.
class StructuredLog {
public:
  /// Limit for the lines of one event; keeps the log of a burst of refusals
  /// below about 100 KB/s.
  static constexpr unsigned MaxLinesPerSecond = 200;

  StructuredLog(int Descriptor, std::string_view Daemon);
  void write(unsigned EventNumber, WallMs Now, LogFields Fields);
  void setMinSeverity(Severity Min) { MinSeverity = Min; }
  std::uint64_t dropped() const { return Dropped; }

private:
  struct Window {
    WallMs Second = 0;
    unsigned Lines = 0;
  };
  bool flush();
  int Descriptor;
  std::string Daemon;
  Severity MinSeverity = Severity::Info;
  std::map<unsigned, Window> Windows;
  std::string Unwritten; ///< The rest of a line that did not fit in the pipe.
  std::uint64_t Dropped = 0;
  std::uint64_t ReportedDropped = 0;
};

} // namespace heathersaddle::base

#endif
