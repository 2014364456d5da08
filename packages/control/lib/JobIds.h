#ifndef HEATHERSADDLE_CONTROL_JOBIDS_H
#define HEATHERSADDLE_CONTROL_JOBIDS_H

#include <cstdint>
#include <string>
#include <string_view>

namespace heathersaddle::control {

/// The job id that every daemon derives for the same account and key.
std::string keyedJobId(std::string_view Account, std::string_view Key);
/// An id for a job without a key.
std::string freshJobId(std::uint64_t Incarnation, std::uint64_t Counter);

} // namespace heathersaddle::control

#endif
