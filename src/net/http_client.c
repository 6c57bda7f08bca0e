/*
 * HTTP client on h2o's http1client with a pool of kept-alive connections per
 * target. The stage of a call is what its verdict is derived from, so it moves
 * to SENT when the request is handed to the socket, not when it was written.
 */
#include "pistachiorack/http.h"

#include <h2o.h>
#include <h2o/http1client.h>
#include <stdlib.h>

#include "pistachiorack/error.h"

/* Idle pooled connections are closed after this time, milliseconds. */
#define POOL_IDLE_MS 5000
#define HEADERS_MAX  64
#define STATUS_MIN   100
#define STATUS_MAX   599

struct pr_http_client_t {
	h2o_http1client_ctx_t context;
	h2o_timeout_t io_timeout;
};

struct pr_http_target_t {
	h2o_socketpool_t pool;
	char authority[64];
};

int pr_http_client_open(pr_http_client_t **out, uv_loop_t *loop,
			uint64_t io_timeout_ms)
{
	pr_http_client_t *client = calloc(1, sizeof(*client));

	*out = client;
	if (!client)
		return pr_error_set(PR_ENOMEM, "no memory for a client");
	client->context.loop = loop;
	client->context.io_timeout = &client->io_timeout;
	h2o_timeout_init(loop, &client->io_timeout, io_timeout_ms);
	return 0;
}

void pr_http_client_close(pr_http_client_t *client)
{
	h2o_timeout_dispose(client->context.loop, &client->io_timeout);
	free(client);
}

int pr_http_target_open(pr_http_target_t **out, pr_http_client_t *client,
			const char *address, uint16_t port,
			size_t connections_max)
{
	struct sockaddr_in addr;
	pr_http_target_t *target;

	*out = NULL;
	if (uv_ip4_addr(address, port, &addr))
		return pr_error_set(PR_EINVALID, "address %s is not IPv4",
				    address);
	target = calloc(1, sizeof(*target));
	if (!target)
		return pr_error_set(PR_ENOMEM, "no memory for a target");
	h2o_socketpool_init_by_address(&target->pool, (struct sockaddr *)&addr,
				       sizeof(addr), 0, connections_max);
	h2o_socketpool_set_timeout(&target->pool, client->context.loop,
				   POOL_IDLE_MS);
	snprintf(target->authority, sizeof(target->authority), "%s:%d", address,
		 port);
	*out = target;
	return 0;
}

void pr_http_target_close(pr_http_target_t *target)
{
	h2o_socketpool_dispose(&target->pool);
	free(target);
}

static void finish_call(pr_http_call_t *call, const char *error)
{
	pr_attempt_stage_t stage = call->stage;

	call->client = NULL;
	pr_str_finish(&call->request);
	free(call->connect_buffer);
	call->connect_buffer = NULL;
	if (!call->cancelled)
		call->ops->done(call, stage, error);
	else if (call->ops->released && call->in_callback)
		call->ops->released(call);
}

/*
 * A callback may cancel the call. http1client must not be freed under its own
 * callback, so cancel only marks the call and the callback ends it.
 *
 * @return true when the call was cancelled and has ended
 */
static bool end_callback(pr_http_call_t *call)
{
	if (!call->cancelled) {
		call->in_callback = false;
		return false;
	}
	finish_call(call, NULL);
	return true;
}

static int on_body(h2o_http1client_t *client, const char *errstr)
{
	pr_http_call_t *call = client->data;
	h2o_buffer_t *input = client->sock->input;

	if (input->size) {
		call->in_callback = true;
		call->ops->body(call, pr_slice(input->bytes, input->size));
		h2o_buffer_consume(&client->sock->input, input->size);
		if (end_callback(call))
			return -1;
	}
	if (!errstr)
		return 0;
	if (errstr == h2o_http1client_error_is_eos) {
		/* Without a stated length http1client also reports the end
		 * when the peer closes after a whole chunk; the read that saw
		 * the close has no bytes. An upstream that dies between two
		 * chunks must not look done. */
		if (call->has_length || client->sock->bytes_read) {
			call->stage = PR_STAGE_DONE;
			errstr = NULL;
		} else {
			errstr = "closed before the end of the body";
		}
	}
	finish_call(call, errstr);
	return 0;
}

static void give_head(pr_http_call_t *call, int status, h2o_header_t *headers,
		      size_t count)
{
	pr_http_header_t list[HEADERS_MAX];

	if (count > HEADERS_MAX)
		count = HEADERS_MAX;
	call->has_length = false;
	for (size_t i = 0; i < count; i++) {
		list[i].name =
			pr_slice(headers[i].name->base, headers[i].name->len);
		call->has_length |= pr_slice_equal(list[i].name,
						   PR_SLICE("content-length"));
		list[i].value =
			pr_slice(headers[i].value.base, headers[i].value.len);
	}
	call->in_callback = true;
	call->ops->head(call, status, list, count);
}

static h2o_http1client_body_cb on_head(h2o_http1client_t *client,
				       const char *errstr, int minor_version,
				       int status, h2o_iovec_t msg,
				       h2o_header_t *headers,
				       size_t header_count, int rlen)
{
	pr_http_call_t *call = client->data;

	if (errstr && errstr != h2o_http1client_error_is_eos) {
		finish_call(call, errstr);
		return NULL;
	}
	/* h2o takes any three digits for a status. */
	if (status < STATUS_MIN || status > STATUS_MAX) {
		finish_call(call, "status out of range");
		return NULL;
	}
	call->stage = PR_STAGE_HEAD;
	give_head(call, status, headers, header_count);
	if (end_callback(call))
		return NULL;
	if (errstr) {
		call->stage = PR_STAGE_DONE;
		finish_call(call, NULL);
		return NULL;
	}
	call->stage = PR_STAGE_BODY;
	return on_body;
}

static h2o_http1client_head_cb on_connect(h2o_http1client_t *client,
					  const char *errstr,
					  h2o_iovec_t **buffers, size_t *count,
					  int *method_is_head)
{
	pr_http_call_t *call = client->data;
	h2o_iovec_t *buffer = call->connect_buffer;

	if (errstr) {
		finish_call(call, errstr);
		return NULL;
	}
	call->stage = PR_STAGE_SENT;
	*buffer = h2o_iovec_init(call->request.ptr, call->request.len);
	*buffers = buffer;
	*count = 1;
	*method_is_head = 0;
	return on_head;
}

static int build_request(pr_http_call_t *call, pr_http_target_t *target,
			 const char *method, pr_slice_t path,
			 const pr_http_header_t *headers, size_t header_count,
			 pr_slice_t body)
{
	pr_str_t *out = &call->request;
	int rc = pr_str_appendf(out, "%s %.*s HTTP/1.1\r\nhost: %s\r\n", method,
				(int)path.len, path.ptr, target->authority);

	for (size_t i = 0; i < header_count && !rc; i++)
		rc = pr_str_appendf(
			out, "%.*s: %.*s\r\n", (int)headers[i].name.len,
			headers[i].name.ptr, (int)headers[i].value.len,
			headers[i].value.ptr);
	if (!rc)
		rc = pr_str_appendf(out, "content-length: %zu\r\n\r\n",
				    body.len);
	if (!rc)
		rc = pr_str_append(out, body.ptr, body.len);
	return rc;
}

int pr_http_call_start(pr_http_call_t *call, pr_http_client_t *client,
		       pr_http_target_t *target, const char *method,
		       pr_slice_t path, const pr_http_header_t *headers,
		       size_t header_count, pr_slice_t body)
{
	int rc;

	call->stage = PR_STAGE_CONNECTING;
	call->cancelled = false;
	call->in_callback = false;
	call->paused = false;
	pr_str_init(&call->request);
	call->connect_buffer = calloc(1, sizeof(h2o_iovec_t));
	if (!call->connect_buffer)
		return pr_error_set(PR_ENOMEM, "no memory for a call");
	rc = build_request(call, target, method, path, headers, header_count,
			   body);
	if (rc) {
		free(call->connect_buffer);
		pr_str_finish(&call->request);
		return rc;
	}
	h2o_http1client_connect_with_pool(&call->client, call, &client->context,
					  &target->pool, on_connect);
	return 0;
}

bool pr_http_call_cancel(pr_http_call_t *call)
{
	if (!call->client)
		return true;
	call->cancelled = true;
	if (call->in_callback)
		return false;
	h2o_http1client_cancel(call->client);
	finish_call(call, NULL);
	return true;
}

void pr_http_call_pause(pr_http_call_t *call, bool pause)
{
	h2o_socket_t *sock;

	if (!call->client || call->stage != PR_STAGE_BODY ||
	    call->paused == pause)
		return;
	sock = call->client->sock;
	call->paused = pause;
	if (pause) {
		call->read_callback = (void (*)(void))sock->_cb.read;
		h2o_socket_read_stop(sock);
		return;
	}
	h2o_socket_read_start(sock, (h2o_socket_cb)call->read_callback);
}
