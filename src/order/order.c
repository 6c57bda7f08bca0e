/* Steps of orders; see order.h. */
#include "pistachiorack/order.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pistachiorack/error.h"

/* A step without any answer is given up after this time. */
#define STEP_TIME  (10 * PR_USEC_PER_SEC)
#define VALUE_SIZE 320

typedef enum step_t {
	STEP_IDLE,
	STEP_READ,
	STEP_RAISE,
	STEP_TOKEN,
	STEP_SEND,
	/* The engine loads. */
	STEP_LOAD,
} step_t;

typedef struct order_t {
	struct order_t *next;
	char upstream[PR_ORDER_NAME_SIZE];
	char model_version[PR_ORDER_MODEL_VERSION_SIZE];
	bool wanted;
	/** The last report did not have it. */
	bool missing;
	step_t step;
	uint64_t tag;
	/** Next step, or end of the present one. */
	pr_usec_t due;
	pr_usec_t pause;
	uint64_t fence;
	/** Number of this host's order, which marks its row. */
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
		return pr_error_set(PR_EINVALID, "order options are not valid");
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
		order->wanted = false;
}

int pr_orders_desired_add(pr_orders_t *orders, const char *upstream,
			  const char *model_version)
{
	order_t *order = find_order(orders, upstream, model_version);

	if (!order) {
		if (strlen(upstream) >= PR_ORDER_NAME_SIZE ||
		    strlen(model_version) >= PR_ORDER_MODEL_VERSION_SIZE)
			return pr_error_set(PR_EINVALID, "name is too long");
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
	order->wanted = true;
	return 0;
}

void pr_orders_desired_end(pr_orders_t *orders)
{
	order_t **link = &orders->list;

	while (*link) {
		order_t *order = *link;

		if (order->wanted) {
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

/* The next step needs a new tag, so that late answers find nothing. */
static uint64_t enter(pr_orders_t *orders, order_t *order, step_t step,
		      pr_usec_t now)
{
	order->step = step;
	order->tag = ++orders->next_tag;
	order->due = now + STEP_TIME;
	return order->tag;
}

static void pause_order(pr_orders_t *orders, order_t *order, pr_usec_t now)
{
	order->pause = order->pause ? 2 * order->pause
				    : orders->options.retry_delay_min;
	if (order->pause > orders->options.retry_delay_max)
		order->pause = orders->options.retry_delay_max;
	enter(orders, order, STEP_IDLE, now);
	order->due = now + order->pause;
}

void pr_orders_report(pr_orders_t *orders, const char *upstream,
		      const char *model_version, bool loaded, pr_usec_t now)
{
	order_t *order = find_order(orders, upstream, model_version);

	if (!order)
		return;
	if (loaded && order->step != STEP_IDLE) {
		orders->stats.completed++;
		enter(orders, order, STEP_IDLE, now);
		order->due = now;
	}
	if (loaded)
		order->pause = 0;
	order->missing = !loaded;
}

/* One order an upstream at a time: a second one would raise the number that
 * the first still needs. */
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
			pause_order(orders, order, now);
			continue;
		}
		if (!order->missing ||
		    !orders->ops->owns(orders->data, order->upstream) ||
		    is_busy(orders, order->upstream))
			continue;
		order->number = ++orders->next_number;
		enter(orders, order, STEP_READ, now);
		orders->ops->read_row(orders->data, order->upstream,
				      order->tag);
	}
}

/* Marks the row as written by this very order, for the reading back. */
static void print_value(const pr_orders_t *orders, const order_t *order,
			char value[VALUE_SIZE])
{
	snprintf(value, VALUE_SIZE,
		 "{\"host\":\"%s\",\"order\":\"%s/%llu\",\"load\":\"%s\"}",
		 orders->options.host, orders->options.boot,
		 (unsigned long long)order->number, order->model_version);
}

static bool is_mine(const pr_orders_t *orders, const order_t *order,
		    pr_slice_t value)
{
	char mark[96];
	int len = snprintf(mark, sizeof(mark), "\"%s/%llu\"",
			   orders->options.boot,
			   (unsigned long long)order->number);

	return value.ptr && memmem(value.ptr, value.len, mark, (size_t)len);
}

static void take_token(pr_orders_t *orders, order_t *order, uint64_t fence,
		       pr_usec_t now)
{
	orders->stats.rows_written++;
	order->fence = fence;
	enter(orders, order, STEP_TOKEN, now);
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
		pause_order(orders, order, now);
		return;
	}
	if (is_mine(orders, order, result->value)) {
		take_token(orders, order, result->version, now);
		return;
	}
	print_value(orders, order, value);
	enter(orders, order, STEP_RAISE, now);
	orders->ops->replace_row(orders->data, order->upstream, result->version,
				 value, order->tag);
}

void pr_orders_replace_done(pr_orders_t *orders, uint64_t tag,
			    pr_store_status_t status,
			    const pr_store_result_t *result, pr_usec_t now)
{
	order_t *order = find_tag(orders, tag, STEP_RAISE);

	if (!order)
		return;
	/* A write whose answer was lost may have taken effect after it was
	 * read back; it then stands in the way of its own repetition. */
	if (status == PR_STORE_ANSWERED &&
	    (result->applied || is_mine(orders, order, result->value))) {
		take_token(orders, order, result->version, now);
	} else if (status == PR_STORE_UNKNOWN) {
		enter(orders, order, STEP_READ, now);
		orders->ops->read_row(orders->data, order->upstream,
				      order->tag);
	} else {
		/* Another owner was first; its order may be enough. */
		pause_order(orders, order, now);
	}
}

void pr_orders_token_done(pr_orders_t *orders, uint64_t tag,
			  pr_order_outcome_t outcome, pr_usec_t now)
{
	order_t *order = find_tag(orders, tag, STEP_TOKEN);

	if (!order)
		return;
	if (outcome != PR_ORDER_OK) {
		pause_order(orders, order, now);
		return;
	}
	orders->stats.tokens_granted++;
	orders->stats.sent++;
	enter(orders, order, STEP_SEND, now);
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
		pause_order(orders, order, now);
		return;
	}
	/* An order without an answer may have arrived: wait for the version
	 * as long as for one that has. */
	enter(orders, order, STEP_LOAD, now);
	order->due = now + orders->options.load_timeout;
}
