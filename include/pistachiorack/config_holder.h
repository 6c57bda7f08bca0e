/**
 * The accepted configuration of a host: accepts only higher, valid versions
 * and knows whether it is confirmed to be current.
 *
 * The document lives in table row `config/current`; pr_config_row_t is that
 * row. The holder owns no socket: it asks for a read through its operations
 * and is told the result. It reads once a second, and at once when a peer has
 * a newer version.
 *
 * Confirmation. A read of the store confirms the configuration as of the
 * moment the read was sent. A peer with the same version confirms it as of the
 * moment this host asked, less the age of the peer's own confirmation; ages
 * add up, so peers cannot keep each other confirmed without the store.
 */
#ifndef PISTACHIORACK_CONFIG_HOLDER_H
#define PISTACHIORACK_CONFIG_HOLDER_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/config.h"
#include "pistachiorack/timer.h"

/** Longest change id in bytes, with the terminator. */
#define PR_CHANGE_ID_SIZE 64
/** Earlier change ids that a row carries. */
#define PR_CHANGES_KEPT 16

/** The row `config/current`; slices are borrowed. */
typedef struct pr_config_row_t {
	/** The table's version, for compare-and-set. */
	uint64_t row_version;
	/** The configuration's version; rises by one with each change. */
	uint64_t version;
	/** Identity of the change that wrote the row. */
	pr_slice_t change_id;
	/** Ids of up to 16 changes before it, newest first, with commas. */
	pr_slice_t previous;
	pr_slice_t text;
	/** Why the change was made; written, not read back. May be empty. */
	pr_slice_t reason;
} pr_config_row_t;

/** Append the row's value as a JSON object. @return 0 or PR_ENOMEM */
int pr_config_row_encode(pr_str_t *out, const pr_config_row_t *row);
/**
 * @param value JSON object of the row
 * @param buffer holds what the slices of out point at
 * @return 0 or PR_EPARSE
 */
int pr_config_row_decode(pr_config_row_t *out, pr_str_t *buffer,
			 uint64_t row_version, pr_slice_t value);
/** @return true when the id wrote the row or is among the ids before it */
bool pr_config_row_has(const pr_config_row_t *row, pr_slice_t change_id);

/** An accepted configuration, kept while somebody refers to it. */
typedef struct pr_config_t {
	pr_fleet_t *fleet;
	uint64_t version;
	char change_id[PR_CHANGE_ID_SIZE];
	unsigned int references;
} pr_config_t;

pr_config_t *pr_config_ref(pr_config_t *config);
/** Drop a reference; NULL is allowed. */
void pr_config_unref(pr_config_t *config);

typedef enum pr_config_state_t {
	/** Nothing accepted yet; the host must not serve. */
	PR_CONFIG_NONE,
	/** Confirmed to be current within the last 5 s. */
	PR_CONFIG_CONFIRMED,
	/** Accepted, but not confirmed for 5 s. */
	PR_CONFIG_STALE,
} pr_config_state_t;

typedef enum pr_config_read_t {
	/** The row was read. */
	PR_CONFIG_READ_ROW,
	/** The row still has the row version that was passed as `unless`. */
	PR_CONFIG_READ_SAME,
	/** The store says that there is no row. */
	PR_CONFIG_READ_ABSENT,
	/** No usable answer. */
	PR_CONFIG_READ_FAILED,
} pr_config_read_t;

typedef struct pr_config_holder_ops_t {
	/**
	 * Read the row; answer with pr_config_holder_read_done() and the id.
	 *
	 * @param unless row version that is known, 0 for none
	 */
	void (*read)(void *data, uint64_t id, uint64_t unless);
	/** A version came into force. */
	void (*accepted)(void *data, const pr_config_t *config);
	/** A version was refused; called once for each row version. */
	void (*rejected)(void *data, uint64_t version, const char *reason);
	/** The state changed. */
	void (*state_changed)(void *data, pr_config_state_t state);
} pr_config_holder_ops_t;

typedef struct pr_config_holder_options_t {
	unsigned int version;
	pr_usec_t poll;
	/** Time after which an unanswered read is given up. */
	pr_usec_t read_timeout;
	/** Least time between two reads. */
	pr_usec_t read_gap;
	/** Age of the last confirmation at which the state becomes stale. */
	pr_usec_t stale_after;
	/** True; a test turns it off to show what it prevents. */
	bool monotonic;
} pr_config_holder_options_t;

#define PR_CONFIG_HOLDER_OPTIONS_VERSION 1
#define PR_CONFIG_HOLDER_OPTIONS_INIT                                          \
	{                                                                      \
		.version = PR_CONFIG_HOLDER_OPTIONS_VERSION,                   \
		.poll = PR_USEC_PER_SEC, .read_timeout = 2 * PR_USEC_PER_SEC,  \
		.read_gap = 100 * PR_USEC_PER_MSEC,                            \
		.stale_after = 5 * PR_USEC_PER_SEC, .monotonic = true,         \
	}

typedef struct pr_config_holder_t {
	pr_config_holder_options_t options;
	const pr_config_holder_ops_t *ops;
	void *data;
	/** NULL before the first accepted version. */
	pr_config_t *current;
	pr_config_state_t state;
	/** Highest version that a peer or the store named. */
	uint64_t newest;
	/** Rows with a version that is not above the current one. */
	uint64_t regressions;
	uint64_t rejections;
	/* Private. */
	uint64_t row_version;
	uint64_t rejected_row;
	bool ever_confirmed;
	pr_usec_t confirmed_at;
	uint64_t read_id;
	bool reading;
	bool read_now;
	pr_usec_t read_at;
} pr_config_holder_t;

/** @return 0 or PR_EINVALID */
int pr_config_holder_init(pr_config_holder_t *holder,
			  const pr_config_holder_options_t *options,
			  const pr_config_holder_ops_t *ops, void *data,
			  pr_usec_t now);
void pr_config_holder_finish(pr_config_holder_t *holder);
/** Start due reads and update the state; call every 100 ms. */
void pr_config_holder_tick(pr_config_holder_t *holder, pr_usec_t now);
/** @param row only with PR_CONFIG_READ_ROW */
void pr_config_holder_read_done(pr_config_holder_t *holder, uint64_t id,
				pr_config_read_t result,
				const pr_config_row_t *row, pr_usec_t now);
/**
 * A peer answered with its version.
 *
 * @param age time since the peer's confirmation, PR_USEC_NEVER for none
 * @param asked_at when this host sent what the peer answers
 */
void pr_config_holder_peer(pr_config_holder_t *holder, uint64_t version,
			   pr_usec_t age, pr_usec_t asked_at, pr_usec_t now);
/** @return time since the last confirmation, PR_USEC_NEVER for none */
pr_usec_t pr_config_holder_age(const pr_config_holder_t *holder, pr_usec_t now);
/** @return 0 before the first accepted version */
uint64_t pr_config_holder_version(const pr_config_holder_t *holder);

#endif
