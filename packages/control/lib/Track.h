#ifndef HEATHERSADDLE_CONTROL_TRACK_H
#define HEATHERSADDLE_CONTROL_TRACK_H

#include "heathersaddle/base/Time.h"
#include <cstdint>
#include <string>
#include <vector>

namespace heathersaddle::control {

enum class CommandKind { Reserve, Start, Stop, Checkpoint, Throttle };

/// What a cell's owner knows about one task of a job's current attempt.
struct TaskTrack {
  enum class TaskState {
    Unknown,  ///< The worker has not reported it, or a reply is missing.
    Absent,   ///< The worker does not have it and may still be sent it.
    Reserved, ///< The worker holds its slots; not started.
    Running,
    Finished, ///< Final, with an answer.
    Failed,   ///< Final, with an error.
    Stopped,  ///< Final: it does not run and the worker will not start it.
    Lost      ///< Final: the worker restarted, was lost, or lost the task.
  };
  TaskState State = TaskState::Unknown;
  bool CommandPending = false; ///< A command is queued or has no reply yet.
  bool StopConfirmed = false;  ///< The worker confirmed a stop command.
  bool StartSent = false;      ///< This owner sent a start command.
  /// Neither this owner nor an earlier one can have delivered a start.
  bool NeverStarted = false;
  bool StartConfirmed = false; ///< The worker reported the start.
  /// Value of NeverStarted before the last start command was sent.
  bool NeverStartedBeforeSend = false;
  bool LeaseExpired = false; ///< Stopped because the worker's lease expired.
  /// Value of the change counter at the last command or its reply.
  std::uint64_t Change = 0;
  std::int64_t ProgressMs = 0;
  std::int64_t ReportedProgressMs = 0; ///< Progress in the last usage report.
  /// ReportedProgressMs when a checkpoint was last requested.
  std::int64_t RequestedCheckpointMs = 0;
  /// Progress that a confirmed checkpoint covers at least.
  std::int64_t CheckpointMs = 0;
  std::string Text; ///< Answer or error.

  bool final() const { return State >= TaskState::Finished; }
  bool over() const { return State >= TaskState::Stopped; }
};

/// What a cell's owner knows about the current attempt of a placed job.
struct AttemptTrack {
  unsigned Attempt = 0;
  /// The attempt cannot succeed; all its tasks are to be stopped.
  bool Abandoned = false;
  bool Invalid = false; ///< A worker rejected a task as malformed.
  bool Throttled = false;
  base::MonoTime NextCheckpointAt{}; ///< Zero: none was requested yet.
  /// All tasks run and no command is pending.
  bool AllRunning = false;
  /// The record that ends the attempt is in flight.
  bool EndRecordInFlight = false;
  /// The answer was sent to the peers, or was taken from an earlier owner.
  bool AnswerPushed = false;
  std::string Reason; ///< Why the attempt was abandoned.
  std::vector<TaskTrack> Tasks;
};

} // namespace heathersaddle::control

#endif
