/* Parts of a model request that chat.c and chat_answer.c share. */
#ifndef PR_ROUTER_CHAT_H
#define PR_ROUTER_CHAT_H

#include "router/exchange.h"

/** What a model request does with its call's events. */
extern const pr_exchange_ops_t pr_chat_ops;

/** @return the step of the plan that runs now */
const pr_plan_step_t *pr_chat_step(const pr_exchange_t *exchange);
/** Begin a step of the plan; each step has attempts of its own. */
void pr_chat_start_step(pr_exchange_t *exchange, unsigned int step);
/** Make the next attempt of the step. */
void pr_chat_attempt(pr_exchange_t *exchange);

#endif
