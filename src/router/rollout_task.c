/*
 * Roll-outs task: evidence goes to the owner of a model's roll-outs, which
 * applies the steps that follow from it.
 *
 * One owner for all versions of a model, by rendezvous hashing: the test
 * compares a version with the one it replaces and needs the counts of both.
 */
#include <stdlib.h>

#include "base/msgmap.h"
#include "pistachiorack/error.h"
#include "pistachiorack/log.h"
#include "router/live.h"
#include "router/stepper.h"

#define TICK_EVERY PR_USEC_PER_SEC
/* An owner receives about 120 bytes from each host; with 16 hosts a second
 * that is 2 KB/s whatever the fleet's size. */
#define HOSTS_PER_S 16
#define MODELS_MAX  32
#define CHANGES_MAX 8

/** Evidence about one model, sent to its owner or taken from others. */
typedef struct model_evidence_t {
	char model[PR_ROLLOUT_NAME_MAX];
	pr_evidence_outbox_t outbox;
	/** NULL until this host received something as the owner. */
	pr_evidence_inbox_t *inbox;
	/** Pending counts, or those in flight, have some of a version that
	 * is not proven. */
	bool urgent, sent_urgent;
	pr_usec_t sent_at;
} model_evidence_t;

typedef struct pr_rollouts_t {
	pr_timer_t tick;
	uint64_t boot;
	model_evidence_t *models[MODELS_MAX];
	unsigned int models_count;
	pr_rollout_change_t changes[CHANGES_MAX];
	unsigned int changes_count;
	/** A message that is being read or answered. */
	pr_evidence_t message;
	uint64_t sent, taken, bytes;
} pr_rollouts_t;

static const char *owner_of(const pr_router_t *router, const char *model)
{
	char key[PR_ROLLOUT_NAME_MAX + 16];

	snprintf(key, sizeof(key), "rollout/%s", model);
	return pr_hosts_owner(router, pr_slice_of(key));
}

static bool is_owner(const pr_router_t *router, const char *model)
{
	return !strcmp(owner_of(router, model), router->settings->host);
}

static model_evidence_t *model_evidence(pr_router_t *router, const char *model)
{
	pr_rollouts_t *rollouts = router->rollouts;
	model_evidence_t *entry;

	for (unsigned int i = 0; i < rollouts->models_count; i++)
		if (!strcmp(rollouts->models[i]->model, model))
			return rollouts->models[i];
	if (rollouts->models_count == MODELS_MAX)
		return NULL;
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		return NULL;
	if (pr_slice_copy(entry->model, sizeof(entry->model),
			  pr_slice_of(model))) {
		free(entry);
		return NULL;
	}
	pr_evidence_outbox_init(&entry->outbox,
				pr_slice_of(router->settings->host),
				rollouts->boot);
	rollouts->models[rollouts->models_count++] = entry;
	return entry;
}

void pr_rollouts_report(pr_router_t *router, const pr_plan_step_t *step,
			const char *workspace, pr_rollout_signal_t signal,
			bool bad)
{
	model_evidence_t *entry = model_evidence(router, step->model->name);
	pr_outcome_counts_t counts = { 0 };

	if (!entry)
		return;
	counts.trials[signal] = 1;
	counts.bad[signal] = bad;
	if (step->version->state != PR_VERSION_PROVEN)
		entry->urgent = true;
	pr_evidence_outbox_add(&entry->outbox, pr_slice_of(step->model->name),
			       pr_slice_of(step->version->name),
			       pr_slice_of(workspace), &counts);
}

static bool take(pr_router_t *router, model_evidence_t *entry,
		 const pr_evidence_t *evidence)
{
	if (!entry->inbox)
		entry->inbox = calloc(1, sizeof(*entry->inbox));
	if (!entry->inbox)
		return false;
	if (pr_evidence_receive(entry->inbox, &router->rollout, evidence))
		router->rollouts->taken++;
	return true;
}

/* Sends, or sends again, what is due; the owner's own counts are taken. */
static void flush(pr_router_t *router, model_evidence_t *entry, pr_usec_t now)
{
	pr_usec_t period = TICK_EVERY * router->live_hosts / HOSTS_PER_S;
	const char *owner = owner_of(router, entry->model);
	const pr_evidence_t *evidence;
	pr_str_t bytes = PR_STR_INIT;

	if (!entry->outbox.in_flight) {
		entry->sent_urgent = entry->urgent;
		entry->urgent = false;
	}
	if (!entry->sent_urgent && now < entry->sent_at + period)
		return;
	evidence = pr_evidence_outbox_next(&entry->outbox);
	if (!evidence)
		return;
	entry->sent_at = now;
	if (!strcmp(owner, router->settings->host)) {
		if (take(router, entry, evidence))
			pr_evidence_outbox_acked(&entry->outbox, evidence->seq);
		return;
	}
	if (!pr_evidence_encode(&bytes, evidence) &&
	    !pr_peers_send(router->peers, owner, "evidence",
			   pr_str_slice(&bytes)))
		router->rollouts->sent++;
	router->rollouts->bytes += bytes.len;
	pr_str_finish(&bytes);
}

static void acknowledge(pr_router_t *router, pr_slice_t from, const char *model,
			const pr_evidence_t *evidence)
{
	pr_str_t bytes = PR_STR_INIT;
	char name[PR_ID_BYTES];
	msgpack_packer packer;

	pr_msgmap_packer(&packer, &bytes);
	if (!pr_slice_copy(name, sizeof(name), from) &&
	    !msgpack_pack_map(&packer, 3) &&
	    !pr_msgmap_pack_text(&packer, "model", pr_slice_of(model)) &&
	    !pr_msgmap_pack_number(&packer, "boot", evidence->boot) &&
	    !pr_msgmap_pack_number(&packer, "seq", evidence->seq))
		pr_peers_send(router->peers, name, "evidence_ack",
			      pr_str_slice(&bytes));
	pr_str_finish(&bytes);
}

/* A host that is not the owner takes the counts too: views differ for a while
 * after a change, and the counts must be somewhere. */
static void on_evidence(pr_router_t *router, pr_slice_t from,
			pr_slice_t payload)
{
	pr_evidence_t *evidence = &router->rollouts->message;
	model_evidence_t *entry;

	if (pr_evidence_decode(evidence, payload) || !evidence->items_count ||
	    !pr_slice_equal(pr_slice_of(evidence->host), from))
		return;
	entry = model_evidence(router, evidence->items[0].model);
	if (entry && take(router, entry, evidence))
		acknowledge(router, from, entry->model, evidence);
}

static void on_acknowledged(pr_router_t *router, pr_slice_t payload)
{
	char model[PR_ROLLOUT_NAME_MAX];
	model_evidence_t *entry;
	pr_slice_t name;
	pr_msgmap_t map;
	uint64_t boot, seq;

	if (pr_msgmap_init(&map, payload))
		return;
	if (!pr_msgmap_text(&map, &name, "model") &&
	    !pr_msgmap_number(&map, &boot, "boot") &&
	    !pr_msgmap_number(&map, &seq, "seq") &&
	    boot == router->rollouts->boot &&
	    !pr_slice_copy(model, sizeof(model), name)) {
		entry = model_evidence(router, model);
		if (entry)
			pr_evidence_outbox_acked(&entry->outbox, seq);
	}
	pr_msgmap_finish(&map);
}

static bool on_message(pr_router_t *router, pr_slice_t from, pr_slice_t type,
		       pr_slice_t payload)
{
	if (pr_slice_equal(type, PR_SLICE("evidence")))
		on_evidence(router, from, payload);
	else if (pr_slice_equal(type, PR_SLICE("evidence_ack")))
		on_acknowledged(router, payload);
	else
		return false;
	return true;
}

static void warn(const pr_rollout_change_t *change)
{
	pr_log(PR_LOG_ERR,
	       "version %s@%s is worse than before (log evidence %.1f) and no "
	       "other version can take over",
	       change->model, change->version, change->log_evidence);
}

/* Concludes on the models that this host owns; one change at a time. */
static void conclude(pr_router_t *router, pr_usec_t now)
{
	pr_rollouts_t *rollouts = router->rollouts;

	if (!router->fleet || !router->confirmed ||
	    pr_stepper_busy(router->stepper))
		return;
	if (!rollouts->changes_count)
		rollouts->changes_count = pr_rollout_evaluate(
			&router->rollout, router->fleet->fleet,
			router->fleet->version, router->confirmed,
			rollouts->changes, CHANGES_MAX, now);
	while (rollouts->changes_count) {
		const pr_rollout_change_t *change =
			&rollouts->changes[--rollouts->changes_count];

		if (!is_owner(router, change->model) ||
		    pr_rollout_change_check(change, router->fleet->fleet))
			continue;
		if (change->action == PR_ROLLOUT_WARN)
			warn(change);
		else if (!pr_stepper_start(router->stepper, change))
			return;
	}
}

static void on_tick(pr_timer_t *timer, pr_usec_t now)
{
	pr_router_t *router = timer->data;
	pr_rollouts_t *rollouts = router->rollouts;

	for (unsigned int i = 0; i < rollouts->models_count; i++)
		flush(router, rollouts->models[i], now);
	conclude(router, now);
}

static int init(pr_router_t *router)
{
	pr_rollouts_t *rollouts = calloc(1, sizeof(*rollouts));

	router->rollouts = rollouts;
	if (!rollouts)
		return pr_error_set(PR_ENOMEM, "no memory for roll-outs");
	rollouts->boot = strtoull(router->boot, NULL, 16);
	rollouts->tick.data = router;
	pr_timers_subscribe(&router->timers, &rollouts->tick, TICK_EVERY,
			    TICK_EVERY, on_tick);
	return pr_stepper_open(&router->stepper, router);
}

static void print_metrics(const pr_router_t *router, pr_str_t *out)
{
	const pr_rollouts_t *rollouts = router->rollouts;
	const pr_rollout_t *rollout = &router->rollout;

	pr_str_appendf(out,
		       "pr_evidence_sent_total %llu\n"
		       "pr_evidence_taken_total %llu\n"
		       "pr_evidence_bytes_total %llu\n"
		       "pr_rollout_over_budget_total %llu\n",
		       (unsigned long long)rollouts->sent,
		       (unsigned long long)rollouts->taken,
		       (unsigned long long)rollouts->bytes,
		       (unsigned long long)rollout->over_budget);
	for (unsigned int i = 0; i < rollout->trackers_count; i++) {
		const pr_rollout_tracker_t *track = &rollout->trackers[i];

		pr_str_appendf(out,
			       "pr_rollout_exposed{version=\"%s@%s\"} %llu\n",
			       track->model, track->version,
			       (unsigned long long)track->exposed);
	}
	pr_stepper_metrics(router->stepper, out);
}

static void finish(pr_router_t *router)
{
	pr_rollouts_t *rollouts = router->rollouts;

	if (!rollouts)
		return;
	pr_stepper_close(router->stepper);
	pr_timers_unsubscribe(&router->timers, &rollouts->tick);
	for (unsigned int i = 0; i < rollouts->models_count; i++) {
		free(rollouts->models[i]->inbox);
		free(rollouts->models[i]);
	}
	free(rollouts);
}

const pr_task_ops_t pr_rollouts_task = {
	.name = "rollouts",
	.init = init,
	.message = on_message,
	.metrics = print_metrics,
	.finish = finish,
};
