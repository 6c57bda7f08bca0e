/* Prefix cache of limited size, and its late, incomplete events. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "cache.h"
#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"

#define EVENTS_A_CALL 1000

int cache_init(cache_t *cache, size_t max, pr_rand_t *rand)
{
	*cache = (cache_t){ .max = max, .next_event = 1, .rand = rand };
	cache->blocks = calloc(max ? max : 1, sizeof(block_t));
	cache->events = calloc(CACHE_EVENTS, sizeof(cache_event_t));
	if (!cache->blocks || !cache->events)
		return pr_error_set(PR_ENOMEM, "no memory for a cache");
	return 0;
}

void cache_finish(cache_t *cache)
{
	free(cache->blocks);
	free(cache->events);
	*cache = (cache_t){ 0 };
}

size_t cache_hashes(uint64_t *out, pr_slice_t version, pr_slice_t prompt)
{
	uint64_t hash = pr_hash64(version.ptr, version.len, 0);
	size_t count = prompt.len / CACHE_BLOCK_BYTES;

	if (count > CACHE_BLOCKS_MAX)
		count = CACHE_BLOCKS_MAX;
	for (size_t i = 0; i < count; i++) {
		hash = pr_hash64(prompt.ptr + i * CACHE_BLOCK_BYTES,
				 CACHE_BLOCK_BYTES, hash);
		out[i] = hash;
	}
	return count;
}

static void publish(cache_t *cache, uint64_t hash, bool evicted, pr_usec_t now)
{
	cache_event_t *event = &cache->events[cache->next_event % CACHE_EVENTS];

	*event = (cache_event_t){
		.seq = cache->next_event++,
		.hash = hash,
		.at = now,
		.evicted = evicted,
		.lost = cache->gap_share > 0 &&
			pr_rand_unit(cache->rand) < cache->gap_share,
	};
}

static block_t *find(cache_t *cache, uint64_t hash)
{
	for (size_t i = 0; i < cache->count; i++)
		if (cache->blocks[i].hash == hash)
			return &cache->blocks[i];
	return NULL;
}

static void store(cache_t *cache, uint64_t hash, pr_usec_t now)
{
	block_t *slot = cache->blocks;

	if (!cache->max)
		return;
	if (cache->count < cache->max) {
		slot = &cache->blocks[cache->count++];
	} else {
		for (size_t i = 1; i < cache->count; i++)
			if (cache->blocks[i].used < slot->used)
				slot = &cache->blocks[i];
		publish(cache, slot->hash, true, now);
	}
	*slot = (block_t){ .hash = hash, .used = cache->clock };
	publish(cache, hash, false, now);
}

double cache_touch(cache_t *cache, pr_slice_t version, pr_slice_t prompt,
		   pr_usec_t now)
{
	uint64_t hashes[CACHE_BLOCKS_MAX];
	size_t count = cache_hashes(hashes, version, prompt);
	size_t hits = 0;
	bool prefix = true;

	cache->clock++;
	for (size_t i = 0; i < count; i++) {
		block_t *block = find(cache, hashes[i]);

		prefix = prefix && block;
		hits += prefix;
		if (block)
			block->used = cache->clock;
		else
			store(cache, hashes[i], now);
	}
	return count ? (double)hits / (double)count : 0;
}

void cache_clear(cache_t *cache, pr_usec_t now)
{
	for (size_t i = 0; i < cache->count; i++)
		publish(cache, cache->blocks[i].hash, true, now);
	cache->count = 0;
}

json_t *cache_events(const cache_t *cache, uint64_t after, pr_usec_t now)
{
	json_t *list = json_array();
	uint64_t first = cache->next_event > CACHE_EVENTS
				 ? cache->next_event - CACHE_EVENTS
				 : 1;
	uint64_t seq = after + 1 > first ? after + 1 : first;

	for (; seq < cache->next_event && json_array_size(list) < EVENTS_A_CALL;
	     seq++) {
		const cache_event_t *event = &cache->events[seq % CACHE_EVENTS];
		char block[17];

		if (event->at + cache->lag_ms * PR_USEC_PER_MSEC > now)
			break;
		if (event->lost)
			continue;
		snprintf(block, sizeof(block), "%016" PRIx64, event->hash);
		json_array_append_new(
			list, json_pack("{s:I,s:s,s:s}", "seq",
					(json_int_t)event->seq, "kind",
					event->evicted ? "evicted" : "stored",
					"block", block));
	}
	return json_pack("{s:o,s:I}", "events", list, "next", (json_int_t)seq);
}
