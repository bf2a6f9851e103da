#!/usr/bin/env bash
# Runs the fault soak with the seeds FIRST to LAST, for SECONDS each, JOBS at a time. Prints a summary line for each
# seed and up to five broken rules of a failed one, whose logs stay in DIRECTORY. Exits with an error when a seed failed.
# Usage: Meta/soak.sh FIRST LAST [SECONDS] [JOBS] [DIRECTORY]
set -euo pipefail
cd "$(dirname "$0")/.."
first="$1"
last="$2"
export SECONDS_EACH="${3:-30}"
jobs="${4:-3}"
export DIRECTORY="${5:-$(mktemp -d)}"
mkdir -p "$DIRECTORY"
echo "logs of failed seeds: $DIRECTORY"
play() {
  # Concurrent runs need different loopback networks.
  if build/soak/soak --seed "$1" --seconds "$SECONDS_EACH" --network $((110 + $1 % 100)) --directory "$DIRECTORY" \
    > "$DIRECTORY/$1.txt" 2>&1; then
    rm -r "$DIRECTORY/seed-$1"
    tail -n 1 "$DIRECTORY/$1.txt"
  else
    grep BROKEN "$DIRECTORY/$1.txt" | head -n 5 || true
    tail -n 1 "$DIRECTORY/$1.txt"
    return 1
  fi
}
export -f play
seq "$first" "$last" | xargs -P "$jobs" -I{} bash -c 'play {}'
