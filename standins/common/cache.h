/**
 * Prefix cache of the engine stand-in, of limited size, and its events, which
 * are late and have gaps.
 */
#ifndef STANDIN_CACHE_H
#define STANDIN_CACHE_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "pistachiorack/rand.h"
#include "pistachiorack/str.h"
#include "pistachiorack/timer.h"

/** Bytes of prompt in one block of the prefix cache. */
#define CACHE_BLOCK_BYTES 64
/** Leading blocks of a prompt that the cache looks at. */
#define CACHE_BLOCKS_MAX 64
/** Events that are kept. */
#define CACHE_EVENTS 20000

typedef struct block_t {
	uint64_t hash;
	uint64_t used;
} block_t;

typedef struct cache_event_t {
	uint64_t seq;
	uint64_t hash;
	pr_usec_t at;
	bool evicted;
	/** Left out of the list, so that its number is a gap. */
	bool lost;
} cache_event_t;

typedef struct cache_t {
	block_t *blocks;
	size_t count;
	size_t max;
	uint64_t clock;
	cache_event_t *events;
	uint64_t next_event;
	uint32_t lag_ms;
	double gap_share;
	pr_rand_t *rand;
} cache_t;

/** @return 0 or PR_ENOMEM */
int cache_init(cache_t *cache, size_t max, pr_rand_t *rand);
/**
 * Hashes of the leading whole blocks. Block i is hashed with the hash of block
 * i - 1 as seed; the first with the hash of "model@version".
 *
 * @param out room for CACHE_BLOCKS_MAX hashes
 * @return count
 */
size_t cache_hashes(uint64_t *out, pr_slice_t version, pr_slice_t prompt);
/**
 * Look a prompt up and store its blocks.
 *
 * @return share of its blocks that were present as a prefix, 0 to 1
 */
double cache_touch(cache_t *cache, pr_slice_t version, pr_slice_t prompt,
		   pr_usec_t now);
void cache_finish(cache_t *cache);
void cache_clear(cache_t *cache, pr_usec_t now);
/** @return {"events":[{"seq","kind","block"}],"next":N} */
json_t *cache_events(const cache_t *cache, uint64_t after, pr_usec_t now);

#endif
