#ifndef HEATHERSADDLE_CLUSTER_CORE_H
#define HEATHERSADDLE_CLUSTER_CORE_H

#include "DrainedDataCentres.h"
#include "heathersaddle/cluster/Node.h"
#include <algorithm>
#include <random>

namespace heathersaddle::cluster {

using base::Millis;
using base::MonoTime;

/// The store frames each record with its length and the length of its key. The
/// latter counts as a part of the record.
inline constexpr std::size_t RecordKeyLengthBytes = 1;
inline constexpr std::size_t RecordFramingBytes = 4 + RecordKeyLengthBytes;
/// The bytes that a record adds to an append.
inline std::size_t storedBytes(const KeyValue &R) {
  return R.Key.size() + R.Value.size() + RecordFramingBytes;
}

/// Bytes reserved in each append for the owner's own record and for removals.
inline constexpr std::size_t ReservedAppendBytes = 32'768;

/// The part of a notice that a start needs to arrive at its worker.
inline constexpr Millis StartDeliveryTime{1'000};
/// A topic is up to this old while nothing is wrong: two waits of a read, the
/// pause between them, and the answers.
inline constexpr Millis UsualTopicAge{1'200};
/// How old the state may be by which a start is sent that must not arrive later
/// than \p Notice after a change of it.
inline Millis maxAgeForStarts(Millis Notice) {
  return std::max(Notice - StartDeliveryTime, UsualTopicAge);
}

/// State and helpers shared by the parts of a node.
struct Core {
  Core(NodeSettings Settings, std::function<ClockReading()> Clock,
       base::StructuredLog &Log)
      : Settings(std::move(Settings)), Clock(std::move(Clock)), Log(Log),
        Random(this->Settings.Seed) {}

  NodeSettings Settings;
  std::function<ClockReading()> Clock;
  base::StructuredLog &Log;
  std::mt19937_64 Random;
  std::vector<Action> Actions;
  workload::Ledger Ledger;
  std::shared_ptr<const Configuration> Config;
  DrainedDataCentres Drained;
  /// Whether the operator's topic has been read to its end since the process
  /// started, and the age of what is known of it.
  bool OperatorTopicRead = false;
  Millis OperatorTopicAge{};
  Millis ControlTopicAge{};
  /// How long the latest timer event waited for others that were ready.
  Millis ControlDelay{};
  NodeStats Stats;

  /// Duration of the latest successful append.
  Millis AppendTook{};
  /// An append that takes this long waits in the store's queue of appends, so
  /// sending it again would only lengthen the queue. A healthy store takes
  /// about 10 ms.
  static constexpr Millis SlowAppend{150};
  bool storeIsSlow() const { return AppendTook >= SlowAppend; }

  /// The most bytes of key and value of a record that the store takes, also in
  /// an append with the owner's own record.
  std::size_t maxRecordBytes() const {
    std::size_t Reserved = ReservedAppendBytes + RecordFramingBytes;
    std::size_t Append =
        Settings.AppendBytes - std::min(Settings.AppendBytes, Reserved);
    std::size_t Record = Settings.RecordBytes -
                         std::min(Settings.RecordBytes, RecordKeyLengthBytes);
    return std::min(Append, Record);
  }
  bool fitsStore(const KeyValue &R) const {
    return R.Key.size() + R.Value.size() <= maxRecordBytes();
  }

  MonoTime mono() const { return Clock().Mono; }
  base::WallMs wall() const { return Clock().Wall; }
  void log(unsigned Event, base::LogFields Fields) {
    Log.write(Event, wall(), Fields);
  }
  void count(std::string_view Name, std::uint64_t By = 1) {
    auto It = Stats.Counts.find(Name);
    if (It == Stats.Counts.end())
      It = Stats.Counts.emplace(std::string(Name), 0).first;
    It->second += By;
  }
  void recordLatency(std::string_view Name, Millis Time) {
    Stats.Latencies[{std::string(Name), ""}].add(Time);
  }
  /// Priorities of 2 and above share a class, which bounds the number of
  /// classes.
  void recordLatency(std::string_view Name, unsigned Priority, Millis Time) {
    static constexpr std::array<const char *, 3> Classes{"0", "1", "2+"};
    Stats.Latencies[{std::string(Name), Classes[std::min(Priority, 2U)]}].add(
        Time);
  }
  /// A random duration within [0, Max].
  Millis randomUpTo(Millis Max) {
    return Millis(static_cast<std::int64_t>(
        Random() % static_cast<std::uint64_t>(Max.count() + 1)));
  }
  /// A random duration within [Max / 2, Max].
  Millis jitter(Millis Max) { return Max / 2 + randomUpTo(Max / 2); }
};

} // namespace heathersaddle::cluster

#endif
