#!/usr/bin/env bash
# Prints the measurements: measure [path|decisions|capacity], all by default.
# Nothing here passes or fails by time.
set -euo pipefail
BUILD="$1"
SUBSET="${2:-all}"
WORK="$(mktemp -d)"
PIDS=()

stop_all() {
  for pid in "${PIDS[@]}"; do kill "$pid" 2> /dev/null || true; done
  for pid in "${PIDS[@]}"; do wait "$pid" 2> /dev/null || true; done
  PIDS=()
}
trap 'stop_all; rm -rf "$WORK"' EXIT

address() { sed -n "s/^$2=//p" "$1"; }
wait_for() { for _ in $(seq 400); do [ -s "$1" ] && return 0; sleep 0.05; done; echo "no $1" >&2; return 1; }

start() { # TIME-FACTOR of the engines
  rm -f "$WORK/stand-ins" "$WORK/vm"
  "$BUILD/Tests/acaciavale-stand-ins" --deployment jadran --engines 4 --services 1 --slots 4096 \
    --time-factor "$1" --announce "$WORK/stand-ins" --seed 1 2> "$WORK/stand-ins.log" &
  PIDS+=($!)
  wait_for "$WORK/stand-ins"
  cat > "$WORK/vm.ini" << INI
[vm]
name = vm-1
failure-domain = hr-central-a
threads = 1
[platform]
key-value = $(address "$WORK/stand-ins" key-value)
endpoint-list = $(address "$WORK/stand-ins" endpoint-list)
[log]
level = error
INI
  "$BUILD/Programs/acaciavale" serve --config "$WORK/vm.ini" --announce "$WORK/vm" \
    --settings Benchmarks/PathMeasure.ini 2> "$WORK/vm.log" &
  VM=$!
  PIDS+=("$VM")
  wait_for "$WORK/vm"
  local operators
  operators="$(address "$WORK/vm" operators)"
  for _ in $(seq 400); do curl --noproxy '*' -fs "http://$operators/readyz" > /dev/null && return 0; sleep 0.05; done
  echo "the VM is not ready" >&2; cat "$WORK/vm.log" >&2; return 1
}

path() {
  echo "== the path through one VM (one serving thread), against the same client at an engine"
  start 0
  local common=(--through "$(address "$WORK/vm" callers)" --direct "$(address "$WORK/stand-ins" engine-1)"
    --key key-measure --model checker --version v1 --pid "$VM")
  "$BUILD/Benchmarks/PathMeasure" latency "${common[@]}" --rate 1000 --seconds 10
  "$BUILD/Benchmarks/PathMeasure" throughput "${common[@]}" --streams 64 --tokens 2000 --seconds 10
  stop_all
  start 100000
  common=(--through "$(address "$WORK/vm" callers)" --key key-measure --model checker --version v1 --pid "$VM")
  "$BUILD/Benchmarks/PathMeasure" memory "${common[@]}" --streams 2000
  stop_all
}

decisions() {
  echo "== the decisions, against baselines and an oracle"
  "$BUILD/Benchmarks/DecisionMeasure"
  echo "== one decision, in nanoseconds"
  "$BUILD/Benchmarks/DecisionBench" --benchmark_min_time=0.2
}

capacity() {
  echo "== slopes for docs/CAPACITY.md"
  "$BUILD/Benchmarks/CapacityMeasure"
  "$BUILD/Benchmarks/LedgerBench" --benchmark_min_time=0.2
}

case "$SUBSET" in
  path) path ;;
  decisions) decisions ;;
  capacity) capacity ;;
  all) path; decisions; capacity ;;
  *) echo "measure: path, decisions or capacity" >&2; exit 2 ;;
esac
