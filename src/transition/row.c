/* Encoding of the row with the state of a transition that the hosts share. */
#include "base/msgmap.h"
#include "pistachiorack/error.h"
#include "transition/transition.h"

int pr_transition_row_pack(pr_str_t *out, const pr_transition_row_t *row)
{
	msgpack_packer packer;
	int rc;

	pr_msgmap_packer(&packer, out);
	rc = msgpack_pack_map(&packer, 6);
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "order", row->order);
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "state",
					   (uint64_t)row->state);
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "began",
					   (uint64_t)row->began_ms);
	if (!rc)
		rc = pr_msgmap_pack_text(&packer, "withdrawn",
					 pr_slice_of(row->withdrawn));
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "verified",
					   (uint64_t)row->verified_ms);
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "load_verified",
					   (uint64_t)row->load_verified_ms);
	return rc ? pr_error_set(PR_ENOMEM, "out of memory while packing the "
					    "state of a transition")
		  : 0;
}

int pr_transition_row_unpack(pr_transition_row_t *out, pr_slice_t bytes)
{
	pr_msgmap_t map;
	uint64_t order = 0, state = 0, began = 0, verified = 0;
	uint64_t load_verified = 0;
	pr_slice_t withdrawn;
	int rc;

	if (pr_msgmap_init(&map, bytes))
		return PR_EPARSE;
	rc = pr_msgmap_number(&map, &order, "order");
	if (!rc)
		rc = pr_msgmap_number(&map, &state, "state");
	if (!rc)
		rc = pr_msgmap_number(&map, &began, "began");
	if (!rc && state > PR_ROLLOUT_WITHDRAWN)
		rc = pr_error_set(
			PR_EPARSE, "transition state is %llu, expected 0 to %d",
			(unsigned long long)state, PR_ROLLOUT_WITHDRAWN);
	out->withdrawn[0] = '\0';
	/* Rows of earlier releases do not have these fields. */
	if (!rc && pr_msgmap_number(&map, &verified, "verified"))
		verified = 0;
	if (!rc && pr_msgmap_number(&map, &load_verified, "load_verified"))
		load_verified = 0;
	if (!rc && !pr_msgmap_text(&map, &withdrawn, "withdrawn"))
		rc = pr_slice_copy(out->withdrawn, sizeof(out->withdrawn),
				   withdrawn);
	pr_msgmap_finish(&map);
	out->order = order;
	out->state = (pr_rollout_state_t)state;
	out->began_ms = (int64_t)began;
	out->verified_ms = (int64_t)verified;
	out->load_verified_ms = (int64_t)load_verified;
	return rc;
}
