/*
 * HTTP server on h2o. h2o accepts one h2o_send() at a time and asks for more
 * through proceed(), so output is collected in `pending` and handed over in
 * one piece whenever h2o is ready.
 */
#include "pistachiorack/http.h"

#include <h2o.h>
#include <h2o/http1.h>
#include <openssl/ssl.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/list.h"
#include "pistachiorack/error.h"

#define LISTEN_BACKLOG 1024
/* Buffered output below this asks the handler for more, bytes. */
#define DRAIN_MARK 16384
/* The request of a new connection may still be on its way, milliseconds. */
#define FRESH_MS 200

struct pr_http_server_t {
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	SSL_CTX *tls;
	uv_tcp_t listener;
	bool listener_open;
	size_t connections;
	pr_list_t open;
	pr_http_server_options_t options;
};

typedef struct server_handler_t {
	h2o_handler_t super;
	pr_http_server_t *server;
} server_handler_t;

typedef struct connection_t {
	uv_tcp_t tcp;
	pr_http_server_t *server;
	pr_list_t list;
	h2o_socket_t *sock;
	/** Time of the loop, milliseconds. */
	uint64_t accepted;
} connection_t;

/* A request as h2o's pool holds it. */
typedef struct request_t {
	pr_http_request_t public;
	h2o_generator_t generator;
	h2o_req_t *req;
	pr_str_t pending;
	pr_str_t sending;
	bool started;
	bool ready;
	bool ended;
	bool complete;
	bool final_sent;
	bool on_end_called;
} request_t;

static request_t *request_of(const pr_http_request_t *public)
{
	return (request_t *)public;
}

static request_t *request_of_generator(h2o_generator_t *generator)
{
	return H2O_STRUCT_FROM_MEMBER(request_t, generator, generator);
}

static void call_on_end(request_t *request, bool complete)
{
	if (request->on_end_called)
		return;
	request->on_end_called = true;
	if (request->public.on_end)
		request->public.on_end(&request->public, complete);
}

/* Runs when h2o frees the request's pool, whatever ended the request. */
static void dispose_request(void *memory)
{
	request_t *request = *(request_t **)memory;

	call_on_end(request, request->final_sent && request->complete);
	pr_str_finish(&request->pending);
	pr_str_finish(&request->sending);
	free(request);
}

static void send_pending(request_t *request)
{
	h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
	pr_str_t swap = request->sending;
	h2o_iovec_t buffer;

	if (!request->ready || request->final_sent)
		return;
	if (!request->pending.len && !request->ended)
		return;
	request->sending = request->pending;
	request->pending = swap;
	pr_str_clear(&request->pending);
	buffer = h2o_iovec_init(pr_str_cstr(&request->sending),
				request->sending.len);
	if (request->ended) {
		state = request->complete ? H2O_SEND_STATE_FINAL
					  : H2O_SEND_STATE_ERROR;
		request->final_sent = true;
	}
	request->ready = false;
	h2o_send(request->req, &buffer, buffer.len ? 1 : 0, state);
}

static void on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
	request_t *request = request_of_generator(generator);

	request->ready = true;
	send_pending(request);
	if (!request->ended && request->public.on_drain &&
	    request->pending.len < DRAIN_MARK)
		request->public.on_drain(&request->public);
}

static void on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
	request_t *request = request_of_generator(generator);

	request->ready = false;
	call_on_end(request, false);
}

static void fill_request(request_t *request, h2o_req_t *req)
{
	pr_http_request_t *public = &request->public;
	size_t path_len = req->path.len;

	if (req->query_at != SIZE_MAX) {
		path_len = req->query_at;
		public->query = pr_slice(req->path.base + req->query_at + 1,
					 req->path.len - req->query_at - 1);
	}
	public->path = pr_slice(req->path.base, path_len);
	public->method = pr_slice(req->method.base, req->method.len);
	public->body = pr_slice(req->entity.base, req->entity.len);
}

static int on_req(h2o_handler_t *handler, h2o_req_t *req)
{
	pr_http_server_t *server = ((server_handler_t *)handler)->server;
	request_t *request = calloc(1, sizeof(*request));
	request_t **owner;

	if (!request)
		return -1;
	owner = h2o_mem_alloc_shared(&req->pool, sizeof(*owner),
				     dispose_request);
	*owner = request;
	request->req = req;
	request->generator.proceed = on_proceed;
	request->generator.stop = on_stop;
	fill_request(request, req);
	server->options.on_request(&request->public, server->options.data);
	return 0;
}

static void on_connection_closed(uv_handle_t *handle)
{
	connection_t *connection = (connection_t *)handle;

	connection->server->connections--;
	pr_list_remove(&connection->list);
	free(connection);
}

static void on_refused_closed(uv_handle_t *handle)
{
	free(handle);
}

/* Takes the connection that libuv has accepted, or an accepted socket. */
static void add_connection(pr_http_server_t *server, int fd)
{
	uv_stream_t *listener = (uv_stream_t *)&server->listener;
	connection_t *connection = calloc(1, sizeof(*connection));
	int rc;

	if (!connection) {
		if (fd >= 0)
			close(fd);
		return;
	}
	connection->server = server;
	uv_tcp_init(listener->loop, &connection->tcp);
	rc = fd < 0 ? uv_accept(listener, (uv_stream_t *)&connection->tcp)
		    : uv_tcp_open(&connection->tcp, fd);
	if (rc && fd >= 0)
		close(fd);
	if (rc || server->connections >= server->options.connections_max) {
		uv_close((uv_handle_t *)&connection->tcp, on_refused_closed);
		return;
	}
	uv_tcp_nodelay(&connection->tcp, 1);
	server->connections++;
	pr_list_append(&server->open, &connection->list);
	connection->accepted = uv_now(listener->loop);
	connection->sock = h2o_uv_socket_create((uv_stream_t *)&connection->tcp,
						on_connection_closed);
	h2o_accept(&server->accept, connection->sock);
}

static void on_accept(uv_stream_t *listener, int status)
{
	if (!status)
		add_connection(listener->data, -1);
}

/* Closing the listener would reset connections that callers have already and
 * that wait to be accepted. */
static void accept_waiting(pr_http_server_t *server)
{
	int listener, fd;

	if (uv_fileno((uv_handle_t *)&server->listener, &listener))
		return;
	for (int i = 0; i < LISTEN_BACKLOG; i++) {
		fd = accept4(listener, NULL, NULL,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0)
			return;
		add_connection(server, fd);
	}
}

static int open_tls(pr_http_server_t *server)
{
	const pr_http_server_options_t *options = &server->options;

	if (!options->certificate_file)
		return 0;
	server->tls = SSL_CTX_new(TLS_server_method());
	if (!server->tls)
		return pr_error_set(PR_ENOMEM, "no memory for TLS");
	SSL_CTX_set_min_proto_version(server->tls, TLS1_2_VERSION);
	if (SSL_CTX_use_certificate_chain_file(server->tls,
					       options->certificate_file) != 1)
		return pr_error_set(PR_EINVALID, "certificate %s is not usable",
				    options->certificate_file);
	if (SSL_CTX_use_PrivateKey_file(server->tls, options->key_file,
					SSL_FILETYPE_PEM) != 1)
		return pr_error_set(PR_EINVALID, "private key %s is not usable",
				    options->key_file);
	return 0;
}

static int open_listener(pr_http_server_t *server, uv_loop_t *loop)
{
	const pr_http_server_options_t *options = &server->options;
	struct sockaddr_in address;
	int rc;

	if (uv_ip4_addr(options->address, options->port, &address))
		return pr_error_set(PR_EINVALID, "address %s is not IPv4",
				    options->address);
	uv_tcp_init(loop, &server->listener);
	server->listener.data = server;
	server->listener_open = true;
	rc = uv_tcp_bind(&server->listener, (struct sockaddr *)&address, 0);
	if (!rc)
		rc = uv_listen((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
			       on_accept);
	if (rc)
		return pr_error_set(PR_EIO, "listen on %s:%d: %s",
				    options->address, options->port,
				    uv_strerror(rc));
	return 0;
}

static void open_config(pr_http_server_t *server, uv_loop_t *loop)
{
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	server_handler_t *handler;

	h2o_config_init(&server->config);
	server->config.max_request_entity_size = server->options.body_max;
	server->config.http1.req_timeout = server->options.request_timeout_ms;
	server->config.server_name =
		h2o_iovec_init(H2O_STRLIT("pistachiorack"));
	host = h2o_config_register_host(
		&server->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	handler =
		(server_handler_t *)h2o_create_handler(path, sizeof(*handler));
	handler->super.on_req = on_req;
	handler->server = server;
	h2o_context_init(&server->context, loop, &server->config);
	server->accept.ctx = &server->context;
	server->accept.hosts = server->config.hosts;
	server->accept.ssl_ctx = server->tls;
}

int pr_http_server_open(pr_http_server_t **out, uv_loop_t *loop,
			const pr_http_server_options_t *options)
{
	pr_http_server_t *server = calloc(1, sizeof(*server));
	int rc;

	*out = NULL;
	if (!server)
		return pr_error_set(PR_ENOMEM, "no memory for a server");
	server->options = *options;
	pr_list_init(&server->open);
	rc = open_tls(server);
	if (rc)
		goto cleanup;
	rc = open_listener(server, loop);
	if (rc)
		goto cleanup;
	open_config(server, loop);
	*out = server;
	return 0;

cleanup:
	if (server->tls)
		SSL_CTX_free(server->tls);
	/* An initialised listener stays referenced by the loop. */
	if (!server->listener_open)
		free(server);
	return rc;
}

void pr_http_server_drain(pr_http_server_t *server)
{
	if (server->listener_open) {
		accept_waiting(server);
		uv_close((uv_handle_t *)&server->listener, NULL);
	}
	server->listener_open = false;
	h2o_context_request_shutdown(&server->context);
}

/* True when a request may be on its way: bytes that nobody has read, a request
 * that is not whole yet, or a connection that is new. */
static bool is_expecting(connection_t *connection)
{
	struct pollfd entry = { .events = POLLIN | POLLRDHUP };
	uv_handle_t *handle = (uv_handle_t *)&connection->tcp;

	if (uv_is_closing(handle) || uv_fileno(handle, &entry.fd))
		return false;
	if (connection->sock->input && connection->sock->input->size)
		return true;
	if (poll(&entry, 1, 0) > 0)
		return !(entry.revents & (POLLRDHUP | POLLHUP | POLLERR));
	return uv_now(handle->loop) - connection->accepted < FRESH_MS;
}

bool pr_http_server_end(pr_http_server_t *server)
{
	pr_list_t *node;
	int fd;

	for (node = server->open.next; node != &server->open; node = node->next)
		if (is_expecting(PR_OWNER(node, connection_t, list)))
			return false;
	for (node = server->open.next; node != &server->open;
	     node = node->next) {
		connection_t *connection = PR_OWNER(node, connection_t, list);
		uv_handle_t *handle = (uv_handle_t *)&connection->tcp;

		if (!uv_is_closing(handle) && !uv_fileno(handle, &fd))
			shutdown(fd, SHUT_RDWR);
	}
	return true;
}

size_t pr_http_server_connections(const pr_http_server_t *server)
{
	return server->connections;
}

void pr_http_server_close(pr_http_server_t *server)
{
	h2o_timeout_entry_t *graceful =
		&server->context.http2._graceful_shutdown_timeout;

	if (server->connections == 0) {
		/* A drain leaves h2o's entry linked for a while; disposing of
		 * the context with it fails an assertion of h2o. */
		if (h2o_timeout_is_linked(graceful))
			h2o_timeout_unlink(graceful);
		h2o_context_dispose(&server->context);
		h2o_config_dispose(&server->config);
	}
	if (server->tls)
		SSL_CTX_free(server->tls);
	free(server);
}

pr_slice_t pr_http_request_header(const pr_http_request_t *public,
				  const char *name)
{
	h2o_headers_t *headers = &request_of(public)->req->headers;
	size_t len = strlen(name);

	for (size_t i = 0; i < headers->size; i++) {
		h2o_header_t *header = &headers->entries[i];

		if (header->name->len == len &&
		    h2o_lcstris(header->name->base, len, name, len))
			return pr_slice(header->value.base, header->value.len);
	}
	return pr_slice(NULL, 0);
}

void pr_http_answer_header(pr_http_request_t *public, const char *name,
			   pr_slice_t value)
{
	h2o_req_t *req = request_of(public)->req;
	h2o_iovec_t name_copy = h2o_strdup(&req->pool, name, SIZE_MAX);
	h2o_iovec_t copy = h2o_strdup(&req->pool, value.ptr, value.len);

	h2o_add_header_by_str(&req->pool, &req->res.headers, name_copy.base,
			      name_copy.len, 1, NULL, copy.base, copy.len);
}

void pr_http_answer(pr_http_request_t *public, int status,
		    const char *content_type, pr_slice_t body)
{
	request_t *request = request_of(public);

	request->req->res.content_length = body.len;
	pr_http_stream_start(public, status, content_type);
	pr_str_append(&request->pending, body.ptr, body.len);
	pr_http_stream_end(public, true);
}

void pr_http_stream_start(pr_http_request_t *public, int status,
			  const char *content_type)
{
	request_t *request = request_of(public);

	request->req->res.status = status;
	request->req->res.reason = "";
	if (content_type)
		pr_http_answer_header(public, "content-type",
				      pr_slice_of(content_type));
	request->started = true;
	request->ready = true;
	h2o_start_response(request->req, &request->generator);
}

void pr_http_stream_write(pr_http_request_t *public, pr_slice_t bytes)
{
	request_t *request = request_of(public);

	pr_str_append(&request->pending, bytes.ptr, bytes.len);
	send_pending(request);
}

void pr_http_stream_end(pr_http_request_t *public, bool complete)
{
	request_t *request = request_of(public);

	if (request->ended)
		return;
	request->ended = true;
	request->complete = complete;
	send_pending(request);
}

void pr_http_request_break(pr_http_request_t *public)
{
	request_t *request = request_of(public);
	h2o_conn_t *conn = request->req->conn;
	h2o_socket_t *sock = conn->callbacks->get_socket(conn);

	/* h2o has no call for this; with the socket shut down its next write
	 * fails, and it frees the connection. */
	if (sock)
		shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
	if (!request->started)
		pr_http_stream_start(public, 500, NULL);
	pr_http_stream_end(public, false);
}

size_t pr_http_stream_pending(const pr_http_request_t *public)
{
	return request_of(public)->pending.len;
}

bool pr_http_request_caller_gone(const pr_http_request_t *public)
{
	h2o_conn_t *conn = request_of(public)->req->conn;
	h2o_socket_t *sock = conn->callbacks->get_socket(conn);
	struct pollfd entry = { .events = POLLRDHUP };

	if (!sock)
		return true;
	entry.fd = h2o_socket_get_fd(sock);
	if (poll(&entry, 1, 0) <= 0)
		return false;
	return entry.revents & (POLLRDHUP | POLLHUP | POLLERR);
}
