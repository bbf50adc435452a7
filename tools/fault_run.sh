#!/usr/bin/env bash
# Injects faults into real processes on loopback, during load and a batch job. In one failure domain
# with three daemons, one daemon is killed, one is paused for longer than its peers' failure detection
# and resumed, one target stops answering, and the log is unavailable for 8 s. Takes about
# three minutes; exits with 1 on a breach.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly job_tasks=240
# shellcheck source=tools/fleet.sh
source tools/fleet.sh
build_programs

fault() {
  curl -fsS -X POST -d "$1" http://127.0.0.1:17100/fault >/dev/null || fail "fault $1 was refused"
}

"$bin/arbutus-standin" --domains halle-a --vms-per-domain 6 --vms-per-rack 2 --cpu-millis 32000 \
  --memory-mib 128000 --platform-port 17100 --agent-base-port 17200 --target-base-port 17400 \
  --service fit-checks --service-ms 5 --interference cutting=0.5 --seed 1 >"$logs/standin.log" 2>&1 &
pids+=($!)
make_secrets
for i in 0 1 2; do
  start_daemon "$i" halle-a 17100
done
for i in 0 1 2; do
  wait_ready "$i"
done
python3 - "$logs/declaration.json" <<'PY'
import json, re, sys
text = re.sub(r"^//.*$", "", open("examples/demo.json").read(), flags=re.M)
declaration = json.loads(text)
declaration["domains"] = [{"name": "halle-a", "region": "styria", "shards": 3}]
json.dump(declaration, open(sys.argv[1], "w"))
PY
declare_file "$logs/declaration.json"

start_load 0 100 20 50
sleep 3
echo "entry-1 is killed"
kill -KILL "${pids[2]}"
sleep 2
echo "a target goes silent"
fault '{"fault": "target", "vm": "halle-a-vm-001", "mode": "silent"}'
sleep 5
echo "entry-2 is paused for 15 s"
kill -STOP "${pids[3]}"
sleep 15
kill -CONT "${pids[3]}"
fault '{"fault": "target", "vm": "halle-a-vm-001", "mode": "none"}'
echo "the log is out for 8 s"
fault '{"fault": "log_outage", "on": true}'
sleep 8
fault '{"fault": "log_outage", "on": false}'
echo "entry-1 returns"
start_daemon 1 halle-a 17100
wait_ready 1
wait "${loads[0]}" || fail "the load failed"
wait_for 60 tasks_done "$job_tasks" || fail "the batch job did not finish"
wait_for 15 plan_done || fail "the plan was not carried out"
report
