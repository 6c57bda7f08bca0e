/* Lists of findings and changes. */
#include "pistachiorack/findings.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "pistachiorack/error.h"

/* @return length of the UTF-8 sequence at text, or 0 when it is broken */
static size_t sequence_len(const unsigned char *text)
{
	size_t len = 1;

	if (*text >= 0xc2 && *text < 0xe0)
		len = 2;
	else if (*text >= 0xe0 && *text < 0xf0)
		len = 3;
	else if (*text >= 0xf0 && *text < 0xf5)
		len = 4;
	else if (*text >= 0x80)
		return 0;
	for (size_t i = 1; i < len; i++)
		if ((text[i] & 0xc0) != 0x80)
			return 0;
	return len;
}

void pr_text_make_printable(char *text)
{
	unsigned char *at = (unsigned char *)text;

	while (*at) {
		size_t len = sequence_len(at);

		if (!len || *at < ' ' || *at == 0x7f) {
			*at = '?';
			len = 1;
		}
		at += len;
	}
}

int pr_findings_add(pr_findings_t *out, pr_finding_level_t level,
		    const char *path, const char *effect, const char *fmt, ...)
{
	pr_finding_t *items =
		realloc(out->items, (out->count + 1) * sizeof(*items));
	pr_finding_t *finding;
	va_list args;

	if (!items)
		return PR_ENOMEM;
	out->items = items;
	finding = &items[out->count++];
	out->errors += level == PR_FINDING_ERROR;
	finding->level = level;
	finding->line = 0;
	snprintf(finding->path, sizeof(finding->path), "%s", path);
	snprintf(finding->effect, sizeof(finding->effect), "%s",
		 effect ? effect : "");
	va_start(args, fmt);
	vsnprintf(finding->text, sizeof(finding->text), fmt, args);
	va_end(args);
	pr_text_make_printable(finding->path);
	pr_text_make_printable(finding->text);
	pr_text_make_printable(finding->effect);
	return 0;
}

void pr_findings_finish(pr_findings_t *findings)
{
	free(findings->items);
	memset(findings, 0, sizeof(*findings));
}

static char *copy(const char *text)
{
	return text ? strdup(text) : NULL;
}

int pr_changes_add(pr_changes_t *out, const char *path, const char *before,
		   const char *after, const char *effect)
{
	pr_change_t *items =
		realloc(out->items, (out->count + 1) * sizeof(*items));
	pr_change_t *change;

	if (!items)
		return PR_ENOMEM;
	out->items = items;
	change = &items[out->count++];
	change->path = copy(path);
	change->before = copy(before);
	change->after = copy(after);
	change->effect = copy(effect);
	if (!change->path || (before && !change->before) ||
	    (after && !change->after) || (effect && !change->effect))
		return PR_ENOMEM;
	return 0;
}

void pr_changes_finish(pr_changes_t *changes)
{
	for (unsigned int i = 0; i < changes->count; i++) {
		free(changes->items[i].path);
		free(changes->items[i].before);
		free(changes->items[i].after);
		free(changes->items[i].effect);
	}
	free(changes->items);
	memset(changes, 0, sizeof(*changes));
}
