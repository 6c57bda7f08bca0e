/**
 * TCP connection on libuv with buffered writes and an operations table.
 */
#ifndef PR_HTTP_LINK_H
#define PR_HTTP_LINK_H

#include <stdbool.h>
#include <uv.h>

#include "pistachiorack/str.h"

typedef struct pr_link_t pr_link_t;

/** Events of a link; every member is required but on_drained. */
typedef struct pr_link_ops_t {
	/** An outgoing connection stands (rc 0) or failed (negative). */
	void (*on_connect)(pr_link_t *link, int rc);
	void (*on_read)(pr_link_t *link, const char *bytes, size_t len);
	/** The peer ended its side (clean) or the connection broke. */
	void (*on_end)(pr_link_t *link, bool clean);
	/** All written bytes have been handed to the kernel. */
	void (*on_drained)(pr_link_t *link);
	/** Last event; the memory may be freed. */
	void (*on_closed)(pr_link_t *link);
} pr_link_ops_t;

struct pr_link_t {
	uv_tcp_t tcp;
	uv_connect_t connect;
	const pr_link_ops_t *ops;
	/** Bytes accepted by pr_link_write() and not yet by the kernel. */
	size_t unsent;
	bool connected;
	bool reading;
	bool closing;
	/** A write or a look at the input has found an error. The kernel
	 *  reports it once, and reads find the end of the stream afterwards. */
	bool broken;
};

/** Prepare the memory; pr_link_close() must follow. @return 0 or PR_EIO */
int pr_link_init(pr_link_t *link, uv_loop_t *loop, const pr_link_ops_t *ops);
/** Take a connection from a listener. @return 0 or PR_EIO */
int pr_link_accept(pr_link_t *link, uv_stream_t *listener);
/** @return 0 or PR_EIO; the result comes with on_connect */
int pr_link_connect(pr_link_t *link, const struct sockaddr_in *address);
/** Write a copy of the bytes. @return 0, PR_EIO or PR_ENOMEM */
int pr_link_write(pr_link_t *link, const void *bytes, size_t len);
/**
 * Write bytes without a copy. They must stay until on_drained or the close of
 * the link. @return 0, PR_EIO or PR_ENOMEM
 */
int pr_link_write_borrowed(pr_link_t *link, const void *bytes, size_t len);
/** Write the content of a string, which becomes empty, without a copy.
 * @return 0, PR_EIO or PR_ENOMEM */
int pr_link_write_owned(pr_link_t *link, pr_str_t *content);
/** @return bytes not yet accepted by the kernel. Unlike `unsent`, it also
 *	   counts a write down that is under way. */
size_t pr_link_queued(const pr_link_t *link);
/** Stop reading, for back pressure. */
void pr_link_pause(pr_link_t *link);
void pr_link_resume(pr_link_t *link);
/** @return true when bytes or the end of the connection wait to be read */
bool pr_link_has_input(pr_link_t *link);
/** Unsent bytes are lost. Calls after the first do nothing. */
void pr_link_close(pr_link_t *link);
/** Close with a reset, which the peer cannot take for a clean end. */
void pr_link_reset(pr_link_t *link);

#endif
