/* Holder side: batches of other hosts. */
#include <jansson.h>

#include "bill/internal.h"
#include "pistachiorack/error.h"

static void answer(pr_bill_book_t *book, uint16_t to,
		   const pr_bill_message_t *hold, bool accepted)
{
	pr_bill_message_t message = {
		.kind = PR_BILL_MESSAGE_HELD,
		.batch = hold->batch,
		.accepted = accepted,
	};

	book->options.ops->send(book->options.data,
				pr_slice_of(book->names[to]->text), &message);
}

/* A value that does not parse would spoil the whole commit. */
static bool is_json(pr_slice_t text)
{
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL);
	bool valid = json_is_object(root);

	json_decref(root);
	return valid;
}

/* The hosts that want to hear from the collector. */
static void count_collected(pr_bill_book_t *book, const pr_bill_batch_t *batch)
{
	for (int i = 0; i < PR_BILL_HOLDERS; i++)
		if (batch->hosts[i] != PR_BILL_NOBODY)
			book->names[batch->hosts[i]]->collected++;
}

void pr_bill_hold(pr_bill_book_t *book, uint16_t from,
		  const pr_bill_message_t *message, pr_usec_t now)
{
	pr_bill_batch_t *batch = pr_bill_find(book, message->batch);
	size_t bytes = sizeof(*batch) + message->batch.len + message->value.len;

	/* A stopping host may have the batch from another holder, and does not
	 * know whose it is. */
	if (batch && batch->role == PR_BILL_OWN) {
		pr_bill_give_back(book, batch, from, now);
		answer(book, from, message, true);
		return;
	}
	if (batch && message->collect && batch->role == PR_BILL_SECOND) {
		pr_bill_batch_move(book, batch, PR_BILL_COLLECT);
		count_collected(book, batch);
	}
	if (!batch) {
		if (!is_json(message->value))
			return;
		if (!book->stopping &&
		    book->pending.held_bytes + bytes <= book->options.held_max)
			batch = pr_bill_batch_add(
				book,
				message->collect ? PR_BILL_COLLECT
						 : PR_BILL_SECOND,
				message->batch, message->value, message->count,
				now);
		if (!batch) {
			book->counters.refused_full++;
			answer(book, from, message, false);
			return;
		}
		batch->hosts[0] = from;
		batch->hosts[1] = pr_bill_name(book, message->other);
		if (message->collect)
			count_collected(book, batch);
	}
	answer(book, from, message, true);
	pr_bill_write_soon(book, now);
}

static void forget(pr_bill_book_t *book, pr_slice_t id)
{
	pr_bill_batch_t *batch = pr_bill_find(book, id);

	if (!batch)
		return;
	pr_bill_release(book, batch, true);
	if (batch->in_commit)
		batch->stored = true;
	else
		pr_bill_batch_free(book, batch);
}

void pr_bill_stored(pr_bill_book_t *book, const pr_bill_message_t *message)
{
	pr_slice_t left = message->batch;

	for (int i = 0; i < PR_BILL_IDS_MAX && left.len; i++) {
		const char *end = memchr(left.ptr, '\n', left.len);
		size_t len = end ? (size_t)(end - left.ptr) : left.len;

		forget(book, pr_slice(left.ptr, len));
		len += end != NULL;
		left = pr_slice(left.ptr + len, left.len - len);
	}
}
