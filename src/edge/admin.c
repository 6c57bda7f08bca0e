/* HTTP server for the readiness checks of the balancer, for the metrics in the
 * Prometheus text format, and for hosts that read rows from this relay. */
#include <stdlib.h>

#include "base/event_log.h"
#include "edge/edge.h"
#include "http/link.h"
#include "http/reader.h"
#include "pistachiorack/error.h"

#define HEAD_BYTES_MAX 8192
/* All hosts of a zone read a long row from their relay at the same time. */
#define BACKLOG 512

typedef struct admin_t {
	pr_link_t link;
	pr_http_reader_t reader;
	pr_edge_t *edge;
	/** Accepted on the address for other hosts. */
	bool from_peer;
} admin_t;

static admin_t *admin_of(pr_link_t *link)
{
	return PR_OWNER(link, admin_t, link);
}

static bool on_head(pr_http_reader_t *reader)
{
	return true;
}

static bool on_body(pr_http_reader_t *reader, pr_slice_t bytes)
{
	return true;
}

static void reply(admin_t *admin, int status, pr_slice_t body)
{
	pr_str_t out = PR_STR_INIT;

	if (!pr_str_appendf(&out,
			    "HTTP/1.1 %d %s\r\nContent-Length: %zu\r\n\r\n",
			    status, http_status_str((enum http_status)status),
			    body.len) &&
	    !pr_str_append(&out, body.ptr, body.len))
		pr_link_write(&admin->link, out.ptr, out.len);
	pr_str_finish(&out);
}

static void reply_metrics(admin_t *admin)
{
	pr_str_t text = PR_STR_INIT;
	pr_metric_t *dropped = pr_metrics_series(
		&admin->edge->metrics, "edge_log_lines_dropped_total", "");

	pr_overload_set_gauges(admin->edge);
	dropped->value = (double)pr_event_log_dropped();
	if (pr_metrics_print(&admin->edge->metrics, &text))
		reply(admin, 500, pr_slice("", 0));
	else
		reply(admin, 200, pr_str_slice(&text));
	pr_str_finish(&text);
}

/* Remove a number and the slash before it from a path. */
static bool next_number(pr_slice_t *path, uint64_t *out)
{
	const char *end;
	pr_slice_t number;

	if (!path->len || path->ptr[0] != '/')
		return false;
	number = pr_slice(path->ptr + 1, path->len - 1);
	end = memchr(number.ptr, '/', number.len);
	if (end)
		number.len = (size_t)(end - number.ptr);
	path->ptr += 1 + number.len;
	path->len -= 1 + number.len;
	return pr_slice_number(number, out);
}

/* Encode the rows of a table for another host. The path is /TABLE/ERA/NUMBER,
 * or /TABLE/NUMBER from hosts of earlier releases, which know no eras.
 * @return HTTP status */
static int pack_rows(const pr_edge_t *edge, pr_slice_t path, pr_str_t *out)
{
	const pr_row_cache_t *cache;
	pr_revision_t after = { 0, 0 };
	uint64_t table;
	bool has_era;

	if (!next_number(&path, &table) || table >= PR_TABLES_COUNT ||
	    !next_number(&path, &after.number))
		return 400;
	cache = &edge->peering.row_caches[table];
	has_era = path.len;
	after.era = has_era ? after.number : 0;
	if (has_era && (!next_number(&path, &after.number) || path.len))
		return 400;
	if (has_era)
		return pr_row_answer_pack(cache, after, out) ? 404 : 200;
	if (cache->newest.era)
		return 404;
	return pr_row_cache_pack(cache, after, out) ? 404 : 200;
}

static void reply_rows(admin_t *admin, pr_slice_t path)
{
	pr_str_t rows = PR_STR_INIT;
	int status = pack_rows(admin->edge, path, &rows);

	reply(admin, status,
	      status == 200 ? pr_str_slice(&rows) : pr_slice("", 0));
	pr_str_finish(&rows);
}

static void on_message(pr_http_reader_t *reader)
{
	admin_t *admin = reader->owner;
	pr_slice_t target = pr_http_target(reader);
	pr_slice_t rows = PR_SLICE("/rows");
	bool ready = pr_edge_is_ready(admin->edge) && !admin->edge->stopping;

	if (pr_slice_equal(target, PR_SLICE("/ready")))
		reply(admin, ready ? 200 : 503, pr_slice("", 0));
	else if (pr_slice_equal(target, PR_SLICE("/metrics")))
		reply_metrics(admin);
	else if (admin->from_peer && target.len > rows.len &&
		 !memcmp(target.ptr, rows.ptr, rows.len))
		reply_rows(admin, pr_slice(target.ptr + rows.len,
					   target.len - rows.len));
	else
		reply(admin, 404, pr_slice("", 0));
	if (!http_should_keep_alive(&reader->parser))
		pr_link_close(&admin->link);
	else
		pr_http_reader_next(reader);
}

static const pr_http_reader_ops_t reader_ops = { on_head, on_body, on_message };

static void on_read(pr_link_t *link, const char *bytes, size_t len)
{
	admin_t *admin = admin_of(link);
	size_t used = 0;

	pr_edge_now(admin->edge);
	while (used < len && !link->closing && !admin->reader.fault)
		used += pr_http_reader_feed(&admin->reader, bytes + used,
					    len - used);
	if (admin->reader.fault)
		pr_link_close(link);
}

static void on_end(pr_link_t *link, bool clean)
{
	pr_link_close(link);
}

static void on_connect(pr_link_t *link, int rc)
{
}

static void on_closed(pr_link_t *link)
{
	admin_t *admin = admin_of(link);

	pr_http_reader_finish(&admin->reader);
	free(admin);
}

static const pr_link_ops_t link_ops = {
	.on_connect = on_connect,
	.on_read = on_read,
	.on_end = on_end,
	.on_closed = on_closed,
};

static void on_connection(uv_stream_t *listener, int status)
{
	pr_edge_t *edge = listener->data;
	admin_t *admin;

	if (status)
		return;
	admin = calloc(1, sizeof(*admin));
	if (!admin || pr_link_init(&admin->link, edge->loop, &link_ops)) {
		free(admin);
		return;
	}
	admin->edge = edge;
	admin->from_peer = listener == (uv_stream_t *)&edge->peer_listener;
	pr_http_reader_init(&admin->reader, true, HEAD_BYTES_MAX, &reader_ops,
			    admin);
	if (pr_link_accept(&admin->link, listener))
		pr_link_close(&admin->link);
}

static int listen_on(pr_edge_t *edge, uv_tcp_t *listener,
		     const struct sockaddr_in *address)
{
	int rc;

	uv_tcp_init(edge->loop, listener);
	listener->data = edge;
	rc = uv_tcp_bind(listener, (const struct sockaddr *)address, 0);
	if (!rc)
		rc = uv_listen((uv_stream_t *)listener, BACKLOG, on_connection);
	return rc ? pr_error_set(PR_EIO, "cannot listen on port %u: %s",
				 ntohs(address->sin_port), uv_strerror(rc))
		  : 0;
}

int pr_admin_listen(pr_edge_t *edge)
{
	int rc = listen_on(edge, &edge->ready_listener,
			   &edge->settings->addresses.ready);

	if (!rc)
		rc = listen_on(edge, &edge->metrics_listener,
			       &edge->settings->addresses.metrics);
	if (!rc)
		rc = listen_on(edge, &edge->peer_listener,
			       &edge->settings->addresses.peer);
	return rc;
}
