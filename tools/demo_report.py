"""Prints the demo's report from the files in the given folder; exits with 1 on a breach."""
import json
import pathlib
import sys

folder = pathlib.Path(sys.argv[1])
streams = [s for path in sorted(folder.glob("load-*.json"))
           for s in json.loads(path.read_text())["streams"]]
observer = json.loads((folder / "observer.json").read_text())


def total(field):
    return sum(s[field] for s in streams)


print(f"requests sent      {total('sent')}")
print(f"answered           {total('answered')}")
print(f"refused (not run)  {total('not_run')}")
print(f"may have run       {total('may_have_run')}")
for s in streams:
    print(f"  {s['method']:4} {s['path']:14} p50 {s['p50_ms']:7.1f} ms  p99 {s['p99_ms']:7.1f} ms  "
          f"p99.9 {s['p999_ms']:7.1f} ms")
finished = observer["finished_per_job"]
for job, tasks in finished.items():
    print(f"job {job}: {tasks} tasks finished")
evictions = observer["stops"]
duplicates = (observer["double_runs"] + observer["double_completions"]
              + observer["starts_after_success"] + observer["repeated_keys"])
print(f"evictions          {evictions}")
print(f"duplicates         {duplicates}")
print(f"other breaches     {observer['breaches'] - duplicates}")
for line in observer["breach_log"]:
    print(f"  {line}")
answered_none = total("answered") == 0 or not finished
sys.exit(1 if observer["breaches"] or answered_none else 0)
