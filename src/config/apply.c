/* The state machine behind pistachiorackctl apply. */
#include "pistachiorack/config_apply.h"

#include <stdlib.h>

#include "pistachiorack/error.h"

int pr_apply_init(pr_apply_t *apply, const pr_apply_ops_t *ops, void *data,
		  pr_slice_t change_id, pr_slice_t text,
		  uint64_t expected_version, pr_usec_t deadline)
{
	pr_findings_t findings = { 0 };
	int rc;

	memset(apply, 0, sizeof(*apply));
	apply->ops = ops;
	apply->data = data;
	apply->expected_version = expected_version;
	apply->deadline = deadline;
	apply->asked_at = -PR_APPLY_ANSWER_TIMEOUT;
	if (!change_id.len || memchr(change_id.ptr, ',', change_id.len) ||
	    pr_slice_copy(apply->change_id, sizeof(apply->change_id),
			  change_id))
		return pr_error_set(PR_EINVALID, "change id is not valid");
	rc = pr_str_append(&apply->text, text.ptr, text.len);
	if (!rc)
		rc = pr_fleet_parse(&apply->wanted, "document", text);
	if (!rc)
		rc = pr_fleet_check(&findings, apply->wanted, text);
	pr_findings_finish(&findings);
	return rc;
}

void pr_apply_finish(pr_apply_t *apply)
{
	pr_changes_finish(&apply->clashes);
	pr_fleet_free(apply->base);
	pr_fleet_free(apply->wanted);
	pr_str_finish(&apply->text);
	pr_str_finish(&apply->previous);
	free(apply->hosts);
	memset(apply, 0, sizeof(*apply));
}

int pr_apply_expect(pr_apply_t *apply, pr_slice_t host)
{
	pr_apply_host_t *hosts = realloc(
		apply->hosts, (apply->hosts_count + 1) * sizeof(*hosts));

	if (!hosts)
		return PR_ENOMEM;
	apply->hosts = hosts;
	memset(&hosts[apply->hosts_count], 0, sizeof(*hosts));
	if (pr_slice_copy(hosts[apply->hosts_count].name, sizeof(hosts[0].name),
			  host))
		return pr_error_set(PR_EINVALID, "host name is too long");
	apply->hosts_count++;
	return 0;
}

static void finish(pr_apply_t *apply, pr_apply_result_t result)
{
	apply->state = PR_APPLY_DONE;
	apply->result = result;
	apply->waiting = false;
}

static void step(pr_apply_t *apply, pr_apply_state_t state)
{
	apply->state = state;
	apply->waiting = false;
	/* The next tick takes the step at once. */
	apply->asked_at = -PR_APPLY_ANSWER_TIMEOUT;
}

static void conflict(pr_apply_t *apply, const pr_config_row_t *row)
{
	pr_changes_t mine = { 0 }, theirs = { 0 };
	pr_fleet_t *other = NULL;

	apply->other_version = row->version;
	if (!pr_fleet_parse(&other, "config/current", row->text) &&
	    !pr_fleet_diff(&mine, apply->have_base ? apply->base : other,
			   apply->wanted)) {
		/* Without the common base every differing path may clash. */
		if (!apply->have_base) {
			apply->clashes = mine;
			memset(&mine, 0, sizeof(mine));
		} else if (!pr_fleet_diff(&theirs, apply->base, other)) {
			pr_changes_clash(&apply->clashes, &mine, &theirs);
		}
	}
	pr_changes_finish(&mine);
	pr_changes_finish(&theirs);
	pr_fleet_free(other);
	finish(apply, PR_APPLY_CONFLICT);
}

static void written(pr_apply_t *apply, uint64_t version)
{
	apply->version = version;
	step(apply, PR_APPLY_CONFIRM);
}

/* Remember the row that the change is made on. */
static int take_base(pr_apply_t *apply, const pr_config_row_t *row)
{
	int ids = 1, rc;
	size_t len = 0;

	apply->have_base = true;
	apply->base_row = row ? row->row_version : 0;
	apply->base_version = row ? row->version : 0;
	if (!row)
		return 0;
	pr_fleet_free(apply->base);
	apply->base = NULL;
	/* A base that cannot be parsed counts as an empty document. */
	pr_fleet_parse(&apply->base, "config/current", row->text);
	pr_str_clear(&apply->previous);
	rc = pr_str_append(&apply->previous, row->change_id.ptr,
			   row->change_id.len);
	for (; len < row->previous.len; len++)
		if (row->previous.ptr[len] == ',' && ++ids == PR_CHANGES_KEPT)
			break;
	if (!rc && len)
		rc = pr_str_append(&apply->previous, ",", 1);
	if (!rc && len)
		rc = pr_str_append(&apply->previous, row->previous.ptr, len);
	return rc;
}

/*
 * The row as it is now. It has the change, or the base unchanged, or something
 * else, in which case the change was not and will not be written: its
 * condition does not hold any more.
 */
static void look_at(pr_apply_t *apply, const pr_config_row_t *row)
{
	pr_slice_t id = pr_slice_of(apply->change_id);

	if (row && pr_config_row_has(row, id)) {
		written(apply, apply->have_base ? apply->base_version + 1
						: row->version);
		return;
	}
	if (!apply->have_base) {
		if (apply->expected_version &&
		    (!row || row->version != apply->expected_version)) {
			if (row)
				conflict(apply, row);
			else
				finish(apply, PR_APPLY_CONFLICT);
			return;
		}
		if (take_base(apply, row)) {
			finish(apply, PR_APPLY_FAILED);
			return;
		}
	} else if ((row ? row->row_version : 0) != apply->base_row) {
		if (row && row->version > apply->base_version + PR_CHANGES_KEPT)
			finish(apply, PR_APPLY_UNKNOWN);
		else if (row)
			conflict(apply, row);
		else
			finish(apply, PR_APPLY_UNKNOWN);
		return;
	}
	step(apply, PR_APPLY_COMMIT);
}

void pr_apply_read_done(pr_apply_t *apply, uint64_t id, pr_config_read_t result,
			const pr_config_row_t *row, pr_usec_t now)
{
	if (id != apply->id || !apply->waiting ||
	    (apply->state != PR_APPLY_READ &&
	     apply->state != PR_APPLY_READ_BACK))
		return;
	apply->waiting = false;
	apply->asked_at = now;
	if (result == PR_CONFIG_READ_ROW)
		look_at(apply, row);
	else if (result == PR_CONFIG_READ_ABSENT)
		look_at(apply, NULL);
}

void pr_apply_commit_done(pr_apply_t *apply, uint64_t id,
			  pr_commit_result_t result, const pr_config_row_t *row,
			  pr_usec_t now)
{
	if (id != apply->id || !apply->waiting ||
	    apply->state != PR_APPLY_COMMIT)
		return;
	if (result == PR_COMMIT_APPLIED) {
		written(apply, apply->base_version + 1);
	} else if (result == PR_COMMIT_REFUSED) {
		apply->waiting = false;
		look_at(apply, row);
	} else {
		step(apply, PR_APPLY_READ_BACK);
		/* Leaves the store time to finish what it may be doing. */
		apply->asked_at = now;
	}
}

static void commit(pr_apply_t *apply)
{
	pr_config_row_t row = {
		.row_version = apply->base_row,
		.version = apply->base_version + 1,
		.change_id = pr_slice_of(apply->change_id),
		.previous = pr_str_slice(&apply->previous),
		.text = pr_str_slice(&apply->text),
		.reason = apply->reason,
	};

	apply->commit_sent = true;
	apply->ops->commit(apply->data, apply->id, &row);
}

static unsigned int missing(const pr_apply_t *apply)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < apply->hosts_count; i++)
		count += !apply->hosts[i].confirmed;
	return count;
}

static void deadline_passed(pr_apply_t *apply)
{
	if (apply->state == PR_APPLY_CONFIRM)
		finish(apply, PR_APPLY_NOT_CONFIRMED);
	else
		finish(apply,
		       apply->commit_sent ? PR_APPLY_UNKNOWN : PR_APPLY_FAILED);
}

void pr_apply_tick(pr_apply_t *apply, pr_usec_t now)
{
	pr_usec_t since = now - apply->asked_at;

	if (apply->state == PR_APPLY_DONE)
		return;
	/* Without a host that is expected to confirm, nobody has confirmed. */
	if (apply->state == PR_APPLY_CONFIRM && !missing(apply)) {
		finish(apply, apply->hosts_count ? PR_APPLY_CONFIRMED
						 : PR_APPLY_NOT_CONFIRMED);
		return;
	}
	if (now >= apply->deadline) {
		deadline_passed(apply);
		return;
	}
	if (apply->waiting && since >= PR_APPLY_ANSWER_TIMEOUT) {
		apply->waiting = false;
		if (apply->state == PR_APPLY_COMMIT)
			apply->state = PR_APPLY_READ_BACK;
	}
	if (apply->waiting || since < PR_APPLY_RETRY)
		return;
	apply->asked_at = now;
	apply->id++;
	if (apply->state == PR_APPLY_CONFIRM) {
		apply->ops->ask_hosts(apply->data);
		return;
	}
	apply->waiting = true;
	if (apply->state == PR_APPLY_COMMIT)
		commit(apply);
	else
		apply->ops->read(apply->data, apply->id);
}

void pr_apply_host(pr_apply_t *apply, pr_slice_t host, uint64_t version,
		   bool fresh)
{
	for (unsigned int i = 0; i < apply->hosts_count; i++)
		if (apply->state == PR_APPLY_CONFIRM && fresh &&
		    version >= apply->version &&
		    pr_slice_equal(pr_slice_of(apply->hosts[i].name), host))
			apply->hosts[i].confirmed = true;
}
