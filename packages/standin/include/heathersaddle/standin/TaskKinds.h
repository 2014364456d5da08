#ifndef HEATHERSADDLE_STANDIN_TASKKINDS_H
#define HEATHERSADDLE_STANDIN_TASKKINDS_H

#include "heathersaddle/standin/WorkerModel.h"

namespace heathersaddle::standin {

/// The behaviour of a stand-in worker's task, selected by TaskRequest::Kind:
///
/// - `echo`: answers at once, see echoAnswer().
/// - `sleep:MS`: gives the same answer after MS milliseconds.
/// - `fail`, `fail:MS`: fails, after MS milliseconds.
/// - `overrun`: answers after 10 minutes, whatever run time was declared.
/// - `large:BYTES`: answers at once with BYTES bytes, at most 1 MiB.
///
/// Any other kind fails with an error that contains the kind.
TaskOutcome standardBehaviour(const TaskRequest &Request);

/// "TASK/TASKS:HASH:INPUT", where HASH is the 64-bit FNV-1a hash of the input
/// as 16 hexadecimal digits. A checker can compute it without the worker.
std::string echoAnswer(const TaskRequest &Request);

} // namespace heathersaddle::standin

#endif
