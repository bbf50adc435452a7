# Functions that tools/demo.sh and tools/fault_run.sh share; sourced, not run.
bin=build/bin
logs=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$logs"
}
trap stop_all EXIT

fail() {
  echo "failed: $1" >&2
  tail -n 15 "$logs"/*.log >&2
  exit 1
}

random_token() { od -An -N16 -tx1 /dev/urandom | tr -d ' \n'; }

# wait_for SECONDS COMMAND...: repeats the command until it succeeds; fails after SECONDS.
wait_for() {
  local limit=$1
  shift
  for ((i = 0; i < limit * 5; i++)); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.2
  done
  return 1
}

# Prints the Python expression $1, in which d is the JSON document on standard input.
json_number() { python3 -c "import json,sys; d=json.load(sys.stdin); print($1)"; }

build_programs() {
  tools/packages.sh
  cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
  cmake --build build --target arbutusdaled arbutusctl arbutus-standin arbutus-load >/dev/null
}

# Exports keys and tokens for a fleet that runs until the script ends.
make_secrets() {
  eval "$("$bin/arbutusctl" keygen | sed 's/^/export /')"
  ARBUTUSDALE_FLEET_TOKEN=$(random_token)
  ARBUTUSDALE_TOKEN=$(random_token)
  export ARBUTUSDALE_FLEET_TOKEN ARBUTUSDALE_TOKEN
  export ARBUTUSDALE_OPERATOR_TOKENS="demo-operator:$ARBUTUSDALE_TOKEN"
  export ARBUTUSDALE_SERVER=http://127.0.0.1:18010
}

# start_daemon INDEX DOMAIN PLATFORM_PORT
start_daemon() {
  "$bin/arbutusdaled" --id "entry-$1" --domain "$2" --listen "127.0.0.1:1800$1" \
    --admin-listen "127.0.0.1:1801$1" --peer-listen "127.0.0.1:1802$1" \
    --peers 127.0.0.1:18020,127.0.0.1:18021,127.0.0.1:18022 \
    --platform "127.0.0.1:$3" --log-format json >>"$logs/entry-$1.log" 2>&1 &
  pids+=($!)
}

wait_ready() {
  wait_for 20 curl -fsS "http://127.0.0.1:1801$1/readyz" || fail "entry-$1 did not become ready"
}

# Plans and confirms the declaration file $1 and waits until it is in force in every failure domain.
declare_file() {
  "$bin/arbutusctl" plan "$1" --output json >"$logs/plan.json" || fail "no plan was made"
  python3 -c "import json; print(json.load(open('$logs/plan.json'))['text'])"
  "$bin/arbutusctl" confirm "$(json_number "d['plan']['id']" <"$logs/plan.json")" ||
    fail "the plan was not confirmed"
  wait_for 10 confirmed || fail "the configuration is not in force in every failure domain"
}

confirmed() {
  "$bin/arbutusctl" status --output json |
    json_number "all(x['confirmed'] for x in d['domains']) or sys.exit(1)"
}

# Succeeds when $1 tasks have succeeded over all jobs.
tasks_done() {
  "$bin/arbutusctl" status --output json |
    json_number "sum(j['succeeded'] for j in d['jobs']) >= $1 or sys.exit(1)"
}

plan_done() {
  "$bin/arbutusctl" record --output json | json_number "d['entries'][0]['state'] == 'done' or sys.exit(1)"
}

# start_load INDEX GET_RATE POST_RATE SECONDS
start_load() {
  "$bin/arbutus-load" --address "127.0.0.1:1800$1" \
    --stream "team=order,path=/fit/check,method=GET,rate=$2" \
    --stream "team=order,path=/fit/reserve,method=POST,rate=$3,body=256" --seed "$(($1 + 1))" \
    --seconds "$4" --warm-up 2 --json >"$logs/load-$1.json" 2>"$logs/load-$1.log" &
  loads[$1]=$!
}

report() {
  curl -fsS http://127.0.0.1:17100/observer >"$logs/observer.json" || fail "the observer does not answer"
  echo
  echo "== Report =="
  python3 tools/demo_report.py "$logs" || fail "the report shows a breach"
}
