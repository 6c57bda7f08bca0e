/*
 * standin-load: a caller for tests. It sends a mixed load in an open loop
 * (arrivals do not wait for answers), checks every answer and prints a summary
 * as JSON. The run is bounded by --seconds or --requests; after that it waits
 * for open requests, at most for their time limits and retries.
 *
 * Exit code: 0, 1 for wrong arguments, 2 when an answer was wrong.
 */
#include <argtable2.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "pistachiorack/error.h"
#include "pistachiorack/log.h"
#include "standin-load/load.h"

#define POOL_IDLE_MAX 256
#define ARGS_MAX      16
#define REQUESTS_MAX  5000000
#define SECONDS_MAX   3600
#define RATE_MAX      50000
#define WRONG_STATUS  2
#define DEFAULT_MIX   "route=5,summary=2,tag=2,pickup=1,payout=1"

typedef struct args_t {
	struct arg_lit *help, *direct, *no_token;
	struct arg_str *entry, *key, *mix, *model, *service, *out;
	struct arg_dbl *rate, *seconds, *leave;
	struct arg_int *requests, *in_flight, *timeout, *retry, *retry_ms;
	struct arg_int *sessions, *prefixes, *prefix_bytes, *seed;
	struct arg_end *end;
} args_t;

pr_usec_t load_now(load_t *load)
{
	return (pr_usec_t)(uv_hrtime() / 1000);
}

static load_class_id_t draw_class(load_t *load)
{
	double left = pr_rand_unit(&load->rand) * load->options.mix_sum;

	for (int i = 0; i < LOAD_CLASSES; i++) {
		left -= load->options.mix[i];
		if (left < 0)
			return (load_class_id_t)i;
	}
	return LOAD_ROUTE;
}

void load_send(load_t *load)
{
	load_request_t *request;
	const load_options_t *options = &load->options;

	load->sent++;
	if (load->in_flight >= options->in_flight_max) {
		load->skipped++;
		return;
	}
	request = calloc(1, sizeof(*request));
	if (!request) {
		load->skipped++;
		return;
	}
	request->load = load;
	request->number = load->sent;
	request->class_id = draw_class(load);
	request->workspace = &load->workspaces[pr_rand_below(
		&load->rand, (uint32_t)load->workspaces_count)];
	if (options->sessions) {
		uint32_t which = pr_rand_below(&load->rand, options->sessions);

		request->session = &load->sessions[which];
		/* A session belongs to one workspace. */
		request->workspace =
			&load->workspaces[which % load->workspaces_count];
	}
	load->in_flight++;
	load->stats[request->class_id].requests++;
	load_request_make(request);
	load_request_start(request);
}

static void stop_if_done(load_t *load)
{
	if (load->closing && !load->in_flight)
		uv_stop(&load->loop);
}

void load_request_ended(load_t *load)
{
	load->in_flight--;
	stop_if_done(load);
}

static bool arrivals_over(const load_t *load, pr_usec_t now)
{
	const load_options_t *options = &load->options;

	if (options->requests && load->sent >= options->requests)
		return true;
	return options->seconds > 0 &&
	       (double)(now - load->began) / (double)PR_USEC_PER_SEC >=
		       options->seconds;
}

/* Sends everything that is due, so that a late timer loses no arrival. */
static void on_arrival(pr_timer_t *timer, pr_usec_t now)
{
	load_t *load = timer->data;

	while (!load->closing && load->next_at <= now) {
		if (arrivals_over(load, load->next_at)) {
			load->closing = true;
			stop_if_done(load);
			return;
		}
		load_send(load);
		load->next_at += (pr_usec_t)pr_rand_exponential(
			&load->rand,
			(double)PR_USEC_PER_SEC / load->options.rate);
	}
	if (!load->closing)
		pr_timers_subscribe(&load->timers, &load->arrival,
				    load->next_at - now, 0, on_arrival);
}

static void on_tick(uv_timer_t *tick)
{
	load_t *load = tick->data;

	pr_timers_advance(&load->timers, load_now(load));
}

static void on_signal(uv_signal_t *handle, int number)
{
	load_t *load = handle->data;

	if (load->closing)
		uv_stop(&load->loop);
	load->closing = true;
	stop_if_done(load);
}

static int read_entries(load_t *load, const struct arg_str *entry)
{
	for (int i = 0; i < entry->count; i++) {
		load_entry_t *out = &load->entries[load->entries_count];
		const char *text = entry->sval[i];
		const char *colon = strchr(text, ':');
		char address[32];
		int rc;

		if (!colon || strncmp(text, "127.", 4) != 0 ||
		    pr_slice_copy(address, sizeof(address),
				  pr_slice(text, (size_t)(colon - text))))
			return pr_error_set(PR_EINVALID,
					    "--entry %s is not a loopback "
					    "address with a port",
					    text);
		snprintf(out->name, sizeof(out->name), "%s", text);
		rc = pr_http_target_open(&out->target, load->client, address,
					 (uint16_t)strtoul(colon + 1, NULL, 10),
					 POOL_IDLE_MAX);
		if (rc)
			return rc;
		load->entries_count++;
	}
	return 0;
}

static int read_keys(load_t *load, const struct arg_str *key)
{
	for (int i = 0; i < key->count; i++) {
		load_workspace_t *out =
			&load->workspaces[load->workspaces_count];
		const char *equals = strchr(key->sval[i], '=');

		if (!equals ||
		    pr_slice_copy(out->name, sizeof(out->name),
				  pr_slice(key->sval[i],
					   (size_t)(equals - key->sval[i]))) ||
		    pr_slice_copy(out->key, sizeof(out->key),
				  pr_slice_of(equals + 1)))
			return pr_error_set(PR_EINVALID,
					    "--key %s is not WORKSPACE=KEY",
					    key->sval[i]);
		load->workspaces_count++;
	}
	if (!load->workspaces_count) {
		snprintf(load->workspaces[0].name, LOAD_NAME_BYTES, "w1");
		snprintf(load->workspaces[0].key, LOAD_NAME_BYTES, "key-w1");
		load->workspaces_count = 1;
	}
	return 0;
}

static int class_of(const char *name, size_t len)
{
	for (int i = 0; i < LOAD_CLASSES; i++)
		if (strlen(load_classes[i].name) == len &&
		    memcmp(load_classes[i].name, name, len) == 0)
			return i;
	return -1;
}

static int read_mix(load_options_t *options, const char *text)
{
	while (*text) {
		size_t len = strcspn(text, "=,");
		int id = class_of(text, len);
		char *end;

		if (id < 0 || text[len] != '=')
			return pr_error_set(PR_EINVALID,
					    "--mix: %s is not CLASS=WEIGHT",
					    text);
		options->mix[id] = strtod(text + len + 1, &end);
		if (end == text + len + 1 || options->mix[id] < 0 ||
		    (*end && *end != ','))
			return pr_error_set(PR_EINVALID,
					    "--mix: %s has no valid weight",
					    text);
		options->mix_sum += options->mix[id];
		text = *end ? end + 1 : end;
	}
	if (options->mix_sum <= 0)
		return pr_error_set(PR_EINVALID, "--mix is empty");
	return 0;
}

static int read_options(load_options_t *options, const args_t *args)
{
	options->rate = args->rate->dval[0];
	options->seconds = args->seconds->dval[0];
	options->requests = (uint64_t)args->requests->ival[0];
	options->in_flight_max = (uint32_t)args->in_flight->ival[0];
	options->timeout_ms = (uint32_t)args->timeout->ival[0];
	options->retries = (uint32_t)args->retry->ival[0];
	options->retry_ms = (uint32_t)args->retry_ms->ival[0];
	options->sessions = (uint32_t)args->sessions->ival[0];
	options->prefixes = (uint32_t)args->prefixes->ival[0];
	options->prefix_bytes = (uint32_t)args->prefix_bytes->ival[0];
	options->leave = args->leave->dval[0];
	options->model = args->model->sval[0];
	options->service = args->service->sval[0];
	options->direct = args->direct->count > 0;
	options->no_token = args->no_token->count > 0;
	options->seed = (uint64_t)args->seed->ival[0];
	if (options->seconds <= 0 && !options->requests)
		options->seconds = 10;
	if (options->seconds > SECONDS_MAX ||
	    options->requests > REQUESTS_MAX || options->rate <= 0 ||
	    options->rate > RATE_MAX)
		return pr_error_set(PR_EINVALID,
				    "--rate, --seconds or --requests is out "
				    "of bounds");
	if (options->sessions > LOAD_SESSIONS_MAX)
		return pr_error_set(PR_EINVALID, "--sessions is above %d",
				    LOAD_SESSIONS_MAX);
	return read_mix(options, args->mix->sval[0]);
}

static void make_args(args_t *args)
{
	*args = (args_t){
		.help = arg_lit0(NULL, "help", "print this text"),
		.no_token = arg_lit0(NULL, "no-token",
				     "sessions send only their id"),
		.direct = arg_lit0(NULL, "direct",
				   "entries are engines or ledgers"),
		.entry = arg_strn(NULL, "entry", "IP:PORT", 1, LOAD_ENTRIES_MAX,
				  "host to send to"),
		.key = arg_strn(NULL, "key", "WORKSPACE=KEY", 0,
				LOAD_WORKSPACES_MAX, "caller's bearer key"),
		.mix = arg_str0(NULL, "mix", "CLASS=WEIGHT,...", "classes"),
		.model = arg_str0(NULL, "model", "NAME", "model asked for"),
		.service = arg_str0(NULL, "service", "NAME", "ledger service"),
		.out = arg_str0(NULL, "out", "FILE", "one line per attempt"),
		.rate = arg_dbl0(NULL, "rate", "N", "requests per second"),
		.seconds = arg_dbl0(NULL, "seconds", "S", "length of the load"),
		.leave = arg_dbl0(NULL, "leave", "P", "streams left early"),
		.requests = arg_int0(NULL, "requests", "N", "requests in all"),
		.in_flight = arg_int0(NULL, "in-flight", "N", "most at once"),
		.timeout = arg_int0(NULL, "timeout-ms", "MS", "per attempt"),
		.retry = arg_int0(NULL, "retry", "N",
				  "retries of operations, same key"),
		.retry_ms = arg_int0(NULL, "retry-ms", "MS", "first delay"),
		.sessions = arg_int0(NULL, "sessions", "N", "sessions"),
		.prefixes = arg_int0(NULL, "prefixes", "N", "shared prefixes"),
		.prefix_bytes = arg_int0(NULL, "prefix-bytes", "N", "length"),
		.seed = arg_int0(NULL, "seed", "N", "of random choices"),
		.end = arg_end(ARGS_MAX),
	};
	args->mix->sval[0] = DEFAULT_MIX;
	args->model->sval[0] = "small";
	args->service->sval[0] = "ledger";
	/* argtable2 leaves values that were not given uninitialised. */
	args->seconds->dval[0] = 0;
	args->leave->dval[0] = 0;
	args->requests->ival[0] = 0;
	args->retry->ival[0] = 0;
	args->sessions->ival[0] = 0;
	args->prefixes->ival[0] = 0;
	args->rate->dval[0] = 50;
	args->in_flight->ival[0] = 4096;
	args->timeout->ival[0] = 10000;
	args->retry_ms->ival[0] = 100;
	args->prefix_bytes->ival[0] = 512;
	args->seed->ival[0] = 1;
}

/* args_t holds pointers only, so it is argtable2's table. */
#define ARGS_COUNT (sizeof(args_t) / sizeof(void *))

static void free_args(args_t *args)
{
	arg_freetable((void **)args, ARGS_COUNT);
}

/* @return 0, 1 when the help text was printed, or PR_EINVALID */
static int parse(args_t *args, int argc, char **argv)
{
	void **table = (void **)args;

	make_args(args);
	if (arg_nullcheck(table))
		return pr_error_set(PR_ENOMEM, "no memory for arguments");
	if (arg_parse(argc, argv, table) > 0 && !args->help->count) {
		arg_print_errors(stderr, args->end, argv[0]);
		return pr_error_set(PR_EINVALID, "bad arguments, see --help");
	}
	if (args->help->count) {
		arg_print_glossary(stdout, table, "  %-26s %s\n");
		return 1;
	}
	return 0;
}

static int set_up(load_t *load, const args_t *args)
{
	int rc = read_options(&load->options, args);

	if (!rc)
		rc = pr_rand_init(&load->rand, load->options.seed);
	uv_loop_init(&load->loop);
	if (!rc)
		rc = pr_http_client_open(&load->client, &load->loop,
					 load->options.timeout_ms);
	if (!rc)
		rc = read_entries(load, args->entry);
	if (!rc)
		rc = read_keys(load, args->key);
	if (rc)
		return rc;
	load->sessions =
		calloc(load->options.sessions + 1, sizeof(load_session_t));
	for (int i = 0; i < LOAD_CLASSES; i++)
		load->stats[i].errors = json_object();
	if (args->out->count) {
		load->out = fopen(args->out->sval[0], "w");
		if (!load->out)
			return pr_error_set(PR_EIO, "cannot write %s",
					    args->out->sval[0]);
	}
	return load->sessions ? 0 : PR_ENOMEM;
}

static void run(load_t *load)
{
	static const int numbers[2] = { SIGTERM, SIGINT };

	signal(SIGPIPE, SIG_IGN);
	load->began = load->next_at = load_now(load);
	pr_timers_init(&load->timers, load->began);
	load->tick.data = load;
	uv_timer_init(&load->loop, &load->tick);
	uv_timer_start(&load->tick, on_tick, 0, 1);
	for (int i = 0; i < 2; i++) {
		load->signals[i].data = load;
		uv_signal_init(&load->loop, &load->signals[i]);
		uv_signal_start(&load->signals[i], on_signal, numbers[i]);
	}
	load->arrival.data = load;
	pr_timers_subscribe(&load->timers, &load->arrival, 0, 0, on_arrival);
	uv_run(&load->loop, UV_RUN_DEFAULT);
}

int main(int argc, char **argv)
{
	static load_t load;
	args_t args;
	uint64_t wrong = 0;
	int rc;

	pr_log_init("standin-load");
	rc = parse(&args, argc, argv);
	if (!rc)
		rc = set_up(&load, &args);
	free_args(&args);
	if (rc < 0)
		pr_log(PR_LOG_ERR, "%s", pr_error_last());
	if (rc)
		return rc < 0 ? EXIT_FAILURE : EXIT_SUCCESS;
	pr_log(PR_LOG_NOTICE, "seed %llu",
	       (unsigned long long)load.options.seed);
	run(&load);
	load_report_summary(&load);
	if (load.out && fclose(load.out))
		return EXIT_FAILURE;
	for (int i = 0; i < LOAD_CLASSES; i++)
		wrong += load.stats[i].wrong;
	return wrong ? WRONG_STATUS : EXIT_SUCCESS;
}
