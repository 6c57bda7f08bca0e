/**
 * Error codes and the detail of the last error.
 *
 * Functions that can fail return 0 or one of the negative codes below. The
 * function that detects the fault stores a message with pr_error_set().
 */
#ifndef PISTACHIORACK_ERROR_H
#define PISTACHIORACK_ERROR_H

typedef enum pr_error_code_t {
	PR_OK = 0,
	/** An argument or an input value is not valid. */
	PR_EINVALID = -1,
	/** Memory could not be allocated. */
	PR_ENOMEM = -2,
	/** The named thing does not exist. */
	PR_ENOTFOUND = -3,
	/** It exists already, or another writer was first. */
	PR_ECONFLICT = -4,
	/** A bounded table, queue or budget is full. */
	PR_EFULL = -5,
	/** The deadline passed. */
	PR_ETIMEDOUT = -6,
	/** The other side could not be reached or broke the connection. */
	PR_EIO = -7,
	/** Policy or credentials do not allow it. */
	PR_EDENIED = -8,
	/** A message or document could not be parsed. */
	PR_EPARSE = -9,
	/** The service is down or not ready. */
	PR_EUNAVAILABLE = -10,
	/** More data is needed before a result can be given. */
	PR_EAGAIN = -11,
} pr_error_code_t;

/**
 * Store the detail of an error for pr_error_last().
 *
 * @param code negative error code
 * @param fmt printf format of the message; the text is cut at 255 bytes
 * @return code, so that a caller can write `return pr_error_set(...)`
 */
int pr_error_set(int code, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/** @return the message of the last error on this thread, never NULL */
const char *pr_error_last(void);

/** @return a short stable name for a code, for example "conflict" */
const char *pr_error_name(int code);

#endif
