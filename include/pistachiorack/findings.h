/**
 * Results of checking and comparing configuration documents.
 */
#ifndef PISTACHIORACK_FINDINGS_H
#define PISTACHIORACK_FINDINGS_H

#include "pistachiorack/str.h"

typedef enum pr_finding_level_t {
	/** The document may be applied; somebody should look at it. */
	PR_FINDING_WARNING,
	/** The document is refused, or part of its traffic cannot be served as
	 *  written. */
	PR_FINDING_ERROR,
} pr_finding_level_t;

typedef struct pr_finding_t {
	pr_finding_level_t level;
	/** For example "models[0].versions[1].share". */
	char path[128];
	/** Line in the text, 1 for the first; 0 when it is not known. */
	unsigned int line;
	/** What is wrong and what is allowed. */
	char text[256];
	/** What it does to traffic; empty when the text says it. */
	char effect[256];
} pr_finding_t;

typedef struct pr_findings_t {
	pr_finding_t *items;
	unsigned int count;
	unsigned int errors;
} pr_findings_t;

/** Replace control characters and broken UTF-8 by question marks. */
void pr_text_make_printable(char *text);
/**
 * Append a finding without a line. Texts that are too long are cut; control
 * characters and broken UTF-8 are replaced, since names in a document are not
 * to be trusted on a terminal.
 *
 * @param effect may be NULL
 * @return 0 or PR_ENOMEM
 */
int pr_findings_add(pr_findings_t *out, pr_finding_level_t level,
		    const char *path, const char *effect, const char *fmt, ...)
	__attribute__((format(printf, 5, 6)));
/**
 * Set the line of each finding that has none by its path.
 *
 * @param text the document, YAML or JSON
 */
void pr_findings_locate(pr_findings_t *findings, pr_slice_t text);
void pr_findings_finish(pr_findings_t *findings);

/** One changed value. */
typedef struct pr_change_t {
	/** Entries of lists are named, for example "upstreams/e1/state". */
	char *path;
	/** NULL when the value did not exist before or does not any more. */
	char *before;
	char *after;
	/** What the change does to traffic; NULL when it was not asked for. */
	char *effect;
} pr_change_t;

/** Changes sorted by path. */
typedef struct pr_changes_t {
	pr_change_t *items;
	unsigned int count;
} pr_changes_t;

/**
 * Append a change; the texts are copied.
 *
 * @param before,after,effect may be NULL
 * @return 0 or PR_ENOMEM
 */
int pr_changes_add(pr_changes_t *out, const char *path, const char *before,
		   const char *after, const char *effect);
void pr_changes_finish(pr_changes_t *changes);

#endif
