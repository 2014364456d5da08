#ifndef HEATHERSADDLE_CLUSTER_ENTRYVERDICT_H
#define HEATHERSADDLE_CLUSTER_ENTRYVERDICT_H

#include "heathersaddle/cluster/Ports.h"

namespace heathersaddle::cluster {

/// What a registry entry changes in what is believed of its worker.
enum class EntryVerdict {
  Ignored,         ///< Nothing: another writer must have written it.
  Describes,       ///< It describes the incarnation that is known.
  OtherIncarnation ///< It names another one; only the worker can confirm that.
};

/// What is believed of a worker when an entry under its id is read.
struct KnownWorker {
  const WorkerEntry &Entry;
  /// Entry describes the known incarnation; only its start time is known else.
  bool Described = false;
  /// That incarnation has answered at the address in Entry.
  bool Confirmed = false;
};

/// Decides whether \p New counts. \p ServiceInUse: its service is named by the
/// configuration or by a job.
EntryVerdict judgeEntry(const WorkerEntry &New, const KnownWorker &Known,
                        bool ServiceInUse);

} // namespace heathersaddle::cluster

#endif
