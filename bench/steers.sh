#!/usr/bin/env bash
# Platform calls, control bytes, processor time and memory against the number of entry VMs.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BUILD:-build}
seconds=${SECONDS_EACH:-15}
printf '%6s %10s %14s %14s %10s %10s %12s %12s\n' VMs calls/s steer_B/s entry_B/s steer_cpu entry_cpu steer_MB in_force_ms
measure() {
  local count=$1 work pids=() port next=0
  work=$(mktemp -d)
  mapfile -t port < <("$bin/freeports" $((count * 4 + 20)))
  take() { taken=127.0.0.1:${port[$next]}; next=$((next + 1)); }
  spawn() { "$@" 2>>"$work/log" & pids+=($!); }
  take; local store=$taken
  export CARDAMOM_STORE=$store CARDAMOM_LOG_LEVEL=warn
  spawn "$bin/standin-platform" --listen="$store" --latency-ms=2
  put() { for _ in $(seq 50); do "$bin/cardamomctl" set "$1" --file=- <<<"$2" >/dev/null 2>&1 && return; sleep 0.1; done; return 1; }
  local zones=(a1 a2 b1 b2 c1 c2) regions=(a a b b c c) list="" z i
  for z in 0 2 4; do put "platform/regions/${regions[$z]}" "{\"schema\":1,\"zones\":[\"${zones[$z]}\",\"${zones[$((z + 1))]}\"],\"max_inflight\":1000}"; done
  for z in 0 1 2 3 4 5; do take; spawn "$bin/standin-upstream" --listen="$taken" --id="u$z" --slots=24; list+="{\"id\":\"u$z\",\"addr\":\"$taken\",\"zone\":\"${zones[$z]}\",\"slots\":24},"; done
  put teams/t/services/desk "{\"schema\":1,\"upstreams\":[${list%,}]}"
  local steer_http=() entry_http=() steers=() entries=()
  for i in $(seq "$count"); do
    z=$(((i - 1) % 6))
    take; local s=$taken; take; local h=$taken; take; local r=$taken; take; local m=$taken
    put "vms/e$i" "{\"schema\":1,\"role\":\"entry\",\"zone\":\"${zones[$z]}\",\"state\":\"live\",\"steer\":\"$s\",\"entry\":\"$h\"}"
    spawn "$bin/cardamom-steer" --vm="e$i" --region="${regions[$z]}" --zone="${zones[$z]}" --steer-listen="$s" --steer-http="$m" --entry-advertise="$h" --entry-rpc="$r"; steers+=($!)
    spawn "$bin/cardamom-entry" --vm="e$i" --entry-listen="$h" --entry-rpc-listen="$r" --steer="$s"; entries+=($!)
    steer_http+=("$m"); entry_http+=("$h")
  done
  sleep 10
  metric() { curl -s "http://$1/metrics" | awk -v n="$2" '$1==n{print $2}'; }
  total() { local name=$1 sum=0; shift; for a in "$@"; do sum=$((sum + $(metric "$a" "$name"))); done; echo $sum; }
  ticks() { local sum=0 p f; for p in "$@"; do read -r -a f <"/proc/$p/stat"; sum=$((sum + f[13] + f[14])); done; echo $sum; }
  calls() { curl -s "http://$store/standin/counts" | tr -c '0-9\n' ' ' | awk '{print $1+$2+$3+$4}'; }
  local c0 s0 e0 t0 u0
  c0=$(calls); s0=$(total cardamom_steer_control_bytes_total "${steer_http[@]}"); e0=$(total cardamom_entry_control_bytes_total "${entry_http[@]}"); t0=$(ticks "${steers[@]}"); u0=$(ticks "${entries[@]}")
  sleep "$seconds"
  local c1 s1 e1 t1 u1
  c1=$(calls); s1=$(total cardamom_steer_control_bytes_total "${steer_http[@]}"); e1=$(total cardamom_entry_control_bytes_total "${entry_http[@]}"); t1=$(ticks "${steers[@]}"); u1=$(ticks "${entries[@]}")
  local mem=0 p
  for p in "${steers[@]}"; do mem=$((mem + $(awk '/VmRSS/{print $2}' "/proc/$p/status"))); done
  local start end wanted slowest=0 now
  wanted=$("$bin/cardamomctl" set platform/blocks/x --file=- <<<'{"schema":1,"zone":"c2","blocks":["10.77.0.0/16"]}' | tr -c '0-9\n' ' ')
  start=$(date +%s%N)
  for h in "${entry_http[@]}"; do
    while [ "$(curl -s "http://$h/metrics" | awk '$1=="cardamom_entry_config_revision"{print $2}')" -lt "$wanted" ]; do sleep 0.02; done
  done
  end=$(date +%s%N)
  awk -v n="$count" -v s="$seconds" -v c=$((c1 - c0)) -v sb=$((s1 - s0)) -v eb=$((e1 - e0)) -v t=$((t1 - t0)) -v u=$((u1 - u0)) -v m="$mem" -v f=$(((end - start) / 1000000)) \
    'BEGIN{printf "%6d %10.2f %14.0f %14.0f %9.2f%% %9.2f%% %12.1f %12d\n", n, c/s, sb/s/n, eb/s/n, t/s/n, u/s/n, m/1024/n, f}'
  for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
for count in ${COUNTS:-3 6 9 11 24 48}; do measure "$count"; done
