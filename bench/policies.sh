#!/usr/bin/env bash
# Choice of upstream, and the cost of the entry against going straight to the upstreams.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BUILD:-build}
seconds=${SECONDS_EACH:-6}
runs=${RUNS:-3}
# One zone with few slots; a third of the upstreams take five times as long.
measure() {
  local policy=$1 upstreams=$2 slots=$3 rate=$4 work pids=() port next=0 list="" direct="" i
  work=$(mktemp -d)
  mapfile -t port < <("$bin/freeports" $((upstreams + 10)))
  take() { taken=127.0.0.1:${port[$next]}; next=$((next + 1)); }
  spawn() { "$@" 2>>"$work/log" & pids+=($!); }
  take; local store=$taken
  export CARDAMOM_STORE=$store CARDAMOM_LOG_LEVEL=error
  spawn "$bin/standin-platform" --listen="$store" --latency-ms=1
  put() { for _ in $(seq 50); do "$bin/cardamomctl" set "$1" --file=- <<<"$2" >/dev/null 2>&1 && return; sleep 0.1; done; return 1; }
  put platform/regions/r '{"schema":1,"zones":["z"],"max_inflight":10000}'
  for i in $(seq "$upstreams"); do
    take; direct+="$taken,"
    spawn "$bin/standin-upstream" --listen="$taken" --id="u$i" --slots="$slots" --service-ms=$((i % 3 == 0 ? 25 : 5))
    list+="{\"id\":\"u$i\",\"addr\":\"$taken\",\"zone\":\"z\",\"slots\":$slots},"
  done
  put teams/t/services/desk "{\"schema\":1,\"upstreams\":[${list%,}],\"headroom_pct\":0}"
  take; local s=$taken; take; local h=$taken; take; local r=$taken
  put vms/e1 "{\"schema\":1,\"role\":\"entry\",\"zone\":\"z\",\"state\":\"live\",\"steer\":\"$s\",\"entry\":\"$h\"}"
  spawn "$bin/cardamom-steer" --vm=e1 --region=r --zone=z --steer-listen="$s" --entry-advertise="$h" --entry-rpc="$r"
  spawn "$bin/cardamom-entry" --vm=e1 --entry-listen="$h" --entry-rpc-listen="$r" --steer="$s" --policy="${policy/direct/two-choices}"
  for _ in $(seq 200); do "$bin/cardamomctl" effective 2>/dev/null | grep -q 'budget=[1-9]' && break; sleep 0.1; done
  sleep 1
  local to=none; [ "$policy" = direct ] && to=${direct%,}
  "$bin/cardamom-load" --entries="$h" --direct="$to" --service=desk --rate="$rate" --seconds="$seconds" --posts-pct=0 --downloads-pct=0 --output=json >"$work/report"
  local sheds
  sheds=$(curl -s "http://$h/metrics" | awk '$1=="cardamom_entry_sheds_total"{print $2}')
  awk -v p="$policy" -v sheds="$sheds" -F'[:,}]' '{for(i=1;i<NF;i++){gsub(/["{]/,"",$i); v[$i]=$(i+1)} printf "%-15s ok %6d of %6d  p50 %6d us  p99 %7d us  sheds %5d\n", p, v["ok"], v["requests"], v["p50_us"], v["p99_us"], sheds}' "$work/report"
  for i in "${pids[@]}"; do kill -KILL "$i" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
for run in $(seq "$runs"); do
  echo "run $run: cooperative's zone, a sixth of 24 upstreams with 6 slots, 1500 requests a second"
  for policy in direct two-choices least-reported random round-robin; do measure "$policy" 4 6 1500; done
  echo "run $run: Gelo Rapido's zone, a sixth of 32 upstreams with 3 slots, 1000 requests a second"
  for policy in direct two-choices least-reported random round-robin; do measure "$policy" 5 3 1000; done
done
