#!/usr/bin/env bash
# Builds and runs the measurements and prints a table with the median (minimum to maximum) of the repeats. Arguments
# select the programs by name; without any, all run.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake --preset default > /dev/null
cmake --build --preset default -j 3 > /dev/null
if (($# > 0)); then
  programs=("$@")
else
  programs=(request fold control takeover burst)
fi
echo "commit $(git rev-parse --short HEAD), $(nproc) processors, $(date -u +%FT%RZ)"
for program in "${programs[@]}"; do
  echo "== $program; load average before: $(cut -d' ' -f1-3 /proc/loadavg)"
  "build/measurements/measure_$program"
  echo "== $program; load average after: $(cut -d' ' -f1-3 /proc/loadavg)"
done
