/*
 * pistachiorack-report: collects burn series from router hosts or files and
 * prints them as text, JSON or one self-contained HTML page.
 */
#ifndef PR_BURN_PROGRAM_H
#define PR_BURN_PROGRAM_H

#include "pistachiorack/report.h"

/** How the report is printed. */
typedef struct pr_burn_format_t {
	const char *name;
	/** @return 0 or PR_ENOMEM */
	int (*print)(pr_str_t *out, const pr_burn_t *burn, pr_usec_t now,
		     double objective);
} pr_burn_format_t;

/** @return NULL when there is no such format */
const pr_burn_format_t *pr_burn_format_find(const char *name);

int pr_burn_print_text(pr_str_t *out, const pr_burn_t *burn, pr_usec_t now,
		       double objective);
int pr_burn_print_json(pr_str_t *out, const pr_burn_t *burn, pr_usec_t now,
		       double objective);
int pr_burn_print_html(pr_str_t *out, const pr_burn_t *burn, pr_usec_t now,
		       double objective);

const char *pr_alert_name(pr_alert_t alert);

#endif
