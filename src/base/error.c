/* The last error's text, one buffer per thread. */
#include "pistachiorack/error.h"

#include <stdarg.h>
#include <stdio.h>

#define MESSAGE_MAX 256

static _Thread_local char last_message[MESSAGE_MAX];

int pr_error_set(int code, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	vsnprintf(last_message, sizeof(last_message), fmt, args);
	va_end(args);
	return code;
}

const char *pr_error_last(void)
{
	return last_message;
}

const char *pr_error_name(int code)
{
	static const char *const names[] = {
		"ok",       "invalid", "no_memory",   "not_found",
		"conflict", "full",    "timed_out",   "io",
		"denied",   "parse",   "unavailable", "again",
	};
	int index = -code;

	if (index < 0 || index >= (int)(sizeof(names) / sizeof(names[0])))
		return "unknown";
	return names[index];
}
