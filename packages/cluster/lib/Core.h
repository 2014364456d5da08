#ifndef HEATHERSADDLE_CLUSTER_CORE_H
#define HEATHERSADDLE_CLUSTER_CORE_H

#include "heathersaddle/cluster/Node.h"
#include <random>

namespace heathersaddle::cluster {

using base::Millis;
using base::MonoTime;

/// The store adds a length and the length of the key to each record.
inline constexpr std::size_t RecordFramingBytes = 5;
/// What a record takes of an append.
inline std::size_t storedBytes(const KeyValue &R) {
  return R.Key.size() + R.Value.size() + RecordFramingBytes;
}

/// What the parts of a node share.
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
  NodeStats Stats;

  /// How long the latest append that succeeded took.
  Millis AppendTook{};
  /// A store that takes this long for an append is busy with a queue of them;
  /// a repeat would only lengthen it. Healthy ones take about 10 ms.
  static constexpr Millis SlowAppend{150};
  bool storeIsSlow() const { return AppendTook >= SlowAppend; }

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
  /// Priorities from 2 on share a class, so that their number stays bounded.
  void recordLatency(std::string_view Name, unsigned Priority, Millis Time) {
    static constexpr std::array<const char *, 3> Classes{"0", "1", "2+"};
    Stats.Latencies[{std::string(Name), Classes[std::min(Priority, 2U)]}].add(
        Time);
  }
  /// A time within [0, Most].
  Millis randomUpTo(Millis Most) {
    return Millis(static_cast<std::int64_t>(
        Random() % static_cast<std::uint64_t>(Most.count() + 1)));
  }
  /// A time within [Most / 2, Most].
  Millis jitter(Millis Most) { return Most / 2 + randomUpTo(Most / 2); }
};

} // namespace heathersaddle::cluster

#endif
