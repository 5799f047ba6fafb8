#include "support/quantile.h"

#include <stdlib.h>

static int compare_doubles(const void *a, const void *b)
{
	double one = *(const double *)a;
	double two = *(const double *)b;

	return one < two ? -1 : one > two;
}

/*
 * Returns the quantile `share` (0 to 1) with linear interpolation, 0 for an
 * empty sample. Sorts the values in place.
 */
double quantile_of(double *values, uint32_t count, double share)
{
	double at = share * (count - 1);
	uint32_t low = (uint32_t)at;

	if (!count)
		return 0;
	qsort(values, count, sizeof(*values), compare_doubles);
	if (low + 1 >= count)
		return values[count - 1];
	return values[low] + (at - low) * (values[low + 1] - values[low]);
}
