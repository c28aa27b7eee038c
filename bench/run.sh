#!/usr/bin/env bash
# Runs all benchmarks; each ends by itself.
set -euo pipefail
cd "$(dirname "$0")/.."
build/bench/cardamom-bench
build/bench/cardamom-bench-accounts
bench/steers.sh
bench/policies.sh
