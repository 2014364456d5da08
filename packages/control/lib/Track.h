#ifndef HEATHERSADDLE_CONTROL_TRACK_H
#define HEATHERSADDLE_CONTROL_TRACK_H

#include "heathersaddle/base/Time.h"
#include <cstdint>
#include <string>
#include <vector>

namespace heathersaddle::control {

enum class Op { Reserve, Start, Stop, Checkpoint, Throttle };

/// What is known of one task of the present attempt.
struct TaskTrack {
  enum class Seen {
    Nothing,  ///< Not heard of yet.
    Absent,   ///< The worker does not have it and may still get it.
    Reserved, ///< Slots held, not started.
    Running,
    Finished, ///< Final, with an answer.
    Failed,   ///< Final, with an error.
    Stopped, ///< Final: the worker confirmed that it does not and will not run.
    Gone     ///< Final: the worker restarted or its lease is certainly over.
  };
  Seen What = Seen::Nothing;
  bool Waiting = false;   ///< A command is queued or without a reply.
  bool StopOk = false;    ///< The worker confirmed a stop command.
  bool StartSent = false; ///< This owner handed out a start command.
  /// No start of this task can have been delivered by anyone.
  bool Clean = false;
  bool SawStart = false;    ///< The worker reported the start.
  bool CleanBefore = false; ///< Value of Clean before the last start.
  bool Lapsed = false;      ///< Stopped because the worker's lease ran out.
  std::uint64_t Change = 0; ///< Order of the last command or its reply.
  std::int64_t ProgressMs = 0;
  std::int64_t UsageMs = 0;      ///< Progress in the last usage report.
  std::int64_t AskedMs = 0;      ///< UsageMs when a checkpoint was asked for.
  std::int64_t CheckpointMs = 0; ///< Progress that a checkpoint keeps for sure.
  std::string Text;              ///< Answer or error.

  bool final() const { return What >= Seen::Finished; }
  bool over() const { return What >= Seen::Stopped; }
};

/// The present attempt of a placed job, as its owner follows it.
struct Track {
  unsigned Attempt = 0;
  bool Doomed = false;  ///< The attempt cannot succeed; stop all of it.
  bool Invalid = false; ///< A worker rejected the task as malformed.
  bool Throttled = false;
  base::MonoTime CheckpointAt{}; ///< Next time to ask for checkpoints.
  bool Steady = false;           ///< All tasks run and nothing is to be done.
  bool Concluded = false; ///< The record that ends the attempt is in flight.
  bool AnswerPushed = false;
  std::string Reason;
  std::vector<TaskTrack> Tasks;
};

} // namespace heathersaddle::control

#endif
