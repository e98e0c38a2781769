#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/, with the compiler that the
# deploy file installs.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O2 -pthread -I review/stand_ins -o "target/review/case_$number" "$source"
done
# Trials that the report tells of. They are no cases, and no script starts them.
for source in review/trials/*.cc; do
  g++ -std=c++20 -O2 -pthread -I review/stand_ins -o "target/review/$(basename "$source" .cc)" "$source"
done
