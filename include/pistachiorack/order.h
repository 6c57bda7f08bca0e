/**
 * Orders to engines. An order tells an engine to load a model version that the
 * configuration lists for the engine and that the engine has not loaded.
 *
 * The host that owns an upstream performs the steps of an order in sequence:
 * 1. read the row `orders/<upstream>` of the platform's store,
 * 2. replace the row by compare-and-set,
 * 3. obtain a token of the weight store,
 * 4. send the order to the engine.
 *
 * The version of the row after the write is the fencing number of the order, so
 * the numbers rise and no two orders have the same. An engine that checks
 * fencing numbers refuses a delayed order of a previous owner. For engines that
 * ignore them, "load" is the only kind of order, since loading a version twice
 * or late does no harm. Versions are never unloaded.
 *
 * A step whose answer is lost never counts as done. After a write with unknown
 * outcome the row is read back; after a token request or an order with unknown
 * outcome, a new order follows later.
 */
#ifndef PISTACHIORACK_ORDER_H
#define PISTACHIORACK_ORDER_H

#include "pistachiorack/store.h"
#include "pistachiorack/timer.h"

/** Buffer size for the name of an upstream, in bytes with the final NUL. */
#define PR_ORDER_NAME_SIZE 65
/** Buffer size for "model@version", in bytes with the final NUL. */
#define PR_ORDER_MODEL_VERSION_SIZE 130

typedef struct pr_orders_t pr_orders_t;

/** Outcome of a token request or of sending an order. */
typedef enum pr_order_outcome_t {
	PR_ORDER_OK,
	/**
	 * The weight store has no token left, or the engine has seen an order
	 * with a higher fencing number.
	 */
	PR_ORDER_REFUSED,
	/** No answer, or an answer that does not say whether it was done. */
	PR_ORDER_UNKNOWN,
} pr_order_outcome_t;

/**
 * Asynchronous operations that the caller provides. Each but owns() reports its
 * result with the given tag: read_row to pr_orders_read_done(), replace_row to
 * pr_orders_replace_done(), request_token to pr_orders_token_done() and
 * send_order to pr_orders_send_done().
 */
typedef struct pr_order_ops_t {
	/** @return true when this host owns the upstream */
	bool (*owns)(void *data, const char *upstream);
	void (*read_row)(void *data, const char *upstream, uint64_t tag);
	/**
	 * Replace the upstream's row if it has the given version; version 0
	 * means that the row must not exist.
	 */
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
	/** Name of this host; written into its rows. */
	const char *host;
	/** Id of this run of the host's process; written into its rows. */
	const char *boot;
	/**
	 * Time in microseconds that an engine has for loading a version before
	 * the order may be repeated.
	 */
	pr_usec_t load_timeout;
	/**
	 * First and longest delay in microseconds before an order whose step
	 * failed is retried. The delay doubles with each failure.
	 */
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

/** Counters. */
typedef struct pr_order_stats_t {
	/** Writes of rows that gave an order its fencing number. */
	uint64_t rows_written;
	uint64_t tokens_granted;
	/** Orders sent to engines. */
	uint64_t sent;
	/** Orders refused by engines. */
	uint64_t refused;
	/** Orders whose version was reported as loaded. */
	uint64_t completed;
} pr_order_stats_t;

/**
 * Create the orders of a host.
 *
 * @param ops operations; must stay valid until pr_orders_close()
 * @param data passed to the operations
 * @return 0, PR_EINVALID when the options are not valid, or PR_ENOMEM
 */
int pr_orders_open(pr_orders_t **out, const pr_order_options_t *options,
		   const pr_order_ops_t *ops, void *data);
void pr_orders_close(pr_orders_t *orders);
const pr_order_stats_t *pr_orders_stats(const pr_orders_t *orders);

/*
 * Replacing the list of desired versions: call pr_orders_desired_begin(), then
 * pr_orders_desired_add() for each version, then pr_orders_desired_end(), which
 * removes all versions that were not added.
 */
void pr_orders_desired_begin(pr_orders_t *orders);
/**
 * Add a desired version.
 *
 * @param model_version "model@version"
 * @return 0, PR_EINVALID when a name is too long, or PR_ENOMEM
 */
int pr_orders_desired_add(pr_orders_t *orders, const char *upstream,
			  const char *model_version);
void pr_orders_desired_end(pr_orders_t *orders);

/**
 * Record whether an upstream has loaded a version, as stated by a load report
 * or by a refusal of the engine. Versions that are not desired are ignored.
 *
 * @param now current time in microseconds
 */
void pr_orders_report(pr_orders_t *orders, const char *upstream,
		      const char *model_version, bool loaded, pr_usec_t now);
/** @return true for a desired version that was not loaded at the last report */
bool pr_orders_is_missing(const pr_orders_t *orders, const char *upstream,
			  const char *model_version);
/**
 * Start orders for missing versions and time out steps without an answer; call
 * about once a second.
 *
 * @param now current time in microseconds
 */
void pr_orders_tick(pr_orders_t *orders, pr_usec_t now);

/* Results of the operations. A tag that is unknown or outdated is ignored. */
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
