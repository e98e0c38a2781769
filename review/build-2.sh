#!/bin/sh
# Builds the stand-ins of the cases of the second review into target/review-2, after the build of the
# deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/[4-9]/case.cc; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -pthread -o "target/review-2/case-$number" "$source"
done
