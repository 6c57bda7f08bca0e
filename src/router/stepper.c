/* Applies the steps of roll-outs through the machine of config_apply.h. */
#include "router/stepper.h"

#include <stdlib.h>

#include "pistachiorack/config_apply.h"
#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"
#include "pistachiorack/log.h"
#include "pistachiorack/store_client.h"
#include "router/router.h"

#define TICK_EVERY    (100 * PR_USEC_PER_MSEC)
#define STORE_TIMEOUT (2 * PR_USEC_PER_SEC)
/* Given up after this time; it is concluded anew from the evidence then. */
#define APPLY_TIMEOUT (10 * PR_USEC_PER_SEC)
/* Calls are tagged with the number of the change above that of the call. */
#define ID_BITS 32

struct pr_stepper_t {
	pr_router_t *router;
	pr_apply_t apply;
	pr_rollout_change_t change;
	pr_timer_t tick;
	bool busy;
	uint64_t number;
	uint64_t results[PR_APPLY_UNKNOWN + 1];
};

static const char *const result_names[] = {
	[PR_APPLY_PENDING] = "pending",
	[PR_APPLY_CONFIRMED] = "written",
	[PR_APPLY_NOT_CONFIRMED] = "written",
	[PR_APPLY_CONFLICT] = "overtaken by another change",
	[PR_APPLY_FAILED] = "not written: the store does not answer",
	[PR_APPLY_UNKNOWN] = "outcome unknown",
};

static uint64_t tag_of(const pr_stepper_t *stepper, uint64_t id)
{
	return stepper->number << ID_BITS | id;
}

/* @return false for the answer to a call of an earlier change */
static bool id_of(const pr_stepper_t *stepper, uint64_t tag, uint64_t *id)
{
	*id = tag & UINT32_MAX;
	return stepper->busy && tag >> ID_BITS == stepper->number;
}

static void on_read(void *data, uint64_t tag, pr_store_status_t status,
		    const pr_store_result_t *results, size_t count)
{
	pr_stepper_t *stepper = data;
	pr_config_read_t result = PR_CONFIG_READ_FAILED;
	pr_str_t buffer = PR_STR_INIT;
	pr_config_row_t row;
	uint64_t id;

	if (!id_of(stepper, tag, &id))
		return;
	if (status == PR_STORE_ANSWERED && count && !results[0].version)
		result = PR_CONFIG_READ_ABSENT;
	else if (status == PR_STORE_ANSWERED && count &&
		 !pr_config_row_decode(&row, &buffer, results[0].version,
				       results[0].value))
		result = PR_CONFIG_READ_ROW;
	pr_apply_read_done(&stepper->apply, id, result, &row,
			   pr_router_now(stepper->router));
	pr_str_finish(&buffer);
}

static void read_row(void *data, uint64_t id)
{
	pr_stepper_t *stepper = data;

	pr_store_read(stepper->router->platform, "config", PR_SLICE("current"),
		      STORE_TIMEOUT, on_read, stepper, tag_of(stepper, id));
}

static void on_committed(void *data, uint64_t tag, pr_store_status_t status,
			 const pr_store_result_t *results, size_t count)
{
	pr_stepper_t *stepper = data;
	pr_commit_result_t result = PR_COMMIT_LOST;
	pr_str_t buffer = PR_STR_INIT;
	pr_config_row_t row;
	uint64_t id;

	if (!id_of(stepper, tag, &id))
		return;
	if (status == PR_STORE_ANSWERED && count && results[0].applied)
		result = PR_COMMIT_APPLIED;
	else if (status == PR_STORE_ANSWERED && count &&
		 !pr_config_row_decode(&row, &buffer, results[0].version,
				       results[0].value))
		result = PR_COMMIT_REFUSED;
	pr_apply_commit_done(&stepper->apply, id, result,
			     result == PR_COMMIT_REFUSED ? &row : NULL,
			     pr_router_now(stepper->router));
	pr_str_finish(&buffer);
}

static void commit(void *data, uint64_t id, const pr_config_row_t *row)
{
	pr_stepper_t *stepper = data;
	pr_str_t value = PR_STR_INIT;
	pr_store_op_t op = {
		.table = "config",
		.key = PR_SLICE("current"),
		.condition = PR_STORE_IF_VERSION,
		.version = row->row_version,
	};

	/* A commit that is not sent counts as lost after its timeout. */
	if (!pr_config_row_encode(&value, row)) {
		op.value = pr_str_slice(&value);
		pr_store_commit(stepper->router->platform, &op, 1,
				STORE_TIMEOUT, on_committed, stepper,
				tag_of(stepper, id));
	}
	pr_str_finish(&value);
}

/* The hosts confirm by themselves; a further step needs new evidence. */
static void ask_hosts(void *data)
{
}

static const pr_apply_ops_t apply_ops = {
	.read = read_row,
	.commit = commit,
	.ask_hosts = ask_hosts,
};

static void on_tick(pr_timer_t *timer, pr_usec_t now)
{
	pr_stepper_t *stepper = timer->data;
	pr_apply_result_t result;

	pr_apply_tick(&stepper->apply, now);
	result = stepper->apply.result;
	if (result == PR_APPLY_PENDING)
		return;
	pr_log(result == PR_APPLY_CONFIRMED ? PR_LOG_NOTICE : PR_LOG_WARNING,
	       "%s: %s", stepper->change.change_id, result_names[result]);
	stepper->results[result]++;
	stepper->busy = false;
	pr_timers_unsubscribe(&stepper->router->timers, timer);
	pr_apply_finish(&stepper->apply);
}

static pr_version_t *find_version(pr_fleet_t *fleet,
				  const pr_rollout_change_t *change)
{
	for (unsigned int m = 0; m < fleet->models_count; m++) {
		pr_model_t *model = &fleet->models[m];

		for (unsigned int v = 0; v < model->versions_count; v++)
			if (!strcmp(model->name, change->model) &&
			    !strcmp(model->versions[v].name, change->version))
				return &model->versions[v];
	}
	return NULL;
}

/* The document in force with the version's state and share changed. */
static int build_text(pr_str_t *out, const pr_fleet_t *fleet,
		      const pr_rollout_change_t *change)
{
	pr_str_t text = PR_STR_INIT;
	pr_fleet_t *copy = NULL;
	pr_version_t *version;
	int rc = pr_fleet_print(fleet, &text);

	if (!rc)
		rc = pr_fleet_parse(&copy, "config/current",
				    pr_str_slice(&text));
	pr_str_finish(&text);
	if (rc)
		return rc;
	version = find_version(copy, change);
	if (version) {
		version->state = change->to_state;
		version->share = change->to_share;
		rc = pr_fleet_print(copy, out);
	} else {
		rc = pr_error_set(PR_ENOTFOUND, "no version %s@%s",
				  change->model, change->version);
	}
	pr_fleet_free(copy);
	return rc;
}

/*
 * Hosts that conclude the same step from the same configuration use the same
 * id, so it is applied once. The version of the configuration is part of it:
 * a second roll-out of a version takes the same steps anew.
 */
static void build_id(char out[PR_CHANGE_ID_SIZE],
		     const pr_rollout_change_t *change, uint64_t version)
{
	uint64_t hash = pr_hash64(change->change_id, strlen(change->change_id),
				  version);

	snprintf(out, PR_CHANGE_ID_SIZE, "rollout-%llu-%016llx",
		 (unsigned long long)version, (unsigned long long)hash);
}

int pr_stepper_start(pr_stepper_t *stepper, const pr_rollout_change_t *change)
{
	pr_router_t *router = stepper->router;
	char id[PR_CHANGE_ID_SIZE];
	pr_str_t text = PR_STR_INIT;
	int rc;

	build_id(id, change, router->fleet->version);
	rc = build_text(&text, router->fleet->fleet, change);
	if (!rc)
		rc = pr_apply_init(&stepper->apply, &apply_ops, stepper,
				   pr_slice_of(id), pr_str_slice(&text),
				   router->fleet->version,
				   pr_router_now(router) + APPLY_TIMEOUT);
	pr_str_finish(&text);
	if (rc) {
		pr_log(PR_LOG_ERR, "%s cannot be applied: %s",
		       change->change_id, pr_error_last());
		pr_apply_finish(&stepper->apply);
		return rc;
	}
	pr_log(PR_LOG_NOTICE, "%s by evidence %.1f (log odds)%s%s",
	       change->change_id, change->log_evidence,
	       change->workspace[0] ? " of workspace " : "", change->workspace);
	stepper->change = *change;
	stepper->number++;
	stepper->busy = true;
	pr_timers_subscribe(&router->timers, &stepper->tick, 0, TICK_EVERY,
			    on_tick);
	return 0;
}

bool pr_stepper_busy(const pr_stepper_t *stepper)
{
	return stepper->busy;
}

int pr_stepper_open(pr_stepper_t **out, pr_router_t *router)
{
	pr_stepper_t *stepper = calloc(1, sizeof(*stepper));

	*out = stepper;
	if (!stepper)
		return pr_error_set(PR_ENOMEM, "no memory for roll-outs");
	stepper->router = router;
	stepper->tick.data = stepper;
	return 0;
}

void pr_stepper_close(pr_stepper_t *stepper)
{
	if (!stepper)
		return;
	pr_timers_unsubscribe(&stepper->router->timers, &stepper->tick);
	if (stepper->busy)
		pr_apply_finish(&stepper->apply);
	free(stepper);
}

void pr_stepper_metrics(const pr_stepper_t *stepper, pr_str_t *out)
{
	pr_str_appendf(out,
		       "pr_rollout_steps_total{result=\"written\"} %llu\n"
		       "pr_rollout_steps_total{result=\"overtaken\"} %llu\n"
		       "pr_rollout_steps_total{result=\"failed\"} %llu\n"
		       "pr_rollout_steps_total{result=\"unknown\"} %llu\n",
		       (unsigned long long)stepper->results[PR_APPLY_CONFIRMED],
		       (unsigned long long)stepper->results[PR_APPLY_CONFLICT],
		       (unsigned long long)stepper->results[PR_APPLY_FAILED],
		       (unsigned long long)stepper->results[PR_APPLY_UNKNOWN]);
}
