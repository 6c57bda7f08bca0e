/* Commands that talk to the store and to router hosts. */
#include <stdio.h>
#include <stdlib.h>
#include <uv.h>

#include "ctl/ctl.h"
#include "pistachiorack/config_apply.h"
#include "pistachiorack/error.h"

#define ROW_PATH "/v1/table/rows/config/current"
/* An edit is made anew on the other's document this often on a conflict. */
#define EDIT_TRIES 5
#define TICK_MS    100

typedef struct run_t {
	const ctl_options_t *options;
	pr_apply_t apply;
} run_t;

static pr_usec_t now_usec(void)
{
	return (pr_usec_t)(uv_hrtime() / 1000);
}

static pr_config_read_t decode_row(pr_config_row_t *row, pr_str_t *buffer,
				   const json_t *object)
{
	const json_t *version = json_object_get(object, "version");
	const json_t *value = json_object_get(object, "value");
	char *text = json_dumps(value, JSON_COMPACT);
	int rc = PR_EPARSE;

	if (text && json_is_integer(version))
		rc = pr_config_row_decode(row, buffer,
					  (uint64_t)json_integer_value(version),
					  pr_slice_of(text));
	free(text);
	return rc ? PR_CONFIG_READ_FAILED : PR_CONFIG_READ_ROW;
}

pr_config_read_t ctl_read_row(const ctl_options_t *options,
			      pr_config_row_t *row, pr_str_t *buffer)
{
	pr_config_read_t result = PR_CONFIG_READ_FAILED;
	pr_str_t answer = PR_STR_INIT;
	int status;

	status = ctl_call(&answer, options->store, ROW_PATH, NULL);
	if (status == 404) {
		result = PR_CONFIG_READ_ABSENT;
	} else if (status == 200) {
		json_t *object = json_loadb(answer.ptr, answer.len, 0, NULL);

		result = decode_row(row, buffer, object);
		json_decref(object);
	}
	pr_str_finish(&answer);
	return result;
}

static void on_read(void *data, uint64_t id)
{
	run_t *run = data;
	pr_str_t buffer = PR_STR_INIT;
	pr_config_row_t row = { 0 };
	pr_config_read_t result = ctl_read_row(run->options, &row, &buffer);

	pr_apply_read_done(&run->apply, id, result, &row, now_usec());
	pr_str_finish(&buffer);
}

static int commit_body(pr_str_t *out, const pr_config_row_t *row)
{
	pr_str_t value = PR_STR_INIT;
	int rc = pr_config_row_encode(&value, row);

	if (!rc && row->row_version)
		rc = pr_str_appendf(out,
				    "{\"ops\":[{\"table\":\"config\",\"key\":"
				    "\"current\",\"if\":\"version\","
				    "\"version\":%lu,\"value\":",
				    row->row_version);
	else if (!rc)
		rc = pr_str_appendf(out, "{\"ops\":[{\"table\":\"config\","
					 "\"key\":\"current\",\"if\":"
					 "\"absent\",\"value\":");
	if (!rc)
		rc = pr_str_append(out, value.ptr, value.len);
	if (!rc)
		rc = pr_str_append(out, "}]}", 3);
	pr_str_finish(&value);
	return rc;
}

static void on_commit(void *data, uint64_t id, const pr_config_row_t *row)
{
	run_t *run = data;
	pr_str_t body = PR_STR_INIT, answer = PR_STR_INIT, buffer = PR_STR_INIT;
	pr_commit_result_t result = PR_COMMIT_LOST;
	pr_config_row_t found = { 0 };
	json_t *root = NULL;
	const json_t *applied;

	if (!commit_body(&body, row) &&
	    ctl_call(&answer, run->options->store, "/v1/table/commit", &body) ==
		    200) {
		const json_t *first;

		root = json_loadb(answer.ptr, answer.len, 0, NULL);
		first = json_array_get(json_object_get(root, "results"), 0);
		applied = json_object_get(first, "applied");
		if (json_is_true(applied))
			result = PR_COMMIT_APPLIED;
		else if (json_is_false(applied) &&
			 decode_row(&found, &buffer, first) ==
				 PR_CONFIG_READ_ROW)
			result = PR_COMMIT_REFUSED;
	}
	pr_apply_commit_done(&run->apply, id, result, &found, now_usec());
	json_decref(root);
	pr_str_finish(&body);
	pr_str_finish(&answer);
	pr_str_finish(&buffer);
}

static void on_ask_hosts(void *data)
{
	run_t *run = data;

	for (unsigned int i = 0; i < run->apply.hosts_count; i++) {
		const char *host = run->apply.hosts[i].name;
		pr_str_t answer = PR_STR_INIT;
		json_t *root;

		if (ctl_call(&answer, host, "/admin/config", NULL) == 200) {
			root = json_loadb(answer.ptr, answer.len, 0, NULL);
			pr_apply_host(
				&run->apply, pr_slice_of(host),
				(uint64_t)json_integer_value(
					json_object_get(root, "version")),
				json_is_true(json_object_get(root, "fresh")));
			json_decref(root);
		}
		pr_str_finish(&answer);
	}
}

static const pr_apply_ops_t apply_ops = { on_read, on_commit, on_ask_hosts };

static int exit_code(pr_apply_result_t result)
{
	switch (result) {
	case PR_APPLY_CONFIRMED:
		return CTL_OK;
	case PR_APPLY_NOT_CONFIRMED:
		return CTL_NOT_CONFIRMED;
	case PR_APPLY_CONFLICT:
		return CTL_CONFLICT;
	case PR_APPLY_UNKNOWN:
		return CTL_UNKNOWN;
	default:
		return CTL_UNREACHABLE;
	}
}

static void report(const run_t *run)
{
	static const char *const names[] = { "pending",       "confirmed",
					     "not_confirmed", "conflict",
					     "failed",        "unknown" };
	const pr_apply_t *apply = &run->apply;
	json_t *missing = json_array(), *clashes = json_array();

	for (unsigned int i = 0; i < apply->hosts_count; i++)
		if (!apply->hosts[i].confirmed && apply->version)
			json_array_append_new(
				missing, json_string(apply->hosts[i].name));
	for (unsigned int i = 0; i < apply->clashes.count; i++)
		json_array_append_new(
			clashes, json_string(apply->clashes.items[i].path));
	if (run->options->json) {
		ctl_print_json(
			json_pack("{s:s, s:I, s:I, s:o, s:o}", "result",
				  names[apply->result], "version",
				  (json_int_t)apply->version, "other_version",
				  (json_int_t)apply->other_version, "missing",
				  missing, "clashes", clashes));
		return;
	}
	printf("%s: version %lu\n", names[apply->result], apply->version);
	for (size_t i = 0; i < json_array_size(missing); i++)
		printf("not confirmed by %s\n",
		       json_string_value(json_array_get(missing, i)));
	if (apply->result == PR_APPLY_CONFLICT)
		printf("version %lu was first\n", apply->other_version);
	for (size_t i = 0; i < json_array_size(clashes); i++)
		printf("both changes set %s\n",
		       json_string_value(json_array_get(clashes, i)));
	json_decref(missing);
	json_decref(clashes);
}

/* Expects every router host that the platform lists and that does not leave. */
static void expect_listed(run_t *run)
{
	pr_str_t answer = PR_STR_INIT, name = PR_STR_INIT;
	json_t *root = NULL, *host;
	size_t index;

	if (ctl_call(&answer, run->options->store, "/v1/hosts", NULL) == 200)
		root = json_loadb(answer.ptr, answer.len, 0, NULL);
	json_array_foreach(json_object_get(root, "hosts"), index, host)
	{
		const char *state =
			json_string_value(json_object_get(host, "state"));
		const char *address =
			json_string_value(json_object_get(host, "address"));

		if (!address || (state && !strcmp(state, "leaving")))
			continue;
		pr_str_clear(&name);
		pr_str_appendf(&name, "%s", address);
		if (!strchr(address, ':'))
			pr_str_appendf(&name, ":%d", run->options->admin_port);
		if (pr_apply_expect(&run->apply, pr_str_slice(&name)))
			fprintf(stderr, "%s\n", pr_error_last());
	}
	if (!root)
		fprintf(stderr, "the list of hosts cannot be read from %s\n",
			run->options->store);
	json_decref(root);
	pr_str_finish(&answer);
	pr_str_finish(&name);
}

/* Applies a document and leaves the result in run->apply. */
static int apply_text(run_t *run, pr_slice_t text, uint64_t expected)
{
	const ctl_options_t *options = run->options;
	unsigned char random[12];
	char id[2 * sizeof(random) + 1] = "";
	int rc;

	if (uv_random(NULL, NULL, random, sizeof(random), 0, NULL))
		return PR_EUNAVAILABLE;
	for (size_t i = 0; i < sizeof(random); i++)
		snprintf(id + 2 * i, 3, "%02x", random[i]);
	rc = pr_apply_init(&run->apply, &apply_ops, run, pr_slice_of(id), text,
			   expected,
			   now_usec() + options->timeout_s * PR_USEC_PER_SEC);
	run->apply.reason = pr_slice_of(options->reason);
	for (int i = 0; i < options->hosts_count && !rc; i++)
		rc = pr_apply_expect(&run->apply,
				     pr_slice_of(options->hosts[i]));
	/* Without the list the change is written and ends as not confirmed. */
	if (!rc && !options->hosts_count)
		expect_listed(run);
	while (!rc && run->apply.result == PR_APPLY_PENDING) {
		pr_apply_tick(&run->apply, now_usec());
		if (run->apply.state != PR_APPLY_DONE)
			uv_sleep(TICK_MS);
	}
	if (rc)
		fprintf(stderr, "%s\n", pr_error_last());
	return rc;
}

static bool has_store(const ctl_options_t *options)
{
	if (!options->store)
		fprintf(stderr, "--store ADDRESS:PORT is needed\n");
	return options->store != NULL;
}

int ctl_apply(const ctl_options_t *options)
{
	run_t run = { .options = options };
	pr_str_t text = PR_STR_INIT;
	pr_fleet_t *fleet = NULL;
	int rc;

	if (!has_store(options))
		return CTL_USAGE;
	rc = ctl_load(&fleet, &text, options->args[0]);
	if (!rc &&
	    apply_text(&run, pr_str_slice(&text), (uint64_t)options->base)) {
		rc = CTL_FINDINGS;
	} else if (!rc) {
		report(&run);
		rc = exit_code(run.apply.result);
	}
	pr_apply_finish(&run.apply);
	pr_fleet_free(fleet);
	pr_str_finish(&text);
	return rc;
}

/* Changes a document; prints what is wrong. @return a ctl_exit_t */
typedef int (*edit_t)(pr_fleet_t *fleet, const ctl_options_t *options);

static int edit_once(run_t *run, edit_t edit)
{
	pr_str_t buffer = PR_STR_INIT, text = PR_STR_INIT;
	pr_fleet_t *fleet = NULL;
	pr_config_row_t row = { 0 };
	int rc;

	if (ctl_read_row(run->options, &row, &buffer) != PR_CONFIG_READ_ROW ||
	    pr_fleet_parse(&fleet, "config/current", row.text)) {
		fprintf(stderr, "no configuration can be read from %s\n",
			run->options->store);
		rc = CTL_UNREACHABLE;
	} else {
		rc = edit(fleet, run->options);
	}
	if (!rc && pr_fleet_print(fleet, &text))
		rc = CTL_UNREACHABLE;
	if (!rc)
		rc = apply_text(run, pr_str_slice(&text), row.version)
			     ? CTL_FINDINGS
			     : exit_code(run->apply.result);
	pr_fleet_free(fleet);
	pr_str_finish(&text);
	pr_str_finish(&buffer);
	return rc;
}

static int edit_and_apply(const ctl_options_t *options, edit_t edit)
{
	run_t run = { .options = options };
	int rc = CTL_CONFLICT;

	if (!has_store(options))
		return CTL_USAGE;
	for (int i = 0; i < EDIT_TRIES && rc == CTL_CONFLICT; i++) {
		pr_apply_finish(&run.apply);
		rc = edit_once(&run, edit);
	}
	if (run.apply.result != PR_APPLY_PENDING)
		report(&run);
	pr_apply_finish(&run.apply);
	return rc;
}

static int edit_zone(pr_fleet_t *fleet, const ctl_options_t *options)
{
	pr_zone_t *zone = (pr_zone_t *)pr_fleet_zone(
		fleet, pr_slice_of(options->args[1]));

	if (!zone) {
		fprintf(stderr, "zone %s is unknown\n", options->args[1]);
		return CTL_USAGE;
	}
	zone->state =
		strcmp(options->args[0], "out") == 0 ? PR_ZONE_OUT : PR_ZONE_IN;
	return CTL_OK;
}

int ctl_zone(const ctl_options_t *options)
{
	bool out = strcmp(options->args[0], "out") == 0;

	if (!out && strcmp(options->args[0], "in") != 0) {
		fprintf(stderr, "zone: allowed are out and in\n");
		return CTL_USAGE;
	}
	if (out && !*options->reason) {
		fprintf(stderr, "zone out needs --reason\n");
		return CTL_USAGE;
	}
	return edit_and_apply(options, edit_zone);
}

static int edit_version(pr_fleet_t *fleet, const ctl_options_t *options)
{
	const char *verb = options->args[0];
	const pr_model_t *model =
		pr_fleet_model(fleet, pr_slice_of(options->args[1]));
	pr_version_t *version = NULL;

	if (model)
		version = (pr_version_t *)pr_model_version(
			model, pr_slice_of(options->args[2]));
	if (!version) {
		fprintf(stderr, "%s@%s is unknown\n", options->args[1],
			options->args[2]);
		return CTL_USAGE;
	}
	if (!strcmp(verb, "withdraw")) {
		version->state = PR_VERSION_WITHDRAWN;
	} else if (!strcmp(verb, "halt")) {
		version->state = PR_VERSION_HALTED;
	} else {
		version->state = PR_VERSION_ROLLING;
		version->share = (uint32_t)options->share;
	}
	return CTL_OK;
}

int ctl_version(const ctl_options_t *options)
{
	const char *verb = options->args[0];

	if (strcmp(verb, "withdraw") != 0 && strcmp(verb, "halt") != 0 &&
	    strcmp(verb, "rollout") != 0) {
		fprintf(stderr,
			"version: allowed are withdraw, halt and rollout\n");
		return CTL_USAGE;
	}
	if (!strcmp(verb, "rollout") &&
	    (options->share < 1 || options->share > PR_SHARE_FULL)) {
		fprintf(stderr, "rollout needs --share between 1 and %d\n",
			PR_SHARE_FULL);
		return CTL_USAGE;
	}
	return edit_and_apply(options, edit_version);
}

/* Prints the JSON that a router host answers with. */
static int ask(const ctl_options_t *options, const char *path)
{
	int rc = CTL_OK;

	if (!options->hosts_count) {
		fprintf(stderr, "--host ADDRESS:PORT is needed\n");
		return CTL_USAGE;
	}
	for (int i = 0; i < options->hosts_count; i++) {
		pr_str_t answer = PR_STR_INIT;
		json_t *root = NULL;
		int status = ctl_call(&answer, options->hosts[i], path, NULL);

		if (status == 200)
			root = json_loadb(answer.ptr, answer.len, 0, NULL);
		if (root) {
			ctl_print_json(root);
		} else {
			fprintf(stderr, "%s: no usable answer, status %d\n",
				options->hosts[i], status);
			rc = CTL_UNREACHABLE;
		}
		pr_str_finish(&answer);
	}
	return rc;
}

int ctl_hosts(const ctl_options_t *options)
{
	return ask(options, "/admin/hosts");
}

int ctl_upstreams(const ctl_options_t *options)
{
	return ask(options, "/admin/upstreams");
}

int ctl_explain(const ctl_options_t *options)
{
	pr_str_t path = PR_STR_INIT;
	int rc = CTL_USAGE;

	if (options->args[0][strspn(options->args[0],
				    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOP"
				    "QRSTUVWXYZ0123456789-_.:/")])
		fprintf(stderr, "the request id has a character that is not "
				"allowed\n");
	else if (!pr_str_appendf(&path, "/admin/explain?request=%s",
				 options->args[0]))
		rc = ask(options, pr_str_cstr(&path));
	pr_str_finish(&path);
	return rc;
}
