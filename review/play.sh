#!/bin/sh
# play.sh CASE FOLDER: plays a case of the stand-ins; the record goes to FOLDER/record.txt.
cd "$(dirname "$0")/.." || exit 2
if [ ! -x target/review/review-standin ] || [ ! -x target/bin/arbutusdale-entry ]; then
  echo "build the deploy file's program and review/build.sh first" >&2
  exit 2
fi
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 118 target/review/review-standin "$1" "$2/record.txt" "$folder"
status=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$folder"/*.log "$KEEP_LOGS"
[ "$status" -le 1 ] || status=2
exit "$status"
