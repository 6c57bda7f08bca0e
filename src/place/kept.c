/*
 * Expected held tokens. What this host sent itself is known with the time and
 * with the tokens that the upstream has read since; what other hosts sent
 * follows from the ranks by rendezvous hashing, which all hosts compute alike.
 * Neither is certain, so each counts with a probability.
 */
#include "place/kept.h"

#include <math.h>
#include <string.h>

#include <xxhash.h>

#include "pistachiorack/error.h"

/* Memory for prompts of an upstream that states none, tokens: the usual
 * capacity of an engine. */
#define MEMORY_DEFAULT_TOKENS 380000.0
/* Probability that an upstream holds a prefix right after it answered a request
 * with it. Below 1, since running requests can displace it early. */
#define PROBABILITY_READ 0.95
/* The same for a request that was sent and has no answer yet: the upstream may
 * refuse it, fail, or not have read it when the next prompt comes. */
#define PROBABILITY_SENT 0.6
/* Probability that an upstream holds the longest shared prefix of a prompt, by
 * its rank. Lower ranks get requests only while the ranks above are busy. It is
 * the same when this host has not seen the prefix: with many hosts each sees
 * few of the requests with it, and a prefix that is new to all of them is
 * prefilled wherever the request goes. */
static const double probability_of_rank[PR_RANKS] = { 0.95, 0.3, 0.1 };
/* Part of these probabilities for a shorter prefix that this host has not seen
 * as the longest one within the window: the first ranks get requests by the
 * longest shared prefix, so that those of a shorter one hold it by chance. */
#define UNSEEN_SHORTER_PART 0.25

/* Most parts of a prefix that is considered, apart from the longest ones. With
 * it, the considered prefixes are as many as there is room for. */
#define DEPTH_MAX 128

_Static_assert(sizeof(pr_kept_t) + PR_KEPT_ENTRIES * sizeof(pr_index_node_t *) <
		       PR_KEPT_BYTES_MAX,
	       "the table exceeds its bound");

int pr_kept_init(pr_kept_t *kept, pr_usec_t window)
{
	memset(kept, 0, sizeof(*kept));
	pr_list_init(&kept->used);
	if (!window)
		return 0;
	if (pr_index_init(&kept->index, PR_KEPT_ENTRIES))
		return PR_ENOMEM;
	kept->window = window;
	for (size_t i = 0; i < PR_KEPT_ENTRIES; i++)
		pr_list_append(&kept->used, &kept->entries[i].used);
	return 0;
}

void pr_kept_finish(pr_kept_t *kept)
{
	pr_index_finish(&kept->index);
	kept->window = 0;
}

/* Whether prefixes of that many parts are considered, so that prompts that
 * share some of their parts have a prefix in common of at least two thirds of
 * them. */
static bool is_depth_considered(size_t depth)
{
	size_t rest = depth % 3 ? depth : depth / 3;

	return depth <= DEPTH_MAX && !(rest & (rest - 1));
}

void pr_kept_add_prefix(pr_kept_prefixes_t *prefixes, uint64_t hash,
			uint32_t tokens)
{
	pr_kept_prefix_t *items = prefixes->items;

	/* The one before the last is no longer the longest shared one. */
	if (prefixes->count > 1 && !is_depth_considered(prefixes->depth - 1)) {
		items[prefixes->count - 2] = items[prefixes->count - 1];
		prefixes->count--;
	}
	items[prefixes->count++] = (pr_kept_prefix_t){ hash, tokens };
	prefixes->depth++;
}

size_t pr_kept_shared_count(const pr_kept_prompt_t *prompt)
{
	return prompt->prefixes->count ? prompt->prefixes->count - 1 : 0;
}

void pr_kept_add_seeds(const pr_kept_prompt_t *prompt, pr_ranks_t *ranks)
{
	size_t count = pr_kept_shared_count(prompt);

	for (size_t i = 0; i < count; i++)
		pr_ranks_add_seed(ranks,
				  XXH64(&prompt->prefixes->items[i].hash,
					sizeof(prompt->prefixes->items[i].hash),
					prompt->model));
}

/* Hash of the model and its weights. */
static uint64_t hash_weights(const pr_kept_prompt_t *prompt,
			     const pr_upstream_t *upstream)
{
	return XXH64(upstream->entry.version, strlen(upstream->entry.version),
		     prompt->model);
}

/* Key of a prefix on one upstream. A tag identifies one instance, so that
 * nothing is known of an upstream that has restarted. */
static uint64_t upstream_key(const pr_kept_prefix_t *prefix, uint64_t weights,
			     const pr_upstream_t *upstream)
{
	const uint64_t words[] = { prefix->hash, upstream->tag };

	return XXH64(words, sizeof(words), weights);
}

/* Key of a prefix that this host has seen as the longest shared one, whatever
 * the upstream. */
static uint64_t seen_key(const pr_kept_prefix_t *prefix, uint64_t weights)
{
	return XXH64(&prefix->hash, sizeof(prefix->hash), weights);
}

static pr_kept_entry_t *find(const pr_kept_t *kept, uint64_t key)
{
	pr_index_node_t *node = pr_index_find(&kept->index, key);

	return node ? PR_OWNER(node, pr_kept_entry_t, node) : NULL;
}

/* Find an entry, or take the least recently used one for it, and move it behind
 * all others. */
static pr_kept_entry_t *find_or_add(pr_kept_t *kept, uint64_t key)
{
	pr_kept_entry_t *entry = find(kept, key);

	if (!entry) {
		entry = PR_OWNER(kept->used.next, pr_kept_entry_t, used);
		if (entry->listed)
			pr_index_remove(&kept->index, &entry->node);
		entry->listed = true;
		entry->read = false;
		entry->uses = 0;
		pr_index_add(&kept->index, &entry->node, key);
	}
	pr_list_remove(&entry->used);
	pr_list_append(&kept->used, &entry->used);
	return entry;
}

static void release(pr_kept_t *kept, pr_kept_entry_t *entry)
{
	pr_index_remove(&kept->index, &entry->node);
	entry->listed = false;
	pr_list_remove(&entry->used);
	/* Before all others: it is taken first. */
	pr_list_append(kept->used.next, &entry->used);
}

static uint64_t *find_or_add_service(pr_kept_t *kept, const char *service)
{
	uint64_t hash = XXH64(service, strlen(service), 0);
	uint32_t i = 0;

	while (i < kept->services_count && kept->services[i].service != hash)
		i++;
	if (i == PR_KEPT_SERVICES_MAX)
		return NULL;
	if (i == kept->services_count)
		kept->services[kept->services_count++].service = hash;
	return &kept->services[i].sent;
}

static uint64_t service_sent(const pr_kept_t *kept, const char *service)
{
	uint64_t hash = XXH64(service, strlen(service), 0);

	for (uint32_t i = 0; i < kept->services_count; i++) {
		if (kept->services[i].service == hash)
			return kept->services[i].sent;
	}
	return 0;
}

static bool is_in_window(const pr_kept_t *kept, const pr_kept_entry_t *entry,
			 pr_usec_t now)
{
	return now - entry->at < kept->window;
}

static double decayed_uses(const pr_kept_t *kept, const pr_kept_entry_t *entry,
			   pr_usec_t now)
{
	return entry->uses *
	       exp(-(double)(now - entry->at) / (double)kept->window);
}

static void mark_used(pr_kept_t *kept, const pr_kept_prompt_t *prompt,
		      pr_kept_entry_t *entry, const pr_upstream_t *upstream,
		      pr_usec_t now)
{
	entry->at = now;
	entry->upstream_sent = upstream->prompt_tokens;
	entry->service_sent = service_sent(kept, prompt->service);
}

void pr_kept_record_sent(pr_kept_t *kept, const pr_kept_prompt_t *prompt,
			 pr_upstream_t *upstream, pr_usec_t now)
{
	uint64_t weights = hash_weights(prompt, upstream);
	size_t shared = pr_kept_shared_count(prompt);
	pr_kept_entry_t *seen;
	uint64_t *sent;

	if (!kept->window || !prompt->prefixes->count)
		return;
	sent = find_or_add_service(kept, prompt->service);
	if (sent)
		*sent += prompt->tokens;
	upstream->prompt_tokens += prompt->tokens;
	for (size_t i = 0; i < prompt->prefixes->count; i++) {
		const pr_kept_prefix_t *prefix = &prompt->prefixes->items[i];
		pr_kept_entry_t *entry = find_or_add(
			kept, upstream_key(prefix, weights, upstream));

		/* What was read counts as used again only by an answer. */
		if (!entry->read || !is_in_window(kept, entry, now)) {
			entry->read = false;
			mark_used(kept, prompt, entry, upstream, now);
		}
	}
	if (!shared)
		return;
	seen = find_or_add(
		kept, seen_key(&prompt->prefixes->items[shared - 1], weights));
	seen->uses = (float)(decayed_uses(kept, seen, now) + 1);
	seen->at = now;
}

void pr_kept_record_read(pr_kept_t *kept, const pr_kept_prompt_t *prompt,
			 const pr_upstream_t *upstream, pr_usec_t now)
{
	uint64_t weights = hash_weights(prompt, upstream);

	if (!kept->window)
		return;
	for (size_t i = 0; i < prompt->prefixes->count; i++) {
		pr_kept_entry_t *entry = find_or_add(
			kept, upstream_key(&prompt->prefixes->items[i], weights,
					   upstream));

		entry->read = true;
		mark_used(kept, prompt, entry, upstream, now);
	}
}

void pr_kept_record_not_run(pr_kept_t *kept, const pr_kept_prompt_t *prompt,
			    const pr_upstream_t *upstream)
{
	uint64_t weights = hash_weights(prompt, upstream);

	if (!kept->window)
		return;
	for (size_t i = 0; i < prompt->prefixes->count; i++) {
		pr_kept_entry_t *entry =
			find(kept, upstream_key(&prompt->prefixes->items[i],
						weights, upstream));

		if (entry && !entry->read)
			release(kept, entry);
	}
}

/* Tokens since a count, which starts again when its table was full. */
static double tokens_since(uint64_t count, uint64_t before)
{
	return (double)(count >= before ? count - before : count);
}

/*
 * Probability that the upstream still holds the prefix of an entry. It falls
 * slowly at first, since the upstream evicts what has not been used for
 * longest, to 0 at the end of the window; and with the prompt tokens that the
 * upstream has read since: those of this host, and an equal share of what the
 * other hosts sent to the service, who send as much as this one.
 */
static double own_probability(const pr_kept_t *kept,
			      const pr_kept_prompt_t *prompt,
			      const pr_kept_entry_t *entry,
			      const pr_upstream_t *upstream, pr_usec_t now)
{
	double age = (double)(now - entry->at) / (double)kept->window;
	double memory = upstream->entry.memory_tokens
				? upstream->entry.memory_tokens
				: MEMORY_DEFAULT_TOKENS;
	double others =
		prompt->hosts > 1 && prompt->upstreams
			? (double)(prompt->hosts - 1) / prompt->upstreams
			: 0;
	double since =
		tokens_since(upstream->prompt_tokens, entry->upstream_sent) +
		others * tokens_since(service_sent(kept, prompt->service),
				      entry->service_sent);

	if (age >= 1 || since >= memory)
		return 0;
	return (entry->read ? PROBABILITY_READ : PROBABILITY_SENT) *
	       (1 - age * age) * (1 - since / memory);
}

double pr_kept_own_tokens(const pr_kept_t *kept, const pr_kept_prompt_t *prompt,
			  const pr_upstream_t *upstream, pr_usec_t now)
{
	uint64_t weights;
	double most = 0;

	/* Most upstreams have never got a prompt of this host. */
	if (!kept->window || !upstream->prompt_tokens)
		return 0;
	weights = hash_weights(prompt, upstream);
	for (size_t i = 0; i < prompt->prefixes->count; i++) {
		const pr_kept_prefix_t *prefix = &prompt->prefixes->items[i];
		const pr_kept_entry_t *entry =
			find(kept, upstream_key(prefix, weights, upstream));

		if (entry)
			most = fmax(most,
				    prefix->tokens *
					    own_probability(kept, prompt, entry,
							    upstream, now));
	}
	return fmin(most, prompt->tokens);
}

/* Part of the probability of a rank, by how often this host sees the prefix:
 * what it sees often, the other hosts see often, too. */
static double familiarity(const pr_kept_t *kept, uint64_t key, pr_usec_t now)
{
	const pr_kept_entry_t *entry = find(kept, key);
	double uses = entry && is_in_window(kept, entry, now)
			      ? decayed_uses(kept, entry, now)
			      : 0;

	return UNSEEN_SHORTER_PART +
	       (1 - UNSEEN_SHORTER_PART) * (1 - exp(-uses));
}

double pr_kept_tokens(const pr_kept_t *kept, const pr_kept_prompt_t *prompt,
		      const pr_ranks_t *ranks, const pr_upstream_t *upstream,
		      pr_usec_t now)
{
	uint64_t weights = hash_weights(prompt, upstream);
	size_t shared = kept->window ? pr_kept_shared_count(prompt) : 0;
	double most = pr_kept_own_tokens(kept, prompt, upstream, now);

	for (size_t i = 0; i < shared; i++) {
		const pr_kept_prefix_t *prefix = &prompt->prefixes->items[i];
		size_t rank = pr_ranks_of(ranks, i, upstream);
		double probability;

		if (rank == PR_RANKS)
			continue;
		probability = probability_of_rank[rank];
		if (i + 1 < shared)
			probability *= familiarity(
				kept, seen_key(prefix, weights), now);
		most = fmax(most, prefix->tokens * probability);
	}
	return fmin(most, prompt->tokens);
}
