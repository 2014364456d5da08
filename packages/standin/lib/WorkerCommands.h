#ifndef HEATHERSADDLE_STANDIN_WORKERCOMMANDS_H
#define HEATHERSADDLE_STANDIN_WORKERCOMMANDS_H

#include "heathersaddle/base/Json.h"
#include "heathersaddle/standin/WorkerModel.h"

namespace heathersaddle::standin {

/// One element of `commands`.
struct WorkerModel::Command {
  std::string Op;
  TaskId Id;
  TaskRequest Request;
  std::uint64_t Slots = 0;
  base::Millis Resume{};
  base::Millis Grace{};
  unsigned SpeedPercent = 100; ///< Of full speed, for throttle.

  static base::Expected<Command> parse(const boost::json::value &Value);
};

} // namespace heathersaddle::standin

#endif
