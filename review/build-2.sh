#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10. They need a C++ compiler and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
  [[ -f $source ]] || continue
  name=case-$(basename "$(dirname "$source")")
  g++ -std=c++17 -O1 -pthread -Wall -Wextra "$source" -o "target/review-2/$name"
done
