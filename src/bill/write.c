/*
 * Writes to the store. One commit of a host is under way at a time; commits
 * are at least commit_gap apart, so the fleet's write rate has a bound.
 */
#include "bill/internal.h"

/* Batches looked at in one pass for a silent collector. */
#define FALLBACK_SCAN 256
/* Period of "waiting for the store" to those who would write otherwise. */
#define NOTICE_PERIOD (2 * PR_USEC_PER_SEC)

static void write_expired(pr_timer_t *timer, pr_usec_t now);

static bool any_batch(const pr_bill_book_t *book)
{
	for (int i = 0; i < PR_BILL_ROLES; i++)
		if (book->role_counts[i])
			return true;
	return false;
}

void pr_bill_write_soon(pr_bill_book_t *book, pr_usec_t now)
{
	if (book->write.next || !any_batch(book))
		return;
	pr_bill_arm(book, &book->write, now, book->gap, write_expired);
}

static void take(pr_bill_book_t *book, pr_bill_batch_t *batch)
{
	batch->in_commit = true;
	book->committing[book->committing_count++] = batch;
	pr_list_remove(&batch->list);
	pr_list_append(&book->roles[batch->role], &batch->list);
}

static pr_bill_batch_t *oldest(const pr_bill_book_t *book, pr_bill_role_t role)
{
	if (pr_list_empty(&book->roles[role]))
		return NULL;
	return PR_OWNER(book->roles[role].next, pr_bill_batch_t, list);
}

static void take_collected(pr_bill_book_t *book, pr_usec_t now)
{
	const pr_bill_batch_t *first = oldest(book, PR_BILL_COLLECT);
	size_t count = book->role_counts[PR_BILL_COLLECT];

	if (!first || (!book->stopping && count < PR_STORE_OPS_MAX &&
		       first->created + book->options.collect_wait > now))
		return;
	while (count-- && book->committing_count < PR_STORE_OPS_MAX)
		take(book, oldest(book, PR_BILL_COLLECT));
}

/* True when the writer before this host has been silent for too long. */
static bool is_due(const pr_bill_book_t *book, const pr_bill_batch_t *batch,
		   pr_usec_t now)
{
	bool own = batch->role == PR_BILL_OWN;
	uint16_t collector = batch->hosts[own ? 0 : 1];
	pr_usec_t since = batch->created;

	if (book->stopping)
		return true;
	if (collector != PR_BILL_NOBODY &&
	    book->names[collector]->waiting_at > since)
		since = book->names[collector]->waiting_at;
	return since + (own ? book->options.entry_wait
			    : book->options.second_wait) <=
	       now;
}

static void take_silent(pr_bill_book_t *book, pr_bill_role_t role,
			pr_usec_t now)
{
	pr_usec_t wait = role == PR_BILL_OWN ? book->options.entry_wait
					     : book->options.second_wait;
	size_t count = book->role_counts[role];

	for (int i = 0; i < FALLBACK_SCAN && count--; i++) {
		pr_bill_batch_t *batch = oldest(book, role);

		if (book->committing_count == PR_STORE_OPS_MAX)
			return;
		/* The list is sorted by age but for batches put off. */
		if (!book->stopping && batch->created + wait > now)
			return;
		if (is_due(book, batch, now)) {
			take(book, batch);
			continue;
		}
		pr_list_remove(&batch->list);
		pr_list_append(&book->roles[role], &batch->list);
	}
}

static void commit(pr_bill_book_t *book, pr_usec_t now)
{
	pr_store_op_t ops[PR_STORE_OPS_MAX];
	pr_str_t keys[PR_STORE_OPS_MAX] = { { NULL, 0, 0 } };

	for (size_t i = 0; i < book->committing_count; i++) {
		const pr_bill_batch_t *batch = book->committing[i];

		ops[i] = (pr_store_op_t){
			.table = PR_BILL_TABLE,
			.key = pr_bill_id(batch),
			.condition = PR_STORE_IF_ABSENT,
			.value = pr_bill_value(batch),
		};
		if (book->options.test_fresh_keys &&
		    !pr_str_appendf(&keys[i], "%.*s#%s", (int)batch->id_len,
				    batch->text, book->options.host))
			ops[i].key = pr_str_slice(&keys[i]);
	}
	book->tag = ++book->next_tag;
	book->counters.commits++;
	book->next_commit = now + book->gap;
	book->options.ops->commit(book->options.data, ops,
				  book->committing_count, book->tag);
	for (size_t i = 0; i < book->committing_count; i++)
		pr_str_finish(&keys[i]);
}

/*
 * While the store is down, and while a backlog is written afterwards, others
 * must not write in this host's place: the fleet together would exceed the
 * write budget.
 */
static void notice(pr_bill_book_t *book, pr_usec_t now)
{
	const pr_bill_batch_t *first = oldest(book, PR_BILL_COLLECT);
	pr_bill_message_t message = {
		.kind = PR_BILL_MESSAGE_WAITING,
		.batch = PR_SLICE(""),
	};

	if (!first || now < book->next_notice ||
	    (!book->failing &&
	     first->created + 2 * book->options.collect_wait > now))
		return;
	book->next_notice = now + NOTICE_PERIOD;
	for (uint16_t i = 1; i < book->names_count; i++)
		if (book->names[i]->collected && book->names[i]->live)
			book->options.ops->send(
				book->options.data,
				pr_slice_of(book->names[i]->text), &message);
}

static void write_expired(pr_timer_t *timer, pr_usec_t now)
{
	pr_bill_book_t *book = timer->data;

	notice(book, now);
	if (!book->tag && now >= book->next_commit) {
		take_collected(book, now);
		if (book->stopping || now >= book->next_fallback) {
			size_t collected = book->committing_count;

			take_silent(book, PR_BILL_SECOND, now);
			take_silent(book, PR_BILL_OWN, now);
			if (book->committing_count > collected)
				book->next_fallback =
					now + book->options.fallback_gap;
		}
		if (book->committing_count)
			commit(book, now);
	}
	pr_bill_write_soon(book, now);
}

/* Tells one host of all rows of the commit that concern it. */
static void announce_to(pr_bill_book_t *book, uint16_t name)
{
	pr_str_t ids = PR_STR_INIT;
	pr_bill_message_t message = { .kind = PR_BILL_MESSAGE_STORED };
	int err = 0;

	for (size_t i = 0; i < book->committing_count; i++) {
		const pr_bill_batch_t *batch = book->committing[i];

		if (batch->hosts[0] == name || batch->hosts[1] == name)
			err |= pr_str_appendf(&ids, "%.*s\n",
					      (int)batch->id_len, batch->text);
	}
	message.batch = pr_str_slice(&ids);
	/* Without the message the others write again, which is harmless. */
	if (!err)
		book->options.ops->send(book->options.data,
					pr_slice_of(book->names[name]->text),
					&message);
	pr_str_finish(&ids);
}

static void announce(pr_bill_book_t *book)
{
	uint16_t told[PR_STORE_OPS_MAX * PR_BILL_HOLDERS];
	size_t count = 0;

	for (size_t i = 0; i < book->committing_count * PR_BILL_HOLDERS; i++) {
		const pr_bill_batch_t *batch =
			book->committing[i / PR_BILL_HOLDERS];
		uint16_t name = batch->hosts[i % PR_BILL_HOLDERS];
		bool known = name == PR_BILL_NOBODY || name == book->self.name;

		for (size_t j = 0; j < count && !known; j++)
			known = told[j] == name;
		if (known)
			continue;
		told[count++] = name;
		announce_to(book, name);
	}
}

static void confirm(pr_bill_book_t *book, const pr_store_result_t *results)
{
	book->failing = false;
	book->gap = book->options.commit_gap;
	announce(book);
	for (size_t i = 0; i < book->committing_count; i++) {
		pr_bill_batch_t *batch = book->committing[i];

		if (results[i].applied)
			book->counters.rows_written++;
		else
			book->counters.rows_existed++;
		pr_bill_release(book, batch, true);
		pr_bill_batch_free(book, batch);
	}
}

static void put_back(pr_bill_book_t *book, pr_usec_t now)
{
	book->failing = true;
	/* A stopping host has until its deadline only. */
	if (!book->stopping && book->gap < book->options.retry_max)
		book->gap *= 2;
	book->next_commit = now + book->gap;
	for (size_t i = 0; i < book->committing_count; i++) {
		pr_bill_batch_t *batch = book->committing[i];

		batch->in_commit = false;
		if (batch->stored)
			pr_bill_batch_free(book, batch);
	}
}

void pr_bill_committed(pr_bill_book_t *book, uint64_t tag,
		       pr_store_status_t status,
		       const pr_store_result_t *results, size_t count,
		       pr_usec_t now)
{
	if (!book->tag || tag != book->tag)
		return;
	if (status == PR_STORE_ANSWERED && count == book->committing_count)
		confirm(book, results);
	else
		put_back(book, now);
	book->tag = 0;
	book->committing_count = 0;
	pr_bill_hand_over(book, now);
	pr_bill_write_soon(book, now);
}
