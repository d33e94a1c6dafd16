# Functions for scripts that start processes; to be sourced. Sets WORK, a
# temporary folder that is removed on exit, and PIDS, to which a script appends
# each process id, that of the stand-ins first.
WORK="$(mktemp -d)"
PIDS=()

# Stops the VMs, waits until they have ended, and then stops the stand-ins, which
# come first in PIDS: a stopping VM still needs the store to close its ledger.
stop_all() {
  local pid
  for pid in "${PIDS[@]:1}"; do kill "$pid" 2> /dev/null || true; done
  for pid in "${PIDS[@]:1}"; do wait "$pid" 2> /dev/null || true; done
  for pid in "${PIDS[@]:0:1}"; do kill "$pid" 2> /dev/null || true; done
  for pid in "${PIDS[@]:0:1}"; do wait "$pid" 2> /dev/null || true; done
  PIDS=()
}
trap 'stop_all; rm -rf "$WORK"' EXIT

# Prints the address that an announcement file gives for NAME: address FILE NAME
address() { sed -n "s/^$2=//p" "$1"; }

# Waits until a process has written its announcement file; on a timeout, prints
# its log.
wait_for() { # FILE LOG
  for _ in $(seq 400); do [ -s "$1" ] && return 0; sleep 0.05; done
  echo "no announcement in $1" >&2; cat "$2" >&2; return 1
}

# Waits until a VM reports that it is ready; on a timeout, prints its log:
# wait_ready ANNOUNCEMENT LOG
wait_ready() {
  local operators
  operators="$(address "$1" operators)"
  for _ in $(seq 400); do
    curl --noproxy '*' -fs "http://$operators/readyz" > /dev/null && return 0
    sleep 0.05
  done
  echo "the VM of $1 is not ready" >&2; cat "$2" >&2; return 1
}
