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

/// All metrics; docs/metrics.md lists the same.
std::span<const MetricInfo> metricsTable();

/// Counters and gauges in Prometheus' text format. Thread-safe. Only names of
/// the table are taken, with at most MaxSeries label sets each, so that no
/// caller can make the text grow without bound.
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

/// A label with its value escaped.
std::string label(std::string_view Name, std::string_view Value);

/// CPU seconds of the process and of the calling thread, and resident bytes.
double processCpuSeconds();
double threadCpuSeconds();
std::uint64_t residentBytes();

} // namespace heathersaddle::daemon

#endif
