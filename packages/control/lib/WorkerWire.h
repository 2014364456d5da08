#ifndef HEATHERSADDLE_CONTROL_WORKERWIRE_H
#define HEATHERSADDLE_CONTROL_WORKERWIRE_H

#include "WorkerLink.h"

namespace heathersaddle::control {

struct WorkerIdentity {
  std::string Boot;
  std::int64_t ClockMs = 0;
};

struct CommandResult {
  bool Ok = false;
  std::string Code;
};

base::Expected<WorkerIdentity> readIdentity(const json::value &Reply);
std::vector<CommandResult> readResults(const json::object &Reply);
std::vector<WorkerEvent> readWorkerEvents(const json::object &Reply);
std::vector<ListedTask> readTasks(const json::object &Reply);

} // namespace heathersaddle::control

#endif
