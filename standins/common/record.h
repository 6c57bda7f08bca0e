/**
 * Bounded record of what a stand-in saw, for `GET /record`.
 */
#ifndef STANDIN_RECORD_H
#define STANDIN_RECORD_H

#include <jansson.h>
#include <stdint.h>

/**
 * A ring of JSON objects; the oldest are dropped and counted. Entries are kept
 * as text, which takes about a tenth of the memory of jansson's objects.
 */
typedef struct standin_record_t {
	char **entries;
	size_t max;
	/** Sequence number of the next entry; the first one has 1. */
	uint64_t next;
	/** Counters by name. */
	json_t *counts;
} standin_record_t;

/** @return 0 or PR_ENOMEM */
int standin_record_init(standin_record_t *record, size_t max);
void standin_record_finish(standin_record_t *record);
/**
 * Add an entry; its "seq" and "at_ms" (wall clock, milliseconds since 1970) are
 * set here. Takes the reference.
 */
void standin_record_add(standin_record_t *record, json_t *entry);
void standin_record_count(standin_record_t *record, const char *name);
/**
 * @param after entries with a sequence number up to this are left out
 * @param limit most entries
 * @return new object {"entries","next","dropped","counts"}, or NULL
 */
json_t *standin_record_json(const standin_record_t *record, uint64_t after,
			    size_t limit);

#endif
