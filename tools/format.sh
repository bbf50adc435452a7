#!/usr/bin/env bash
# Formats all sources in place; with --check only reports files that would change.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard 'include/*.hpp' 'src/*.hpp' 'src/*.cpp' 'platform/*.hpp' 'platform/*.cpp')
if [ "${1:-}" = --check ]; then
  clang-format --dry-run --Werror "${files[@]}"
else
  clang-format -i "${files[@]}"
fi
