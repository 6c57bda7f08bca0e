/* Messages claim, claim_result and claim_done. */
#include "base/msgmap.h"
#include "pistachiorack/error.h"
#include "pistachiorack/once.h"

static const char *const kind_names[] = {
	[PR_ONCE_MESSAGE_CLAIM] = "claim",
	[PR_ONCE_MESSAGE_RESULT] = "claim_result",
	[PR_ONCE_MESSAGE_DONE] = "claim_done",
};

int pr_once_message_encode(pr_str_t *out, const pr_once_message_t *message)
{
	msgpack_packer packer;

	pr_msgmap_packer(&packer, out);
	if (msgpack_pack_map(&packer, 9) ||
	    pr_msgmap_pack_text(&packer, "type",
				pr_slice_of(kind_names[message->kind])) ||
	    pr_msgmap_pack_number(&packer, "request", message->request) ||
	    pr_msgmap_pack_number(&packer, "write", message->write) ||
	    pr_msgmap_pack_text(&packer, "key", message->key) ||
	    pr_msgmap_pack_text(&packer, "attempt", message->attempt) ||
	    pr_msgmap_pack_number(&packer, "version", message->version) ||
	    pr_msgmap_pack_number(&packer, "status", message->status) ||
	    pr_msgmap_pack_number(&packer, "applied", message->applied) ||
	    pr_msgmap_pack_text(&packer, "row", message->row))
		return pr_error_set(PR_ENOMEM, "no memory for a message");
	return 0;
}

static int read_fields(pr_once_message_t *out, const pr_msgmap_t *map)
{
	pr_slice_t type;
	uint64_t status, applied;
	int err = pr_msgmap_text(map, &type, "type");

	if (!err)
		err = pr_msgmap_number(map, &out->request, "request");
	if (!err)
		err = pr_msgmap_number(map, &out->write, "write");
	if (!err)
		err = pr_msgmap_text(map, &out->key, "key");
	if (!err)
		err = pr_msgmap_text(map, &out->attempt, "attempt");
	if (!err)
		err = pr_msgmap_number(map, &out->version, "version");
	if (!err)
		err = pr_msgmap_number(map, &status, "status");
	if (!err)
		err = pr_msgmap_number(map, &applied, "applied");
	if (!err)
		err = pr_msgmap_text(map, &out->row, "row");
	if (err)
		return err;
	if (status > PR_STORE_UNKNOWN || out->key.len > PR_ONCE_KEY_MAX)
		return pr_error_set(PR_EPARSE, "claim message out of range");
	out->status = (pr_store_status_t)status;
	out->applied = applied != 0;
	for (int i = PR_ONCE_MESSAGE_CLAIM; i <= PR_ONCE_MESSAGE_DONE; i++) {
		if (!pr_slice_equal(type, pr_slice_of(kind_names[i])))
			continue;
		out->kind = (pr_once_message_kind_t)i;
		return 0;
	}
	return pr_error_set(PR_EPARSE, "not a claim message");
}

int pr_once_message_decode(pr_once_message_t *out, pr_slice_t bytes)
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
