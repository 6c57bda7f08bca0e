/*
 * TCP connection. Reads share one buffer, since libuv delivers a read before
 * it asks for the next buffer; nothing here runs on a second thread.
 */
#include "http/link.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "pistachiorack/error.h"

#define READ_BYTES 32768
/*
 * Keep-alive probes find connections that went silent without a reset within
 * about three seconds, less than the time after which the platform counts a
 * host as reachable again.
 */
#define PROBE_IDLE_S      1
#define PROBE_INTERVAL_S  1
#define PROBE_COUNT       2
#define UNACKNOWLEDGED_MS 3000
/* Replaces UNACKNOWLEDGED_MS for accepted connections. The kernel does not tell
 * a peer that is gone from one that reads nothing for a while. */
#define UNREAD_MS 30000

typedef struct write_t {
	uv_write_t request;
	size_t len;
	/** Memory of the bytes where the write owns it; NULL otherwise. */
	char *owned;
	char bytes[];
} write_t;

/* Receive and send buffers of accepted connections in the kernel, bytes.
 * Without a limit they grow to several MB, which count towards the machine's
 * memory. */
#define ACCEPTED_BUFFER_BYTES (128 * 1024)

static char read_buffer[READ_BYTES];

int pr_link_init(pr_link_t *link, uv_loop_t *loop, const pr_link_ops_t *ops)
{
	memset(link, 0, sizeof(*link));
	link->ops = ops;
	link->tcp.data = link;
	if (uv_tcp_init(loop, &link->tcp))
		return pr_error_set(PR_EIO, "no handle for a connection");
	return 0;
}

static void set_options(pr_link_t *link, unsigned int unacknowledged)
{
	int interval = PROBE_INTERVAL_S;
	int count = PROBE_COUNT;
	uv_os_fd_t fd;

	uv_tcp_nodelay(&link->tcp, 1);
	uv_tcp_keepalive(&link->tcp, 1, PROBE_IDLE_S);
	if (uv_fileno((uv_handle_t *)&link->tcp, &fd))
		return;
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged,
		   sizeof(unacknowledged));
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	*buf = uv_buf_init(read_buffer, sizeof(read_buffer));
}

typedef enum input_t {
	INPUT_NONE,
	INPUT_BYTES,
	INPUT_END,
	INPUT_ERROR,
} input_t;

/* Look at what the next read finds. */
static input_t peek(pr_link_t *link)
{
	uv_os_fd_t fd;
	ssize_t len = -1;
	char byte;

	if (!uv_fileno((const uv_handle_t *)&link->tcp, &fd)) {
		len = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
		if (len < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return INPUT_NONE;
	}
	if (len >= 0)
		return len ? INPUT_BYTES : INPUT_END;
	link->broken = true;
	return INPUT_ERROR;
}

/* An error that no call has reported: reads behind the end of the stream report
 * the end only. */
static bool has_pending_error(const pr_link_t *link)
{
	socklen_t len = sizeof(int);
	int error = 0;
	uv_os_fd_t fd;

	return uv_fileno((const uv_handle_t *)&link->tcp, &fd) ||
	       getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) || error;
}

/*
 * libuv reports an end of stream when a reset follows the last bytes before
 * they are read. The socket still tells the two apart, unless something else
 * has found the reset before.
 */
static bool is_clean_end(pr_link_t *link)
{
	return peek(link) == INPUT_END && !has_pending_error(link) &&
	       !link->broken;
}

bool pr_link_has_input(pr_link_t *link)
{
	return peek(link) != INPUT_NONE;
}

static void on_read(uv_stream_t *stream, ssize_t len, const uv_buf_t *buf)
{
	pr_link_t *link = stream->data;

	if (link->closing || !len)
		return;
	if (len < 0) {
		link->reading = false;
		uv_read_stop(stream);
		link->ops->on_end(link, len == UV_EOF && is_clean_end(link));
		return;
	}
	link->ops->on_read(link, buf->base, (size_t)len);
}

void pr_link_resume(pr_link_t *link)
{
	if (link->reading || link->closing)
		return;
	link->reading =
		!uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read);
}

void pr_link_pause(pr_link_t *link)
{
	if (!link->reading)
		return;
	link->reading = false;
	uv_read_stop((uv_stream_t *)&link->tcp);
}

int pr_link_accept(pr_link_t *link, uv_stream_t *listener)
{
	int buffer_bytes = ACCEPTED_BUFFER_BYTES;
	int rc = uv_accept(listener, (uv_stream_t *)&link->tcp);

	if (rc)
		return pr_error_set(PR_EIO, "accept: %s", uv_strerror(rc));
	link->connected = true;
	set_options(link, UNREAD_MS);
	uv_recv_buffer_size((uv_handle_t *)&link->tcp, &buffer_bytes);
	uv_send_buffer_size((uv_handle_t *)&link->tcp, &buffer_bytes);
	pr_link_resume(link);
	return 0;
}

static void on_connect(uv_connect_t *request, int status)
{
	pr_link_t *link = request->handle->data;

	if (link->closing)
		return;
	if (!status) {
		link->connected = true;
		set_options(link, UNACKNOWLEDGED_MS);
		pr_link_resume(link);
	}
	link->ops->on_connect(link, status);
}

int pr_link_connect(pr_link_t *link, const struct sockaddr_in *address)
{
	int rc = uv_tcp_connect(&link->connect, &link->tcp,
				(const struct sockaddr *)address, on_connect);

	if (rc)
		return pr_error_set(PR_EIO, "connect: %s", uv_strerror(rc));
	return 0;
}

static void on_written(uv_write_t *request, int status)
{
	write_t *write = (write_t *)(void *)request;
	pr_link_t *link = request->handle->data;

	link->unsent -= write->len;
	free(write->owned);
	free(write);
	if (status)
		link->broken = true;
	if (link->closing)
		return;
	if (status)
		link->ops->on_end(link, false);
	else if (!link->unsent && link->ops->on_drained)
		link->ops->on_drained(link);
}

/* Write what the kernel takes at once. @return the number of bytes */
static size_t write_now(pr_link_t *link, const void *bytes, size_t len)
{
	uv_buf_t buf = uv_buf_init((char *)(uintptr_t)bytes, (unsigned)len);
	int rc;

	if (link->unsent)
		return 0;
	rc = uv_try_write((uv_stream_t *)&link->tcp, &buf, 1);
	if (rc < 0 && rc != UV_EAGAIN)
		link->broken = true;
	return rc > 0 ? (size_t)rc : 0;
}

/* Queue bytes that outlive the write or belong to it. @return 0 or PR_EIO */
static int queue_write(pr_link_t *link, write_t *write, const void *bytes,
		       size_t len)
{
	uv_buf_t buf = uv_buf_init((char *)(uintptr_t)bytes, (unsigned)len);
	int rc = uv_write(&write->request, (uv_stream_t *)&link->tcp, &buf, 1,
			  on_written);

	if (rc)
		return pr_error_set(PR_EIO, "write: %s", uv_strerror(rc));
	write->len = len;
	link->unsent += len;
	return 0;
}

/* Write bytes that are copied when the kernel does not take them, unless they
 * outlive the write. */
static int write_bytes(pr_link_t *link, const char *bytes, size_t len,
		       bool copied)
{
	write_t *write;
	size_t written;
	int rc;

	if (link->closing)
		return PR_EIO;
	written = write_now(link, bytes, len);
	if (written == len)
		return 0;
	bytes += written;
	len -= written;
	write = malloc(sizeof(*write) + (copied ? len : 0));
	if (!write)
		return pr_error_set(PR_ENOMEM, "no memory for a write");
	write->owned = NULL;
	if (copied) {
		memcpy(write->bytes, bytes, len);
		bytes = write->bytes;
	}
	rc = queue_write(link, write, bytes, len);
	if (rc)
		free(write);
	return rc;
}

int pr_link_write(pr_link_t *link, const void *bytes, size_t len)
{
	return write_bytes(link, bytes, len, true);
}

int pr_link_write_borrowed(pr_link_t *link, const void *bytes, size_t len)
{
	return write_bytes(link, bytes, len, false);
}

int pr_link_write_owned(pr_link_t *link, pr_str_t *content)
{
	write_t *write = NULL;
	size_t written;
	int rc = 0;

	if (link->closing) {
		pr_str_finish(content);
		return PR_EIO;
	}
	written = write_now(link, content->ptr, content->len);
	if (written == content->len)
		goto cleanup;
	write = malloc(sizeof(*write));
	if (!write) {
		rc = pr_error_set(PR_ENOMEM, "no memory for a write");
		goto cleanup;
	}
	write->owned = content->ptr;
	rc = queue_write(link, write, content->ptr + written,
			 content->len - written);
	if (!rc)
		pr_str_init(content);
	else
		free(write);

cleanup:
	pr_str_finish(content);
	return rc;
}

size_t pr_link_queued(const pr_link_t *link)
{
	return uv_stream_get_write_queue_size((const uv_stream_t *)&link->tcp);
}

static void on_closed(uv_handle_t *handle)
{
	pr_link_t *link = handle->data;

	link->ops->on_closed(link);
}

void pr_link_close(pr_link_t *link)
{
	if (link->closing)
		return;
	link->closing = true;
	link->reading = false;
	uv_close((uv_handle_t *)&link->tcp, on_closed);
}

void pr_link_reset(pr_link_t *link)
{
	if (link->closing)
		return;
	link->closing = true;
	link->reading = false;
	if (uv_tcp_close_reset(&link->tcp, on_closed))
		uv_close((uv_handle_t *)&link->tcp, on_closed);
}
