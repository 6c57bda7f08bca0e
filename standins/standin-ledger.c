/*
 * standin-ledger: a ledger service for tests. `POST /<operation>` runs the
 * operation every time, also for an idempotency key that it has seen, and each
 * run is recorded, so a checker can count the runs of a key. Control fields:
 * work_ms (time that a run takes).
 */
#include <stdio.h>
#include <stdlib.h>

#include "common/standin.h"
#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"
#include "pistachiorack/log.h"

#define NAME_MAX_BYTES 256
#define WORK_MS_MAX    60000

typedef struct ledger_t {
	standin_t standin;
	uint32_t work_ms;
	uint64_t runs;
} ledger_t;

static json_t *run_entry(standin_exchange_t *exchange, uint64_t number)
{
	char key[NAME_MAX_BYTES];
	char attempt[NAME_MAX_BYTES];
	char workspace[NAME_MAX_BYTES];
	char hash[PR_SHA256_HEX_SIZE];
	pr_slice_t path = exchange->http->path;

	standin_header(exchange, "idempotency-key", key, sizeof(key));
	standin_header(exchange, "x-attempt-id", attempt, sizeof(attempt));
	standin_header(exchange, "x-workspace", workspace, sizeof(workspace));
	pr_sha256_hex(hash, exchange->http->body);
	return json_pack("{s:s%,s:s,s:s,s:s,s:s,s:I}", "operation",
			 path.ptr + 1, path.len - 1, "key", key, "attempt",
			 attempt, "workspace", workspace, "body_sha256", hash,
			 "run", (json_int_t)number);
}

static void on_work_end(pr_timer_t *timer, pr_usec_t now)
{
	standin_exchange_t *exchange = timer->data;

	standin_answer(exchange, 200, exchange->user);
}

/* The run stands, although nobody waits for its answer. */
static void on_gone(standin_exchange_t *exchange)
{
	ledger_t *ledger = exchange->standin->data;

	standin_record_count(&ledger->standin.record, "callers_gone");
	json_decref(exchange->user);
}

/* The effect happens here; the answer may still be lost. */
static void run_operation(standin_exchange_t *exchange, ledger_t *ledger)
{
	json_t *entry = run_entry(exchange, ++ledger->runs);

	if (!entry) {
		ledger->runs--;
		standin_answer_error(exchange, 400, "bad_request", "not_run");
		return;
	}
	standin_record_count(&ledger->standin.record, "runs");
	standin_record_add(&ledger->standin.record, json_copy(entry));
	json_object_set_new(entry, "ledger",
			    json_string(ledger->standin.options.name));
	if (!ledger->work_ms) {
		standin_answer(exchange, 200, entry);
		return;
	}
	exchange->user = entry;
	exchange->gone = on_gone;
	standin_after(&ledger->standin, &exchange->timer,
		      ledger->work_ms * PR_USEC_PER_MSEC, 0, on_work_end);
}

static void handle(standin_exchange_t *exchange, void *data)
{
	ledger_t *ledger = data;

	if (!pr_slice_equal(exchange->http->method, PR_SLICE("POST")) ||
	    exchange->http->path.len < 2) {
		standin_answer_error(exchange, 404, "not_found", "not_run");
		return;
	}
	run_operation(exchange, ledger);
}

static void control(const json_t *fields, void *data)
{
	ledger_t *ledger = data;
	const json_t *value = json_object_get(fields, "work_ms");

	if (json_is_integer(value) && json_integer_value(value) >= 0 &&
	    json_integer_value(value) <= WORK_MS_MAX)
		ledger->work_ms = (uint32_t)json_integer_value(value);
}

static const standin_ops_t ops = { .handle = handle, .control = control };

int main(int argc, char **argv)
{
	static ledger_t ledger;
	standin_options_t options = { 0 };
	struct arg_int *work =
		arg_int0(NULL, "work-ms", "MS", "time that a run takes");
	void *extra[] = { work };
	int rc;

	work->ival[0] = 0;
	rc = standin_parse(&options, argc, argv, extra, 1);
	ledger.work_ms = (uint32_t)work->ival[0];
	arg_freetable(extra, 1);
	if (rc < 0)
		pr_log(PR_LOG_ERR, "%s", pr_error_last());
	if (rc)
		return rc < 0 ? EXIT_FAILURE : EXIT_SUCCESS;
	return standin_run(&ledger.standin, &options, &ops, &ledger);
}
