#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
program="target/review/case_$(basename "$here")"
[ -x "$program" ] && [ -x target/platform/cuminferry ] || { echo "run the deploy file's build and review/build.sh first"; exit 2; }
folder=$(mktemp -d)
timeout -s TERM -k 5 115 "$program" "$folder" "$here"
code=$?
[ -n "${KEEP:-}" ] && echo "kept $folder" || rm -rf "$folder"
[ "$code" -eq 0 ] || [ "$code" -eq 1 ] || code=2
exit "$code"
