#!/usr/bin/env bash
# Builds the stand-ins of the scripts under review/ into review/bin. Needs a C++ compiler only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -o bin/cases standins/cases.cpp
