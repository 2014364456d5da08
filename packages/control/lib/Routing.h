#ifndef HEATHERSADDLE_CONTROL_ROUTING_H
#define HEATHERSADDLE_CONTROL_ROUTING_H

#include "heathersaddle/state/State.h"
#include <string>

namespace heathersaddle::control {

/// Chooses the cell for a new job: one where the account's homes have room,
/// else one where the job fits now, else one that could ever hold it, else one
/// that could but has no owner, else any. Empty when there are no cells.
std::string chooseCell(const state::State &St, const state::JobSpec &Spec);

} // namespace heathersaddle::control

#endif
