/* pistachiorackd: start, signals, end. */
#include <argtable2.h>
#include <signal.h>
#include <stdio.h>

#include "pistachiorack/error.h"
#include "pistachiorack/log.h"
#include "router/router.h"
#include "router/test_off.h"

#define EXIT_USAGE    2
#define EXIT_SETTINGS 3
#define EXIT_START    4

static pr_router_t router;

static void on_signal(uv_signal_t *handle, int number)
{
	pr_router_stop(&router);
}

static int run(const char *path)
{
	uv_loop_t *loop = uv_default_loop();
	pr_settings_t *settings;
	uv_signal_t terminate, interrupt;

	signal(SIGPIPE, SIG_IGN);
	if (pr_test_off_init() || pr_settings_load(&settings, path)) {
		pr_log(PR_LOG_ERR, "%s", pr_error_last());
		return EXIT_SETTINGS;
	}
	if (pr_router_init(&router, loop, settings)) {
		pr_log(PR_LOG_ERR, "%s", pr_error_last());
		return EXIT_START;
	}
	uv_signal_init(loop, &terminate);
	uv_signal_start(&terminate, on_signal, SIGTERM);
	uv_signal_init(loop, &interrupt);
	uv_signal_start(&interrupt, on_signal, SIGINT);
	uv_run(loop, UV_RUN_DEFAULT);
	pr_router_finish(&router);
	pr_settings_free(settings);
	pr_log(PR_LOG_NOTICE, "stopped");
	return 0;
}

int main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this text");
	struct arg_file *settings =
		arg_file0("s", "settings", "FILE", "settings file (YAML)");
	struct arg_end *end = arg_end(4);
	void *table[] = { help, settings, end };
	int errors = arg_parse(argc, argv, table);
	int status = 0;

	pr_log_init("pistachiorackd");
	if (help->count || errors || !settings->count) {
		fprintf(help->count ? stdout : stderr,
			"usage: pistachiorackd --settings FILE\n");
		arg_print_glossary(help->count ? stdout : stderr, table,
				   "  %-24s %s\n");
		if (!help->count) {
			arg_print_errors(stderr, end, "pistachiorackd");
			status = EXIT_USAGE;
		}
	} else {
		status = run(settings->filename[0]);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
