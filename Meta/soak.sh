#!/usr/bin/env bash
# Meta/soak.sh BUILD SECONDS|CALLScalls SEED
# Eight VMs, sixteen endpoints, callers, and faults of every kind drawn from
# the seed; then the history is checked. An even seed plays gebeta, an odd one
# jadran. Exits 0 only without violations.
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
STOPS_FAILED=0
export no_proxy='*'

stop_all() {
  local pid
  for pid in "${PID[@]}"; do kill -CONT "$pid" 2> /dev/null || true; kill -KILL "$pid" 2> /dev/null || true; done
  wait 2> /dev/null || true
  if [ -n "${ACACIAVALE_SOAK_KEEP:-}" ]; then echo "files are in $WORK"; else rm -rf "$WORK"; fi
}
trap stop_all EXIT

if [ $((SEED % 2)) -eq 0 ]; then
  DEPLOYMENT=gebeta; DOMAINS=addis; WITHDRAWN=planner/pro-2; STAYS=planner/lite-2
else
  DEPLOYMENT=jadran; DOMAINS=hr-central; WITHDRAWN=dossier/small-1; STAYS=dossier/large-1
fi

draw() { echo $((RANDOM % $1)); }
note() { echo "$(date +%T.%N) $*" >> "$WORK/steps.log"; }
count() { COUNT["$1"]=$((${COUNT["$1"]:-0} + 1)); note "$1"; }
pause() { sleep "$(printf '0.%03d' "$(draw 800)")"; }
address() { sed -n "s/^$2=//p" "$1"; }
wait_for() { for _ in $(seq 400); do [ -s "$1" ] && return 0; sleep 0.05; done; echo "no $1" >&2; return 1; }
fault() { note "$1"; curl -fsS "http://$CONTROL/faults" -d "$1" > /dev/null; }
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

generation_of() { # VM NUMBER; empty while it does not answer
  local operators
  operators="$(address "$(vm_file "$1")" operators 2> /dev/null)" || return 0
  [ -n "$operators" ] || return 0
  curl -fs -m 1 "http://$operators/status" 2> /dev/null | tr -d ' ' | sed -n 's/^"settings_generation":\([0-9]*\),*$/\1/p' | head -1
}

wait_generation() { # GENERATION, on every VM
  local vm seen
  for vm in $(seq "$VMS"); do
    for _ in $(seq 1200); do
      seen="$(generation_of "$vm")"
      [ "${seen:-0}" -ge "$1" ] && break
      sleep 0.05
    done
    [ "${seen:-0}" -ge "$1" ] || { echo "vm-$vm has generation ${seen:-none}, not $1" >&2; tail -5 "$WORK/vm-$vm.log" >&2; return 1; }
  done
}

apply() { # GENERATION FILE AUTHOR
  "$PROGRAM" settings apply --store "$KEY_VALUE" --author "$3" --reason "soak" --seen "$1" "$2" > "$WORK/apply-$3.log" 2>&1
}

store_generation() {
  "$PROGRAM" settings history --store "$KEY_VALUE" 2> /dev/null | grep -oE '^ *[0-9]+' | sort -n | tail -1 | tr -d ' ' || true
}

# Two operators edit the same generation at the same time; one at most may win.
race_settings() {
  local seen won=0 first
  seen="$(store_generation)"
  [ -n "$seen" ] || return 0
  rm -rf "$WORK/left" "$WORK/right"
  cp -r "$WORK/settings" "$WORK/left"
  cp -r "$WORK/settings" "$WORK/right"
  sed -i "s/^prior-weight = .*/prior-weight = $((20 + $(draw 40)))/" "$WORK/left/settings.ini"
  sed -i "s/^prior-weight = .*/prior-weight = $((60 + $(draw 40)))/" "$WORK/right/settings.ini"
  apply "$seen" "$WORK/left/settings.ini" left & first=$!
  if apply "$seen" "$WORK/right/settings.ini" right; then won=$((won + 1)); fi
  if wait "$first"; then won=$((won + 1)); fi
  if [ "$won" -gt 1 ]; then echo "two operators both won generation $((seen + 1))"; STOPS_FAILED=$((STOPS_FAILED + 1)); fi
  count "settings raced for"
}

withdraw_one() {
  local seen
  sed -i -e "s|^\[version $WITHDRAWN\]|&\nstate = withdrawn|" -e "s|^stages = .*|stages = $STAYS|" "$WORK/settings/settings.ini"
  for _ in $(seq 100); do
    seen="$(store_generation)"
    if [ -n "$seen" ] && apply "$seen" "$WORK/settings/settings.ini" withdrawal; then
      wait_generation "$((seen + 1))"
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
  note "kill vm-$1"
  kill -KILL "${PID[$1]}"; wait "${PID[$1]}" 2> /dev/null || true
  pause; start_vm "$1"; count "VMs killed and started again"
}

pause_vm() {
  kill -STOP "${PID[$1]}"; sleep "$(draw 4).5"; kill -CONT "${PID[$1]}"
  count "VMs paused"
}

stop_vm() { # a planned stop
  fault "{\"part\":\"note\",\"stop_begins\":\"vm-$1\"}"
  kill -TERM "${PID[$1]}"
  if ! wait "${PID[$1]}"; then
    echo "vm-$1 did not stop gracefully"; tail -3 "$WORK/vm-$1.log"; STOPS_FAILED=$((STOPS_FAILED + 1))
  fi
  fault "{\"part\":\"note\",\"stop_ends\":\"vm-$1\"}"
  start_vm "$1"; count "planned stops"
}

for_a_while() { # FAULT, and what takes it back
  fault "$1"; sleep "$(draw 2).$((3 + $(draw 7)))"; fault "$2"
}

LEFT=0
IS_WITHDRAWN=no
one_fault() {
  local vm engine service
  vm=$((1 + $(draw "$VMS"))); engine="engine-$((1 + $(draw 12)))"; service="service-$((1 + $(draw 4)))"
  case "$(draw 14)" in
    0|1) kill_vm "$vm" ;;
    2|3) pause_vm "$vm" ;;
    4) stop_vm "$vm" ;;
    5) fault "{\"part\":\"key-value\",\"down_ms\":$((300 + $(draw 5000)))}" ;;
    6) for_a_while '{"part":"key-value","lose_answers":0.4}' '{"part":"key-value","lose_answers":0}' ;;
    7) for_a_while "{\"part\":\"key-value\",\"delay_ms\":$(draw 600)}" '{"part":"key-value","delay_ms":0}' ;;
    8) for_a_while "{\"part\":\"$engine\",\"break_after_chunks\":$(draw 12),\"break_share\":0.5}" "{\"part\":\"$engine\",\"break_share\":0}" ;;
    9) for_a_while "{\"part\":\"$engine\",\"error_share\":0.5}" "{\"part\":\"$engine\",\"error_share\":0}" ;;
    10) for_a_while "{\"part\":\"$service\",\"break_share\":0.5}" "{\"part\":\"$service\",\"break_share\":0}" ;;
    11) for_a_while "{\"part\":\"$engine\",\"flap_ms\":150,\"slow_factor\":4}" "{\"part\":\"$engine\",\"flap_ms\":0,\"slow_factor\":1}" ;;
    12) race_settings ;;
    13) if [ "$LEFT" -lt 2 ]; then LEFT=$((LEFT + 1)); fault "{\"part\":\"engine-$LEFT\",\"leaving\":true}"; fi ;;
  esac
}

mkdir "$WORK/vms"
cp -r "Examples/$DEPLOYMENT" "$WORK/settings"
# A stop waits this long for callers that keep old addresses; the soak has many.
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
GRACE=5000
WITHDRAW_AT=6
# A run by calls is a test: what it finds must not hang on the machine's speed.
case "$LENGTH" in *calls) LIMIT=(--calls "${LENGTH%calls}"); GRACE=600000; WITHDRAW_AT=2 ;; esac
"$HISTORY" drive --settings "$WORK/first/settings.ini" --recording "$WORK/recording" --seed "$SEED" \
  "${LIMIT[@]}" "${VM_FILES[@]}" > "$WORK/drive.log" 2>&1 &
DRIVE=$!
PID[drive]=$DRIVE
START=$SECONDS
STEPS=0
while kill -0 "$DRIVE" 2> /dev/null; do
  case "$LENGTH" in
    *calls) ;;
    *) if [ $((SECONDS - START)) -ge "$LENGTH" ]; then touch "$WORK/over"; break; fi ;;
  esac
  one_fault
  STEPS=$((STEPS + 1))
  if [ "$IS_WITHDRAWN" = no ] && [ "$STEPS" -ge "$WITHDRAW_AT" ]; then IS_WITHDRAWN=yes; withdraw_one; fi
  pause
done
wait "$DRIVE" || { cat "$WORK/drive.log" >&2; exit 1; }
unset 'PID[drive]'
cat "$WORK/drive.log"

fault '{"part":"key-value","clear":true}'
CHECKED=(--leaving-grace "$GRACE" --stand-ins "$WORK/stand-ins" --settings "$WORK/first/settings.ini" --recording "$WORK/recording")
"$HISTORY" settle "${CHECKED[@]}"
note "stopping all"
for vm in $(seq "$VMS"); do kill -TERM "${PID[$vm]}"; done
for vm in $(seq "$VMS"); do
  wait "${PID[$vm]}" || { echo "vm-$vm did not stop gracefully"; tail -3 "$WORK/vm-$vm.log"; STOPS_FAILED=$((STOPS_FAILED + 1)); }
  unset "PID[$vm]"
done
RESULT=0
"$HISTORY" check "${CHECKED[@]}" || RESULT=1
for kind in "${!COUNT[@]}"; do echo "faults, $kind: ${COUNT[$kind]}"; done | sort
echo "violations, planned stops and racing operators: $STOPS_FAILED"
[ "$RESULT" -eq 0 ] && [ "$STOPS_FAILED" -eq 0 ]
