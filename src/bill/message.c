/* Messages bill_hold, bill_held, bill_waiting and bill_stored. */
#include "base/msgmap.h"
#include "pistachiorack/bill.h"
#include "pistachiorack/error.h"

static const char *const kind_names[] = {
	[PR_BILL_MESSAGE_HOLD] = "bill_hold",
	[PR_BILL_MESSAGE_HELD] = "bill_held",
	[PR_BILL_MESSAGE_WAITING] = "bill_waiting",
	[PR_BILL_MESSAGE_STORED] = "bill_stored",
};

int pr_bill_message_encode(pr_str_t *out, const pr_bill_message_t *message)
{
	msgpack_packer packer;
	bool hold = message->kind == PR_BILL_MESSAGE_HOLD;
	uint64_t flags =
		(message->collect ? 1 : 0) | (message->accepted ? 2 : 0);

	pr_msgmap_packer(&packer, out);
	if (msgpack_pack_map(&packer, hold ? 6 : 3) ||
	    pr_msgmap_pack_text(&packer, "type",
				pr_slice_of(kind_names[message->kind])) ||
	    pr_msgmap_pack_text(&packer, "batch", message->batch) ||
	    pr_msgmap_pack_number(&packer, "flags", flags))
		return pr_error_set(PR_ENOMEM, "no memory for a message");
	if (hold && (pr_msgmap_pack_text(&packer, "other", message->other) ||
		     pr_msgmap_pack_number(&packer, "count", message->count) ||
		     pr_msgmap_pack_text(&packer, "value", message->value)))
		return pr_error_set(PR_ENOMEM, "no memory for a message");
	return 0;
}

static int read_fields(pr_bill_message_t *out, const pr_msgmap_t *map)
{
	pr_slice_t type;
	uint64_t flags;
	int err = pr_msgmap_text(map, &type, "type");

	if (!err)
		err = pr_msgmap_text(map, &out->batch, "batch");
	if (!err)
		err = pr_msgmap_number(map, &flags, "flags");
	if (err)
		return err;
	out->collect = flags & 1;
	out->accepted = flags & 2;
	for (int i = PR_BILL_MESSAGE_HOLD; i <= PR_BILL_MESSAGE_STORED; i++)
		if (pr_slice_equal(type, pr_slice_of(kind_names[i])))
			out->kind = (pr_bill_message_kind_t)i;
	if (!out->kind)
		return pr_error_set(PR_EPARSE, "not a bill message");
	if (out->kind != PR_BILL_MESSAGE_HOLD)
		return 0;
	if (!out->batch.len || out->batch.len >= PR_BILL_ID_SIZE)
		return pr_error_set(PR_EPARSE, "batch id out of range");
	err = pr_msgmap_text(map, &out->other, "other");
	if (!err)
		err = pr_msgmap_number(map, &out->count, "count");
	if (!err)
		err = pr_msgmap_text(map, &out->value, "value");
	return err;
}

int pr_bill_message_decode(pr_bill_message_t *out, pr_slice_t bytes)
{
	pr_msgmap_t map;
	int err;

	memset(out, 0, sizeof(*out));
	err = pr_msgmap_init(&map, bytes);
	if (err)
		return err;
	err = read_fields(out, &map);
	pr_msgmap_finish(&map);
	return err;
}
