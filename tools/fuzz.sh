#!/usr/bin/env bash
# Builds the libFuzzer targets with clang++ and runs each over its corpus.
# Usage: tools/fuzz.sh [RUNS]   inputs per target, default 20000, seed fixed at 1.
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-20000}
cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DARBUTUSDALE_FUZZ=ON \
  -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
targets=(declaration record snapshot peer)
cmake --build build-fuzz --target "${targets[@]/%/_fuzz}" >/dev/null
for target in "${targets[@]}"; do
  work=$(mktemp -d)
  # New inputs go to a scratch folder, so that a run never changes the committed corpus.
  if ! "build-fuzz/bin/${target}_fuzz" -seed=1 -runs="$runs" -max_len=4096 -timeout=10 \
    -artifact_prefix="$work/" "$work" "src/arbutusdale/fuzz/corpus/$target" >"$work.log" 2>&1; then
    tail -40 "$work.log"
    echo "fuzz target $target failed; input in $work" >&2
    exit 1
  fi
  echo "fuzz $target: $runs inputs, no failure"
  rm -rf "$work" "$work.log"
done
