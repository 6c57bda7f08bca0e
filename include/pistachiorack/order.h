/**
 * Orders to engines: load a version that the configuration lists for an engine
 * and that the engine does not have.
 *
 * The owner of an upstream takes the steps of an order one after the other:
 * read row `orders/<upstream>`, replace it by compare-and-set, take a token of
 * the weight store, send the order. The row's version after the write is the
 * fencing number, so it rises with each order and no two orders have the same.
 * An engine that honours it refuses an order of an earlier owner that arrives
 * late. For engines that ignore it there is only one kind of order, "load",
 * which does no harm when it is doubled or late. Nothing is ever unloaded.
 *
 * A step whose answer is lost is never taken for done: an unknown write is read
 * back, an unknown token or order is followed by another, later one.
 */
#ifndef PISTACHIORACK_ORDER_H
#define PISTACHIORACK_ORDER_H

#include "pistachiorack/store.h"
#include "pistachiorack/timer.h"

#define PR_ORDER_NAME_SIZE          65
#define PR_ORDER_MODEL_VERSION_SIZE 130

typedef struct pr_orders_t pr_orders_t;

typedef enum pr_order_outcome_t {
	PR_ORDER_OK,
	/** Refused: no token left, or an order with a higher number came. */
	PR_ORDER_REFUSED,
	/** No answer, or one that does not tell. */
	PR_ORDER_UNKNOWN,
} pr_order_outcome_t;

/** Effects; each is answered by the event of the same name with its tag. */
typedef struct pr_order_ops_t {
	/** @return true when this host owns the upstream */
	bool (*owns)(void *data, const char *upstream);
	void (*read_row)(void *data, const char *upstream, uint64_t tag);
	/** Replace the row of a version; 0 means that there must be none. */
	void (*replace_row)(void *data, const char *upstream,
			    uint64_t row_version, const char *value,
			    uint64_t tag);
	void (*request_token)(void *data, const char *upstream,
			      const char *model_version, uint64_t tag);
	void (*send_order)(void *data, const char *upstream,
			   const char *model_version, uint64_t fence,
			   uint64_t tag);
} pr_order_ops_t;

typedef struct pr_order_options_t {
	unsigned int version;
	/** Name of this host and of its start; marks its rows. */
	const char *host;
	const char *boot;
	/** Time for the loading, after which the order is given again. */
	pr_usec_t load_timeout;
	/** First and longest pause after a step that failed. */
	pr_usec_t retry_delay_min;
	pr_usec_t retry_delay_max;
} pr_order_options_t;

#define PR_ORDER_OPTIONS_VERSION 1
#define PR_ORDER_OPTIONS_INIT                                                  \
	{                                                                      \
		.version = PR_ORDER_OPTIONS_VERSION,                           \
		.load_timeout = 120 * PR_USEC_PER_SEC,                         \
		.retry_delay_min = PR_USEC_PER_SEC,                            \
		.retry_delay_max = 60 * PR_USEC_PER_SEC,                       \
	}

typedef struct pr_order_stats_t {
	uint64_t rows_written, tokens_granted, sent, refused, completed;
} pr_order_stats_t;

/** @return 0, PR_EINVALID (options) or PR_ENOMEM */
int pr_orders_open(pr_orders_t **out, const pr_order_options_t *options,
		   const pr_order_ops_t *ops, void *data);
void pr_orders_close(pr_orders_t *orders);
const pr_order_stats_t *pr_orders_stats(const pr_orders_t *orders);

/* The wanted versions: begin, want each, end; others are forgotten. */
void pr_orders_desired_begin(pr_orders_t *orders);
/** @return 0, PR_EINVALID (a name is too long) or PR_ENOMEM */
int pr_orders_desired_add(pr_orders_t *orders, const char *upstream,
			  const char *model_version);
void pr_orders_desired_end(pr_orders_t *orders);

/** A load report, or a refusal, tells whether the upstream has a version. */
void pr_orders_report(pr_orders_t *orders, const char *upstream,
		      const char *model_version, bool loaded, pr_usec_t now);
/** @return true when the last report did not have a wanted version */
bool pr_orders_is_missing(const pr_orders_t *orders, const char *upstream,
			  const char *model_version);
/** Take the steps that are due; call about once a second. */
void pr_orders_tick(pr_orders_t *orders, pr_usec_t now);

/* Answers of effects; unknown tags are ignored. */
void pr_orders_read_done(pr_orders_t *orders, uint64_t tag,
			 pr_store_status_t status,
			 const pr_store_result_t *result, pr_usec_t now);
void pr_orders_replace_done(pr_orders_t *orders, uint64_t tag,
			    pr_store_status_t status,
			    const pr_store_result_t *result, pr_usec_t now);
void pr_orders_token_done(pr_orders_t *orders, uint64_t tag,
			  pr_order_outcome_t outcome, pr_usec_t now);
void pr_orders_send_done(pr_orders_t *orders, uint64_t tag,
			 pr_order_outcome_t outcome, pr_usec_t now);

#endif
