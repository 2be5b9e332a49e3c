#!/usr/bin/env bash
# Builds every stand-in that the scripts start, into review/bin.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
for source in review/[1-3]/case.cc; do
  [[ -e $source ]] || continue
  name=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -I. -pthread -o "review/bin/case-$name" "$source"
done
