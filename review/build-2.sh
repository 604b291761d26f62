#!/usr/bin/env bash
# Builds the stand-ins of the scripts under review/4 and later into review/bin/2. Needs a C++ compiler only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin/2
for source in src-2/*.cpp; do
  g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o "bin/2/$(basename "$source" .cpp)" "$source"
done
