#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2, with the packages of the deploy
# file. The build of the deploy file comes before.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
sources=(review/standin-2/*.cpp src/arbutusdale/net/event_loop.cpp)
objects=()
for source in "${sources[@]}"; do
  object="$out/$(basename "$source" .cpp).o"
  objects+=("$object")
  g++ -std=c++20 -O1 -Wall -Wextra -DSPDLOG_FMT_EXTERNAL \
    -Iinclude -Iplatform -Iplatform/process_test -Ireview/standin-2 -c "$source" -o "$object" &
done
for job in $(jobs -p); do
  wait "$job"
done
g++ "${objects[@]}" -lfmt -lpthread -o "$out/standin-2"
