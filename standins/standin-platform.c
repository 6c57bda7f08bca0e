/*
 * standin-platform: the platform's services for tests. Table service and
 * object store share a write and a read budget; rating service, weight store
 * and host list have limits of their own.
 *
 * Control fields beside the faults: writes_per_s, reads_per_s, weights_per_s,
 * count_rows, quality {"[class/]model@version": q}, quality_default,
 * rating_delay_ms, ratings_off, hosts and upstreams (merged by name; state
 * "gone" removes an entry), hosts_lag_ms.
 * `GET /record?table=<name>` adds the rows of a table, without budget.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pistachiorack/error.h"
#include "pistachiorack/log.h"
#include "standin-platform/platform.h"

#define KEY_MAX_BYTES     1024
#define LIST_LIMIT        1000
#define ROWS_MAX          2000000
#define WRITES_PER_S      400
#define READS_PER_S       2000
#define WEIGHTS_PER_S     2
#define REPEATED_ARGS_MAX 1000

static const char rows_path[] = "/v1/table/rows/";
static const char objects_path[] = "/v1/objects/";

static int hex_digit(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}

/* Decodes %xx; @return false when it does not fit or is not valid. */
static bool decode(char *out, size_t size, pr_slice_t text)
{
	size_t used = 0;

	for (size_t i = 0; i < text.len; i++) {
		char c = text.ptr[i];

		if (c == '%') {
			int high = i + 2 < text.len ? hex_digit(text.ptr[i + 1])
						    : -1;
			int low = high < 0 ? -1 : hex_digit(text.ptr[i + 2]);

			if (low < 0)
				return false;
			c = (char)(high * 16 + low);
			i += 2;
		}
		if (!c || used + 1 >= size)
			return false;
		out[used++] = c;
	}
	out[used] = '\0';
	return true;
}

static void over_budget(standin_exchange_t *exchange)
{
	standin_record_count(&exchange->standin->record, "over_budget");
	pr_http_answer_header(exchange->http, "retry-after", PR_SLICE("1"));
	standin_answer_error(exchange, 429, "over_budget", "not_run");
}

static bool take_read(standin_exchange_t *exchange, platform_t *platform)
{
	if (budget_take(&platform->reads, 1, standin_now(&platform->standin)))
		return true;
	over_budget(exchange);
	return false;
}

static bool take_write(standin_exchange_t *exchange, platform_t *platform,
		       size_t rows)
{
	double amount = platform->count_rows ? (double)rows : 1;

	if (budget_take(&platform->writes, amount,
			standin_now(&platform->standin)))
		return true;
	over_budget(exchange);
	return false;
}

/* The record keeps what was written where, not the values. */
static json_t *op_entry(const json_t *op, const json_t *result)
{
	json_t *entry = json_object();

	json_object_set(entry, "table", json_object_get(op, "table"));
	json_object_set(entry, "key", json_object_get(op, "key"));
	json_object_set(entry, "applied", json_object_get(result, "applied"));
	json_object_set(entry, "version", json_object_get(result, "version"));
	return entry;
}

static void commit(standin_exchange_t *exchange, platform_t *platform)
{
	json_t *ops = json_object_get(exchange->json, "ops");
	json_t *results, *entries, *op, *result;
	size_t count = json_array_size(ops);
	size_t i;

	if (!count || count > PLATFORM_OPS_MAX) {
		standin_answer_error(exchange, 400, "bad_request", "not_run");
		return;
	}
	if (!take_write(exchange, platform, count))
		return;
	results = json_array();
	entries = json_array();
	json_array_foreach(ops, i, op)
	{
		if (tables_apply(&platform->tables, op, &result))
			result = json_pack("{s:b,s:i,s:s}", "applied", 0,
					   "version", 0, "error",
					   pr_error_last());
		json_array_append_new(entries, op_entry(op, result));
		json_array_append_new(results, result);
	}
	standin_record_count(&platform->standin.record, "commits");
	standin_record_add(
		&platform->standin.record,
		json_pack("{s:s,s:o}", "kind", "commit", "ops", entries));
	standin_answer(exchange, 200, json_pack("{s:o}", "results", results));
}

static void list_rows(standin_exchange_t *exchange, platform_t *platform,
		      const char *table)
{
	char raw[KEY_MAX_BYTES];
	char prefix[KEY_MAX_BYTES];
	char after[KEY_MAX_BYTES];
	int64_t limit = standin_query_int(exchange, "limit", LIST_LIMIT);

	standin_query(exchange, "prefix", raw, sizeof(raw));
	if (!decode(prefix, sizeof(prefix), pr_slice_of(raw)))
		prefix[0] = '\0';
	standin_query(exchange, "after", raw, sizeof(raw));
	if (!decode(after, sizeof(after), pr_slice_of(raw)))
		after[0] = '\0';
	standin_answer(
		exchange, 200,
		json_pack("{s:o}", "rows",
			  tables_list(&platform->tables, table, prefix, after,
				      limit > 0 ? (size_t)limit : 0)));
}

static void read_row(standin_exchange_t *exchange, platform_t *platform)
{
	char path[KEY_MAX_BYTES];
	char *key;
	const row_t *row;
	pr_slice_t rest = exchange->http->path;

	rest.ptr += sizeof(rows_path) - 1;
	rest.len -= sizeof(rows_path) - 1;
	if (!decode(path, sizeof(path), rest)) {
		standin_answer_error(exchange, 400, "bad_request", "not_run");
		return;
	}
	if (!take_read(exchange, platform))
		return;
	standin_record_count(&platform->standin.record, "reads");
	key = strchr(path, '/');
	if (!key) {
		list_rows(exchange, platform, path);
		return;
	}
	*key++ = '\0';
	row = tables_find(&platform->tables, path, key);
	if (!row || !row->value) {
		standin_answer_error(exchange, 404, "not_found", "not_run");
		return;
	}
	if (standin_query_int(exchange, "unless", -1) ==
	    (int64_t)row->version) {
		standin_answer_bytes(exchange, 304, NULL, pr_slice("", 0));
		return;
	}
	standin_answer(exchange, 200,
		       json_pack("{s:I,s:O}", "version",
				 (json_int_t)row->version, "value",
				 row->value));
}

static void object(standin_exchange_t *exchange, platform_t *platform)
{
	char name[KEY_MAX_BYTES];
	const object_t *found;
	pr_slice_t rest = exchange->http->path;

	rest.ptr += sizeof(objects_path) - 1;
	rest.len -= sizeof(objects_path) - 1;
	if (!decode(name, sizeof(name), rest) || !name[0]) {
		standin_answer_error(exchange, 400, "bad_request", "not_run");
		return;
	}
	if (pr_slice_equal(exchange->http->method, PR_SLICE("PUT"))) {
		if (!take_write(exchange, platform, 1))
			return;
		if (objects_put(&platform->objects, name,
				exchange->http->body)) {
			standin_answer_error(exchange, 507, "full", "not_run");
			return;
		}
		standin_record_count(&platform->standin.record, "objects_put");
		standin_answer(exchange, 200, json_pack("{s:b}", "ok", 1));
		return;
	}
	if (!take_read(exchange, platform))
		return;
	found = objects_get(&platform->objects, name);
	if (!found) {
		standin_answer_error(exchange, 404, "not_found", "not_run");
		return;
	}
	standin_answer_bytes(exchange, 200, "application/octet-stream",
			     pr_slice(found->bytes, found->len));
}

static void fetch_weights(standin_exchange_t *exchange, platform_t *platform)
{
	const char *upstream = standin_field(exchange, "upstream", NULL);
	const char *version = standin_field(exchange, "version", NULL);

	if (!upstream || !version) {
		standin_answer_error(exchange, 400, "bad_request", "not_run");
		return;
	}
	if (!budget_take(&platform->weights, 1,
			 standin_now(&platform->standin))) {
		over_budget(exchange);
		return;
	}
	standin_record_count(&platform->standin.record, "weights");
	standin_record_add(&platform->standin.record,
			   json_pack("{s:s,s:s,s:s}", "kind", "weights",
				     "upstream", upstream, "version", version));
	standin_answer(exchange, 200, json_pack("{s:b}", "ok", 1));
}

static void handle(standin_exchange_t *exchange, void *data)
{
	platform_t *platform = data;
	pr_slice_t path = exchange->http->path;

	if (standin_is(exchange, "POST", "/v1/table/commit"))
		commit(exchange, platform);
	else if (pr_slice_starts_with(path, PR_SLICE("/v1/table/rows/")) &&
		 pr_slice_equal(exchange->http->method, PR_SLICE("GET")))
		read_row(exchange, platform);
	else if (pr_slice_starts_with(path, PR_SLICE("/v1/objects/")))
		object(exchange, platform);
	else if (standin_is(exchange, "GET", "/v1/hosts"))
		standin_answer(exchange, 200,
			       json_pack("{s:O,s:O}", "hosts",
					 platform->hosts.hosts, "upstreams",
					 platform->hosts.upstreams));
	else if (pr_slice_equal(path, PR_SLICE("/v1/ratings")))
		ratings_handle(exchange, platform);
	else if (standin_is(exchange, "POST", "/v1/weights"))
		fetch_weights(exchange, platform);
	else
		standin_answer_error(exchange, 404, "not_found", "not_run");
}

static void set_rate(platform_t *platform, budget_t *budget,
		     const json_t *fields, const char *name)
{
	const json_t *value = json_object_get(fields, name);

	if (json_is_number(value) && json_number_value(value) >= 0)
		budget_init(budget, json_number_value(value),
			    standin_now(&platform->standin));
}

static void control(const json_t *fields, void *data)
{
	platform_t *platform = data;
	const json_t *rows = json_object_get(fields, "count_rows");

	set_rate(platform, &platform->writes, fields, "writes_per_s");
	set_rate(platform, &platform->reads, fields, "reads_per_s");
	set_rate(platform, &platform->weights, fields, "weights_per_s");
	if (json_is_boolean(rows))
		platform->count_rows = json_is_true(rows);
	ratings_control(&platform->ratings, fields);
	hosts_change(platform, fields);
}

static void record(json_t *out, const standin_exchange_t *exchange, void *data)
{
	platform_t *platform = data;
	char table[KEY_MAX_BYTES];

	json_object_set_new(out, "writes", budget_json(&platform->writes));
	json_object_set_new(out, "reads", budget_json(&platform->reads));
	standin_query(exchange, "table", table, sizeof(table));
	if (table[0])
		json_object_set_new(out, "rows",
				    tables_list(&platform->tables, table, "",
						"", ROWS_MAX));
}

static void start(void *data)
{
	platform_t *platform = data;
	pr_usec_t now = standin_now(&platform->standin);

	budget_init(&platform->writes, platform->writes.per_s, now);
	budget_init(&platform->reads, platform->reads.per_s, now);
	budget_init(&platform->weights, platform->weights.per_s, now);
}

static const standin_ops_t ops = {
	.handle = handle,
	.control = control,
	.record = record,
	.start = start,
};

static int read_qualities(ratings_t *ratings, const struct arg_str *quality)
{
	for (int i = 0; i < quality->count; i++) {
		const char *text = quality->sval[i];
		const char *equals = strchr(text, '=');
		char name[256];

		if (!equals ||
		    pr_slice_copy(name, sizeof(name),
				  pr_slice(text, (size_t)(equals - text))))
			return pr_error_set(PR_EINVALID,
					    "--quality %s is not "
					    "MODEL@VERSION=Q",
					    text);
		json_object_set_new(ratings->quality, name,
				    json_real(strtod(equals + 1, NULL)));
	}
	return 0;
}

static int set_up(platform_t *platform, int argc, char **argv,
		  standin_options_t *options)
{
	struct arg_int *writes =
		arg_int0(NULL, "writes", "N", "writes per second");
	struct arg_int *reads =
		arg_int0(NULL, "reads", "N", "reads per second");
	struct arg_dbl *weights =
		arg_dbl0(NULL, "weights", "N", "weight fetches per second");
	struct arg_str *count = arg_str0(NULL, "count", "rows|commits",
					 "what counts as a write");
	struct arg_str *quality =
		arg_strn(NULL, "quality", "MODEL@VERSION=Q", 0,
			 REPEATED_ARGS_MAX, "share of good answers");
	void *extra[] = { writes, reads, weights, count, quality };
	int rc;

	writes->ival[0] = WRITES_PER_S;
	reads->ival[0] = READS_PER_S;
	weights->dval[0] = WEIGHTS_PER_S;
	count->sval[0] = "commits";
	rc = standin_parse(options, argc, argv, extra, 5);
	if (rc)
		goto cleanup;
	platform->writes.per_s = writes->ival[0];
	platform->reads.per_s = reads->ival[0];
	platform->weights.per_s = weights->dval[0];
	platform->count_rows = strcmp(count->sval[0], "rows") == 0;
	if (!platform->count_rows && strcmp(count->sval[0], "commits") != 0) {
		rc = pr_error_set(PR_EINVALID,
				  "--count %s is not rows or commits",
				  count->sval[0]);
		goto cleanup;
	}
	platform->tables.rows_max = ROWS_MAX;
	rc = ratings_init(&platform->ratings);
	if (!rc)
		rc = hosts_init(&platform->hosts);
	if (!rc)
		rc = read_qualities(&platform->ratings, quality);
cleanup:
	arg_freetable(extra, 5);
	return rc;
}

int main(int argc, char **argv)
{
	static platform_t platform;
	standin_options_t options = { 0 };
	int rc = set_up(&platform, argc, argv, &options);

	if (rc < 0)
		pr_log(PR_LOG_ERR, "%s", pr_error_last());
	if (rc)
		return rc < 0 ? EXIT_FAILURE : EXIT_SUCCESS;
	return standin_run(&platform.standin, &options, &ops, &platform);
}
