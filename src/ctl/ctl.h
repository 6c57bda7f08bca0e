/* Shared by the commands of pistachiorackctl. */
#ifndef PR_CTL_CTL_H
#define PR_CTL_CTL_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/config_holder.h"
#include "pistachiorack/str.h"

/* Exit codes; they are printed by --help. */
typedef enum ctl_exit_t {
	CTL_OK = 0,
	/* The document has errors, or the documents differ (diff). */
	CTL_FINDINGS = 1,
	CTL_USAGE = 2,
	/* A file, the store or a host could not be reached or read. */
	CTL_UNREACHABLE = 3,
	CTL_CONFLICT = 4,
	/* Written; some hosts have not confirmed. */
	CTL_NOT_CONFIRMED = 5,
	/* A write was sent and its outcome is not known. */
	CTL_UNKNOWN = 6,
} ctl_exit_t;

#define CTL_ARGS_MAX 4

typedef struct ctl_options_t {
	bool json;
	/* ADDRESS:PORT of the store; NULL for none. */
	const char *store;
	/* ADDRESS:PORT of the platform's store; NULL for none. */
	const char *platform;
	/* File to compare with; NULL for none. */
	const char *against;
	/* Settings file of a host; NULL for none. */
	const char *settings;
	/* Warnings count as errors. */
	bool strict;
	/* ADDRESS:PORT of router hosts. */
	const char **hosts;
	int hosts_count;
	const char *reason;
	int base;
	int share;
	int timeout_s;
	/* Port of listed hosts whose address has none. */
	int admin_port;
	const char *args[CTL_ARGS_MAX];
	int args_count;
} ctl_options_t;

/* check.c */
int ctl_check(const ctl_options_t *options);
int ctl_diff(const ctl_options_t *options);

/* offline.c */
int ctl_show(const ctl_options_t *options);
/* Print a JSON value and a newline, and release it. */
void ctl_print_json(json_t *value);
/* Read and parse a file; prints what is wrong. @return a ctl_exit_t */
int ctl_load(pr_fleet_t **out, pr_str_t *text, const char *path);

/* online.c */
int ctl_apply(const ctl_options_t *options);
int ctl_zone(const ctl_options_t *options);
int ctl_version(const ctl_options_t *options);
int ctl_hosts(const ctl_options_t *options);
int ctl_upstreams(const ctl_options_t *options);
int ctl_explain(const ctl_options_t *options);
/* Read row config/current; the row's slices point into buffer. */
pr_config_read_t ctl_read_row(const ctl_options_t *options,
			      pr_config_row_t *row, pr_str_t *buffer);

/* net.c */
/*
 * One HTTP call with the operator's key; waits for its end.
 *
 * @param where ADDRESS:PORT
 * @param body NULL for a GET
 * @return HTTP status, or 0 without a whole answer
 */
int ctl_call(pr_str_t *answer, const char *where, const char *path,
	     const pr_str_t *body);

#endif
