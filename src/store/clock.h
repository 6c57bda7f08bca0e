/**
 * Estimate of the store's clock from its responses, each of which states it.
 */
#ifndef PR_STORE_CLOCK_H
#define PR_STORE_CLOCK_H

#include <stdbool.h>
#include <stdint.h>

/** Zeroed before first use. */
typedef struct pr_store_clock_t {
	bool is_known;
	/** The store's clock less this host's, milliseconds. */
	int64_t offset_ms;
} pr_store_clock_t;

/**
 * Note a response. The store formed it at some time between the sending of the
 * request and now, so a response that was late, or that this host read late,
 * changes the estimate only if it contradicts it.
 *
 * @param store_ms the store's clock as stated in the response
 * @param sent_ms time of the request by this host's clock
 * @param now_ms time by this host's clock
 */
void pr_store_clock_note(pr_store_clock_t *clock, int64_t store_ms,
			 int64_t sent_ms, int64_t now_ms);

#endif
