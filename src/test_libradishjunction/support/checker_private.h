/*
 * Internals of the checker, which has one source file for each group of
 * invariants.
 */
#ifndef SUPPORT_CHECKER_PRIVATE_H
#define SUPPORT_CHECKER_PRIVATE_H

#include "support/checker.h"

void checker_violation(struct checker *checker, uint64_t now_us,
		       enum invariant invariant, const char *format, ...)
	__attribute__((format(printf, 4, 5)));
void checker_config_tick(struct checker *checker, uint64_t now_us);
void checker_gang_tick(struct checker *checker, uint64_t now_us);
void checker_guarantee_tick(struct checker *checker, uint64_t now_us);
void checker_guarantee_met(struct checker *checker, uint64_t now_us,
			   const struct checker_attempt *attempt);

#endif
