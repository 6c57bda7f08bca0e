/* Bills of finished requests. */
#include "router/chat.h"

#define TOKENS_PER_PRICE 1000

void pr_exchange_charge(pr_exchange_t *exchange, uint64_t tokens_in,
			uint64_t tokens_out)
{
	const pr_version_t *version = pr_chat_step(exchange)->version;

	exchange->charge.tokens_in += tokens_in;
	exchange->charge.tokens_out += tokens_out;
	exchange->charge.price += (tokens_in * version->price_in +
				   tokens_out * version->price_out) /
				  TOKENS_PER_PRICE;
}

void pr_billing_finish(pr_exchange_t *exchange,
		       void (*then)(pr_exchange_t *exchange))
{
	then(exchange);
}
