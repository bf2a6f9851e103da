#!/usr/bin/env bash
# Installs missing packages, builds everything and runs all tests. Arguments are passed to ctest. Test cases listed in
# KNOWN-RED.txt run first and separately; their results are printed but don't affect the exit status.
set -euo pipefail
cd "$(dirname "$0")/.."
Meta/setup.sh
cmake --preset default >/dev/null
cmake --build --preset default

# Prints the full names of a Boost.Test program's cases. The program lists suites and cases as an indented tree.
list_cases() {
  "$1" --list_content 2>&1 | awk '
    { depth = (match($0, /[^ ]/) - 1) / 4; sub(/\*$/, "", $1) }
    NR > 1 && depth <= last { print name }
    { path[depth] = $1; name = path[0]; for (i = 1; i <= depth; ++i) name = name "/" path[i]; last = depth }
    END { print name }'
}

red_filter="" red_names="" red_programs=""
while IFS='|' read -r name command _; do
  name="${name// /}"
  program="${command%%--*}"
  red_filter="$red_filter${red_filter:+:}!$name"
  red_names="$red_names$name"$'\n'
  red_programs="$red_programs ${program// /}"
  echo "== known to fail (KNOWN-RED.txt): $name"
  (eval "${command%%,*}") 2>&1 | tail -n 5 || true
done < <(grep -v '^#' KNOWN-RED.txt | grep '|' || true)

# A program without any case left fails, so a program whose cases are all listed isn't started again.
exclude=""
for program in $red_programs; do
  if [ -x "$program" ] && ! list_cases "$program" | grep -qvxF "$red_names"; then
    echo "== all cases are listed in KNOWN-RED.txt: $program"
    exclude="$exclude${exclude:+|}$(basename "$program")"
  fi
done
if [ -n "$red_filter" ]; then
  export BOOST_TEST_RUN_FILTERS="$red_filter"
fi

# Runs last, so that the output ends with ctest's summary.
ctest --test-dir build --output-on-failure -j 4 ${exclude:+--exclude-regex "^($exclude)\$"} "$@"
