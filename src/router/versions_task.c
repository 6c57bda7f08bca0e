/* Plans, sessions, roll-outs and ratings of model requests. */
#include <stdlib.h>
#include <time.h>

#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"
#include "pistachiorack/log.h"
#include "router/chat.h"
#include "router/test_off.h"
#include "router/live.h"
#include "router/test_off.h"

#define SESSIONS_MAX 20000
/* Least time of a roll-out's first steps when the configuration has none. */
#define ROLLOUT_HOLD_S 1800
#define SESSION_TTL    (86400 * PR_USEC_PER_SEC)
#define RATING_TIMEOUT (2 * PR_USEC_PER_SEC)

static pr_usec_t wall_clock(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (pr_usec_t)ts.tv_sec * PR_USEC_PER_SEC + ts.tv_nsec / 1000;
}

/* The session's name: header, else that of a valid token. */
static pr_slice_t session_id(const pr_exchange_t *exchange,
			     const pr_session_t *token)
{
	pr_slice_t id =
		pr_http_request_header(exchange->request, "x-session-id");

	if (id.len && id.len <= PR_SESSION_NAME_MAX)
		return id;
	return token ? pr_slice_of(token->session) : pr_slice("", 0);
}

static bool draw(void *data, const pr_model_t *model,
		 const pr_version_t *version)
{
	pr_exchange_t *exchange = data;
	pr_router_t *router = exchange->router;
	pr_slice_t session = pr_slice_of(exchange->chat.session.session);

	if (!session.len)
		session = pr_slice_of(exchange->id);
	return pr_rollout_draw(&router->rollout, exchange->fleet->fleet, model,
			       version, pr_slice_of(exchange->workspace_name),
			       session, router->live_hosts,
			       pr_router_now(router));
}

/* @return the request's token, or NULL without a valid one */
static const pr_session_t *token_of(pr_exchange_t *exchange)
{
	pr_chat_t *chat = &exchange->chat;
	pr_slice_t header =
		pr_http_request_header(exchange->request, "x-session-token");

	if (!chat->token_checked && header.len)
		chat->token_valid = !pr_session_check(
			&exchange->router->session_ring, &chat->token, header,
			pr_slice_of(exchange->workspace_name));
	chat->token_checked = true;
	return chat->token_valid ? &chat->token : NULL;
}

/* Finds the session's version; what it ran on before is in chat->session. */
static void find_session(pr_exchange_t *exchange)
{
	pr_router_t *router = exchange->router;
	pr_chat_t *chat = &exchange->chat;
	pr_slice_t workspace = pr_slice_of(exchange->workspace_name);
	const pr_session_t *token = token_of(exchange);
	pr_session_t memory;
	pr_slice_t id = session_id(exchange, token);
	bool has_memory =
		id.len &&
		!pr_session_cache_get(&router->sessions, &memory, workspace, id,
				      pr_router_now(router));
	pr_session_decision_t decision = pr_session_decide(
		exchange->fleet->fleet, token, has_memory ? &memory : NULL);

	if (pr_test_off("sessions"))
		decision =
			(pr_session_decision_t){ .action = PR_SESSION_START };
	chat->session_action = decision.action;
	if (decision.source)
		chat->session = *decision.source;
	else
		memset(&chat->session, 0, sizeof(chat->session));
	if (id.len)
		pr_slice_copy(chat->session.session,
			      sizeof(chat->session.session), id);
	/* The memory gives the version only; the token and the owners need the
	 * workspace too. */
	pr_slice_copy(chat->session.workspace, sizeof(chat->session.workspace),
		      workspace);
	if (decision.action == PR_SESSION_MOVE)
		snprintf(chat->moved_from, sizeof(chat->moved_from), "%s@%s",
			 chat->session.model, chat->session.version);
}

pr_slice_t pr_versions_session_name(pr_exchange_t *exchange)
{
	pr_slice_t id =
		pr_http_request_header(exchange->request, "x-session-id");
	const pr_session_t *token = token_of(exchange);

	if (!id.len || id.len > PR_SESSION_NAME_MAX)
		return pr_slice("", 0);
	if (token &&
	    pr_session_decide(exchange->fleet->fleet, token, NULL).action ==
		    PR_SESSION_KEEP)
		return pr_slice("", 0);
	return id;
}

static void fill_query(pr_policy_query_t *query, pr_exchange_t *exchange)
{
	pr_chat_t *chat = &exchange->chat;
	bool keep = chat->session_action == PR_SESSION_KEEP;

	*query = (pr_policy_query_t){
		.fleet = exchange->fleet->fleet,
		.workspace = pr_slice_of(exchange->workspace_name),
		.request_class = pr_slice_of(chat->request_class),
		.model = pr_slice_of(chat->model),
		.session_model = pr_slice_of(keep ? chat->session.model : ""),
		.session_version =
			pr_slice_of(keep ? chat->session.version : ""),
		.opens_session = chat->session.session[0] && !keep,
		.stream = chat->stream,
		.interactive = chat->interactive,
		.confirmed = exchange->router->confirmed,
		.tokens_in = chat->tokens_in,
		.tokens_out = chat->tokens_out,
		.draw = draw,
		.draw_data = exchange,
	};
}

int pr_versions_plan(pr_exchange_t *exchange)
{
	pr_router_t *router = exchange->router;
	const pr_plan_step_t *step;
	pr_policy_query_t query;
	int rc;

	if (exchange->fleet != router->fleet) {
		pr_config_unref(exchange->fleet);
		exchange->fleet = pr_config_ref(router->fleet);
		exchange->workspace = pr_fleet_workspace(
			exchange->fleet->fleet,
			pr_slice_of(exchange->workspace_name));
		if (!exchange->workspace)
			return PR_EDENIED;
	}
	find_session(exchange);
	fill_query(&query, exchange);
	rc = pr_policy_plan(&router->policy, &exchange->chat.plan, &query,
			    &router->rand, pr_router_now(router));
	step = &exchange->chat.plan.steps[0];
	/* A draw has taken its part of the exposure budget already. */
	if (!rc && step->basis == PR_BASIS_SESSION)
		pr_rollout_charge(&router->rollout, step->model, step->version);
	return rc;
}

bool pr_versions_permitted(pr_exchange_t *exchange)
{
	const pr_router_t *router = exchange->router;
	const pr_plan_step_t *step = pr_chat_step(exchange);

	return pr_policy_permitted(router->fleet->fleet,
				   pr_slice_of(exchange->workspace_name),
				   pr_slice_of(step->model->name),
				   pr_slice_of(step->version->name),
				   step->basis,
				   router->confirmed) == PR_PERMITTED;
}

/* Signs and remembers the version that a named session runs on. */
static void answer_session(pr_exchange_t *exchange)
{
	pr_router_t *router = exchange->router;
	pr_chat_t *chat = &exchange->chat;
	const pr_plan_step_t *step = pr_chat_step(exchange);
	pr_str_t token = PR_STR_INIT;
	char name[PR_SESSION_NAME_MAX + 1];

	if (!chat->session.session[0])
		return;
	snprintf(name, sizeof(name), "%s", chat->session.session);
	if (chat->session_action != PR_SESSION_KEEP &&
	    pr_session_set(&chat->session,
			   pr_slice_of(exchange->workspace_name),
			   pr_slice_of(name), pr_slice_of(step->model->name),
			   pr_slice_of(step->version->name), wall_clock()))
		return;
	pr_sessions_put(exchange);
	if (!pr_session_sign(&router->session_ring, &chat->session, &token))
		pr_http_answer_header(exchange->request, "x-session-token",
				      pr_str_slice(&token));
	pr_str_finish(&token);
	if (chat->session_action == PR_SESSION_MOVE)
		pr_http_answer_header(exchange->request, "x-session-moved",
				      pr_slice_of(chat->moved_from));
}

void pr_versions_answer_headers(pr_exchange_t *exchange)
{
	pr_http_answer_header(exchange->request, "x-request-id",
			      pr_slice_of(exchange->id));
	pr_http_answer_header(exchange->request, "x-model-version",
			      pr_slice_of(exchange->what));
	answer_session(exchange);
}

static void report(pr_exchange_t *exchange, pr_rollout_signal_t signal,
		   bool bad)
{
	pr_rollouts_report(exchange->router, pr_chat_step(exchange),
			   exchange->workspace_name, signal, bad);
}

void pr_versions_first_token(pr_exchange_t *exchange, pr_usec_t after)
{
	const pr_defaults_t *defaults = &exchange->fleet->fleet->defaults;

	report(exchange, PR_SIGNAL_SLOW,
	       after > defaults->first_token_ms * PR_USEC_PER_MSEC);
}

static void on_asked(void *data, pr_platform_outcome_t outcome, int status,
		     pr_slice_t body)
{
	if (outcome != PR_PLATFORM_ANSWERED || status >= 300)
		pr_ratings_ask_failed(data);
}

/* Asks the rating service about the step's answer. */
static void ask_rating(pr_exchange_t *exchange, bool final)
{
	pr_router_t *router = exchange->router;
	pr_chat_t *chat = &exchange->chat;
	const pr_plan_step_t *step = pr_chat_step(exchange);
	char request[PR_ID_BYTES + 24];
	char name[PR_CLASS_BYTES + 16];
	uint64_t answer;
	json_t *root;
	char *text;

	/* Every host reads the rating; the suffix tells all of them whether it
	 * counts as evidence. */
	snprintf(request, sizeof(request), "%s/%u%s", exchange->id, chat->step,
		 pr_policy_is_evidence(&chat->plan, chat->step)
			 ? PR_RATING_EVIDENCE
			 : "");
	snprintf(name, sizeof(name), "%s%s", chat->request_class,
		 chat->step ? PR_POLICY_ESCALATED : "");
	answer = pr_hash64(request, strlen(request), 0);
	pr_policy_add_pending(&router->policy, &chat->plan, answer,
			      chat->confidence, final);
	pr_ratings_asked(router, answer, final);
	root = json_pack("{s:s, s:s, s:s, s:s, s:s}", "request", request,
			 "workspace", exchange->workspace_name, "class", name,
			 "model", step->model->name, "version",
			 step->version->name);
	text = json_dumps(root, JSON_COMPACT);
	if (!text ||
	    pr_platform_call(router->platform, "POST", PR_SLICE("/v1/ratings"),
			     pr_slice_of(text), RATING_TIMEOUT, on_asked,
			     router))
		pr_ratings_ask_failed(router);
	free(text);
	json_decref(root);
}

/*
 * Every answer of a version in roll-out is rated while the budget lasts. All
 * steps of one request are rated or none: a cascade whose first step alone is
 * rated would be judged by its easy requests.
 */
static bool wants_rating(pr_exchange_t *exchange)
{
	pr_chat_t *chat = &exchange->chat;
	bool unproven =
		pr_chat_step(exchange)->version->state != PR_VERSION_PROVEN;

	if (chat->step == 0)
		chat->plan.rate = (chat->plan.rate || unproven) &&
				  pr_ratings_allow(exchange->router, unproven);
	return chat->plan.rate;
}

void pr_versions_answered(pr_exchange_t *exchange, bool final)
{
	report(exchange, PR_SIGNAL_ERROR, false);
	report(exchange, PR_SIGNAL_REFUSAL, false);
	if (wants_rating(exchange))
		ask_rating(exchange, final);
}

void pr_versions_failed(pr_exchange_t *exchange)
{
	const pr_upstream_call_t *call = &exchange->call;

	/* An upstream that cannot be reached says nothing of the version. */
	if (!call->status)
		return;
	if (pr_call_states_not_run(call)) {
		report(exchange, PR_SIGNAL_REFUSAL, true);
		return;
	}
	report(exchange, PR_SIGNAL_REFUSAL, false);
	report(exchange, PR_SIGNAL_ERROR, true);
}

static int add_key(pr_session_keyring_t *ring, const char *secret)
{
	char key[PR_KEY_SIZE];

	pr_derive_key(key, pr_slice_of(secret), "pistachiorack/tokens");
	return pr_session_keyring_rotate(ring, pr_slice_of(key));
}

/* Tokens are signed with the current secret; those of the first old secret are
 * accepted too. The ring has room for one. */
static int init_ring(pr_router_t *router)
{
	const pr_settings_t *settings = router->settings;
	int rc = 0;

	memset(&router->session_ring, 0, sizeof(router->session_ring));
	if (settings->old_secrets_count > 1)
		pr_log(PR_LOG_WARNING,
		       "old_secrets: only the first of %u is accepted",
		       settings->old_secrets_count);
	if (settings->old_secrets_count)
		rc = add_key(&router->session_ring, settings->old_secrets[0]);
	if (!rc)
		rc = add_key(&router->session_ring, settings->secret);
	return rc;
}

static int init(pr_router_t *router)
{
	pr_policy_options_t policy = PR_POLICY_OPTIONS_INIT;
	pr_rollout_options_t rollout = PR_ROLLOUT_OPTIONS_INIT;
	int rc;

	rollout.test_enabled = !pr_test_off("rollout-test");
	rollout.budget_enabled = !pr_test_off("rollout-budget");
	rc = pr_policy_init(&router->policy, &policy);

	if (!rc)
		rc = pr_rollout_init(&router->rollout, &rollout);
	if (!rc)
		rc = init_ring(router);
	if (!rc)
		rc = pr_session_cache_init(&router->sessions, SESSIONS_MAX,
					   SESSION_TTL);
	return rc;
}

/* Least times of the steps; the last share is already the whole. */
static void set_hold(pr_rollout_options_t *options, uint32_t seconds)
{
	pr_usec_t hold = (pr_usec_t)(seconds ? seconds : ROLLOUT_HOLD_S) *
			 PR_USEC_PER_SEC;

	options->step_time_min[0] = hold;
	options->step_time_min[1] = hold;
	options->step_time_min[2] = 2 * hold;
	options->step_time_min[3] = 0;
}

static void fleet_changed(pr_router_t *router)
{
	set_hold(&router->rollout.options,
		 router->fleet->fleet->defaults.rollout_hold_s);
	pr_rollout_configure(&router->rollout, router->fleet->fleet,
			     router->fleet->version, pr_router_now(router));
}

static void finish(pr_router_t *router)
{
	pr_policy_finish(&router->policy);
	pr_rollout_finish(&router->rollout);
	pr_session_cache_finish(&router->sessions);
}

const pr_task_ops_t pr_versions_task = {
	.name = "versions",
	.init = init,
	.fleet_changed = fleet_changed,
	.finish = finish,
};
