/* Message `evidence`: MessagePack encoding, outbox of the sender and inbox of
 * the receiver. */
#include "base/msgpack_check.h"
#include "pistachiorack/rollout.h"

#include <msgpack.h>
#include <string.h>

#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"

static void pack_text(msgpack_packer *packer, const char *text)
{
	msgpack_pack_str_with_body(packer, text, strlen(text));
}

/* An item is the array [model, version, workspace, trials..., bad...] with one
 * number of trials and of bad outcomes for each signal. */
int pr_evidence_encode(pr_str_t *out, const pr_evidence_t *evidence)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;
	int err;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_map(&packer, 5);
	pack_text(&packer, "type");
	pack_text(&packer, "evidence");
	pack_text(&packer, "host");
	pack_text(&packer, evidence->host);
	pack_text(&packer, "boot");
	msgpack_pack_uint64(&packer, evidence->boot);
	pack_text(&packer, "seq");
	msgpack_pack_uint64(&packer, evidence->seq);
	pack_text(&packer, "items");
	msgpack_pack_array(&packer, evidence->items_count);
	for (unsigned int i = 0; i < evidence->items_count; i++) {
		const pr_evidence_item_t *item = &evidence->items[i];

		msgpack_pack_array(&packer, 3 + 2 * PR_SIGNALS);
		pack_text(&packer, item->model);
		pack_text(&packer, item->version);
		pack_text(&packer, item->workspace);
		for (int s = 0; s < PR_SIGNALS; s++)
			msgpack_pack_uint64(&packer, item->counts.trials[s]);
		for (int s = 0; s < PR_SIGNALS; s++)
			msgpack_pack_uint64(&packer, item->counts.bad[s]);
	}
	err = pr_str_append(out, buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
	return err;
}

static int parse_text(char out[PR_ROLLOUT_NAME_MAX],
		      const msgpack_object *value)
{
	if (value->type != MSGPACK_OBJECT_STR)
		return PR_EPARSE;
	return pr_slice_copy(out, PR_ROLLOUT_NAME_MAX,
			     pr_slice(value->via.str.ptr, value->via.str.size));
}

static int parse_number(uint64_t *out, const msgpack_object *value)
{
	if (value->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return PR_EPARSE;
	*out = value->via.u64;
	return 0;
}

static int parse_item(pr_evidence_item_t *item, const msgpack_object *value)
{
	const msgpack_object *parts = value->via.array.ptr;
	int err;

	if (value->type != MSGPACK_OBJECT_ARRAY ||
	    value->via.array.size != 3 + 2 * PR_SIGNALS)
		return PR_EPARSE;
	err = parse_text(item->model, &parts[0]);
	if (!err)
		err = parse_text(item->version, &parts[1]);
	if (!err)
		err = parse_text(item->workspace, &parts[2]);
	for (int s = 0; !err && s < PR_SIGNALS; s++) {
		err = parse_number(&item->counts.trials[s], &parts[3 + s]);
		if (!err)
			err = parse_number(&item->counts.bad[s],
					   &parts[3 + PR_SIGNALS + s]);
		if (!err && item->counts.bad[s] > item->counts.trials[s])
			err = PR_EPARSE;
	}
	return err;
}

static int parse_items(pr_evidence_t *evidence, const msgpack_object *value)
{
	int err = 0;

	if (value->type != MSGPACK_OBJECT_ARRAY ||
	    value->via.array.size > PR_EVIDENCE_ITEMS_MAX)
		return PR_EPARSE;
	evidence->items_count = value->via.array.size;
	for (unsigned int i = 0; !err && i < evidence->items_count; i++)
		err = parse_item(&evidence->items[i], &value->via.array.ptr[i]);
	return err;
}

static int parse_field(void *data, const msgpack_object_kv *field)
{
	pr_evidence_t *evidence = data;
	pr_slice_t key;

	if (field->key.type != MSGPACK_OBJECT_STR)
		return PR_EPARSE;
	key = pr_slice(field->key.via.str.ptr, field->key.via.str.size);
	if (pr_slice_equal(key, PR_SLICE("host")))
		return parse_text(evidence->host, &field->val);
	if (pr_slice_equal(key, PR_SLICE("boot")))
		return parse_number(&evidence->boot, &field->val);
	if (pr_slice_equal(key, PR_SLICE("seq")))
		return parse_number(&evidence->seq, &field->val);
	if (pr_slice_equal(key, PR_SLICE("items")))
		return parse_items(evidence, &field->val);
	return 0;
}

int pr_evidence_decode(pr_evidence_t *evidence, pr_slice_t message)
{
	int err;

	memset(evidence, 0, sizeof(*evidence));
	err = pr_msgpack_each_field(message, parse_field, evidence);
	if (!err && evidence->host[0] && evidence->seq)
		return 0;
	return pr_error_set(PR_EPARSE, "malformed evidence message");
}

void pr_evidence_outbox_init(pr_evidence_outbox_t *outbox, pr_slice_t host,
			     uint64_t boot)
{
	memset(outbox, 0, sizeof(*outbox));
	pr_slice_copy(outbox->pending.host, PR_ROLLOUT_NAME_MAX, host);
	outbox->pending.boot = boot;
}

static pr_evidence_item_t *find_item(pr_evidence_t *evidence, pr_slice_t model,
				     pr_slice_t version, pr_slice_t workspace)
{
	for (unsigned int i = 0; i < evidence->items_count; i++) {
		pr_evidence_item_t *item = &evidence->items[i];

		if (pr_slice_equal(pr_slice_of(item->model), model) &&
		    pr_slice_equal(pr_slice_of(item->version), version) &&
		    pr_slice_equal(pr_slice_of(item->workspace), workspace))
			return item;
	}
	return NULL;
}

void pr_evidence_outbox_add(pr_evidence_outbox_t *outbox, pr_slice_t model,
			    pr_slice_t version, pr_slice_t workspace,
			    const pr_outcome_counts_t *counts)
{
	pr_evidence_t *pending = &outbox->pending;
	pr_evidence_item_t *item =
		find_item(pending, model, version, workspace);

	if (!item && pending->items_count < PR_EVIDENCE_ITEMS_MAX) {
		item = &pending->items[pending->items_count];
		memset(item, 0, sizeof(*item));
		if (!pr_slice_copy(item->model, sizeof(item->model), model) &&
		    !pr_slice_copy(item->version, sizeof(item->version),
				   version) &&
		    !pr_slice_copy(item->workspace, sizeof(item->workspace),
				   workspace))
			pending->items_count++;
		else
			item = NULL;
	}
	if (!item) {
		outbox->dropped++;
		return;
	}
	pr_outcome_counts_add(&item->counts, counts);
}

const pr_evidence_t *pr_evidence_outbox_next(pr_evidence_outbox_t *outbox)
{
	if (outbox->in_flight)
		return &outbox->sent;
	if (!outbox->pending.items_count)
		return NULL;
	outbox->pending.seq++;
	outbox->sent = outbox->pending;
	outbox->pending.items_count = 0;
	outbox->in_flight = true;
	return &outbox->sent;
}

void pr_evidence_outbox_acked(pr_evidence_outbox_t *outbox, uint64_t seq)
{
	if (outbox->in_flight && outbox->sent.seq == seq)
		outbox->in_flight = false;
}

/* Returns the entry of a host. When the inbox is full, entries are replaced in
 * turn. */
static pr_evidence_seen_t *find_or_add_seen(pr_evidence_inbox_t *inbox,
					    uint64_t host)
{
	pr_evidence_seen_t *seen;

	for (unsigned int i = 0; i < inbox->count; i++)
		if (inbox->seen[i].host == host)
			return &inbox->seen[i];
	if (inbox->count < PR_EVIDENCE_HOSTS_MAX) {
		seen = &inbox->seen[inbox->count++];
	} else {
		seen = &inbox->seen[inbox->next];
		inbox->next = (inbox->next + 1) % PR_EVIDENCE_HOSTS_MAX;
	}
	*seen = (pr_evidence_seen_t){ .host = host };
	return seen;
}

bool pr_evidence_receive(pr_evidence_inbox_t *inbox, pr_rollout_t *rollout,
			 const pr_evidence_t *evidence)
{
	pr_evidence_seen_t *seen = find_or_add_seen(
		inbox, pr_hash64(evidence->host, strlen(evidence->host), 0));
	int boot = seen->boot[1] == evidence->boot && seen->seq[1] ? 1 : 0;

	if (!boot && seen->boot[0] != evidence->boot) {
		seen->boot[1] = seen->boot[0];
		seen->seq[1] = seen->seq[0];
		seen->boot[0] = evidence->boot;
		seen->seq[0] = 0;
	}
	if (evidence->seq <= seen->seq[boot]) {
		inbox->duplicates++;
		return false;
	}
	seen->seq[boot] = evidence->seq;
	for (unsigned int i = 0; i < evidence->items_count; i++) {
		const pr_evidence_item_t *item = &evidence->items[i];

		pr_rollout_add_counts(rollout, pr_slice_of(item->model),
				      pr_slice_of(item->version),
				      pr_slice_of(item->workspace),
				      &item->counts);
	}
	return true;
}
