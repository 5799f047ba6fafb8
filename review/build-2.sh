#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to 6 start, into target/,
# after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build target -j4 --target rj-standin-users
mkdir -p target/review-2
cc -O2 -Wall -Wextra -o target/review-2/review-proxy review/standin-2/proxy.c
# The project's worker, but each life has a clock of its own that starts anew.
sed -e '/^uint64_t standin_now_ms/,/^}/!s/standin_now_ms()/worker_now_ms(worker)/g' \
	-e 's/incarnation = worker_now_ms(worker)/incarnation = standin_now_ms()/' \
	-e 's/send_answer(struct rj_http_exchange/send_answer(const struct standin_worker *worker, struct rj_http_exchange/' \
	-e 's/reject_order(struct rj_http_exchange/reject_order(const struct standin_worker *worker, struct rj_http_exchange/' \
	-e 's/send_answer(exchange/send_answer(worker, exchange/' \
	-e 's/reject_order(exchange/reject_order(worker, exchange/' \
	-e '/^#define STALLED_PERCENT_MAX/a static uint64_t worker_now_ms(const struct standin_worker *worker)\n{\n\treturn standin_now_ms() - worker->incarnation + 1;\n}' \
	src/standin_users/worker.c >target/review-2/worker.c
libraries="talloc tevent msgpack jansson glib-2.0 libmicrohttpd libcurl libsodium"
# shellcheck disable=SC2046,SC2086
cc -std=gnu11 -O2 -Wall -D_GNU_SOURCE -o target/review-2/review-users \
	-Iinclude -Isrc/share -Isrc/libradishjunction/include -Isrc/standin_users \
	review/standin-2/users.c src/standin_users/log.c target/review-2/worker.c \
	target/librjshare.a target/libradishjunction.a \
	$(pkg-config --cflags --libs $libraries) -lm
