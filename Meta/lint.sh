#!/usr/bin/env bash
# Runs clang-tidy on all sources, or only on the given files. BUILD_DIR (default: build) must be built. Sources that have
# passed with the same contents, headers, flags and checks are skipped; passes are recorded as files under LINT_CACHE
# (default: ~/.cache/sassafrasbay-lint).
set -euo pipefail
cd "$(dirname "$0")/.."
export BUILD_DIR="${BUILD_DIR:-build}"
export LINT_CACHE="${LINT_CACHE:-${XDG_CACHE_HOME:-$HOME/.cache}/sassafrasbay-lint}"
mkdir -p "$LINT_CACHE"
if (($# > 0)); then
  files=("$@")
else
  mapfile -t files < <(git ls-files -co --exclude-standard -- '*.cc')
fi
lint_one() {
  clang-tidy --quiet -p "$BUILD_DIR" "$2" || return 1
  [ "$1" = - ] || touch "$LINT_CACHE/$1"
}
export -f lint_one
printf '%s\n' "${files[@]}" | Meta/lint_keys.py "$BUILD_DIR" |
  while read -r key file; do
    [ -e "$LINT_CACHE/$key" ] || printf '%s %s\n' "$key" "$file"
  done |
  xargs -r -P "${LINT_JOBS:-$(nproc)}" -L 1 bash -c 'lint_one "$@"' lint \
    2> >(grep -v 'warnings generated\|Suppressed\|Use -header-filter' >&2)
