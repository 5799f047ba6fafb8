/*
 * Quantiles of a sample. No life cycle: works on the caller's array.
 */
#ifndef SUPPORT_QUANTILE_H
#define SUPPORT_QUANTILE_H

#include <stdint.h>

double quantile_of(double *values, uint32_t count, double share);

#endif
