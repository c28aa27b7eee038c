#!/usr/bin/env bash
# Runs the whole system on loopback: two regions, four upstreams, three entries with their steers.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BUILD:-build}
work=${DEMO_DIR:-$(mktemp -d)}
mkdir -p "$work"
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do
    for _ in $(seq 60); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
    kill -KILL "$pid" 2>/dev/null || true
    wait "$pid" 2>/dev/null || true
  done
  [ -n "${DEMO_DIR:-}" ] || rm -rf "$work"
}
trap cleanup EXIT
start() { local name=$1; shift; "$@" 2>"$work/$name.log" & pids+=($!); last=$!; }

mapfile -t port < <("$bin/freeports" 32)
next=0
take() { taken=127.0.0.1:${port[$next]}; next=$((next + 1)); }
take; store=$taken
start platform "$bin/standin-platform" --listen="$store" --latency-ms=2
export CARDAMOM_STORE=$store
ctl() { "$bin/cardamomctl" "$@"; }
put() { for _ in $(seq 50); do ctl set "$1" --file=- <<<"$2" >/dev/null 2>"$work/ctl.err" && return; sleep 0.1; done; cat "$work/ctl.err"; return 1; }

put platform/regions/luzon '{"schema":1,"zones":["luz-a","luz-b"],"max_inflight":200}'
put platform/regions/visayas '{"schema":1,"zones":["vis-a","vis-b"],"max_inflight":200}'
put platform/links/luzon~visayas '{"schema":1,"bytes_per_s":500000000}'
put platform/blocks/luz '{"schema":1,"zone":"luz-a","blocks":["10.1.0.0/16"]}'
put platform/blocks/vis '{"schema":1,"zone":"vis-a","blocks":["10.2.0.0/16"]}'
upstreams=""
declare -A upstream_addr
for pair in u1:luz-a u2:luz-b u3:vis-a u4:vis-b; do
  id=${pair%%:*}; zone=${pair##*:}; take
  upstream_addr[$id]=$taken
  start "$id" "$bin/standin-upstream" --listen="$taken" --id="$id" --slots=16 --service-ms=5 --exec-log="$work/exec"
  upstreams+="{\"id\":\"$id\",\"addr\":\"$taken\",\"zone\":\"$zone\",\"slots\":16},"
done
put teams/billing/services/billing-desk "{\"schema\":1,\"upstreams\":[${upstreams%,}],\"shift_cap_pct\":25,\"shift_period_ms\":2000,\"headroom_pct\":20}"
entries=""
declare -A entry_addr entry_pid
for spec in e1:luzon:luz-a e2:luzon:luz-b e3:visayas:vis-a; do
  IFS=: read -r vm region zone <<<"$spec"
  take; steer=$taken; take; http=$taken; take; rpc=$taken
  put "vms/$vm" "{\"schema\":1,\"role\":\"entry\",\"zone\":\"$zone\",\"state\":\"live\",\"steer\":\"$steer\",\"entry\":\"$http\"}"
  start "steer-$vm" "$bin/cardamom-steer" --vm="$vm" --region="$region" --zone="$zone" --steer-listen="$steer" --entry-advertise="$http" --entry-rpc="$rpc"
  start "entry-$vm" "$bin/cardamom-entry" --vm="$vm" --entry-listen="$http" --entry-rpc-listen="$rpc" --steer="$steer"
  entry_pid[$vm]=$last; entry_addr[$vm]=$http; entries+="$http,"
done
echo "== waiting for the first plan"
for _ in $(seq 150); do
  n=$(ctl effective 2>/dev/null | grep -c 'state=serving .*plan_epoch=[1-9]' || true)
  [ "$n" = 3 ] && curl_ok=1 && break
  sleep 0.1
done
sleep 3
ctl effective
ctl explain billing-desk | head -6
echo "== load on all callers while an upstream is drained and an entry is stopped"
"$bin/cardamom-load" --entries="${entries%,}" --service=billing-desk --callers=10.1.0.1,10.2.0.1 --rate=200 --seconds=14 --posts-pct=25 --downloads-pct=5 --exec-log="$work/exec" --run-id=demo >"$work/report" &
load=$!
sleep 3
t0=$(date +%s%N)
ctl drain vm u1 >/dev/null
echo "-- drain of upstream u1 asked for"
shift_seen=""
sleep 3
ctl explain billing-desk | grep 'callers near'
t1=$(date +%s%N)
kill -TERM "${entry_pid[e2]}"
while kill -0 "${entry_pid[e2]}" 2>/dev/null; do sleep 0.05; done
echo "-- entry e2 stopped in $((($(date +%s%N) - t1) / 1000000)) ms"
ctl undrain vm u1 >/dev/null
echo "-- drain of u1 undone after $((($(date +%s%N) - t0) / 1000000)) ms"
wait "$load"
echo "== steering decisions"
ctl history | tail -5
echo "== report"
cat "$work/report"
grep -q 'cut 0, wrong 0' "$work/report" && grep -q 'doubles 0, lost 0, not-run that ran 0' "$work/report"
