// Anyone may write an entry under a worker's id, so the list alone never ends
// an incarnation or begins one: an entry with another start time is a claim
// that the worker itself confirms or refutes in its answer to a sync. Within an
// incarnation the service, the address, the zone and the labels do not change.
// What does change, the capacity and the notice of leaving, is taken only from
// entries that agree with the worker in all of these.
#include "EntryVerdict.h"

namespace heathersaddle::cluster {

static bool sameProcess(const WorkerEntry &A, const WorkerEntry &B) {
  return A.Service == B.Service && A.Address == B.Address &&
         A.DataCentre == B.DataCentre && A.Labels == B.Labels;
}

EntryVerdict judgeEntry(const WorkerEntry &New, const KnownWorker &Known,
                        bool ServiceInUse) {
  if (New.ProcessStartMs <= 0 || New.Address.empty() || !ServiceInUse)
    return EntryVerdict::Ignored;
  if (!Known.Entry.ProcessStartMs)
    return EntryVerdict::Describes;
  if (New.ProcessStartMs != Known.Entry.ProcessStartMs)
    return EntryVerdict::OtherIncarnation;
  // What no answer has confirmed yet may itself come from another writer.
  if (Known.Described && Known.Confirmed && !sameProcess(New, Known.Entry))
    return EntryVerdict::Ignored;
  return EntryVerdict::Describes;
}

} // namespace heathersaddle::cluster
