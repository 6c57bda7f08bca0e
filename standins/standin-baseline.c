/*
 * Baselines for script/bench on the same HTTP stack as the router:
 *   bare   a handler that answers a fixed text; with --chat the answer of a
 *          model, with the attempt id of the request, so that a router can
 *          stand in front of it without the upstream being the slower part
 *   pass   a pass-through: h2o handler, http1client with a socket pool, the
 *          answer copied on; what any router on this stack has to pay
 */
#include <argtable2.h>
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>

#define BODY_MAX       (1 << 20)
#define IO_TIMEOUT_MS  30000
#define POOL_SIZE      1024
#define LISTEN_BACKLOG 1024
#define EXIT_USAGE     2
#define REQUEST_MAX    512
#define HELLO          "hello, world\n"
#define CHAT                                                                   \
	"{\"id\":\"1\",\"object\":\"chat.completion\",\"model\":\"small@v1\"," \
	"\"choices\":[{\"index\":0,\"message\":{\"role\":\"assistant\","       \
	"\"content\":\"w69268e4f wdf8463fe w8f875495 w2a614668 wea362e96 "     \
	"w13789f52 w4d1badb4 w26135b34 \"},\"finish_reason\":\"stop\"}],"      \
	"\"usage\":{\"prompt_tokens\":10,\"completion_tokens\":8,"             \
	"\"total_tokens\":18}}"

typedef struct baseline_t {
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	h2o_http1client_ctx_t client;
	h2o_timeout_t io_timeout;
	h2o_socketpool_t pool;
	char authority[64];
	bool pass, chat;
} baseline_t;

static baseline_t baseline;

typedef struct forward_t {
	h2o_generator_t generator;
	h2o_req_t *req;
	h2o_http1client_t *client;
	h2o_iovec_t buffers[2];
	h2o_buffer_t *body;
	int status;
} forward_t;

static void echo_attempt(h2o_req_t *req)
{
	ssize_t at = h2o_find_header_by_str(&req->headers,
					    H2O_STRLIT("x-attempt-id"), -1);
	h2o_iovec_t id;

	if (at < 0)
		return;
	id = req->headers.entries[at].value;
	h2o_add_header_by_str(&req->pool, &req->res.headers,
			      H2O_STRLIT("x-attempt-id"), 1, NULL, id.base,
			      id.len);
}

static int answer_bare(h2o_req_t *req)
{
	static h2o_generator_t generator;
	h2o_iovec_t body = { H2O_STRLIT(HELLO) };

	if (baseline.chat) {
		body = h2o_iovec_init(H2O_STRLIT(CHAT));
		echo_attempt(req);
	}
	req->res.status = 200;
	req->res.reason = "OK";
	req->res.content_length = body.len;
	h2o_start_response(req, &generator);
	h2o_send(req, &body, 1, H2O_SEND_STATE_FINAL);
	return 0;
}

static void answer_forward(forward_t *forward, int status)
{
	h2o_req_t *req = forward->req;
	h2o_iovec_t body =
		h2o_iovec_init(forward->body->bytes, forward->body->size);

	req->res.status = status;
	req->res.reason = "";
	req->res.content_length = body.len;
	h2o_start_response(req, &forward->generator);
	h2o_send(req, &body, 1, H2O_SEND_STATE_FINAL);
}

static int on_body(h2o_http1client_t *client, const char *errstr)
{
	forward_t *forward = client->data;
	h2o_buffer_t *input = client->sock->input;
	h2o_iovec_t space;

	if (input->size) {
		space = h2o_buffer_reserve(&forward->body, input->size);
		memcpy(space.base, input->bytes, input->size);
		forward->body->size += input->size;
		h2o_buffer_consume(&client->sock->input, input->size);
	}
	if (!errstr)
		return 0;
	answer_forward(forward, errstr == h2o_http1client_error_is_eos
					? forward->status
					: 502);
	return 0;
}

static h2o_http1client_body_cb on_head(h2o_http1client_t *client,
				       const char *errstr, int minor_version,
				       int status, h2o_iovec_t msg,
				       h2o_header_t *headers,
				       size_t header_count, int rlen)
{
	forward_t *forward = client->data;

	forward->status = status;
	if (!errstr)
		return on_body;
	answer_forward(forward,
		       errstr == h2o_http1client_error_is_eos ? status : 502);
	return NULL;
}

static h2o_http1client_head_cb on_connect(h2o_http1client_t *client,
					  const char *errstr,
					  h2o_iovec_t **buffers, size_t *count,
					  int *method_is_head)
{
	forward_t *forward = client->data;
	h2o_req_t *req = forward->req;
	char *head;
	int len;

	if (errstr) {
		answer_forward(forward, 503);
		return NULL;
	}
	head = h2o_mem_alloc_pool(&req->pool, REQUEST_MAX);
	len = snprintf(head, REQUEST_MAX,
		       "%.*s %.*s HTTP/1.1\r\nhost: %s\r\n"
		       "content-type: application/json\r\n"
		       "content-length: %zu\r\n\r\n",
		       (int)req->method.len, req->method.base,
		       (int)req->path.len, req->path.base, baseline.authority,
		       req->entity.len);
	forward->buffers[0] = h2o_iovec_init(head, (size_t)len);
	forward->buffers[1] = req->entity;
	*buffers = forward->buffers;
	*count = req->entity.len ? 2 : 1;
	*method_is_head = 0;
	return on_head;
}

static int on_req(h2o_handler_t *handler, h2o_req_t *req)
{
	forward_t *forward;

	if (!baseline.pass)
		return answer_bare(req);
	forward = h2o_mem_alloc_pool(&req->pool, sizeof(*forward));
	memset(forward, 0, sizeof(*forward));
	forward->req = req;
	h2o_buffer_init(&forward->body, &h2o_socket_buffer_prototype);
	h2o_buffer_link_to_pool(forward->body, &req->pool);
	h2o_http1client_connect_with_pool(&forward->client, forward,
					  &baseline.client, &baseline.pool,
					  on_connect);
	return 0;
}

static void on_accept(uv_stream_t *listener, int status)
{
	uv_tcp_t *tcp;

	if (status)
		return;
	tcp = h2o_mem_alloc(sizeof(*tcp));
	uv_tcp_init(listener->loop, tcp);
	if (uv_accept(listener, (uv_stream_t *)tcp)) {
		uv_close((uv_handle_t *)tcp, (uv_close_cb)free);
		return;
	}
	uv_tcp_nodelay(tcp, 1);
	h2o_accept(&baseline.accept,
		   h2o_uv_socket_create((uv_stream_t *)tcp, (uv_close_cb)free));
}

static void on_signal(uv_signal_t *handle, int number)
{
	uv_stop(handle->loop);
}

static void open_h2o(uv_loop_t *loop)
{
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	h2o_iovec_t name = { H2O_STRLIT("default") };

	h2o_config_init(&baseline.config);
	baseline.config.max_request_entity_size = BODY_MAX;
	host = h2o_config_register_host(&baseline.config, name, 65535);
	path = h2o_config_register_path(host, "/", 0);
	h2o_create_handler(path, sizeof(h2o_handler_t))->on_req = on_req;
	h2o_context_init(&baseline.context, loop, &baseline.config);
	baseline.accept.ctx = &baseline.context;
	baseline.accept.hosts = baseline.config.hosts;
	baseline.client.loop = loop;
	baseline.client.io_timeout = &baseline.io_timeout;
	h2o_timeout_init(loop, &baseline.io_timeout, IO_TIMEOUT_MS);
}

static int serve(const char *address, int port, const char *to, int to_port)
{
	uv_loop_t *loop = uv_default_loop();
	struct sockaddr_in own, upstream;
	uv_tcp_t listener;
	uv_signal_t stop;

	signal(SIGPIPE, SIG_IGN);
	open_h2o(loop);
	if (baseline.pass) {
		if (uv_ip4_addr(to, to_port, &upstream))
			return EXIT_USAGE;
		h2o_socketpool_init_by_address(&baseline.pool,
					       (struct sockaddr *)&upstream,
					       sizeof(upstream), 0, POOL_SIZE);
		h2o_socketpool_set_timeout(&baseline.pool, loop, IO_TIMEOUT_MS);
		snprintf(baseline.authority, sizeof(baseline.authority),
			 "%s:%d", to, to_port);
	}
	uv_tcp_init(loop, &listener);
	if (uv_ip4_addr(address, port, &own) ||
	    uv_tcp_bind(&listener, (struct sockaddr *)&own, 0) ||
	    uv_listen((uv_stream_t *)&listener, LISTEN_BACKLOG, on_accept)) {
		fprintf(stderr, "cannot listen on %s:%d\n", address, port);
		return EXIT_USAGE;
	}
	uv_signal_init(loop, &stop);
	uv_signal_start(&stop, on_signal, SIGTERM);
	uv_run(loop, UV_RUN_DEFAULT);
	return 0;
}

int main(int argc, char **argv)
{
	struct arg_str *address =
		arg_str1(NULL, "address", "IP", "own address");
	struct arg_int *port = arg_int1(NULL, "port", "N", "own port");
	struct arg_str *to = arg_str0(NULL, "to", "IP", "pass on to");
	struct arg_int *to_port = arg_int0(NULL, "to-port", "N", "its port");
	struct arg_lit *chat = arg_lit0(NULL, "chat", "answer as a model");
	struct arg_lit *help = arg_lit0(NULL, "help", "print this text");
	struct arg_end *end = arg_end(4);
	void *table[] = { address, port, to, to_port, chat, help, end };
	int errors = arg_parse(argc, argv, table);
	int status = EXIT_USAGE;

	if (help->count) {
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		status = 0;
	} else if (errors) {
		arg_print_errors(stderr, end, "standin-baseline");
	} else {
		baseline.pass = to->count > 0;
		baseline.chat = chat->count > 0;
		status = serve(address->sval[0], port->ival[0],
			       baseline.pass ? to->sval[0] : "0.0.0.0",
			       to_port->count ? to_port->ival[0] : 0);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
