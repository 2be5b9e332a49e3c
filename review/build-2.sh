#!/usr/bin/env bash
# Builds every stand-in that the scripts of cases 4 to 8 start, into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/[4-8]/case.cc; do
  [[ -e $source ]] || continue
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -I. -pthread -o "review/bin/case-$name" "$source" \
    testbed/registered/template.cc
done
