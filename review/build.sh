#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin: one program for each review/N/case.cc, with
# the stand-ins in review/lib and the project's own ones in tests/fakes.cc. Needs g++ alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/[1-5]/case.cc; do
  case_number=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O1 -Wall -Itests -Ireview/lib -DPROGRAMS_DIR='"target"' "$source" \
    review/lib/stage.cc review/lib/store.cc tests/fakes.cc -o "review/bin/case$case_number" -pthread
done
