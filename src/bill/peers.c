/* Names of hosts, and which of them hold a batch. */
#include <stdio.h>
#include <stdlib.h>

#include "bill/internal.h"
#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"

uint16_t pr_bill_name(pr_bill_book_t *book, pr_slice_t text)
{
	uint64_t key = pr_hash64(text.ptr, text.len, 0);
	pr_index_node_t *node = pr_index_find(&book->names_index, key);
	pr_bill_name_t *name;

	for (; node; node = pr_index_same(node)) {
		name = PR_OWNER(node, pr_bill_name_t, node);
		if (pr_slice_equal(pr_slice_of(name->text), text))
			return name->number;
	}
	if (!text.len || book->names_count == PR_BILL_NAMES_MAX)
		return PR_BILL_NOBODY;
	name = calloc(1, sizeof(*name));
	if (!name)
		return PR_BILL_NOBODY;
	name->text = strndup(text.ptr, text.len);
	if (!name->text) {
		free(name);
		return PR_BILL_NOBODY;
	}
	name->waiting_at = -PR_USEC_PER_SEC * 3600;
	name->number = book->names_count;
	pr_index_add(&book->names_index, &name->node, key);
	book->names[book->names_count] = name;
	return book->names_count++;
}

static uint64_t hash_of(const char *text)
{
	return pr_hash64(text, strlen(text), 0);
}

static const pr_bill_place_t *place_of(const pr_bill_book_t *book,
				       uint16_t name)
{
	for (size_t i = 0; i < book->peers_count; i++)
		if (book->peers[i].name == name)
			return &book->peers[i];
	return NULL;
}

/*
 * Rank of a peer for a slot: the tier (0 is best) in the high half, so that
 * zone and region weigh more than the rendezvous score. Lower is better.
 */
static uint64_t rank(const pr_bill_book_t *book, unsigned int slot,
		     const pr_bill_place_t *peer, const pr_bill_place_t *other)
{
	const char *key =
		slot ? book->names[book->self.name]->text : book->collector_key;
	const char *text = book->names[peer->name]->text;
	uint64_t score =
		pr_rendezvous_score(pr_slice_of(key), pr_slice_of(text));
	uint64_t tier = 0;

	if (other && other->zone == peer->zone)
		tier += 4;
	if (peer->zone == book->self.zone)
		tier += 2;
	if (peer->region != book->self.region)
		tier += 1;
	return tier << 60 | (~score >> 4);
}

uint16_t pr_bill_choose(const pr_bill_book_t *book, unsigned int slot,
			uint16_t after, uint16_t other, pr_usec_t now)
{
	const pr_bill_place_t *other_place = place_of(book, other);
	const pr_bill_place_t *last = place_of(book, after);
	uint64_t floor = last ? rank(book, slot, last, other_place) : 0;
	uint64_t best_rank = UINT64_MAX, first_rank = UINT64_MAX;
	uint16_t best = PR_BILL_NOBODY, first = PR_BILL_NOBODY;

	for (size_t i = 0; i < book->peers_count; i++) {
		const pr_bill_place_t *peer = &book->peers[i];
		uint64_t value = rank(book, slot, peer, other_place);

		if (peer->name == other || peer->name == book->self.name ||
		    book->names[peer->name]->full_until > now)
			continue;
		if (value < first_rank) {
			first_rank = value;
			first = peer->name;
		}
		if (value > floor && value < best_rank) {
			best_rank = value;
			best = peer->name;
		}
	}
	/* After the last candidate the first is asked again. */
	return best ? best : first;
}

static unsigned int count_zones(const pr_bill_book_t *book)
{
	unsigned int zones = 1;

	for (size_t i = 0; i < book->peers_count; i++) {
		bool seen = book->peers[i].zone == book->self.zone;

		for (size_t j = 0; j < i && !seen; j++)
			seen = book->peers[j].zone == book->peers[i].zone;
		zones += !seen;
	}
	return zones;
}

/*
 * The collector has to be outside the entry host's zone, so the shards are
 * divided among the zones: hosts of one zone and shard share a collector.
 */
static void choose_first(pr_bill_book_t *book, pr_usec_t now)
{
	const char *self = book->names[book->self.name]->text;
	unsigned int shards = book->options.shards / count_zones(book);

	if (!shards)
		shards = 1;
	snprintf(book->collector_key, sizeof(book->collector_key), "%016llx/%u",
		 (unsigned long long)book->self.zone,
		 (unsigned int)(hash_of(self) % shards));
	book->first[0] =
		pr_bill_choose(book, 0, PR_BILL_NOBODY, PR_BILL_NOBODY, now);
	book->first[1] =
		pr_bill_choose(book, 1, PR_BILL_NOBODY, book->first[0], now);
}

int pr_bill_set_peers(pr_bill_book_t *book, const pr_bill_peer_t *peers,
		      size_t count, pr_usec_t now)
{
	pr_bill_place_t *places = calloc(count + 1, sizeof(*places));
	size_t used = 0;

	if (!places)
		return pr_error_set(PR_ENOMEM, "no memory for peers");
	for (uint16_t i = 1; i < book->names_count; i++)
		book->names[i]->live = false;
	for (size_t i = 0; i < count; i++) {
		uint16_t name = pr_bill_name(book, pr_slice_of(peers[i].host));

		if (name == PR_BILL_NOBODY || name == book->self.name)
			continue;
		book->names[name]->live = true;
		places[used++] =
			(pr_bill_place_t){ name, hash_of(peers[i].zone),
					   hash_of(peers[i].region) };
	}
	free(book->peers);
	book->peers = places;
	book->peers_count = used;
	choose_first(book, now);
	pr_bill_replace_holders(book, now);
	return 0;
}
