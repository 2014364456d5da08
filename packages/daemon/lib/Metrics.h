#ifndef HEATHERSADDLE_DAEMON_METRICS_H
#define HEATHERSADDLE_DAEMON_METRICS_H

#include <cstdint>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <string_view>

namespace heathersaddle::daemon {

struct MetricInfo {
  std::string_view Name;
  bool IsCounter = false; ///< Otherwise a gauge.
  std::string_view Labels;
  std::string_view Help;
};

/// All metrics; docs/metrics.md has the same list.
std::span<const MetricInfo> metricsTable();

/// Counters and gauges in the Prometheus text format. Thread-safe. Names that
/// are not in metricsTable() are ignored, and each metric has at most MaxSeries
/// label sets, so that callers cannot make the text grow without bound.
class Metrics {
public:
  static constexpr std::size_t MaxSeries = 512;

  /// \p Labels is the text between the braces, e.g. `cell="dc1"`.
  void add(std::string_view Name, std::string_view Labels, double Delta);
  void set(std::string_view Name, std::string_view Labels, double Value);
  std::string text() const;

private:
  double *series(std::string_view Name, std::string_view Labels);

  mutable std::mutex Mutex;
  std::map<std::string, std::map<std::string, double>, std::less<>> Values;
};

/// Formats a label as `Name="Value"` with the value escaped.
std::string label(std::string_view Name, std::string_view Value);

/// CPU seconds of the process and of the calling thread, and resident bytes.
double processCpuSeconds();
double threadCpuSeconds();
std::uint64_t residentBytes();

} // namespace heathersaddle::daemon

#endif
