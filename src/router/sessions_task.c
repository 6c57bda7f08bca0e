/*
 * Sessions task: the memory of a session's two owners, for callers that send
 * only x-session-id.
 *
 * A host that does not know a session asks its owners and waits a short time.
 * The memory keeps hashes of names, so owners cannot hand sessions over after
 * a change of the view: the owner that stayed answers, and the next put reaches
 * the new one.
 */
#include "pistachiorack/error.h"
#include "router/live.h"
#include "router/test_off.h"

/* An owner in the region answers within some 3 ms; one in the other region
 * needs 60 ms, which is not waited for. */
#define WAIT (30 * PR_USEC_PER_MSEC)
/* A known session is put again at one of this many requests, so that hosts
 * that became its owners learn of it. */
#define PUT_ONE_IN 8
#define OWNERS     2
#define KEY_BYTES  288

static unsigned int owners_of(const pr_router_t *router, const char *workspace,
			      const char *session, const char *names[OWNERS])
{
	const pr_member_host_t *second = NULL;
	const pr_member_host_t *first;
	unsigned int count = 0;
	char key[KEY_BYTES];

	if (!router->member)
		return 0;
	snprintf(key, sizeof(key), "session/%s/%s", workspace, session);
	first = pr_member_owner(router->member, pr_slice_of(key), &second);
	if (first && strcmp(first->name, router->settings->host) != 0)
		names[count++] = first->name;
	if (second && strcmp(second->name, router->settings->host) != 0)
		names[count++] = second->name;
	return count;
}

/* True when what this host knows of the session settles its version. */
static bool is_known(const pr_exchange_t *exchange, pr_slice_t session)
{
	pr_router_t *router = exchange->router;
	pr_session_t memory;

	return !pr_session_cache_get(&router->sessions, &memory,
				     pr_slice_of(exchange->workspace_name),
				     session, pr_router_now(router)) &&
	       pr_session_decide(exchange->fleet->fleet, NULL, &memory)
			       .action == PR_SESSION_KEEP;
}

static void end_wait(pr_exchange_t *exchange)
{
	pr_router_t *router = exchange->router;
	pr_exchange_t **place = &router->asking;

	while (*place && *place != exchange)
		place = &(*place)->asking_next;
	if (!*place)
		return;
	*place = exchange->asking_next;
	pr_timers_unsubscribe(&router->timers, &exchange->asking_timer);
	if (exchange->request && !exchange->answer_started)
		exchange->after_asking(exchange);
	exchange->holds--;
	pr_exchange_release(exchange);
}

static void on_wait_over(pr_timer_t *timer, pr_usec_t now)
{
	pr_exchange_t *exchange = timer->data;

	exchange->router->session_timeouts++;
	end_wait(exchange);
}

static bool send_message(pr_router_t *router, const char *to, const char *type,
			 pr_slice_t workspace, pr_slice_t session,
			 const pr_session_t *put)
{
	pr_str_t bytes = PR_STR_INIT;
	bool sent = !(put ? pr_session_put_encode(&bytes, put)
			  : pr_session_get_encode(&bytes, workspace, session));

	sent = sent &&
	       !pr_peers_send(router->peers, to, type, pr_str_slice(&bytes));
	pr_str_finish(&bytes);
	return sent;
}

void pr_sessions_find(pr_exchange_t *exchange, pr_slice_t session,
		      void (*then)(pr_exchange_t *exchange))
{
	pr_router_t *router = exchange->router;
	pr_slice_t workspace = pr_slice_of(exchange->workspace_name);
	const char *owners[OWNERS];
	unsigned int count;

	if (!session.len || is_known(exchange, session) ||
	    pr_test_off("session-memory") ||
	    pr_slice_copy(exchange->asking_session,
			  sizeof(exchange->asking_session), session)) {
		then(exchange);
		return;
	}
	count = owners_of(router, exchange->workspace_name,
			  exchange->asking_session, owners);
	exchange->asking_due = 0;
	for (unsigned int i = 0; i < count; i++)
		exchange->asking_due +=
			send_message(router, owners[i], "session_get",
				     workspace, session, NULL);
	if (!exchange->asking_due) {
		then(exchange);
		return;
	}
	exchange->holds++;
	exchange->session_asked = true;
	exchange->after_asking = then;
	exchange->asking_next = router->asking;
	router->asking = exchange;
	exchange->asking_timer.data = exchange;
	pr_timers_subscribe(&router->timers, &exchange->asking_timer, WAIT, 0,
			    on_wait_over);
}

void pr_sessions_put(pr_exchange_t *exchange)
{
	pr_router_t *router = exchange->router;
	const pr_session_t *session = &exchange->chat.session;
	const char *owners[OWNERS];
	unsigned int count;

	pr_session_cache_put(&router->sessions, session, pr_router_now(router));
	if (exchange->chat.session_action == PR_SESSION_KEEP &&
	    !exchange->session_asked &&
	    pr_rand_below(&router->rand, PUT_ONE_IN) != 0)
		return;
	count = owners_of(router, session->workspace, session->session, owners);
	for (unsigned int i = 0; i < count; i++)
		send_message(router, owners[i], "session_put", pr_slice("", 0),
			     pr_slice("", 0), session);
}

/* Answers with what is known, or that nothing is. */
static void answer(pr_router_t *router, pr_slice_t from,
		   const pr_session_t *asked)
{
	pr_slice_t workspace = pr_slice_of(asked->workspace);
	pr_slice_t session = pr_slice_of(asked->session);
	pr_session_t found;
	char name[PR_ID_BYTES];
	bool known = !pr_session_cache_get(&router->sessions, &found, workspace,
					   session, pr_router_now(router));

	if (pr_slice_copy(name, sizeof(name), from))
		return;
	if (known) {
		pr_slice_copy(found.workspace, sizeof(found.workspace),
			      workspace);
		pr_slice_copy(found.session, sizeof(found.session), session);
	}
	send_message(router, name, known ? "session_put" : "session_none",
		     workspace, session, known ? &found : NULL);
}

/* Lets the requests go on that wait for this session. */
static void wake(pr_router_t *router, const pr_session_t *session)
{
	pr_exchange_t *exchange = router->asking;

	while (exchange) {
		pr_exchange_t *next = exchange->asking_next;

		if (!strcmp(exchange->asking_session, session->session) &&
		    !strcmp(exchange->workspace_name, session->workspace)) {
			exchange->asking_due -= exchange->asking_due > 0;
			if (!exchange->asking_due ||
			    is_known(exchange, pr_slice_of(session->session)))
				end_wait(exchange);
		}
		exchange = next;
	}
}

static bool on_message(pr_router_t *router, pr_slice_t from, pr_slice_t type,
		       pr_slice_t payload)
{
	pr_session_t session;

	if (!pr_slice_starts_with(type, PR_SLICE("session_")))
		return false;
	if (pr_session_decode(&session, payload))
		return true;
	if (pr_slice_equal(type, PR_SLICE("session_get"))) {
		answer(router, from, &session);
		return true;
	}
	if (session.model[0] && !pr_test_off("session-memory"))
		pr_session_cache_put(&router->sessions, &session,
				     pr_router_now(router));
	wake(router, &session);
	return true;
}

static void print_metrics(const pr_router_t *router, pr_str_t *out)
{
	const pr_session_keyring_t *ring = &router->session_ring;
	uint64_t refused =
		ring->wrong_signature + ring->wrong_workspace + ring->malformed;

	pr_str_appendf(out,
		       "pr_sessions %u\npr_sessions_evicted_total %llu\n"
		       "pr_session_waits_over_total %llu\n"
		       "pr_session_tokens_refused_total %llu\n",
		       router->sessions.count,
		       (unsigned long long)router->sessions.evicted,
		       (unsigned long long)router->session_timeouts,
		       (unsigned long long)refused);
}

const pr_task_ops_t pr_sessions_task = {
	.name = "sessions",
	.message = on_message,
	.metrics = print_metrics,
};
