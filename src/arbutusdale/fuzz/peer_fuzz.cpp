// Fuzzes the two receivers of messages between daemons, the membership and the key table: no
// message that parses may crash them.
#include "arbutusdale/core/clock.hpp"
#include "arbutusdale/peer/peer.hpp"
#include "arbutusdale/routing/key_table.hpp"

#include <cstddef>
#include <cstdint>
#include <string>

using namespace arbutusdale;

namespace {

/// Discards all messages.
class SilentNetwork final : public peer::PeerNetwork {
 public:
  void send(const std::string& /*address*/, const proto::peer::PeerMessage& /*message*/) override {}
  void on_message(Handler /*handler*/) override {}
};

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  proto::peer::PeerMessage message;
  if (!message.ParseFromArray(data, static_cast<int>(size))) {
    return 0;
  }
  FakeClock clock;
  SilentNetwork network;
  peer::MembershipOptions options;
  options.daemon = "entry-1";
  options.incarnation = 1;
  options.domain = "halle-a";
  const auto membership = peer::make_membership(options, network, clock);
  membership->receive(message, clock.now());
  membership->tick(clock.now());
  routing::KeyOptions key_options;
  key_options.daemon = "entry-1";
  key_options.domain = "halle-a";
  const auto keys = routing::make_key_table(
      key_options, [](const std::string& /*daemon*/, const proto::peer::PeerMessage& /*m*/) {});
  keys->set_shard_owners({{"entry-1", 5}, {"entry-2", 6}}, clock.now());
  keys->begin_term(0, 5, {}, clock.now());
  keys->receive(message, clock.now());
  keys->tick(clock.now());
  return 0;
}
