/** State of the slice `bill`, shared by its files. */
#ifndef PR_BILL_INTERNAL_H
#define PR_BILL_INTERNAL_H

#include "base/index.h"
#include "base/list.h"
#include "pistachiorack/bill.h"

#define PR_BILL_HOLDERS 2
/** Names of hosts that were ever met; bounds the table of names. */
#define PR_BILL_NAMES_MAX 4096
#define PR_BILL_NOBODY    0

/** A host name that batches refer to by its number. */
typedef struct pr_bill_name_t {
	pr_index_node_t node;
	char *text;
	uint16_t number;
	/** Last time that this host said that it waits for the store. */
	pr_usec_t waiting_at;
	/** Refused a batch: not asked before this time. */
	pr_usec_t full_until;
	/** Batches collected here that the host wants to hear of. */
	uint32_t collected;
	/** In the current list of peers. */
	bool live;
} pr_bill_name_t;

typedef struct pr_bill_place_t {
	uint16_t name;
	uint64_t zone, region;
} pr_bill_place_t;

typedef enum pr_bill_role_t {
	PR_BILL_COLLECT,
	PR_BILL_SECOND,
	PR_BILL_OWN,
	PR_BILL_ROLES,
} pr_bill_role_t;

typedef struct pr_bill_batch_t {
	/** In the index by a hash of the id. */
	pr_index_node_t node;
	/** In the list of its role. */
	pr_list_t list;
	/** Own: in the list of batches that want a holder. */
	pr_list_t unheld;
	/** Own: in the list of batches whose answers wait. */
	pr_list_t waiting;
	pr_usec_t created;
	/** Own: next time to ask another holder. */
	pr_usec_t retry;
	/** Own: requests whose answers wait; NULL when released. */
	uint64_t *requests;
	uint32_t bytes;
	uint32_t value_len;
	uint16_t count;
	uint16_t id_len;
	/** Own: collector and second holder. Held: entry and other holder. */
	uint16_t hosts[PR_BILL_HOLDERS];
	bool acknowledged[PR_BILL_HOLDERS];
	/** Held: the host that a stopping host offered it to last. */
	uint16_t offered;
	uint8_t role;
	bool in_commit;
	/** Confirmed while its commit was under way. */
	bool stored;
	/** Id, then value. */
	char text[];
} pr_bill_batch_t;

struct pr_bill_book_t {
	pr_bill_options_t options;
	pr_bill_name_t *names[PR_BILL_NAMES_MAX];
	uint16_t names_count;
	pr_index_t names_index;
	pr_bill_place_t self;
	pr_bill_place_t *peers;
	size_t peers_count;
	char collector_key[PR_BILL_ID_SIZE];
	/** First choice of collector and second holder. */
	uint16_t first[PR_BILL_HOLDERS];
	pr_index_t batches;
	pr_list_t roles[PR_BILL_ROLES];
	size_t role_counts[PR_BILL_ROLES];
	pr_list_t unheld, waiting;
	pr_bill_pending_t pending;
	/** The batch that is being filled. */
	pr_str_t open;
	uint64_t open_requests[256];
	size_t open_count;
	uint64_t next_sequence, next_tag;
	pr_timer_t flush, tick, write;
	/** When the last batch was closed. */
	pr_usec_t flushed;
	/** The commit under way; 0 for none. */
	uint64_t tag;
	pr_bill_batch_t *committing[PR_STORE_OPS_MAX];
	size_t committing_count;
	/** Current distance between tries; grows while the store is down. */
	pr_usec_t gap;
	/** Earliest next commit; earliest next one in place of a collector. */
	pr_usec_t next_commit, next_fallback;
	pr_usec_t next_notice;
	bool failing, stopping;
	pr_bill_counters_t counters;
};

/* bill.c */

void pr_bill_arm(pr_bill_book_t *book, pr_timer_t *timer, pr_usec_t now,
		 pr_usec_t delay, void (*expired)(pr_timer_t *, pr_usec_t));
/** @return the batch or NULL */
pr_bill_batch_t *pr_bill_find(const pr_bill_book_t *book, pr_slice_t id);
/** @return a batch in the index and the list of its role; NULL: no memory */
pr_bill_batch_t *pr_bill_batch_add(pr_bill_book_t *book, pr_bill_role_t role,
				   pr_slice_t id, pr_slice_t value,
				   size_t count, pr_usec_t now);
/** Move a held batch to another role. */
void pr_bill_batch_move(pr_bill_book_t *book, pr_bill_batch_t *batch,
			pr_bill_role_t role);
void pr_bill_batch_free(pr_bill_book_t *book, pr_bill_batch_t *batch);

static inline pr_slice_t pr_bill_id(const pr_bill_batch_t *batch)
{
	return pr_slice(batch->text, batch->id_len);
}

static inline pr_slice_t pr_bill_value(const pr_bill_batch_t *batch)
{
	return pr_slice(batch->text + batch->id_len, batch->value_len);
}

/* peers.c */

/** @return number of the name, PR_BILL_NOBODY when the table is full */
uint16_t pr_bill_name(pr_bill_book_t *book, pr_slice_t text);
/**
 * Choose a holder.
 *
 * @param slot 0 for the collector, 1 for the second holder
 * @param after the holder that did not answer, or PR_BILL_NOBODY
 * @param other holder in the other slot
 * @return a peer; PR_BILL_NOBODY when there is none that has room
 */
uint16_t pr_bill_choose(const pr_bill_book_t *book, unsigned int slot,
			uint16_t after, uint16_t other, pr_usec_t now);

/* entry.c */

void pr_bill_held(pr_bill_book_t *book, uint16_t from,
		  const pr_bill_message_t *message, pr_usec_t now);
/** Close the open batch and hand it to its holders. */
void pr_bill_flush(pr_bill_book_t *book, pr_usec_t now);
/** A stopping host gives up its copy of an own batch: find another holder. */
void pr_bill_give_back(pr_bill_book_t *book, pr_bill_batch_t *batch,
		       uint16_t from, pr_usec_t now);
/** Give new holders to own batches whose holder is gone. */
void pr_bill_replace_holders(pr_bill_book_t *book, pr_usec_t now);
void pr_bill_release(pr_bill_book_t *book, pr_bill_batch_t *batch,
		     bool acknowledged);

/* holder.c */

void pr_bill_hold(pr_bill_book_t *book, uint16_t from,
		  const pr_bill_message_t *message, pr_usec_t now);
void pr_bill_stored(pr_bill_book_t *book, const pr_bill_message_t *message);

/* handover.c */

/** While stopping without a store: offer held batches to other hosts, and drop
 * own ones that others hold. */
void pr_bill_hand_over(pr_bill_book_t *book, pr_usec_t now);
/** Another host has taken a held batch. */
void pr_bill_handed_over(pr_bill_book_t *book, pr_bill_batch_t *batch);

/* write.c */

/** See to it that a write pass comes. */
void pr_bill_write_soon(pr_bill_book_t *book, pr_usec_t now);

#endif
