#ifndef HEATHERSADDLE_CONTROL_TRACK_H
#define HEATHERSADDLE_CONTROL_TRACK_H

#include "heathersaddle/base/Time.h"
#include <cstdint>
#include <string>
#include <vector>

namespace heathersaddle::control {

enum class CommandKind { Reserve, Start, Stop, Checkpoint, Throttle };

/// What is known of one task of the present attempt.
struct TaskTrack {
  enum class TaskState {
    Unknown,  ///< Not heard of yet.
    Absent,   ///< The worker does not have it and may still get it.
    Reserved, ///< Slots held, not started.
    Running,
    Finished, ///< Final, with an answer.
    Failed,   ///< Final, with an error.
    Stopped, ///< Final: the worker confirmed that it does not and will not run.
    Lost     ///< Final: the worker restarted or its lease is certainly over.
  };
  TaskState State = TaskState::Unknown;
  bool CommandPending = false; ///< A command is queued or without a reply.
  bool StopConfirmed = false;  ///< The worker confirmed a stop command.
  bool StartSent = false;      ///< This owner handed out a start command.
  /// No start of this task can have been delivered by anyone.
  bool NeverStarted = false;
  bool StartConfirmed = false; ///< The worker reported the start.
  bool NeverStartedBeforeSend =
      false;                 ///< Value of NeverStarted before the last start.
  bool LeaseExpired = false; ///< Stopped because the worker's lease ran out.
  std::uint64_t Change = 0;  ///< Order of the last command or its reply.
  std::int64_t ProgressMs = 0;
  std::int64_t ReportedProgressMs = 0; ///< Progress in the last usage report.
  std::int64_t RequestedCheckpointMs =
      0; ///< ReportedProgressMs when a checkpoint was asked for.
  std::int64_t CheckpointMs = 0; ///< Progress that a checkpoint keeps for sure.
  std::string Text;              ///< Answer or error.

  bool final() const { return State >= TaskState::Finished; }
  bool over() const { return State >= TaskState::Stopped; }
};

/// The present attempt of a placed job, as its owner follows it.
struct AttemptTrack {
  unsigned Attempt = 0;
  bool Abandoned = false; ///< The attempt cannot succeed; stop all of it.
  bool Invalid = false;   ///< A worker rejected the task as malformed.
  bool Throttled = false;
  base::MonoTime NextCheckpointAt{}; ///< Next time to ask for checkpoints.
  bool AllRunning = false; ///< All tasks run and nothing is to be done.
  bool EndRecordInFlight =
      false; ///< The record that ends the attempt is in flight.
  bool AnswerPushed = false;
  std::string Reason;
  std::vector<TaskTrack> Tasks;
};

} // namespace heathersaddle::control

#endif
