/* The monotonic holder of the accepted configuration. */
#include <stdio.h>
#include <stdlib.h>

#include "pistachiorack/config_holder.h"
#include "pistachiorack/error.h"

pr_config_t *pr_config_ref(pr_config_t *config)
{
	config->references++;
	return config;
}

void pr_config_unref(pr_config_t *config)
{
	if (!config || --config->references)
		return;
	pr_fleet_free(config->fleet);
	free(config);
}

int pr_config_holder_init(pr_config_holder_t *holder,
			  const pr_config_holder_options_t *options,
			  const pr_config_holder_ops_t *ops, void *data,
			  pr_usec_t now)
{
	memset(holder, 0, sizeof(*holder));
	if (options->version != PR_CONFIG_HOLDER_OPTIONS_VERSION ||
	    options->poll <= 0 || options->stale_after <= options->poll)
		return pr_error_set(PR_EINVALID,
				    "configuration holder options are not "
				    "valid");
	holder->options = *options;
	holder->ops = ops;
	holder->data = data;
	holder->read_at = now - options->poll;
	return 0;
}

void pr_config_holder_finish(pr_config_holder_t *holder)
{
	pr_config_unref(holder->current);
	holder->current = NULL;
}

uint64_t pr_config_holder_version(const pr_config_holder_t *holder)
{
	return holder->current ? holder->current->version : 0;
}

pr_usec_t pr_config_holder_age(const pr_config_holder_t *holder, pr_usec_t now)
{
	return holder->ever_confirmed ? now - holder->confirmed_at
				      : PR_USEC_NEVER;
}

static void update_state(pr_config_holder_t *holder, pr_usec_t now)
{
	pr_config_state_t state = PR_CONFIG_STALE;

	if (!holder->current)
		state = PR_CONFIG_NONE;
	else if (pr_config_holder_age(holder, now) <
		 holder->options.stale_after)
		state = PR_CONFIG_CONFIRMED;
	if (state == holder->state)
		return;
	holder->state = state;
	holder->ops->state_changed(holder->data, state);
}

static void confirm(pr_config_holder_t *holder, pr_usec_t as_of)
{
	if (holder->ever_confirmed && as_of <= holder->confirmed_at)
		return;
	holder->ever_confirmed = true;
	holder->confirmed_at = as_of;
}

void pr_config_holder_tick(pr_config_holder_t *holder, pr_usec_t now)
{
	const pr_config_holder_options_t *options = &holder->options;
	pr_usec_t since = now - holder->read_at;

	if (holder->reading && since >= options->read_timeout)
		holder->reading = false;
	if (!holder->reading &&
	    (since >= options->poll ||
	     (holder->read_now && since >= options->read_gap))) {
		holder->reading = true;
		holder->read_now = false;
		holder->read_at = now;
		holder->ops->read(holder->data, ++holder->read_id,
				  holder->row_version);
	}
	update_state(holder, now);
}

static void reject(pr_config_holder_t *holder, const pr_config_row_t *row,
		   const char *reason)
{
	if (holder->rejected_row == row->row_version)
		return;
	holder->rejected_row = row->row_version;
	holder->rejections++;
	holder->ops->rejected(holder->data, row->version, reason);
}

static pr_config_t *load(const pr_config_row_t *row)
{
	pr_findings_t findings = { 0 };
	pr_config_t *config = calloc(1, sizeof(*config));
	int rc;

	if (!config)
		return NULL;
	config->references = 1;
	config->version = row->version;
	rc = pr_slice_copy(config->change_id, sizeof(config->change_id),
			   row->change_id);
	if (!rc)
		rc = pr_fleet_parse(&config->fleet, "config/current",
				    row->text);
	if (!rc)
		rc = pr_fleet_check(&findings, config->fleet, row->text);
	pr_findings_finish(&findings);
	if (!rc)
		return config;
	pr_config_unref(config);
	return NULL;
}

/* @return true when the row's content is in force afterwards */
static bool accept_row(pr_config_holder_t *holder, const pr_config_row_t *row)
{
	uint64_t version = pr_config_holder_version(holder);
	pr_config_t *config;

	if (row->version > holder->newest)
		holder->newest = row->version;
	if (holder->current && row->version == version &&
	    pr_slice_equal(row->change_id,
			   pr_slice_of(holder->current->change_id))) {
		holder->row_version = row->row_version;
		return true;
	}
	if (holder->options.monotonic && row->version <= version) {
		holder->regressions++;
		reject(holder, row, "version is not above the current one");
		return false;
	}
	config = load(row);
	if (!config) {
		reject(holder, row, pr_error_last());
		return false;
	}
	pr_config_unref(holder->current);
	holder->current = config;
	holder->row_version = row->row_version;
	holder->ops->accepted(holder->data, config);
	return true;
}

void pr_config_holder_read_done(pr_config_holder_t *holder, uint64_t id,
				pr_config_read_t result,
				const pr_config_row_t *row, pr_usec_t now)
{
	bool current = false;

	/* The answer of a read that was given up proves nothing about now. */
	if (id != holder->read_id || !holder->reading)
		return;
	holder->reading = false;
	if (result == PR_CONFIG_READ_ROW)
		current = accept_row(holder, row);
	else if (result == PR_CONFIG_READ_SAME)
		current = holder->current != NULL;
	if (current)
		confirm(holder, holder->read_at);
	update_state(holder, now);
}

void pr_config_holder_peer(pr_config_holder_t *holder, uint64_t version,
			   pr_usec_t age, pr_usec_t asked_at, pr_usec_t now)
{
	uint64_t mine = pr_config_holder_version(holder);

	if (version > mine) {
		if (version > holder->newest)
			holder->newest = version;
		holder->read_now = true;
	} else if (version == mine && holder->current && age >= 0 &&
		   age < holder->options.stale_after) {
		confirm(holder, asked_at - age);
	}
	update_state(holder, now);
}
