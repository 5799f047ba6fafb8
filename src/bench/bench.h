/*
 * The measurements, a subcommand each: seeded, one JSON line a measure.
 */
#ifndef BENCH_BENCH_H
#define BENCH_BENCH_H

int bench_policy(int argc, char **argv);

#endif
