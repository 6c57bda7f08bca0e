/**
 * Log lines on standard error with a syslog severity prefix, as a service
 * manager reads them: `<5>name: text`. Lines are for changes of state; events
 * per request are counted (metrics.h), not logged.
 */
#ifndef PISTACHIORACK_LOG_H
#define PISTACHIORACK_LOG_H

typedef enum pr_severity_t {
	PR_LOG_ERR = 3,
	PR_LOG_WARNING = 4,
	PR_LOG_NOTICE = 5,
	PR_LOG_INFO = 6,
} pr_severity_t;

/** Set the program name of the lines; the text must outlive the program. */
void pr_log_init(const char *program);
void pr_log(pr_severity_t severity, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

#endif
