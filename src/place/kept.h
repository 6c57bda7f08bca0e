/**
 * Prompt prefixes that upstreams still hold: a bounded table of what this host
 * sent where, and the expected number of a prompt's leading tokens that an
 * upstream does not have to prefill again.
 */
#ifndef PR_PLACE_KEPT_H
#define PR_PLACE_KEPT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/index.h"
#include "base/list.h"
#include "place/rank.h"
#include "pistachiorack/timer.h"
#include "upstream/upstream.h"

/** Entries of the table. At 8 requests/s, a host adds up to 720 in 10 s with
 *  eight prefixes each. */
#define PR_KEPT_ENTRIES 2048
/** Services whose prompt tokens are counted apart; those of further ones are
 *  not counted. */
#define PR_KEPT_SERVICES_MAX 64
/** Most prefixes of a prompt that are considered. */
#define PR_KEPT_PREFIXES_MAX PR_RANK_SEEDS_MAX
/** Most bytes of a table with its index. */
#define PR_KEPT_BYTES_MAX ((size_t)256 * 1024)

/** The first parts of a prompt. */
typedef struct pr_kept_prefix_t {
	/** Chained hash of the parts. */
	uint64_t hash;
	/** Tokens of the parts together. */
	uint32_t tokens;
} pr_kept_prefix_t;

/**
 * Prefixes of a prompt, from the shortest to the longest: those of 1, 2, 3, 4,
 * 6, 8, 12, ... 96 and 128 parts, the longest one that other requests may
 * share, and the whole prompt. Must be zeroed before first use.
 */
typedef struct pr_kept_prefixes_t {
	pr_kept_prefix_t items[PR_KEPT_PREFIXES_MAX];
	size_t count;
	/** Parts of the whole prompt. */
	size_t depth;
} pr_kept_prefixes_t;

/** Prompt of a request, and what is known of the other senders. */
typedef struct pr_kept_prompt_t {
	const pr_kept_prefixes_t *prefixes;
	/** Hash of the model's name. */
	uint64_t model;
	const char *service;
	/** Prompt tokens of the request. */
	uint32_t tokens;
	/** Hosts that send to the service, and its upstreams. */
	uint32_t hosts, upstreams;
} pr_kept_prompt_t;

/** A prefix on one upstream, or one that this host has seen. */
typedef struct pr_kept_entry_t {
	pr_index_node_t node;
	/** In the order of use. */
	pr_list_t used;
	/** Time of the last use. */
	pr_usec_t at;
	/** This host's prompt tokens to the upstream, and to the service, up to
	 *  the last use. */
	uint64_t upstream_sent, service_sent;
	/** Number of uses, which decays with the window. */
	float uses;
	/** In the index. */
	bool listed;
	/** The upstream answered a request with the prefix. */
	bool read;
} pr_kept_entry_t;

/** What this host sent. */
typedef struct pr_kept_t {
	/** Time after its last use for which a prefix counts as held; 0 when
	 *  the mechanism is off. */
	pr_usec_t window;
	pr_index_t index;
	/** Least recently used first; entries that are not in use are before
	 *  all others. */
	pr_list_t used;
	pr_kept_entry_t entries[PR_KEPT_ENTRIES];
	/** Prompt tokens that this host sent, by hash of the service. */
	struct {
		uint64_t service;
		uint64_t sent;
	} services[PR_KEPT_SERVICES_MAX];
	uint32_t services_count;
} pr_kept_t;

/**
 * @param window time after its last use for which a prefix counts as held; 0
 *	  for a table that stays empty and needs no memory beyond the structure
 * @return 0 or PR_ENOMEM; pr_kept_finish() must follow a return of 0
 */
int pr_kept_init(pr_kept_t *kept, pr_usec_t window);
void pr_kept_finish(pr_kept_t *kept);

/** Add the prefix that is longer by one part than the one added last. */
void pr_kept_add_prefix(pr_kept_prefixes_t *prefixes, uint64_t hash,
			uint32_t tokens);
/** @return how many prefixes, from the first on, other requests may share; the
 *	   last part of a prompt belongs to its request or session */
size_t pr_kept_shared_count(const pr_kept_prompt_t *prompt);
/** Add the seeds of the shared prefixes, in their order. */
void pr_kept_add_seeds(const pr_kept_prompt_t *prompt, pr_ranks_t *ranks);

/** Note that a request was sent to an upstream, which has not read it yet. */
void pr_kept_record_sent(pr_kept_t *kept, const pr_kept_prompt_t *prompt,
			 pr_upstream_t *upstream, pr_usec_t now);
/** Note that an upstream has read the prompt of a request. */
void pr_kept_record_read(pr_kept_t *kept, const pr_kept_prompt_t *prompt,
			 const pr_upstream_t *upstream, pr_usec_t now);
/** Note that an upstream will not read the prompt of a request that was sent.
 *  What it has read of other requests stays. */
void pr_kept_record_not_run(pr_kept_t *kept, const pr_kept_prompt_t *prompt,
			    const pr_upstream_t *upstream);

/** @return leading tokens of the prompt that the upstream is expected to hold
 *	   by what this host sent to it */
double pr_kept_own_tokens(const pr_kept_t *kept, const pr_kept_prompt_t *prompt,
			  const pr_upstream_t *upstream, pr_usec_t now);
/**
 * @param ranks ranks of the upstreams for the seeds of the prompt
 * @return leading tokens of the prompt that the upstream is expected to hold,
 *	   by what this host sent and by what others are expected to have sent
 */
double pr_kept_tokens(const pr_kept_t *kept, const pr_kept_prompt_t *prompt,
		      const pr_ranks_t *ranks, const pr_upstream_t *upstream,
		      pr_usec_t now);

#endif
