/* Log lines; one write per line, so lines of several processes do not mix. */
#include "pistachiorack/log.h"

#include <stdarg.h>
#include <stdio.h>
#include <unistd.h>

#define LINE_MAX_BYTES 1024

static const char *program_name = "pistachiorack";

void pr_log_init(const char *program)
{
	program_name = program;
}

void pr_log(pr_severity_t severity, const char *fmt, ...)
{
	char line[LINE_MAX_BYTES];
	va_list args;
	int used;
	int more;

	used = snprintf(line, sizeof(line), "<%d>%s: ", severity, program_name);
	va_start(args, fmt);
	more = vsnprintf(line + used, sizeof(line) - (size_t)used - 1, fmt,
			 args);
	va_end(args);
	if (more < 0)
		return;
	used += more;
	if (used > (int)sizeof(line) - 2)
		used = (int)sizeof(line) - 2;
	line[used++] = '\n';
	if (write(STDERR_FILENO, line, (size_t)used) < 0)
		return;
}
