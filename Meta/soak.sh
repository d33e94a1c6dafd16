#!/usr/bin/env bash
# Meta/soak.sh BUILD SECONDS|CALLScalls SEED
# Runs callers against eight VMs and sixteen endpoints while injecting faults of
# every kind, chosen at random from SEED, and then checks the recorded history.
# An even seed runs the deployment gebeta, an odd one jadran. Exits 0 only if no
# violation was found.
set -euo pipefail
BUILD="$1"
LENGTH="$2"
SEED="$3"
PROGRAM="$BUILD/Programs/acaciavale"
HISTORY="$BUILD/Tests/acaciavale-history"
STAND_INS="$BUILD/Tests/acaciavale-stand-ins"
VMS="${ACACIAVALE_SOAK_VMS:-8}"
WORK="$(mktemp -d)"
RANDOM="$SEED"
declare -A PID=() COUNT=()
VIOLATIONS=0
# The files of a run with violations are kept: it may not fail again.
HAS_VIOLATIONS=no
export no_proxy='*'

stop_all() {
  local pid
  for pid in "${PID[@]}"; do kill -CONT "$pid" 2> /dev/null || true; kill -KILL "$pid" 2> /dev/null || true; done
  wait 2> /dev/null || true
  if [ -n "${ACACIAVALE_SOAK_KEEP:-}" ] || [ "$HAS_VIOLATIONS" = yes ]; then echo "files are in $WORK"; else rm -rf "$WORK"; fi
}
trap stop_all EXIT

if [ $((SEED % 2)) -eq 0 ]; then
  DEPLOYMENT=gebeta; DOMAINS=addis; WITHDRAWN=planner/pro-2; REMAINING=planner/lite-2
else
  DEPLOYMENT=jadran; DOMAINS=hr-central; WITHDRAWN=dossier/small-1; REMAINING=dossier/large-1
fi

random_below() { echo $((RANDOM % $1)); }
log_step() { echo "$(date +%T.%N) $*" >> "$WORK/steps.log"; }
count() { COUNT["$1"]=$((${COUNT["$1"]:-0} + 1)); log_step "$1"; }
short_pause() { sleep "$(printf '0.%03d' "$(random_below 800)")"; }
address() { sed -n "s/^$2=//p" "$1"; }
wait_for() { for _ in $(seq 400); do [ -s "$1" ] && return 0; sleep 0.05; done; echo "no announcement in $1" >&2; return 1; }
fault() { log_step "$1"; curl -fsS "http://$CONTROL/faults" -d "$1" > /dev/null; }
vm_file() { echo "$WORK/vms/vm-$1"; }

start_vm() { # NUMBER
  local letters=(a b c d)
  cat > "$WORK/vm-$1.ini" << INI
[vm]
name = vm-$1
failure-domain = $DOMAINS-${letters[$(($1 % 4))]}
weight = $((1 + $1 % 3))
threads = 2
[platform]
key-value = $(address "$WORK/stand-ins" key-value)
endpoint-list = $(address "$WORK/stand-ins" endpoint-list)
ratings = $(address "$WORK/stand-ins" ratings)
weights = $(address "$WORK/stand-ins" weights)
INI
  rm -f "$(vm_file "$1")"
  "$PROGRAM" serve --config "$WORK/vm-$1.ini" --announce "$(vm_file "$1")" 2>> "$WORK/vm-$1.log" &
  PID[$1]=$!
}

vm_generation() { # NUMBER; prints nothing while the VM does not answer
  local operators
  operators="$(address "$(vm_file "$1")" operators 2> /dev/null)" || return 0
  [ -n "$operators" ] || return 0
  curl -fs -m 1 "http://$operators/status" 2> /dev/null | tr -d ' ' | sed -n 's/^"settings_generation":\([0-9]*\),*$/\1/p' | head -1
}

wait_generation() { # GENERATION; waits until every VM has it
  local vm generation
  for vm in $(seq "$VMS"); do
    for _ in $(seq 1200); do
      generation="$(vm_generation "$vm")"
      [ "${generation:-0}" -ge "$1" ] && break
      sleep 0.05
    done
    [ "${generation:-0}" -ge "$1" ] || { echo "vm-$vm has generation ${generation:-none}, not $1" >&2; tail -5 "$WORK/vm-$vm.log" >&2; return 1; }
  done
}

apply() { # BASE-GENERATION FILE AUTHOR
  "$PROGRAM" settings apply --store "$KEY_VALUE" --author "$3" --reason "soak" --seen "$1" "$2" > "$WORK/apply-$3.log" 2>&1
}

store_generation() {
  "$PROGRAM" settings history --store "$KEY_VALUE" 2> /dev/null | grep -oE '^ *[0-9]+' | sort -n | tail -1 | tr -d ' ' || true
}

# Two operators edit the same generation at the same time; at most one may succeed.
race_settings() {
  local generation succeeded=0 first_pid
  generation="$(store_generation)"
  [ -n "$generation" ] || return 0
  rm -rf "$WORK/left" "$WORK/right"
  cp -r "$WORK/settings" "$WORK/left"
  cp -r "$WORK/settings" "$WORK/right"
  sed -i "s/^prior-weight = .*/prior-weight = $((20 + $(random_below 40)))/" "$WORK/left/settings.ini"
  sed -i "s/^prior-weight = .*/prior-weight = $((60 + $(random_below 40)))/" "$WORK/right/settings.ini"
  apply "$generation" "$WORK/left/settings.ini" left & first_pid=$!
  if apply "$generation" "$WORK/right/settings.ini" right; then succeeded=$((succeeded + 1)); fi
  if wait "$first_pid"; then succeeded=$((succeeded + 1)); fi
  if [ "$succeeded" -gt 1 ]; then echo "two operators both applied generation $((generation + 1))"; VIOLATIONS=$((VIOLATIONS + 1)); fi
  count "settings raced for"
}

withdraw_version() {
  local generation
  sed -i -e "s|^\[version $WITHDRAWN\]|&\nstate = withdrawn|" -e "s|^stages = .*|stages = $REMAINING|" "$WORK/settings/settings.ini"
  for _ in $(seq 100); do
    generation="$(store_generation)"
    if [ -n "$generation" ] && apply "$generation" "$WORK/settings/settings.ini" withdrawal; then
      wait_generation "$((generation + 1))"
      fault "{\"part\":\"note\",\"withdrawn\":\"$WITHDRAWN\"}"
      count "versions withdrawn"
      return 0
    fi
    sleep 0.2
  done
  echo "the withdrawal could not be applied" >&2; cat "$WORK/apply-withdrawal.log" >&2
  return 1
}

kill_vm() {
  log_step "kill vm-$1"
  kill -KILL "${PID[$1]}"; wait "${PID[$1]}" 2> /dev/null || true
  short_pause; start_vm "$1"; count "VMs killed and started again"
}

pause_vm() {
  kill -STOP "${PID[$1]}"; sleep "$(random_below 4).5"; kill -CONT "${PID[$1]}"
  count "VMs paused"
}

stop_vm() { # NUMBER; a planned stop
  fault "{\"part\":\"note\",\"stop_begins\":\"vm-$1\"}"
  kill -TERM "${PID[$1]}"
  if ! wait "${PID[$1]}"; then
    echo "vm-$1 did not stop gracefully"; tail -3 "$WORK/vm-$1.log"; VIOLATIONS=$((VIOLATIONS + 1))
  fi
  fault "{\"part\":\"note\",\"stop_ends\":\"vm-$1\"}"
  start_vm "$1"; count "planned stops"
}

temporary_fault() { # FAULT UNDOING-FAULT
  fault "$1"; sleep "$(random_below 2).$((3 + $(random_below 7)))"; fault "$2"
}

DRAINING_ENGINES=0
IS_WITHDRAWN=no
inject_random_fault() {
  local vm engine service
  vm=$((1 + $(random_below "$VMS"))); engine="engine-$((1 + $(random_below 12)))"; service="service-$((1 + $(random_below 4)))"
  case "$(random_below 14)" in
    0|1) kill_vm "$vm" ;;
    2|3) pause_vm "$vm" ;;
    4) stop_vm "$vm" ;;
    5) fault "{\"part\":\"key-value\",\"down_ms\":$((300 + $(random_below 5000)))}" ;;
    6) temporary_fault '{"part":"key-value","lose_answers":0.4}' '{"part":"key-value","lose_answers":0}' ;;
    7) temporary_fault "{\"part\":\"key-value\",\"delay_ms\":$(random_below 600)}" '{"part":"key-value","delay_ms":0}' ;;
    8) temporary_fault "{\"part\":\"$engine\",\"break_after_chunks\":$(random_below 12),\"break_share\":0.5}" "{\"part\":\"$engine\",\"break_share\":0}" ;;
    9) temporary_fault "{\"part\":\"$engine\",\"error_share\":0.5}" "{\"part\":\"$engine\",\"error_share\":0}" ;;
    10) temporary_fault "{\"part\":\"$service\",\"break_share\":0.5}" "{\"part\":\"$service\",\"break_share\":0}" ;;
    11) temporary_fault "{\"part\":\"$engine\",\"flap_ms\":150,\"slow_factor\":4}" "{\"part\":\"$engine\",\"flap_ms\":0,\"slow_factor\":1}" ;;
    12) race_settings ;;
    13) if [ "$DRAINING_ENGINES" -lt 2 ]; then DRAINING_ENGINES=$((DRAINING_ENGINES + 1)); fault "{\"part\":\"engine-$DRAINING_ENGINES\",\"leaving\":true}"; fi ;;
  esac
}

mkdir "$WORK/vms"
cp -r "Examples/$DEPLOYMENT" "$WORK/settings"
# A stopping VM waits this long for callers that keep its address. The value is
# small, since a soak has many stops.
sed -i "s/^\[deployment\]/&\nentry-time-to-keep = 1s/" "$WORK/settings/settings.ini"
cp -r "$WORK/settings" "$WORK/first"
"$STAND_INS" --deployment "$DEPLOYMENT" --engines 12 --services 4 --announce "$WORK/stand-ins" --seed "$SEED" 2> "$WORK/stand-ins.log" &
PID[stand-ins]=$!
wait_for "$WORK/stand-ins"
CONTROL="$(address "$WORK/stand-ins" control)"
KEY_VALUE="$(address "$WORK/stand-ins" key-value)"
apply 0 "$WORK/settings/settings.ini" first || { cat "$WORK/apply-first.log" >&2; exit 1; }
for vm in $(seq "$VMS"); do start_vm "$vm"; done
wait_generation 1

VM_FILES=()
for vm in $(seq "$VMS"); do VM_FILES+=("$(vm_file "$vm")"); done
LIMIT=(--until "$WORK/over")
GRACE_MS=5000
WITHDRAW_AT_STEP=6
# A run limited by calls is a test, whose findings must not depend on the speed of
# the machine.
case "$LENGTH" in *calls) LIMIT=(--calls "${LENGTH%calls}"); GRACE_MS=600000; WITHDRAW_AT_STEP=2 ;; esac
"$HISTORY" drive --settings "$WORK/first/settings.ini" --recording "$WORK/recording" --seed "$SEED" \
  "${LIMIT[@]}" "${VM_FILES[@]}" > "$WORK/drive.log" 2>&1 &
DRIVE_PID=$!
PID[drive]=$DRIVE_PID
START=$SECONDS
STEPS=0
while kill -0 "$DRIVE_PID" 2> /dev/null; do
  case "$LENGTH" in
    *calls) ;;
    *) if [ $((SECONDS - START)) -ge "$LENGTH" ]; then touch "$WORK/over"; break; fi ;;
  esac
  inject_random_fault
  STEPS=$((STEPS + 1))
  if [ "$IS_WITHDRAWN" = no ] && [ "$STEPS" -ge "$WITHDRAW_AT_STEP" ]; then IS_WITHDRAWN=yes; withdraw_version; fi
  short_pause
done
wait "$DRIVE_PID" || { cat "$WORK/drive.log" >&2; exit 1; }
unset 'PID[drive]'
cat "$WORK/drive.log"

fault '{"part":"key-value","clear":true}'
CHECK_OPTIONS=(--leaving-grace "$GRACE_MS" --stand-ins "$WORK/stand-ins" --settings "$WORK/first/settings.ini" --recording "$WORK/recording")
"$HISTORY" settle "${CHECK_OPTIONS[@]}"
log_step "stopping all"
for vm in $(seq "$VMS"); do kill -TERM "${PID[$vm]}"; done
for vm in $(seq "$VMS"); do
  wait "${PID[$vm]}" || { echo "vm-$vm did not stop gracefully"; tail -3 "$WORK/vm-$vm.log"; VIOLATIONS=$((VIOLATIONS + 1)); }
  unset "PID[$vm]"
done
RESULT=0
"$HISTORY" check "${CHECK_OPTIONS[@]}" || RESULT=1
for kind in "${!COUNT[@]}"; do echo "faults, $kind: ${COUNT[$kind]}"; done | sort
echo "violations, planned stops and racing operators: $VIOLATIONS"
if [ "$RESULT" -ne 0 ] || [ "$VIOLATIONS" -ne 0 ]; then HAS_VIOLATIONS=yes; exit 1; fi
