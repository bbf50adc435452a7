// Tests of the platform message conversions.
#include "arbutusdale/platform/platform.hpp"

#include <criterion/criterion.h>

using namespace arbutusdale;

// Guards against a resource that is lost between wire and arithmetic form.
Test(platform, resources_round_trip) {
  const Resources amount{1500, 2048, 3};
  cr_assert(platform::from_proto(platform::to_proto(amount)) == amount);
}
