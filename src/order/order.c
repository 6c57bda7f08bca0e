/*
 * Orders to engines, one state machine for each pair of upstream and desired
 * version; see order.h.
 */
#include "pistachiorack/order.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pistachiorack/error.h"

/* A step without an answer fails after this time. */
#define STEP_TIMEOUT (10 * PR_USEC_PER_SEC)
/* Buffer size for the value of a row, in bytes. */
#define VALUE_SIZE 320

typedef enum step_t {
	/* No order in progress. */
	STEP_IDLE,
	STEP_READ,
	STEP_REPLACE,
	STEP_TOKEN,
	STEP_SEND,
	/* The order was sent; the engine may be loading the version. */
	STEP_LOAD,
} step_t;

typedef struct order_t {
	struct order_t *next;
	char upstream[PR_ORDER_NAME_SIZE];
	char model_version[PR_ORDER_MODEL_VERSION_SIZE];
	/** Added since pr_orders_desired_begin(). */
	bool desired;
	/** The version was not loaded at the last report. */
	bool missing;
	step_t step;
	/** Identifies the current step in the results of operations. */
	uint64_t tag;
	/** Earliest start of an order when idle, else timeout of the step. */
	pr_usec_t due;
	/** Delay after the last failed step in microseconds; 0 for none. */
	pr_usec_t retry_delay;
	/** Fencing number. */
	uint64_t fence;
	/** Number of the order on this host; identifies the row it wrote. */
	uint64_t number;
} order_t;

struct pr_orders_t {
	pr_order_options_t options;
	const pr_order_ops_t *ops;
	void *data;
	order_t *list;
	uint64_t next_tag;
	uint64_t next_number;
	pr_order_stats_t stats;
};

int pr_orders_open(pr_orders_t **out, const pr_order_options_t *options,
		   const pr_order_ops_t *ops, void *data)
{
	pr_orders_t *orders;

	*out = NULL;
	if (options->version != PR_ORDER_OPTIONS_VERSION || !options->host ||
	    !options->boot)
		return pr_error_set(
			PR_EINVALID,
			"order options need version %d, host and boot",
			PR_ORDER_OPTIONS_VERSION);
	orders = calloc(1, sizeof(*orders));
	if (!orders)
		return pr_error_set(PR_ENOMEM, "no memory for orders");
	orders->options = *options;
	orders->ops = ops;
	orders->data = data;
	*out = orders;
	return 0;
}

void pr_orders_close(pr_orders_t *orders)
{
	order_t *order, *next;

	if (!orders)
		return;
	for (order = orders->list; order; order = next) {
		next = order->next;
		free(order);
	}
	free(orders);
}

const pr_order_stats_t *pr_orders_stats(const pr_orders_t *orders)
{
	return &orders->stats;
}

static order_t *find_order(const pr_orders_t *orders, const char *upstream,
			   const char *model_version)
{
	order_t *order = orders->list;

	while (order && (strcmp(order->upstream, upstream) != 0 ||
			 strcmp(order->model_version, model_version) != 0))
		order = order->next;
	return order;
}

static order_t *find_tag(const pr_orders_t *orders, uint64_t tag, step_t step)
{
	order_t *order = orders->list;

	while (order && (order->tag != tag || order->step != step))
		order = order->next;
	return order;
}

void pr_orders_desired_begin(pr_orders_t *orders)
{
	for (order_t *order = orders->list; order; order = order->next)
		order->desired = false;
}

int pr_orders_desired_add(pr_orders_t *orders, const char *upstream,
			  const char *model_version)
{
	order_t *order = find_order(orders, upstream, model_version);

	if (!order) {
		if (strlen(upstream) >= PR_ORDER_NAME_SIZE ||
		    strlen(model_version) >= PR_ORDER_MODEL_VERSION_SIZE)
			return pr_error_set(
				PR_EINVALID,
				"order for %s: %s: a name is too long",
				upstream, model_version);
		order = calloc(1, sizeof(*order));
		if (!order)
			return pr_error_set(PR_ENOMEM, "no memory for orders");
		snprintf(order->upstream, sizeof(order->upstream), "%s",
			 upstream);
		snprintf(order->model_version, sizeof(order->model_version),
			 "%s", model_version);
		order->next = orders->list;
		orders->list = order;
	}
	order->desired = true;
	return 0;
}

void pr_orders_desired_end(pr_orders_t *orders)
{
	order_t **link = &orders->list;

	while (*link) {
		order_t *order = *link;

		if (order->desired) {
			link = &order->next;
			continue;
		}
		*link = order->next;
		free(order);
	}
}

bool pr_orders_is_missing(const pr_orders_t *orders, const char *upstream,
			  const char *model_version)
{
	const order_t *order = find_order(orders, upstream, model_version);

	return order && order->missing;
}

/* Enters a step under a new tag, so that late results of earlier steps are
 * ignored. */
static uint64_t enter_step(pr_orders_t *orders, order_t *order, step_t step,
			   pr_usec_t now)
{
	order->step = step;
	order->tag = ++orders->next_tag;
	order->due = now + STEP_TIMEOUT;
	return order->tag;
}

/* Ends the order; the next attempt starts after the doubled retry delay. */
static void schedule_retry(pr_orders_t *orders, order_t *order, pr_usec_t now)
{
	order->retry_delay = order->retry_delay
				     ? 2 * order->retry_delay
				     : orders->options.retry_delay_min;
	if (order->retry_delay > orders->options.retry_delay_max)
		order->retry_delay = orders->options.retry_delay_max;
	enter_step(orders, order, STEP_IDLE, now);
	order->due = now + order->retry_delay;
}

void pr_orders_report(pr_orders_t *orders, const char *upstream,
		      const char *model_version, bool loaded, pr_usec_t now)
{
	order_t *order = find_order(orders, upstream, model_version);

	if (!order)
		return;
	if (loaded && order->step != STEP_IDLE) {
		orders->stats.completed++;
		enter_step(orders, order, STEP_IDLE, now);
		order->due = now;
	}
	if (loaded)
		order->retry_delay = 0;
	order->missing = !loaded;
}

/* Only one order per upstream may be in progress: writing the row for a second
 * one would raise the fencing number above that of the first, which the engine
 * may then refuse. */
static bool is_busy(const pr_orders_t *orders, const char *upstream)
{
	const order_t *order;

	for (order = orders->list; order; order = order->next)
		if (order->step != STEP_IDLE && order->step != STEP_LOAD &&
		    !strcmp(order->upstream, upstream))
			return true;
	return false;
}

void pr_orders_tick(pr_orders_t *orders, pr_usec_t now)
{
	for (order_t *order = orders->list; order; order = order->next) {
		if (now < order->due)
			continue;
		if (order->step != STEP_IDLE) {
			schedule_retry(orders, order, now);
			continue;
		}
		if (!order->missing ||
		    !orders->ops->owns(orders->data, order->upstream) ||
		    is_busy(orders, order->upstream))
			continue;
		order->number = ++orders->next_number;
		enter_step(orders, order, STEP_READ, now);
		orders->ops->read_row(orders->data, order->upstream,
				      order->tag);
	}
}

/* Prints the value of the row. Boot id and order number identify the order that
 * wrote the row when it is read back after a lost answer. */
static void print_value(const pr_orders_t *orders, const order_t *order,
			char value[VALUE_SIZE])
{
	snprintf(value, VALUE_SIZE,
		 "{\"host\":\"%s\",\"order\":\"%s/%llu\",\"load\":\"%s\"}",
		 orders->options.host, orders->options.boot,
		 (unsigned long long)order->number, order->model_version);
}

/* Returns whether the row was written by this order. */
static bool is_written_by(const pr_orders_t *orders, const order_t *order,
			  pr_slice_t value)
{
	char order_id[96];
	int len = snprintf(order_id, sizeof(order_id), "\"%s/%llu\"",
			   orders->options.boot,
			   (unsigned long long)order->number);

	return value.ptr && memmem(value.ptr, value.len, order_id, (size_t)len);
}

/* Continues with the token request after the row was replaced. */
static void request_token(pr_orders_t *orders, order_t *order, uint64_t fence,
			  pr_usec_t now)
{
	orders->stats.rows_written++;
	order->fence = fence;
	enter_step(orders, order, STEP_TOKEN, now);
	orders->ops->request_token(orders->data, order->upstream,
				   order->model_version, order->tag);
}

void pr_orders_read_done(pr_orders_t *orders, uint64_t tag,
			 pr_store_status_t status,
			 const pr_store_result_t *result, pr_usec_t now)
{
	order_t *order = find_tag(orders, tag, STEP_READ);
	char value[VALUE_SIZE];

	if (!order)
		return;
	if (status != PR_STORE_ANSWERED) {
		schedule_retry(orders, order, now);
		return;
	}
	if (is_written_by(orders, order, result->value)) {
		request_token(orders, order, result->version, now);
		return;
	}
	print_value(orders, order, value);
	enter_step(orders, order, STEP_REPLACE, now);
	orders->ops->replace_row(orders->data, order->upstream, result->version,
				 value, order->tag);
}

void pr_orders_replace_done(pr_orders_t *orders, uint64_t tag,
			    pr_store_status_t status,
			    const pr_store_result_t *result, pr_usec_t now)
{
	order_t *order = find_tag(orders, tag, STEP_REPLACE);

	if (!order)
		return;
	/* A write whose answer was lost may take effect only after the row was
	 * read back. The repeated write then fails, because the row already has
	 * the value of this order. */
	if (status == PR_STORE_ANSWERED &&
	    (result->applied || is_written_by(orders, order, result->value))) {
		request_token(orders, order, result->version, now);
	} else if (status == PR_STORE_UNKNOWN) {
		enter_step(orders, order, STEP_READ, now);
		orders->ops->read_row(orders->data, order->upstream,
				      order->tag);
	} else {
		/* Another owner wrote the row first; its order may already load
		 * the version. */
		schedule_retry(orders, order, now);
	}
}

void pr_orders_token_done(pr_orders_t *orders, uint64_t tag,
			  pr_order_outcome_t outcome, pr_usec_t now)
{
	order_t *order = find_tag(orders, tag, STEP_TOKEN);

	if (!order)
		return;
	if (outcome != PR_ORDER_OK) {
		schedule_retry(orders, order, now);
		return;
	}
	orders->stats.tokens_granted++;
	orders->stats.sent++;
	enter_step(orders, order, STEP_SEND, now);
	orders->ops->send_order(orders->data, order->upstream,
				order->model_version, order->fence, order->tag);
}

void pr_orders_send_done(pr_orders_t *orders, uint64_t tag,
			 pr_order_outcome_t outcome, pr_usec_t now)
{
	order_t *order = find_tag(orders, tag, STEP_SEND);

	if (!order)
		return;
	if (outcome == PR_ORDER_REFUSED) {
		orders->stats.refused++;
		schedule_retry(orders, order, now);
		return;
	}
	/* An order without an answer may have arrived, so wait for the version
	 * as long as after an accepted order. */
	enter_step(orders, order, STEP_LOAD, now);
	order->due = now + orders->options.load_timeout;
}
