#!/usr/bin/env bash
# Runs a case: `run-case.sh CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out. Writes FOLDER/record.txt.
set -uo pipefail
case_name=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/.." || exit 2
program=target/release/beamtray
case_program=target/review/release/review-case
for file in "$program" "$case_program"; do
  if [ ! -x "$file" ]; then
    echo "not built: $file" >&2
    exit 2
  fi
done
temporary=$(mktemp -d) || exit 2
runner=
finish() {
  if [ -n "$runner" ]; then
    kill "$runner" 2>/dev/null
    wait "$runner" 2>/dev/null
  fi
  if [ -f "$temporary/pids" ]; then
    while read -r pid; do
      # Only a router of this run has its settings file in its command line.
      if tr '\0' ' ' 2>/dev/null <"/proc/$pid/cmdline" | grep -qF "$temporary"; then
        kill -KILL "$pid" 2>/dev/null
      fi
    done <"$temporary/pids"
  fi
  rm -rf "$temporary"
}
trap finish EXIT
trap 'exit 2' INT TERM
timeout -k 5 110 "$case_program" "$case_name" "$folder" "$temporary" "$program" &
runner=$!
wait "$runner"
status=$?
runner=
case $status in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
