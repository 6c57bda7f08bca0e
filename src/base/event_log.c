/* Bounded, non-blocking structured log. */
#include "base/event_log.h"

#include <fcntl.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LINE_SIZE   512
#define BUFFER_SIZE ((size_t)32 * 1024)
/* Lines a second about requests: several for each request at the usual load
 * of a host, a bound on processor time beyond it. */
#define LINES_PER_S 150
#define LINES_BURST 300

static struct {
	const char *host;
	char buffer[BUFFER_SIZE];
	size_t used;
	double room;
	pr_usec_t now;
	unsigned long dropped, reported;
} event_log;

void pr_event_log_init(const char *host)
{
	int flags = fcntl(STDOUT_FILENO, F_GETFL);

	event_log.host = host;
	event_log.room = LINES_BURST;
	if (flags >= 0)
		fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void pr_event_log_flush(void)
{
	ssize_t done;

	if (!event_log.used)
		return;
	done = write(STDOUT_FILENO, event_log.buffer, event_log.used);
	if (done <= 0)
		return;
	event_log.used -= (size_t)done;
	memmove(event_log.buffer, event_log.buffer + done, event_log.used);
}

void pr_event_log_finish(void)
{
	pr_event_log_flush();
}

static void append(const char *event, const char *fmt, va_list args)
{
	char line[LINE_SIZE];
	int used = snprintf(line, sizeof(line), "t=%lld host=%s event=%s ",
			    (long long)(event_log.now / PR_USEC_PER_MSEC),
			    event_log.host ? event_log.host : "-", event);
	int more;

	more = vsnprintf(line + used, sizeof(line) - (size_t)used, fmt, args);
	if (more > 0)
		used += more;
	if (used > LINE_SIZE - 1)
		used = LINE_SIZE - 1;
	line[used++] = '\n';
	if (event_log.used + (size_t)used > BUFFER_SIZE) {
		event_log.dropped++;
		return;
	}
	memcpy(event_log.buffer + event_log.used, line, (size_t)used);
	event_log.used += (size_t)used;
}

void pr_event_state(const char *event, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	append(event, fmt, args);
	va_end(args);
}

void pr_event(const char *event, const char *fmt, ...)
{
	va_list args;

	if (event_log.room < 1) {
		event_log.dropped++;
		return;
	}
	event_log.room -= 1;
	va_start(args, fmt);
	append(event, fmt, args);
	va_end(args);
}

void pr_event_log_tick(pr_usec_t now)
{
	if (event_log.now)
		event_log.room += LINES_PER_S * (double)(now - event_log.now) /
				  PR_USEC_PER_SEC;
	if (event_log.room > LINES_BURST)
		event_log.room = LINES_BURST;
	event_log.now = now;
	if (event_log.dropped > event_log.reported && event_log.room > 1) {
		pr_event_state("log_dropped", "lines=%lu",
			       event_log.dropped - event_log.reported);
		event_log.reported = event_log.dropped;
	}
}

unsigned long pr_event_log_dropped(void)
{
	return event_log.dropped;
}
