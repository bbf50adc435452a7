// Fuzzes the declaration parser: every input yields a declaration or an error that names the file,
// never a crash.
#include "arbutusdale/declare/declare.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string text(data, data + size);
  const auto parsed = arbutusdale::declare::parse_declaration("fuzz.json", text);
  if (!parsed && parsed.error().message.find("fuzz.json") == std::string::npos) {
    std::abort();  // the error must name the file
  }
  return 0;
}
