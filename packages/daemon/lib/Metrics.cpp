#include "Metrics.h"
#include <algorithm>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace heathersaddle::daemon {

static constexpr MetricInfo MetricsTable[] = {
    {"heathersaddle_requests_total", true, "route, status",
     "Requests answered, by route and class of status"},
    {"heathersaddle_request_seconds_total", true, "route",
     "Time from reading requests to answering them, waits included"},
    {"heathersaddle_requests_in_progress", false, "",
     "Requests not answered yet"},
    {"heathersaddle_rejected_total", true, "reason",
     "Requests rejected before they reached the scheduler"},
    {"heathersaddle_connections", false, "", "Callers' connections"},
    {"heathersaddle_caller_bytes_total", true, "direction",
     "Bytes of callers' requests and answers"},
    {"heathersaddle_control_bytes_total", true, "kind, direction",
     "Bytes of the daemon's own traffic with the log, hosts, workers, peers"},
    {"heathersaddle_process_cpu_seconds_total", true, "",
     "CPU time of the process"},
    {"heathersaddle_control_cpu_seconds_total", true, "",
     "CPU time of the control thread"},
    {"heathersaddle_process_resident_bytes", false, "", "Resident memory"},
    {"heathersaddle_ready", false, "", "1 when the daemon serves callers"},
    {"heathersaddle_log_down", false, "",
     "1 when the last exchanges with the log failed"},
    {"heathersaddle_log_offset", false, "",
     "Offset of the next record to apply"},
    {"heathersaddle_cells_owned", false, "", "Cells this daemon owns"},
    {"heathersaddle_cell_epoch", false, "cell", "Ownership epoch"},
    {"heathersaddle_cell_workers", false, "cell, status", "Workers by status"},
    {"heathersaddle_cell_slots", false, "cell, kind",
     "Slots of workers that are up: total and used"},
    {"heathersaddle_cell_jobs_live", false, "cell", "Jobs that have not ended"},
    {"heathersaddle_degraded_guarantees", false, "",
     "Guarantee units that the live workers cannot hold"},
    {"heathersaddle_list_version", false, "list", "Version in force"},
};

std::span<const MetricInfo> metricsTable() { return MetricsTable; }

static const MetricInfo *findMetric(std::string_view Name) {
  auto Found = std::find_if(std::begin(MetricsTable), std::end(MetricsTable),
                            [&](const auto &M) { return M.Name == Name; });
  return Found == std::end(MetricsTable) ? nullptr : Found;
}

double *Metrics::series(std::string_view Name, std::string_view Labels) {
  if (!findMetric(Name))
    return nullptr;
  auto &LabelSets = Values[std::string(Name)];
  auto Found = LabelSets.find(std::string(Labels));
  if (Found != LabelSets.end())
    return &Found->second;
  if (LabelSets.size() >= MaxSeries)
    return nullptr;
  return &LabelSets[std::string(Labels)];
}

void Metrics::add(std::string_view Name, std::string_view Labels,
                  double Delta) {
  std::lock_guard Lock(Mutex);
  if (double *Value = series(Name, Labels))
    *Value += Delta;
}

void Metrics::set(std::string_view Name, std::string_view Labels,
                  double Value) {
  std::lock_guard Lock(Mutex);
  if (double *Stored = series(Name, Labels))
    *Stored = Value;
}

static std::string formatNumber(double Value) {
  char Text[40];
  std::snprintf(Text, sizeof Text, "%.15g", Value);
  return Text;
}

std::string Metrics::text() const {
  std::lock_guard Lock(Mutex);
  std::ostringstream Text;
  for (const MetricInfo &M : MetricsTable) {
    Text << "# HELP " << M.Name << ' ' << M.Help << "\n# TYPE " << M.Name
         << (M.IsCounter ? " counter\n" : " gauge\n");
    auto Found = Values.find(M.Name);
    if (Found == Values.end())
      continue;
    for (const auto &[Labels, Value] : Found->second) {
      Text << M.Name;
      if (!Labels.empty())
        Text << '{' << Labels << '}';
      Text << ' ' << formatNumber(Value) << '\n';
    }
  }
  return Text.str();
}

std::string label(std::string_view Name, std::string_view Value) {
  std::string Text = std::string(Name) + "=\"";
  for (char C : Value) {
    if (C == '\\' || C == '"')
      Text += '\\';
    Text += C == '\n' ? ' ' : C;
  }
  return Text + "\"";
}

static double clockSeconds(clockid_t Clock) {
  timespec T{};
  clock_gettime(Clock, &T);
  return static_cast<double>(T.tv_sec) + static_cast<double>(T.tv_nsec) * 1e-9;
}

double processCpuSeconds() { return clockSeconds(CLOCK_PROCESS_CPUTIME_ID); }
double threadCpuSeconds() { return clockSeconds(CLOCK_THREAD_CPUTIME_ID); }

std::uint64_t residentBytes() {
  std::ifstream File("/proc/self/statm");
  std::uint64_t Total = 0;
  std::uint64_t Resident = 0;
  File >> Total >> Resident;
  return Resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace heathersaddle::daemon
