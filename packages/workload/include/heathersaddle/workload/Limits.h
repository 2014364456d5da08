#ifndef HEATHERSADDLE_WORKLOAD_LIMITS_H
#define HEATHERSADDLE_WORKLOAD_LIMITS_H

#include <cstddef>
#include <cstdint>

/// The range of each number of a job: what its record can hold. Whatever makes
/// a job, from a request or the operator's configuration, stays within it.
namespace heathersaddle::workload {

/// Of priorities, failures, tasks of a step and occurrences.
inline constexpr std::int64_t MaxCount = 1'000'000;
inline constexpr std::size_t MaxSteps = 256;
inline constexpr std::size_t MaxStringBytes = 64UL * 1024;
/// Of points in time.
inline constexpr std::int64_t MaxMs = std::int64_t{1} << 52;
/// Of durations, some 35 years, and of the resources of one task or worker.
inline constexpr std::int64_t MaxAmount = std::int64_t{1} << 40;
/// Even a task of a millisecond may then take 11 days.
inline constexpr std::int64_t MaxStretch = 1'000'000'000;
/// Of sums of work, which stay at this value instead of overflowing.
inline constexpr std::int64_t MaxWorkMs = MaxMs;

} // namespace heathersaddle::workload

#endif
