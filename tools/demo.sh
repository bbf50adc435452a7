#!/usr/bin/env bash
# Installs the packages, builds, and runs the main job on loopback: stand-ins for the platform and
# the targets, three daemons in three failure domains, a declaration applied through plan and
# confirm, requests and a batch job side by side, and a report. Ends by itself within two minutes.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly load_seconds=20
readonly job_tasks=240
domains=(halle-a halle-b lager)

tools/packages.sh
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build --target arbutusdaled arbutusctl arbutus-standin arbutus-load >/dev/null
bin=build/bin
logs=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$logs"
}
trap stop_all EXIT

fail() {
  echo "demo failed: $1" >&2
  tail -n 15 "$logs"/*.log >&2
  exit 1
}

random_token() { od -An -N16 -tx1 /dev/urandom | tr -d ' \n'; }

# Waits until a command succeeds, at most $1 seconds.
wait_for() {
  local limit=$1
  shift
  for ((i = 0; i < limit * 5; i++)); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.2
  done
  return 1
}

# Reads a number out of a JSON text on standard input.
json_number() { python3 -c "import json,sys; d=json.load(sys.stdin); print($1)"; }

"$bin/arbutus-standin" --domains "$(IFS=,; echo "${domains[*]}")" --vms-per-domain 6 \
  --vms-per-rack 2 --cpu-millis 64000 --memory-mib 256000 --platform-port 17100 \
  --agent-base-port 17200 --target-base-port 17400 --service fit-checks --service-ms 5 \
  --interference cutting=0.5 --seed 1 >"$logs/standin.log" 2>&1 &
pids+=($!)

eval "$("$bin/arbutusctl" keygen | sed 's/^/export /')"
export ARBUTUSDALE_FLEET_TOKEN=$(random_token)
operator_token=$(random_token)
export ARBUTUSDALE_OPERATOR_TOKENS="demo-operator:$operator_token"
peers=127.0.0.1:18020,127.0.0.1:18021,127.0.0.1:18022
for i in 0 1 2; do
  "$bin/arbutusdaled" --id "entry-$i" --domain "${domains[$i]}" --listen "127.0.0.1:1800$i" \
    --admin-listen "127.0.0.1:1801$i" --peer-listen "127.0.0.1:1802$i" --peers "$peers" \
    --platform "127.0.0.1:$((17100 + i))" --log-format json >"$logs/entry-$i.log" 2>&1 &
  pids+=($!)
done
for i in 0 1 2; do
  wait_for 20 curl -fsS "http://127.0.0.1:1801$i/readyz" || fail "entry-$i did not become ready"
done
echo "Three daemons are ready."

export ARBUTUSDALE_SERVER=http://127.0.0.1:18010 ARBUTUSDALE_TOKEN=$operator_token
"$bin/arbutusctl" plan examples/demo.json --output json >"$logs/plan.json" || fail "no plan was made"
python3 -c "import json; print(json.load(open('$logs/plan.json'))['text'])"
plan=$(json_number "d['plan']['id']" <"$logs/plan.json")
"$bin/arbutusctl" confirm "$plan" || fail "the plan was not confirmed"
confirmed() { "$bin/arbutusctl" status --output json | json_number "all(x['confirmed'] for x in d['domains']) or sys.exit(1)"; }
wait_for 10 confirmed || fail "the configuration is not in force in every failure domain"

for i in 0 1 2; do
  "$bin/arbutus-load" --address "127.0.0.1:1800$i" --stream "team=order,path=/fit/check,method=GET,rate=150" \
    --stream "team=order,path=/fit/reserve,method=POST,rate=30,body=256" --seed "$((i + 1))" \
    --seconds "$load_seconds" --warm-up 2 --json >"$logs/load-$i.json" 2>"$logs/load-$i.log" &
  loads[$i]=$!
done
for i in 0 1 2; do
  wait "${loads[$i]}" || fail "the load at entry-$i failed"
done
job_done() {
  "$bin/arbutusctl" status --output json |
    json_number "sum(j['succeeded'] for j in d['jobs']) >= $job_tasks or sys.exit(1)"
}
wait_for 40 job_done || fail "the batch job did not finish"
curl -fsS http://127.0.0.1:17100/observer >"$logs/observer.json" || fail "the observer does not answer"
plan_done() { "$bin/arbutusctl" record --output json | json_number "d['entries'][0]['state'] == 'done' or sys.exit(1)"; }
wait_for 15 plan_done || fail "the plan was not carried out"

echo
echo "== Report =="
python3 tools/demo_report.py "$logs" || fail "the report shows a breach"
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
