#!/usr/bin/env bash
# Prints measurements: Meta/measure.sh BUILD [path|decisions|capacity], all by
# default. The script does not fail because of a measured time.
set -euo pipefail
BUILD="$1"
SUBSET="${2:-all}"
. Meta/processes.sh
ulimit -n "$(ulimit -Hn)"

start_processes() { # TIME-FACTOR of the engine stand-ins
  rm -f "$WORK/stand-ins" "$WORK/vm"
  "$BUILD/Tests/acaciavale-stand-ins" --deployment jadran --engines 4 --services 1 --slots 4096 \
    --time-factor "$1" --announce "$WORK/stand-ins" --seed 1 2> "$WORK/stand-ins.log" &
  PIDS+=($!)
  wait_for "$WORK/stand-ins" "$WORK/stand-ins.log"
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
  VM_PID=$!
  PIDS+=("$VM_PID")
  wait_for "$WORK/vm" "$WORK/vm.log"
  wait_ready "$WORK/vm" "$WORK/vm.log"
}

path() {
  echo "== the path through one VM (one serving thread), against the same client at an engine"
  start_processes 0
  local common=(--through "$(address "$WORK/vm" callers)" --direct "$(address "$WORK/stand-ins" engine-1)"
    --key key-measure --model checker --version v1 --pid "$VM_PID")
  "$BUILD/Benchmarks/PathMeasure" latency "${common[@]}" --rate 1000 --seconds 10
  "$BUILD/Benchmarks/PathMeasure" throughput "${common[@]}" --streams 64 --tokens 2000 --seconds 10
  stop_all
  start_processes 100000
  common=(--through "$(address "$WORK/vm" callers)" --key key-measure --model checker --version v1 --pid "$VM_PID")
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
  *) echo "usage: Meta/measure.sh BUILD [path|decisions|capacity]" >&2; exit 2 ;;
esac
