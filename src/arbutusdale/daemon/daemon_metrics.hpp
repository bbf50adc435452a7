// Export of the node's figures as metrics.
#pragma once

#include "arbutusdale/control/node.hpp"
#include "arbutusdale/observe/metrics.hpp"

namespace arbutusdale::daemon {

/// Sets the registry's gauges to the node's current figures.
void publish(const control::NodeFigures& figures, observe::Registry& registry);

}  // namespace arbutusdale::daemon
