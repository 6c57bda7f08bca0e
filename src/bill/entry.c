/* Entry-host side: bills to batches, batches to holders. */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "bill/internal.h"
#include "pistachiorack/error.h"

/* Longest names in one bill together, bytes. */
#define BILL_NAMES_MAX 1024
/* Period of the look at waiting answers and silent holders. */
#define TICK (10 * PR_USEC_PER_MSEC)
/* Batches looked at in one tick; the rest come in the next ones. */
#define TICK_SCAN 128
/* Distance of further tries once no answer waits any more. */
#define RETRY_SLOW PR_USEC_PER_SEC

static void flush_expired(pr_timer_t *timer, pr_usec_t now);
static void tick_expired(pr_timer_t *timer, pr_usec_t now);

bool pr_bill_has_room(const pr_bill_book_t *book)
{
	return book->pending.own_bytes + book->open.len + BILL_NAMES_MAX <
	       book->options.own_max;
}

/*
 * Batches leave at least batch_wait apart, which bounds the rows that a busy
 * host makes; a bill that comes later than that after the last batch does not
 * wait for others. The timer, even with no delay, runs after all requests that
 * are ready in this turn of the loop.
 */
static pr_usec_t flush_delay(const pr_bill_book_t *book, pr_usec_t now)
{
	pr_usec_t due = book->flushed + book->options.batch_wait;

	return due > now ? due - now : 0;
}

int pr_bill_add(pr_bill_book_t *book, const pr_bill_t *bill, pr_usec_t now)
{
	size_t most = sizeof(book->open_requests) / sizeof(uint64_t);
	json_t *json;
	char *text;
	int err = PR_ENOMEM;

	if (bill->workspace.len + bill->model.len + bill->version.len >
	    BILL_NAMES_MAX / 2)
		return pr_error_set(PR_EINVALID, "names of a bill");
	if (!pr_bill_has_room(book) || book->open_count >= most) {
		book->counters.refused_full++;
		return pr_error_set(PR_EFULL, "memory for bills is full");
	}
	json = json_pack("[Is%s%s%III]", (json_int_t)bill->request,
			 bill->workspace.ptr, bill->workspace.len,
			 bill->model.ptr, bill->model.len, bill->version.ptr,
			 bill->version.len, (json_int_t)bill->tokens_in,
			 (json_int_t)bill->tokens_out, (json_int_t)bill->price);
	if (!json)
		return pr_error_set(PR_EINVALID, "bill is not text");
	text = json_dumps(json, JSON_COMPACT);
	json_decref(json);
	if (text)
		err = pr_str_appendf(&book->open, "%s%s",
				     book->open_count ? "," : "", text);
	free(text);
	if (err)
		return err;
	book->open_requests[book->open_count++] = bill->request;
	book->counters.bills++;
	if (book->stopping || book->open_count >= book->options.batch_max)
		pr_bill_flush(book, now);
	else if (book->open_count == 1)
		pr_bill_arm(book, &book->flush, now, flush_delay(book, now),
			    flush_expired);
	return 0;
}

static void send_hold(pr_bill_book_t *book, const pr_bill_batch_t *batch,
		      unsigned int slot)
{
	uint16_t other = batch->hosts[!slot];
	pr_bill_message_t message = {
		.kind = PR_BILL_MESSAGE_HOLD,
		.batch = pr_bill_id(batch),
		.collect = slot == 0,
		.other = other != PR_BILL_NOBODY
				 ? pr_slice_of(book->names[other]->text)
				 : PR_SLICE(""),
		.count = batch->count,
		.value = pr_bill_value(batch),
	};

	if (batch->hosts[slot] != PR_BILL_NOBODY)
		book->options.ops->send(
			book->options.data,
			pr_slice_of(book->names[batch->hosts[slot]]->text),
			&message);
}

/* Without a live peer nobody can acknowledge, so no answer waits for it. */
static bool waits_in_vain(const pr_bill_book_t *book)
{
	return !book->peers_count && !pr_list_empty(&book->waiting);
}

static void arm_tick(pr_bill_book_t *book, pr_usec_t now)
{
	if (waits_in_vain(book))
		pr_bill_arm(book, &book->tick, now, 0, tick_expired);
	else if (!book->tick.next && (!pr_list_empty(&book->unheld) ||
				      !pr_list_empty(&book->waiting)))
		pr_bill_arm(book, &book->tick, now, TICK, tick_expired);
}

/* The open bills as a batch; NULL when memory is short. */
static pr_bill_batch_t *close_batch(pr_bill_book_t *book, pr_usec_t now)
{
	size_t size = book->open_count * sizeof(uint64_t);
	uint64_t *requests = malloc(size);
	pr_bill_batch_t *batch = NULL;
	pr_str_t value = PR_STR_INIT;
	char id[PR_BILL_ID_SIZE];

	snprintf(id, sizeof(id), "%s/%llu/%llu", book->options.host,
		 (unsigned long long)book->options.boot,
		 (unsigned long long)book->next_sequence);
	if (requests &&
	    !pr_str_appendf(&value, "{\"host\":\"%s\",\"boot\":%llu,",
			    book->options.host,
			    (unsigned long long)book->options.boot) &&
	    !pr_str_appendf(&value, "\"bills\":[%s]}",
			    pr_str_cstr(&book->open)))
		batch = pr_bill_batch_add(book, PR_BILL_OWN, pr_slice_of(id),
					  pr_str_slice(&value),
					  book->open_count, now);
	pr_str_finish(&value);
	if (!batch) {
		free(requests);
		return NULL;
	}
	memcpy(requests, book->open_requests, size);
	batch->requests = requests;
	book->next_sequence++;
	book->open_count = 0;
	pr_str_clear(&book->open);
	return batch;
}

void pr_bill_flush(pr_bill_book_t *book, pr_usec_t now)
{
	pr_bill_batch_t *batch;

	if (!book->open_count)
		return;
	pr_timers_unsubscribe(book->options.timers, &book->flush);
	batch = close_batch(book, now);
	if (!batch) {
		pr_bill_arm(book, &book->flush, now, TICK, flush_expired);
		return;
	}
	pr_list_append(&book->waiting, &batch->waiting);
	if (book->options.holders)
		pr_list_append(&book->unheld, &batch->unheld);
	batch->retry = now + book->options.ack_wait;
	book->flushed = now;
	for (unsigned int slot = 0; slot < book->options.holders; slot++)
		batch->hosts[slot] = book->first[slot];
	for (unsigned int slot = 0; slot < book->options.holders; slot++)
		if (batch->hosts[slot] != PR_BILL_NOBODY &&
		    book->names[batch->hosts[slot]]->full_until > now)
			batch->hosts[slot] =
				pr_bill_choose(book, slot, PR_BILL_NOBODY,
					       batch->hosts[!slot], now);
	for (unsigned int slot = 0; slot < book->options.holders; slot++)
		send_hold(book, batch, slot);
	arm_tick(book, now);
	pr_bill_write_soon(book, now);
}

static void flush_expired(pr_timer_t *timer, pr_usec_t now)
{
	pr_bill_flush(timer->data, now);
}

void pr_bill_release(pr_bill_book_t *book, pr_bill_batch_t *batch,
		     bool acknowledged)
{
	uint64_t *requests = batch->requests;

	if (!requests)
		return;
	batch->requests = NULL;
	pr_list_remove(&batch->waiting);
	if (!acknowledged)
		book->counters.unacknowledged += batch->count;
	for (size_t i = 0; i < batch->count; i++)
		book->options.ops->held(book->options.data, requests[i],
					acknowledged);
	free(requests);
}

/* Replaces the holders that are silent, or only the one that refused. */
static void ask_others(pr_bill_book_t *book, pr_bill_batch_t *batch,
		       uint16_t refused, pr_usec_t now)
{
	batch->retry =
		now + (batch->requests ? book->options.ack_wait : RETRY_SLOW);
	for (unsigned int slot = 0; slot < book->options.holders; slot++) {
		if (batch->acknowledged[slot] ||
		    (refused != PR_BILL_NOBODY &&
		     batch->hosts[slot] != refused))
			continue;
		batch->hosts[slot] =
			pr_bill_choose(book, slot, batch->hosts[slot],
				       batch->hosts[!slot], now);
		if (batch->hosts[slot] != PR_BILL_NOBODY)
			book->counters.other_holder++;
		send_hold(book, batch, slot);
	}
}

static void tick_expired(pr_timer_t *timer, pr_usec_t now)
{
	pr_bill_book_t *book = timer->data;
	pr_list_t *last = book->unheld.prev;
	pr_list_t *node = &book->unheld;
	pr_list_t *next = book->unheld.next;

	while (!pr_list_empty(&book->waiting)) {
		pr_bill_batch_t *batch =
			PR_OWNER(book->waiting.next, pr_bill_batch_t, waiting);

		if (batch->created + book->options.held_wait > now &&
		    !waits_in_vain(book))
			break;
		pr_bill_release(book, batch, false);
	}
	for (int i = 0; i < TICK_SCAN && node != last; i++) {
		pr_bill_batch_t *batch =
			PR_OWNER(next, pr_bill_batch_t, unheld);

		node = next;
		next = next->next;
		if (batch->retry > now)
			continue;
		ask_others(book, batch, PR_BILL_NOBODY, now);
		pr_list_remove(&batch->unheld);
		pr_list_append(&book->unheld, &batch->unheld);
	}
	arm_tick(book, now);
}

void pr_bill_held(pr_bill_book_t *book, uint16_t from,
		  const pr_bill_message_t *message, pr_usec_t now)
{
	pr_bill_batch_t *batch = pr_bill_find(book, message->batch);
	bool all = true;

	if (!batch)
		return;
	if (batch->role != PR_BILL_OWN) {
		if (message->accepted)
			pr_bill_handed_over(book, batch);
		return;
	}
	if (!message->accepted) {
		book->names[from]->full_until = now + RETRY_SLOW;
		if (batch->hosts[0] == from || batch->hosts[1] == from)
			ask_others(book, batch, from, now);
		return;
	}
	for (unsigned int slot = 0; slot < book->options.holders; slot++) {
		if (batch->hosts[slot] == from)
			batch->acknowledged[slot] = true;
		all = all && batch->acknowledged[slot];
	}
	if (all)
		pr_list_remove(&batch->unheld);
	pr_bill_release(book, batch, true);
}

/* Have a holder of an own batch replaced. */
static void drop_holder(pr_bill_book_t *book, pr_bill_batch_t *batch,
			unsigned int slot, pr_usec_t now)
{
	batch->acknowledged[slot] = false;
	batch->hosts[slot] = PR_BILL_NOBODY;
	batch->retry = now;
	if (pr_list_empty(&batch->unheld))
		pr_list_append(&book->unheld, &batch->unheld);
}

void pr_bill_give_back(pr_bill_book_t *book, pr_bill_batch_t *batch,
		       uint16_t from, pr_usec_t now)
{
	for (unsigned int i = 0; i < book->options.holders; i++)
		if (batch->hosts[i] == from)
			drop_holder(book, batch, i, now);
	arm_tick(book, now);
}

void pr_bill_replace_holders(pr_bill_book_t *book, pr_usec_t now)
{
	pr_list_t *node;

	for (node = book->roles[PR_BILL_OWN].next;
	     node != &book->roles[PR_BILL_OWN]; node = node->next) {
		pr_bill_batch_t *batch = PR_OWNER(node, pr_bill_batch_t, list);

		for (unsigned int i = 0; i < book->options.holders; i++) {
			if (book->names_count > batch->hosts[i] &&
			    batch->hosts[i] != PR_BILL_NOBODY &&
			    book->names[batch->hosts[i]]->live)
				continue;
			drop_holder(book, batch, i, now);
		}
	}
	arm_tick(book, now);
}
