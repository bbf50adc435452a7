#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -pthread -Iinclude -Isrc review/standin-3/*.cpp \
  src/arbutusdale/net/event_loop.cpp src/arbutusdale/core/random.cpp -lfmt \
  -o target/review-3/case.new
mv target/review-3/case.new target/review-3/case
