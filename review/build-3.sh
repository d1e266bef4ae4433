#!/usr/bin/env bash
# Builds the stand-ins of review/11 to review/15 into build-review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-3
for source in review/1[1-5]/*.cpp; do
  g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "build-review-3/$(basename "$source" .cpp)" "$source"
done
