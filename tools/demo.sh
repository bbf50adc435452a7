#!/usr/bin/env bash
# Installs the packages, builds, and runs the main job on loopback: stand-ins for the platform and
# the targets, three daemons in three failure domains, a declaration applied through plan and
# confirm, requests and a batch job side by side, and a report. Ends by itself within two minutes.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly load_seconds=20
readonly job_tasks=240
domains=(halle-a halle-b lager)

# shellcheck source=tools/fleet.sh
source tools/fleet.sh
build_programs

"$bin/arbutus-standin" --domains "$(IFS=,; echo "${domains[*]}")" --vms-per-domain 6 \
  --vms-per-rack 2 --cpu-millis 64000 --memory-mib 256000 --platform-port 17100 \
  --agent-base-port 17200 --target-base-port 17400 --service fit-checks --service-ms 5 \
  --interference cutting=0.5 --seed 1 >"$logs/standin.log" 2>&1 &
pids+=($!)
make_secrets
for i in 0 1 2; do
  start_daemon "$i" "${domains[$i]}" "$((17100 + i))"
done
for i in 0 1 2; do
  wait_ready "$i"
done
echo "Three daemons are ready."
declare_file examples/demo.json

for i in 0 1 2; do
  start_load "$i" 150 30 "$load_seconds"
done
for i in 0 1 2; do
  wait "${loads[$i]}" || fail "the load at entry-$i failed"
done
wait_for 40 tasks_done "$job_tasks" || fail "the batch job did not finish"
wait_for 15 plan_done || fail "the plan was not carried out"
report
echo
echo "== Record =="
"$bin/arbutusctl" record

for pid in "${pids[@]:1}"; do
  kill -TERM "$pid"
done
for pid in "${pids[@]:1}"; do
  wait "$pid" || fail "a daemon did not stop cleanly"
done
pids=("${pids[0]}")
echo
echo "All daemons stopped gracefully."
