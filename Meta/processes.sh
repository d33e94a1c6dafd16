# Functions of the scripts that start processes; sourced, not run. They use
# WORK, a folder that is removed at the end, and PIDS.
WORK="$(mktemp -d)"
PIDS=()

# Stops the VMs, and once they have ended the stand-ins, which were started
# first: a VM that stops still needs the store to close its ledger.
stop_all() {
  local pid
  for pid in "${PIDS[@]:1}"; do kill "$pid" 2> /dev/null || true; done
  for pid in "${PIDS[@]:1}"; do wait "$pid" 2> /dev/null || true; done
  for pid in "${PIDS[@]:0:1}"; do kill "$pid" 2> /dev/null || true; done
  for pid in "${PIDS[@]:0:1}"; do wait "$pid" 2> /dev/null || true; done
  PIDS=()
}
trap 'stop_all; rm -rf "$WORK"' EXIT

# The address announced under a name: address FILE NAME
address() { sed -n "s/^$2=//p" "$1"; }

# Waits for a process's announcement, and shows its log if none comes.
wait_for() { # FILE LOG
  for _ in $(seq 400); do [ -s "$1" ] && return 0; sleep 0.05; done
  echo "no $1" >&2; cat "$2" >&2; return 1
}

# Waits until a VM takes work: wait_ready ANNOUNCEMENT LOG
wait_ready() {
  local operators
  operators="$(address "$1" operators)"
  for _ in $(seq 400); do
    curl --noproxy '*' -fs "http://$operators/readyz" > /dev/null && return 0
    sleep 0.05
  done
  echo "the VM is not ready" >&2; cat "$2" >&2; return 1
}
