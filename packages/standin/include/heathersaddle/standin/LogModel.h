#ifndef HEATHERSADDLE_STANDIN_LOGMODEL_H
#define HEATHERSADDLE_STANDIN_LOGMODEL_H

#include "heathersaddle/base/Error.h"
#include "heathersaddle/base/Time.h"
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace heathersaddle::standin {

inline constexpr std::size_t MaxStreams = 16;
inline constexpr std::size_t MaxBatchRecords = 256;
inline constexpr std::size_t MaxBatchBytes = 512UL * 1024;
inline constexpr std::size_t MaxReadRecords = 4'096;

/// Injected faults of the log, which the caller may set between calls.
struct LogFaults {
  bool Down = false;          ///< Every call fails and has no effect.
  bool LoseAnswers = false;   ///< Appends take effect, then fail as Unresolved.
  base::Millis AnswerDelay{}; ///< How long the caller holds back answers.
};

/// A page of records of one stream.
struct LogPage {
  std::uint64_t Oldest = 0; ///< Oldest offset that is still kept.
  std::uint64_t Next = 0;   ///< Offset of the next append.
  bool Trimmed = false;     ///< The offset read is below Oldest (HTTP 410).
  std::vector<std::string> Records;
};

/// The platform's append-only log without sockets: named streams of text
/// records at consecutive offsets from 0.
///
/// \code
///   LogModel L;
///   auto First = L.append("control", Records, Now);
///   auto Page = L.read("control", 0, 100);
/// \endcode
///
/// Calls never wait for records: a caller that waits repeats read() after an
/// append.
class LogModel {
public:
  /// Appends all records or none; returns the offset of the first. Fails with
  /// Unavailable (no effect) or Unresolved (took effect, answer lost).
  base::Expected<std::uint64_t> append(std::string_view Stream,
                                       std::span<const std::string> Records,
                                       base::WallMs Now);
  /// Reads up to \p Max records from \p From on.
  base::Expected<LogPage> read(std::string_view Stream, std::uint64_t From,
                               std::size_t Max) const;

  /// Removes the records before \p Offset.
  void trimBefore(std::string_view Stream, std::uint64_t Offset);
  /// Removes the records that were appended before \p Time.
  void trimOlderThan(std::string_view Stream, base::WallMs Time);

  LogFaults &faults() { return Faults; }
  const LogFaults &faults() const { return Faults; }

private:
  struct Entry {
    std::string Text;
    base::WallMs AppendedAt = 0;
  };
  struct StreamData {
    std::uint64_t Oldest = 0;
    std::deque<Entry> Entries;
  };

  std::map<std::string, StreamData, std::less<>> Streams;
  LogFaults Faults;
};

} // namespace heathersaddle::standin

#endif
