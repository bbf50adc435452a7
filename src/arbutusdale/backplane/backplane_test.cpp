// Tests of the conversions of the platform's messages.
#include "arbutusdale/backplane/backplane.hpp"

#include <criterion/criterion.h>

using namespace arbutusdale;

// Guards against a resource that is dropped or swapped in the conversion to or from protobuf.
Test(platform, resources_round_trip) {
  const Resources amount{1500, 2048, 3};
  cr_assert(backplane::from_proto(backplane::to_proto(amount)) == amount);
}
