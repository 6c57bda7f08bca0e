/* The book: options, batches and the way of messages to their handlers. */
#include <ctype.h>
#include <stdlib.h>

#include "bill/internal.h"
#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"

/* Buckets of the index: 128 KiB, chains of 8 after an hour's outage. */
#define BATCH_BUCKETS 16384

void pr_bill_arm(pr_bill_book_t *book, pr_timer_t *timer, pr_usec_t now,
		 pr_usec_t delay, void (*expired)(pr_timer_t *, pr_usec_t))
{
	pr_usec_t due = now + delay;

	pr_timers_subscribe(book->options.timers, timer,
			    due - book->options.timers->now, 0, expired);
}

/* Host names go into row keys and JSON text as they are. */
static bool is_host_name(const char *name)
{
	size_t len = name ? strlen(name) : 0;

	for (size_t i = 0; i < len; i++)
		if (!isalnum((unsigned char)name[i]) && !strchr(".-_", name[i]))
			return false;
	return len > 0 && len < PR_BILL_ID_SIZE - 48;
}

static int init(pr_bill_book_t *book)
{
	const pr_bill_options_t *options = &book->options;

	pr_list_init(&book->unheld);
	pr_list_init(&book->waiting);
	for (int i = 0; i < PR_BILL_ROLES; i++)
		pr_list_init(&book->roles[i]);
	book->flush.data = book;
	book->tick.data = book;
	book->write.data = book;
	book->gap = options->commit_gap;
	book->flushed = -options->batch_wait;
	book->names_count = PR_BILL_NOBODY + 1;
	if (pr_index_init(&book->batches, BATCH_BUCKETS) ||
	    pr_index_init(&book->names_index, PR_BILL_NAMES_MAX / 4))
		return PR_ENOMEM;
	book->self.name = pr_bill_name(book, pr_slice_of(options->host));
	if (book->self.name == PR_BILL_NOBODY)
		return pr_error_set(PR_ENOMEM, "no memory for a host name");
	book->self.zone = pr_hash64(options->zone, strlen(options->zone), 0);
	book->self.region =
		pr_hash64(options->region, strlen(options->region), 0);
	return 0;
}

int pr_bill_open(pr_bill_book_t **out, const pr_bill_options_t *options)
{
	pr_bill_book_t *book;
	int err;

	if (options->version != PR_BILL_OPTIONS_VERSION || !options->ops ||
	    !options->timers || !is_host_name(options->host) ||
	    !options->zone || !options->region || !options->batch_max ||
	    options->holders > PR_BILL_HOLDERS)
		return pr_error_set(PR_EINVALID, "options of bills");
	book = calloc(1, sizeof(*book));
	if (!book)
		return pr_error_set(PR_ENOMEM, "no memory for bills");
	book->options = *options;
	err = init(book);
	if (err) {
		pr_bill_close(book);
		return err;
	}
	book->options.host = book->names[book->self.name]->text;
	*out = book;
	return 0;
}

void pr_bill_close(pr_bill_book_t *book)
{
	if (!book)
		return;
	pr_timers_unsubscribe(book->options.timers, &book->flush);
	pr_timers_unsubscribe(book->options.timers, &book->tick);
	pr_timers_unsubscribe(book->options.timers, &book->write);
	for (int i = 0; i < PR_BILL_ROLES; i++) {
		pr_list_t *node = book->roles[i].next;

		while (node && node != &book->roles[i]) {
			pr_bill_batch_t *batch =
				PR_OWNER(node, pr_bill_batch_t, list);

			node = node->next;
			free(batch->requests);
			free(batch);
		}
	}
	for (uint16_t i = 1; i < book->names_count; i++) {
		free(book->names[i]->text);
		free(book->names[i]);
	}
	pr_index_finish(&book->batches);
	pr_index_finish(&book->names_index);
	pr_str_finish(&book->open);
	free(book->peers);
	free(book);
}

pr_bill_batch_t *pr_bill_find(const pr_bill_book_t *book, pr_slice_t id)
{
	pr_index_node_t *node =
		pr_index_find(&book->batches, pr_hash64(id.ptr, id.len, 0));

	for (; node; node = pr_index_same(node)) {
		pr_bill_batch_t *batch = PR_OWNER(node, pr_bill_batch_t, node);

		if (pr_slice_equal(pr_bill_id(batch), id))
			return batch;
	}
	return NULL;
}

pr_bill_batch_t *pr_bill_batch_add(pr_bill_book_t *book, pr_bill_role_t role,
				   pr_slice_t id, pr_slice_t value,
				   size_t count, pr_usec_t now)
{
	size_t bytes = sizeof(pr_bill_batch_t) + id.len + value.len;
	pr_bill_batch_t *batch = calloc(1, bytes);

	if (!batch)
		return NULL;
	memcpy(batch->text, id.ptr, id.len);
	memcpy(batch->text + id.len, value.ptr, value.len);
	batch->id_len = (uint16_t)id.len;
	batch->value_len = (uint32_t)value.len;
	batch->bytes = (uint32_t)bytes;
	batch->count = (uint16_t)count;
	batch->created = now;
	batch->role = (uint8_t)role;
	pr_list_init(&batch->unheld);
	pr_list_init(&batch->waiting);
	pr_index_add(&book->batches, &batch->node,
		     pr_hash64(id.ptr, id.len, 0));
	pr_list_append(&book->roles[role], &batch->list);
	book->role_counts[role]++;
	*(role == PR_BILL_OWN ? &book->pending.own_bytes
			      : &book->pending.held_bytes) += bytes;
	return batch;
}

void pr_bill_batch_move(pr_bill_book_t *book, pr_bill_batch_t *batch,
			pr_bill_role_t role)
{
	pr_list_remove(&batch->list);
	book->role_counts[batch->role]--;
	batch->role = (uint8_t)role;
	pr_list_append(&book->roles[role], &batch->list);
	book->role_counts[role]++;
}

void pr_bill_batch_free(pr_bill_book_t *book, pr_bill_batch_t *batch)
{
	bool own = batch->role == PR_BILL_OWN;

	if (batch->role == PR_BILL_COLLECT)
		for (int i = 0; i < PR_BILL_HOLDERS; i++)
			if (batch->hosts[i] != PR_BILL_NOBODY)
				book->names[batch->hosts[i]]->collected--;
	*(own ? &book->pending.own_bytes : &book->pending.held_bytes) -=
		batch->bytes;
	book->role_counts[batch->role]--;
	pr_list_remove(&batch->list);
	pr_list_remove(&batch->unheld);
	pr_list_remove(&batch->waiting);
	pr_index_remove(&book->batches, &batch->node);
	free(batch->requests);
	free(batch);
}

void pr_bill_receive(pr_bill_book_t *book, pr_slice_t from,
		     const pr_bill_message_t *message, pr_usec_t now)
{
	uint16_t name = pr_bill_name(book, from);

	if (name == PR_BILL_NOBODY || name == book->self.name)
		return;
	if (message->kind == PR_BILL_MESSAGE_HOLD)
		pr_bill_hold(book, name, message, now);
	else if (message->kind == PR_BILL_MESSAGE_HELD)
		pr_bill_held(book, name, message, now);
	else if (message->kind == PR_BILL_MESSAGE_WAITING)
		book->names[name]->waiting_at = now;
	else
		pr_bill_stored(book, message);
}

void pr_bill_stop(pr_bill_book_t *book, pr_usec_t now)
{
	book->stopping = true;
	book->gap = book->options.commit_gap;
	/* The next try of an outage may come after the deadline. */
	if (book->next_commit > now + book->gap)
		book->next_commit = now + book->gap;
	pr_timers_unsubscribe(book->options.timers, &book->write);
	pr_bill_flush(book, now);
	pr_bill_hand_over(book, now);
	pr_bill_write_soon(book, now);
}

pr_bill_pending_t pr_bill_pending(const pr_bill_book_t *book)
{
	pr_bill_pending_t pending = book->pending;
	const pr_list_t *node;

	pending.own = book->role_counts[PR_BILL_OWN] + (book->open_count > 0);
	pending.held = book->role_counts[PR_BILL_COLLECT] +
		       book->role_counts[PR_BILL_SECOND];
	for (node = book->unheld.next; node != &book->unheld;
	     node = node->next) {
		const pr_bill_batch_t *batch =
			PR_OWNER(node, pr_bill_batch_t, unheld);

		pending.unheld +=
			!batch->acknowledged[0] && !batch->acknowledged[1];
	}
	return pending;
}

const pr_bill_counters_t *pr_bill_counters(const pr_bill_book_t *book)
{
	return &book->counters;
}
