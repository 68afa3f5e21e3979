#!/usr/bin/env bash
# Plays a case with the stand-ins: play.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
folder=$2
work=$(mktemp -d) || exit 2
trap 'rm -rf "$work"' EXIT
[ -x "$root/review/bin/standin" ] && [ -x "$root/target/coltsfootd" ] || { echo "build first: deploy file and review/build.sh" >&2; exit 2; }
timeout -k 5 115 "$root/review/bin/standin" "$1" "$folder/record.txt" "$work" "$root/target/coltsfootd" &
child=$!
trap 'kill "$child" 2>/dev/null; rm -rf "$work"' EXIT
wait "$child"
code=$?
case $code in 0|1) exit "$code" ;; *) exit 2 ;; esac
