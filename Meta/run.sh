#!/usr/bin/env bash
# Shows both deployments at work, side by side: stand-ins for everything around
# the router, three VMs of different size and failure domain, and the requests
# of the brief. What is waited for is told on standard error.
set -euo pipefail
BUILD="$1"
PROGRAM="$BUILD/Programs/acaciavale"

start_vm() { # NUMBER FAILURE-DOMAIN WEIGHT
  cat > "$WORK/vm-$1.ini" << INI
[vm]
name = vm-$1
failure-domain = $2
weight = $3
threads = $3
[platform]
key-value = $(address "$WORK/stand-ins" key-value)
endpoint-list = $(address "$WORK/stand-ins" endpoint-list)
ratings = $(address "$WORK/stand-ins" ratings)
weights = $(address "$WORK/stand-ins" weights)
INI
  "$PROGRAM" serve --config "$WORK/vm-$1.ini" --announce "$WORK/vm-$1" 2> "$WORK/vm-$1.log" &
  PIDS+=($!)
  LAST=$!
}

deployment() { # NAME DOMAIN-PREFIX
  . Meta/processes.sh
  say() { echo "[$SECONDS s] $NAME: $1" >&2; }
  local NAME="$1"
  "$BUILD/Tests/acaciavale-stand-ins" --deployment "$1" --announce "$WORK/stand-ins" --seed 1 2> "$WORK/stand-ins.log" &
  PIDS+=($!)
  wait_for "$WORK/stand-ins" "$WORK/stand-ins.log"
  "$PROGRAM" settings apply --store "$(address "$WORK/stand-ins" key-value)" \
    --author demonstration --reason "first settings" --seen 0 "Examples/$1/settings.ini" > "$WORK/apply.log" 2>&1 ||
    { cat "$WORK/apply.log" >&2; return 1; }
  start_vm 1 "$2-a" 1
  start_vm 2 "$2-b" 2
  start_vm 3 "$2-c" 3
  local third="$LAST"
  for vm in 1 2 3; do wait_for "$WORK/vm-$vm" "$WORK/vm-$vm.log"; done
  say "three VMs are started; they are ready once their parts of the limits have settled"
  for vm in 1 2 3; do wait_ready "$WORK/vm-$vm" "$WORK/vm-$vm.log"; done
  say "the VMs are ready; the requests of the brief are sent"
  "$BUILD/Tests/acaciavale-demonstration" "$1" \
    "$(address "$WORK/vm-1" callers)" "$(address "$WORK/vm-2" callers)" "$(address "$WORK/vm-3" callers)" "$third"
  say "vm-3 stops: it takes work for as long as callers may keep its address"
  wait "$third" || { echo "vm-3 did not stop cleanly" >&2; cat "$WORK/vm-3.log" >&2; return 1; }
  echo "vm-3 stopped gracefully and exited 0."
  say "the other VMs stop, and then the stand-ins"
  stop_all
  say "all have stopped"
}

SHOWN="$(mktemp -d)"
trap 'rm -rf "$SHOWN"' EXIT
(deployment gebeta addis) > "$SHOWN/gebeta" &
gebeta=$!
failed=0
(deployment jadran hr-central) || failed=1
wait "$gebeta" || failed=1
cat "$SHOWN/gebeta"
[ "$failed" = 0 ] || { echo "a deployment failed" >&2; exit 1; }
echo
echo "Each outcome is the right one."
