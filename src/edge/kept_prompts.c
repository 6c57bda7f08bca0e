/*
 * Prompt prefixes that upstreams still hold, as the requests of an exchange
 * show them. Without the setting, or on a route without affinity, nothing is
 * recorded.
 */
#include <xxhash.h>

#include "edge/caller.h"
#include "edge/exchange_parts.h"

static bool uses_kept_prompts(const pr_exchange_t *x)
{
	return x->edge->kept.window && x->route->affinity &&
	       x->prompt.prefixes.count;
}

/* The prompt and what the estimate needs of the hosts. Prompts of one model
 * have prefixes in common whether the caller or the router chose the model. */
static void init_kept_prompt(pr_exchange_t *x, pr_kept_prompt_t *prompt)
{
	pr_slice_t model = pr_http_find(&x->caller->reader,
					pr_adapter_field_name(PR_FIELD_MODEL));
	const pr_kept_prefixes_t *prefixes = &x->prompt.prefixes;

	if (x->picks_model)
		model = pr_slice_of(pr_exchange_model_name(x));
	*prompt = (pr_kept_prompt_t){
		.prefixes = prefixes,
		.model = model.len ? XXH64(model.ptr, model.len, 0) : 0,
		.service = x->service,
		.tokens = x->prompt.tokens,
		.hosts = pr_edge_hosts_count(x->edge),
	};
	/* The caller states both; the parts of a prompt are not more than it.
	 */
	if (prefixes->items[prefixes->count - 1].tokens > prompt->tokens)
		prompt->tokens = prefixes->items[prefixes->count - 1].tokens;
}

void pr_exchange_note_prompt_sent(pr_exchange_t *x)
{
	pr_kept_prompt_t prompt;

	if (!uses_kept_prompts(x))
		return;
	init_kept_prompt(x, &prompt);
	pr_kept_record_sent(&x->edge->kept, &prompt, x->upstream,
			    pr_exchange_now(x));
	pr_metric_add(x->edge->counters.held_tokens, x->held_tokens);
	pr_metric_add(x->edge->counters.prompt_tokens, prompt.tokens);
	pr_metric_add(x->edge->counters.off_first_rank, x->off_first_rank);
}

void pr_exchange_note_prompt_not_read(pr_exchange_t *x)
{
	pr_kept_prompt_t prompt;

	if (!x->upstream || !uses_kept_prompts(x))
		return;
	init_kept_prompt(x, &prompt);
	pr_kept_record_not_run(&x->edge->kept, &prompt, x->upstream);
}

void pr_exchange_note_prompt_read(pr_exchange_t *x)
{
	pr_kept_prompt_t prompt;

	if (!x->upstream || !uses_kept_prompts(x))
		return;
	init_kept_prompt(x, &prompt);
	pr_kept_record_read(&x->edge->kept, &prompt, x->upstream,
			    pr_exchange_now(x));
}

bool pr_exchange_init_kept(pr_exchange_t *x, pr_place_kept_t *kept)
{
	if (!uses_kept_prompts(x))
		return false;
	*kept = (pr_place_kept_t){
		.table = &x->edge->kept,
		.prefill_ms_per_token =
			pr_prefill_ms(&x->edge->reading,
				      pr_exchange_model_name(x), 1000) /
			1000,
	};
	init_kept_prompt(x, &kept->prompt);
	return true;
}
