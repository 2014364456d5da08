#ifndef HEATHERSADDLE_PLATFORM_WORKERCOMMANDS_H
#define HEATHERSADDLE_PLATFORM_WORKERCOMMANDS_H

#include "heathersaddle/base/Json.h"
#include "heathersaddle/platform/WorkerModel.h"

namespace heathersaddle::platform {

/// One element of `commands`.
struct WorkerModel::Command {
  std::string Op;
  TaskId Id;
  TaskRequest Request;
  std::uint64_t Slots = 0;
  base::Millis Resume{};
  base::Millis Grace{};
  unsigned Percent = 100; ///< Of full speed, for throttle.

  static base::Expected<Command> parse(const boost::json::value &Value);
};

} // namespace heathersaddle::platform

#endif
