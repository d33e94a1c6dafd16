#!/usr/bin/env bash
# Entry point of the development tasks: run, test, lint, build, measure, soak,
# node-soak, node-memory, fuzz.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD="${ACACIAVALE_BUILD:-Build}"

install_packages() {
  local missing=()
  while read -r package; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
  done < Meta/packages.txt
  if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" > /dev/null
  fi
}

build() {
  cmake -S . -B "$BUILD" -G Ninja > "$BUILD.configure.log" 2>&1 || { cat "$BUILD.configure.log"; return 1; }
  rm -f "$BUILD.configure.log"
  cmake --build "$BUILD" "$@"
}

# The names of the users' platform may occur only in platform/ and its tests.
lint_platform_names() {
  local platform_names='Attempt-Id|Replica-Stamp|Expect-Replica|Not-Executed|Prompt-Prefix|Token-Usage|[^-]Deadline-Ms'
  platform_names="$platform_names|Request-Priority|Replica-Load|Kv-(From|Fetch|Backup)|kv-(txn|watch|range|lease|keep)"
  platform_names="$platform_names|op/(config|rollout)|route-kind|api-keys|duration-s|/api/(readyz|resolve)"
  if git grep -nE "\"[^\"]*($platform_names)" -- include Libraries Programs Tests Benchmarks ':!Tests/Platform'; then
    echo "these lines use names of the platform outside platform/"
    return 1
  fi
}

lint() {
  lint_platform_names
  git ls-files '*.h' '*.cpp' | grep -v '^Libraries/LibGenerated/' | xargs clang-format --dry-run --Werror
  cmake -S . -B "$BUILD" -G Ninja > /dev/null
  git ls-files '*.cpp' | grep -v '^Libraries/LibGenerated/' |
    xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$BUILD" 2> /dev/null
}

command="${1:-help}"
shift || true
case "$command" in
  lint) install_packages; lint ;;
  test) install_packages; build; cat KNOWN-RED.txt; ctest --test-dir "$BUILD" --output-on-failure "$@" ;;
  build) install_packages; build "$@" ;;
  run) install_packages; build > /dev/null; exec Meta/run.sh "$BUILD" ;;
  measure) install_packages; build > /dev/null; exec Meta/measure.sh "$BUILD" "$@" ;;
  soak) install_packages; build > /dev/null; exec Meta/soak.sh "$BUILD" "$@" ;;
  node-soak) install_packages; exec Meta/node-soak.sh "$BUILD" "$@" ;;
  node-memory) install_packages; build > /dev/null; exec Meta/node-memory.sh "$BUILD" "$@" ;;
  fuzz) install_packages; exec Meta/fuzz.sh "$BUILD" "$@" ;;
  *) echo "usage: Meta/acaciavale.sh run | test | lint | build | measure [SUBSET] | soak SECONDS SEED |" \
       "node-soak SECONDS SEED | node-memory MEMORY_MB [FORM...] | fuzz SECONDS SEED [TARGET]" ; exit 2 ;;
esac
