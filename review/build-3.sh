#!/usr/bin/env bash
# Builds the stand-in of this review into target/review-3. Needs the packages of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
mkdir -p target/review-3
# shellcheck disable=SC2046
gcc -std=gnu11 -O2 -Wall -Wextra -o target/review-3/rj-world3 \
	review/standin-3/world.c $(pkg-config --cflags --libs jansson) -lm
