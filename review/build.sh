#!/bin/sh
# Builds the stand-ins and clients of the review cases into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -o "target/review/case-$number" "$source"
done
