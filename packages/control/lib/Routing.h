#ifndef HEATHERSADDLE_CONTROL_ROUTING_H
#define HEATHERSADDLE_CONTROL_ROUTING_H

#include "heathersaddle/state/State.h"
#include <string>

namespace heathersaddle::control {

/// The cell for a new job: where its account's homes have room, else where it
/// fits now, else the least loaded cell that could ever hold it. Empty when
/// there is no cell at all.
std::string chooseCell(const state::State &St, const state::JobSpec &Spec);

} // namespace heathersaddle::control

#endif
