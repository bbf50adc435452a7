#!/usr/bin/env bash
# Runs clang-tidy on the sources named, or on all of them; needs a configured build folder.
# Usage: tools/lint.sh [--build FOLDER] [FILE...]
set -euo pipefail
cd "$(dirname "$0")/.."
build=build
if [ "${1:-}" = --build ]; then
  build=$2
  shift 2
fi
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'platform/*.cpp' | grep -vE '_test\.cpp$|/fuzz/')
fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 2 clang-tidy -p "$build" --quiet
