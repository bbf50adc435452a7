// Settings of arbutus-standin from flags and a JSON file.
#pragma once

#include "arbutusdale/core/verdict.hpp"
#include "arbutusdale/standin/standin.hpp"

#include <string>

namespace arbutusdale::standin {

/// Help text with all flags.
std::string usage();

/// Reads the flags in order. `--config FILE` reads a JSON object whose members are named like the
/// flags with '_' for '-'; flags after it override it. An error with code `not_found` carries
/// the help text as its message.
Result<StandinOptions> parse_settings(int argc, char** argv);

/// Applies the members of a JSON object to `options`. The member "vms" lists VMs as objects with
/// id, domain, rack, cpu_millis, memory_mib and accelerators.
Result<void> apply_json(const std::string& text, StandinOptions& options);

}  // namespace arbutusdale::standin
