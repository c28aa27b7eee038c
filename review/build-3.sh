#!/bin/sh
# Builds the stand-ins and clients of the cases of review 3 (review/11 and on) in target/review-3/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++17 -O1 -Wall -Wextra -c review/lib-3/deployment.cc -o target/review-3/deployment.o
for number in 11 12 13 14 15; do
  [ -f "review/$number/case.cc" ] || continue
  g++ -std=c++17 -O1 -Wall -Wextra -Ireview/lib-3 "review/$number/case.cc" \
    target/review-3/deployment.o -o "target/review-3/case-$number" -pthread
done
