/*
 * Graceful stop while the store does not accept writes: what this host holds
 * goes to other hosts, so that hosts can be restarted in turn during an outage
 * without losing bills.
 */
#include "bill/internal.h"

/* Batches offered in one pass; a pass follows each failed commit. */
#define PASS_MAX 1024

/* A peer that does not have the batch yet, and not the one that was asked last:
 * it may be gone without the others having noticed. */
static uint16_t choose(const pr_bill_book_t *book, const pr_bill_batch_t *batch,
		       pr_usec_t now)
{
	uint16_t to = batch->offered;

	for (size_t i = 0; i < book->peers_count; i++) {
		to = pr_bill_choose(book, 0, to, batch->hosts[1], now);
		if (to == PR_BILL_NOBODY || to != batch->hosts[0])
			return to;
	}
	return PR_BILL_NOBODY;
}

static void offer(pr_bill_book_t *book, pr_bill_batch_t *batch, pr_usec_t now)
{
	uint16_t to = choose(book, batch, now);
	pr_bill_message_t message = {
		.kind = PR_BILL_MESSAGE_HOLD,
		.batch = pr_bill_id(batch),
		.collect = true,
		.other = batch->hosts[1] != PR_BILL_NOBODY
				 ? pr_slice_of(
					   book->names[batch->hosts[1]]->text)
				 : PR_SLICE(""),
		.count = batch->count,
		.value = pr_bill_value(batch),
	};

	batch->offered = to;
	if (to != PR_BILL_NOBODY)
		book->options.ops->send(book->options.data,
					pr_slice_of(book->names[to]->text),
					&message);
}

static void offer_role(pr_bill_book_t *book, pr_bill_role_t role, pr_usec_t now)
{
	pr_list_t *node = book->roles[role].next;

	for (int i = 0; i < PASS_MAX && node != &book->roles[role]; i++) {
		offer(book, PR_OWNER(node, pr_bill_batch_t, list), now);
		node = node->next;
	}
}

static bool is_held(const pr_bill_book_t *book, const pr_bill_batch_t *batch)
{
	for (int i = 0; i < PR_BILL_HOLDERS; i++)
		if (batch->acknowledged[i] &&
		    book->names[batch->hosts[i]]->live)
			return true;
	return false;
}

void pr_bill_hand_over(pr_bill_book_t *book, pr_usec_t now)
{
	pr_list_t *node = book->roles[PR_BILL_OWN].next;

	if (!book->stopping || !book->failing || book->tag)
		return;
	offer_role(book, PR_BILL_COLLECT, now);
	offer_role(book, PR_BILL_SECOND, now);
	while (node != &book->roles[PR_BILL_OWN]) {
		pr_bill_batch_t *batch = PR_OWNER(node, pr_bill_batch_t, list);

		node = node->next;
		/* Its holders write it, or hand it over when they stop. */
		if (!batch->requests && is_held(book, batch))
			pr_bill_batch_free(book, batch);
	}
}

void pr_bill_handed_over(pr_bill_book_t *book, pr_bill_batch_t *batch)
{
	if (!book->stopping)
		return;
	if (batch->in_commit)
		batch->stored = true;
	else
		pr_bill_batch_free(book, batch);
}
