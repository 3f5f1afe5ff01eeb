#!/usr/bin/env bash
# Demonstrates the proxy on loopback: starts a daemon and stand-ins for the platform and a group, submits a release
# note, writes a value and reads it back with the session token, possibly from a replica. With "sessions" it runs the
# session interface instead: four daemons and stand-ins for the users' platform and callers, without faults. All
# processes that it starts are stopped at the end.
set -euo pipefail
cd "$(dirname "$0")/.."

build="${BUILD_DIR:-build}"
scripts/bootstrap.sh
echo "demo: building (a first build takes several minutes)"
cmake -S . -B "$build" -G Ninja >/dev/null
if [[ "${1:-}" == "sessions" ]]; then
    cmake --build "$build" -j "$(nproc)" --target fuchsiagwd session-soak
    echo "demo: four daemons, two groups, sixteen callers (20 seconds)"
    folder="$(mktemp -d)"
    trap 'rm -rf "$folder"' EXIT
    "$build/testing/session-soak" --profile=calm --seconds=4 --keep_logs --folder="$folder"
    echo "demo: the first decisions in a daemon's log"
    grep -h statement_placed "$folder"/seed-1/daemon-1.log | head -5
    echo "demo: done"
    exit 0
fi
cmake --build "$build" -j "$(nproc)" --target fuchsiagwd fuchsiagwctl platform-standin upstream-standin

work="$(mktemp -d)"
started=()
finish() {
    for ((i = ${#started[@]} - 1; i >= 0; --i)); do kill "${started[i]}" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap finish EXIT

base="${DEMO_PORT:-19500}"
secret="demo-operator-secret"
"$build/testing/platform-standin" --port="$base" --fault_port="$((base + 1))" >"$work/platform.log" 2>&1 &
started+=($!)
"$build/testing/upstream-standin" --group=hire-1 --ports="$((base + 2)),$((base + 3)),$((base + 4))" \
    --zones=alajuela,heredia,cartago --fault_port="$((base + 5))" --lag_ms=20 >"$work/upstream.log" 2>&1 &
started+=($!)
cat >"$work/instance.yaml" <<SETTINGS
instance: demo-1
zone: alajuela
caller_address: 127.0.0.1:$((base + 6))
admin_address: 127.0.0.1:$((base + 7))
peer_address: 127.0.0.1:$((base + 8))
platform_address: 127.0.0.1:$base
cluster_key: $(head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n')
operator_secret_hash: $(printf %s "$secret" | b2sum -l 256 | cut -d' ' -f1)
SETTINGS
for _ in $(seq 100); do curl -sf "127.0.0.1:$base/instances" >/dev/null && break; sleep 0.1; done
curl -sf -X PUT -d "{\"instance\":\"demo-1\",\"kind\":\"entry\",\"zone\":\"alajuela\",\"address\":\"127.0.0.1:$((base + 8))\",\"state\":\"live\"}" \
    "127.0.0.1:$base/instances/demo-1" >/dev/null
"$build/fuchsiagwd" --settings="$work/instance.yaml" >"$work/daemon.log" 2>&1 &
started+=($!)

export FUCHSIAGW_OPERATOR_SECRET="$secret"
ctl=("$build/fuchsiagwctl" --address "127.0.0.1:$((base + 7))")
cat >"$work/first.yaml" <<NOTE
id: demo.first
base: 0
added:
  - {section: group, group: hire-1, slots: 2, connections: 16}
  - {section: member, group: hire-1, member: hire-1-1, zone: alajuela, address: "127.0.0.1:$((base + 2))"}
  - {section: member, group: hire-1, member: hire-1-2, zone: heredia, address: "127.0.0.1:$((base + 3))"}
  - {section: member, group: hire-1, member: hire-1-3, zone: cartago, address: "127.0.0.1:$((base + 4))"}
  - {section: workspace, workspace: demo, groups: [hire-1]}
  - {section: rate, workspace: demo, rate: 100, burst: 200}
  - {section: read_class, workspace: demo, name: catalogue, max_age_ms: 2000}
NOTE
echo "demo: submitting the release note"
for _ in $(seq 100); do curl -sf "127.0.0.1:$((base + 7))/healthz" >/dev/null && break; sleep 0.1; done
"${ctl[@]}" note submit "$work/first.yaml"
key="$("${ctl[@]}" key issue demo | grep -o 'fgw_[A-Za-z0-9_-]*' | head -1)"
for _ in $(seq 100); do curl -sf "127.0.0.1:$((base + 6))/readyz" >/dev/null && break; sleep 0.1; done

call=(curl -s -i -H "Authorization: Bearer $key" "127.0.0.1:$((base + 6))/v1/statements")
echo "demo: a write"
answer="$("${call[@]}" -d '{"group":"hire-1","kind":"write","statement":"set net-17 $1","parameters":["hired"]}')"
echo "$answer" | tail -n 1
session="$(echo "$answer" | tr -d '\r' | sed -n 's/^Fuchsiagw-Session: //p')"
echo "demo: a read of the same session that may be served by a replica"
"${call[@]}" -H "Fuchsiagw-Session: $session" \
    -d '{"group":"hire-1","kind":"read","read_class":"catalogue","statement":"get net-17"}' | tail -n 1
echo
echo "demo: the decisions in the daemon's log"
grep route_chosen "$work/daemon.log"
echo "demo: done"
