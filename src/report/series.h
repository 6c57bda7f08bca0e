/* Look-ups that the parts of the report slice share. */
#ifndef PR_REPORT_SERIES_H
#define PR_REPORT_SERIES_H

#include "pistachiorack/report.h"

/** Find or add a series. @return NULL when the table is full (counted) */
pr_burn_series_t *pr_burn_series_get(pr_burn_t *burn, const char *workspace,
				     pr_objective_t objective);
/** Add bad events of one cause; the rarest cause makes room for a new one. */
void pr_burn_cause_add(pr_burn_series_t *series, const char *name,
		       uint32_t bad);
/** Length of one slot of a window, microseconds. */
pr_usec_t pr_burn_slot_length(int window);

#endif
