/* Command line and signal handling of pistachiorack-edge. */
#include <argtable2.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/event_log.h"
#include "edge/daemon.h"
#include "pistachiorack/error.h"
#include "platform/adapter.h"

#define EXIT_USAGE    2
#define EXIT_SETTINGS 3
/* Blocks of this size or more, in bytes, are returned to the system as soon as
 * they are freed. */
#define LARGE_BLOCK (128 * 1024)

static pr_edge_t edge;

static void on_signal(uv_signal_t *handle, int number)
{
	if (number == SIGHUP)
		pr_edge_reload(&edge);
	else
		pr_edge_stop(&edge);
}

static int run(const char *path)
{
	static const int numbers[] = { SIGTERM, SIGINT, SIGHUP };
	uv_signal_t signals[sizeof(numbers) / sizeof(numbers[0])];
	uv_loop_t *loop = uv_default_loop();

	signal(SIGPIPE, SIG_IGN);
	for (size_t i = 0; i < sizeof(numbers) / sizeof(numbers[0]); i++) {
		uv_signal_init(loop, &signals[i]);
		uv_signal_start(&signals[i], on_signal, numbers[i]);
	}
	if (pr_edge_init(&edge, loop, path)) {
		fprintf(stderr, "pistachiorack-edge: %s\n", pr_error_last());
		return EXIT_SETTINGS;
	}
	uv_run(loop, UV_RUN_DEFAULT);
	pr_event_state("stopped", "requests=%zu", edge.exchanges_count);
	pr_event_log_finish();
	return 0;
}

int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this text");
	struct arg_lit *check =
		arg_lit0("c", "check", "check the settings and exit");
	struct arg_file *file = arg_file0("s", "settings", "FILE",
					  "settings file (YAML); default from "
					  "the platform's environment");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, check, file, end };
	int errors = arg_parse(argc, argv, table);
	const char *path = pr_adapter_settings_path();
	pr_edge_settings_t *settings;
	int status = 0;

	/* Without it the allocator raises this limit when the first large block
	 * is freed, and keeps the memory of later ones. */
	mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK);
	if (file->count)
		path = file->filename[0];
	if (help->count || errors || !path) {
		fprintf(help->count ? stdout : stderr,
			"usage: pistachiorack-edge");
		arg_print_syntax(help->count ? stdout : stderr, table, "\n");
		arg_print_glossary(help->count ? stdout : stderr, table,
				   "  %-24s %s\n");
		status = help->count ? 0 : EXIT_USAGE;
	} else if (check->count) {
		status = pr_edge_settings_load(&settings, path) ? EXIT_SETTINGS
								: 0;
		if (status)
			fprintf(stderr, "pistachiorack-edge: %s\n",
				pr_error_last());
		else
			pr_edge_settings_free(settings);
	} else {
		status = run(path);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
