#!/bin/sh
# Builds the stand-ins of the cases into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -pthread -Iinclude -o target/review/review-standin.new \
  review/standin/main.cpp src/arbutusdale/core/hash.cpp -lfmt -lxxhash
mv target/review/review-standin.new target/review/review-standin
