/* Service-level objectives of finished requests. */
#include "router/exchange.h"

static void record_latency(pr_exchange_t *exchange, const char *cause,
			   pr_usec_t now)
{
	const pr_defaults_t *defaults = &exchange->fleet->fleet->defaults;
	pr_burn_t *burn = &exchange->router->burn;
	const pr_chat_t *chat = &exchange->chat;
	pr_usec_t first =
		chat->stream ? exchange->first_byte : chat->last_event;
	pr_answer_times_t times = {
		.stream = chat->stream,
		.first = first - exchange->arrived,
		.last = chat->last_event - exchange->arrived,
		.tokens = chat->stream ? chat->events.tokens
				       : exchange->charge.tokens_out,
	};
	bool late;

	if (!first)
		return;
	late = pr_answer_first_late(&times, defaults->first_token_ms,
				    defaults->between_tokens_ms);
	pr_burn_record(burn, now, exchange->workspace_name,
		       PR_OBJECTIVE_FIRST_TOKEN, late ? cause : NULL);
	/* What a slow caller made the upstream wait is not the service's. */
	if (!chat->stream || chat->caller_slow || times.tokens < 2)
		return;
	late = pr_answer_between_late(&times, defaults->between_tokens_ms);
	pr_burn_record(burn, now, exchange->workspace_name,
		       PR_OBJECTIVE_BETWEEN_TOKENS, late ? cause : NULL);
}

void pr_objectives_record(pr_exchange_t *exchange)
{
	pr_router_t *router = exchange->router;
	pr_upstream_link_t *link = exchange->call.link;
	pr_usec_t now = pr_router_now(router);
	char cause[PR_BURN_CAUSE_NAME];

	if (exchange->failure[0] && !exchange->counts_against_budget)
		return;
	snprintf(cause, sizeof(cause), "upstream=%.32s,version=%.32s,limit=%s",
		 link ? link->name : "-", exchange->what,
		 exchange->failure[0] ? exchange->failure : "-");
	pr_burn_record(&router->burn, now, exchange->workspace_name,
		       PR_OBJECTIVE_AVAILABLE,
		       exchange->failure[0] ? cause : NULL);
	if (!exchange->service)
		record_latency(exchange, cause, now);
}
