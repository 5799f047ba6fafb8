#!/usr/bin/env bash
# Builds the stand-ins and the scenarios of the cases into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for case in [0-9]/case.c; do
	[ -e "$case" ] || continue
	gcc -std=gnu11 -O1 -g -Wall -Wextra -Werror \
		-o "build/case${case%%/*}" "$case" standin/standin.c \
		$(pkg-config --cflags --libs jansson) -lpthread
done
