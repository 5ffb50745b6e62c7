#!/usr/bin/env bash
# Builds the stand-ins of the scripts. They use only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-5]/case.rs; do
  number=$(basename "$(dirname "$case")")
  rustc --edition 2021 -O -A warnings -o "target/review/case-$number" "$case"
done
