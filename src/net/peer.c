/*
 * Peer links. Both sides prove that they know the shared secret: the listener
 * sends a random challenge; the connecting host answers with a nonce of its
 * own, its name and a MAC over challenge, nonce and name; the listener answers
 * with a MAC over nonce, challenge and its own name. Only then messages flow.
 * Frames are a 4-byte big-endian length and a msgpack array [type, payload].
 */
#include "pistachiorack/peer.h"

#include <msgpack.h>
#include <openssl/rand.h>
#include <stdlib.h>

#include "base/msgpack_check.h"
#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"
#include "pistachiorack/log.h"

#define NAME_BYTES      65
#define CHALLENGE_BYTES 16
/* Largest frame of a side that has not proved itself. */
#define HANDSHAKE_FRAME_MAX 256
/* Accepted links; a host has one to each of its peers. */
#define LINKS_MAX      4096
#define HEADER_BYTES   4
#define LISTEN_BACKLOG 256
#define READ_BYTES     65536
/* Pause between attempts to connect to a peer that does not answer. */
#define RECONNECT_PAUSE (200 * PR_USEC_PER_MSEC)

typedef enum link_state_t {
	LINK_IDLE,
	LINK_CONNECTING,
	/* Connected; the challenge was sent, or is waited for. */
	LINK_CHALLENGED,
	/* The connecting side waits for the listener's proof. */
	LINK_PROVING,
	LINK_OPEN,
	LINK_CLOSING,
} link_state_t;

/* One TCP connection; `peer` is NULL for an accepted one. */
typedef struct link_t {
	uv_tcp_t tcp;
	struct link_t *next;
	pr_peers_t *peers;
	struct peer_t *peer;
	link_state_t state;
	char name[NAME_BYTES];
	uint8_t challenge[CHALLENGE_BYTES];
	uint8_t nonce[CHALLENGE_BYTES];
	uv_connect_t connect;
	pr_str_t input;
} link_t;

typedef struct peer_t {
	struct peer_t *next;
	char name[NAME_BYTES];
	struct sockaddr_in address;
	link_t *link;
	pr_str_t queue;
	pr_usec_t retry_at;
} peer_t;

struct pr_peers_t {
	pr_peers_options_t options;
	uv_tcp_t listener;
	uv_udp_t udp;
	peer_t *known;
	link_t *links;
	unsigned int handles;
	bool closing;
	pr_metric_t *bytes_out, *bytes_in, *refused, *dropped;
	char read_buffer[READ_BYTES];
};

typedef struct write_t {
	uv_write_t write;
	pr_str_t bytes;
} write_t;

static void free_when_closed(pr_peers_t *peers)
{
	if (!peers->closing || peers->handles)
		return;
	while (peers->known) {
		peer_t *peer = peers->known;

		peers->known = peer->next;
		pr_str_finish(&peer->queue);
		free(peer);
	}
	free(peers);
}

static void on_link_closed(uv_handle_t *handle)
{
	link_t *link = handle->data;
	pr_peers_t *peers = link->peers;
	link_t **at = &peers->links;

	while (*at && *at != link)
		at = &(*at)->next;
	if (*at)
		*at = link->next;
	pr_str_finish(&link->input);
	free(link);
	peers->handles--;
	free_when_closed(peers);
}

static void close_link(link_t *link)
{
	if (link->state == LINK_CLOSING)
		return;
	if (link->peer) {
		link->peer->link = NULL;
		link->peer->retry_at =
			link->peers->options.timers->now + RECONNECT_PAUSE;
		/* Messages are bound in time; their senders retry. */
		if (link->peer->queue.len)
			pr_metric_add(link->peers->dropped, 1);
		pr_str_clear(&link->peer->queue);
	}
	link->state = LINK_CLOSING;
	uv_close((uv_handle_t *)&link->tcp, on_link_closed);
}

static void on_written(uv_write_t *req, int status)
{
	write_t *write = (write_t *)req;

	pr_str_finish(&write->bytes);
	if (status && status != UV_ECANCELED)
		close_link(req->handle->data);
	free(write);
}

/* Takes over the bytes. */
static void write_bytes(link_t *link, pr_str_t *bytes)
{
	write_t *write = calloc(1, sizeof(*write));
	uv_buf_t buffer;

	if (!write) {
		pr_str_finish(bytes);
		close_link(link);
		return;
	}
	write->bytes = *bytes;
	pr_str_init(bytes);
	pr_metric_add(link->peers->bytes_out, (double)write->bytes.len);
	buffer = uv_buf_init(write->bytes.ptr, (unsigned int)write->bytes.len);
	if (uv_write(&write->write, (uv_stream_t *)&link->tcp, &buffer, 1,
		     on_written)) {
		pr_str_finish(&write->bytes);
		free(write);
		close_link(link);
	}
}

static void append_length(pr_str_t *out, size_t len)
{
	uint8_t header[HEADER_BYTES] = { (uint8_t)(len >> 24),
					 (uint8_t)(len >> 16),
					 (uint8_t)(len >> 8), (uint8_t)len };

	pr_str_append(out, header, sizeof(header));
}

static void pack_frame(pr_str_t *out, const char *type, pr_slice_t payload)
{
	msgpack_sbuffer buffer;
	msgpack_packer packer;

	msgpack_sbuffer_init(&buffer);
	msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_str_with_body(&packer, type, strlen(type));
	msgpack_pack_bin_with_body(&packer, payload.ptr, payload.len);
	append_length(out, buffer.size);
	pr_str_append(out, buffer.data, buffer.size);
	msgpack_sbuffer_destroy(&buffer);
}

/* MAC over two random numbers, the later one first, and a name. */
static void sign(uint8_t mac[PR_SHA256_SIZE], const link_t *link,
		 const uint8_t *first, const uint8_t *second, const char *name)
{
	pr_slice_t signer = pr_slice_of(name);
	pr_str_t text = PR_STR_INIT;

	pr_str_append(&text, first, CHALLENGE_BYTES);
	pr_str_append(&text, second, CHALLENGE_BYTES);
	pr_str_append(&text, signer.ptr, signer.len);
	pr_hmac_sha256(mac, pr_slice_of(link->peers->options.secret),
		       pr_str_slice(&text));
	pr_str_finish(&text);
}

static void flush_queue(peer_t *peer)
{
	if (peer->link && peer->link->state == LINK_OPEN && peer->queue.len)
		write_bytes(peer->link, &peer->queue);
}

/* The connecting side: the first frame is the challenge. */
static int answer_challenge(link_t *link, pr_slice_t payload)
{
	const char *name = link->peers->options.name;
	uint8_t mac[PR_SHA256_SIZE];
	pr_str_t hello = PR_STR_INIT;
	pr_str_t frame = PR_STR_INIT;

	if (payload.len != CHALLENGE_BYTES ||
	    RAND_bytes(link->nonce, sizeof(link->nonce)) != 1)
		return PR_EPARSE;
	memcpy(link->challenge, payload.ptr, CHALLENGE_BYTES);
	sign(mac, link, link->nonce, link->challenge, name);
	pr_str_append(&hello, mac, sizeof(mac));
	pr_str_append(&hello, link->nonce, sizeof(link->nonce));
	pr_str_append(&hello, name, strlen(name));
	pack_frame(&frame, "hello", pr_str_slice(&hello));
	pr_str_finish(&hello);
	link->state = LINK_PROVING;
	write_bytes(link, &frame);
	return 0;
}

static bool is_mac(const uint8_t *mac, pr_slice_t payload)
{
	return payload.len >= PR_SHA256_SIZE &&
	       pr_equal_constant_time(mac, payload.ptr, PR_SHA256_SIZE);
}

/* The listening side: the first frame must prove the name. */
static int check_hello(link_t *link, pr_slice_t payload)
{
	const size_t fixed = PR_SHA256_SIZE + CHALLENGE_BYTES;
	uint8_t mac[PR_SHA256_SIZE];
	pr_str_t frame = PR_STR_INIT;

	if (payload.len <= fixed ||
	    pr_slice_copy(link->name, sizeof(link->name),
			  pr_slice(payload.ptr + fixed, payload.len - fixed)))
		return PR_EPARSE;
	memcpy(link->nonce, payload.ptr + PR_SHA256_SIZE, CHALLENGE_BYTES);
	sign(mac, link, link->nonce, link->challenge, link->name);
	if (!is_mac(mac, payload)) {
		pr_metric_add(link->peers->refused, 1);
		return PR_EDENIED;
	}
	sign(mac, link, link->challenge, link->nonce,
	     link->peers->options.name);
	pack_frame(&frame, "welcome", pr_slice((char *)mac, sizeof(mac)));
	link->state = LINK_OPEN;
	write_bytes(link, &frame);
	return 0;
}

/* The connecting side: the listener must be the peer that was meant. */
static int check_welcome(link_t *link, pr_slice_t payload)
{
	uint8_t mac[PR_SHA256_SIZE];

	sign(mac, link, link->challenge, link->nonce, link->peer->name);
	if (!is_mac(mac, payload)) {
		pr_metric_add(link->peers->refused, 1);
		return PR_EDENIED;
	}
	link->state = LINK_OPEN;
	flush_queue(link->peer);
	return 0;
}

static int handle_frame(link_t *link, pr_slice_t type, pr_slice_t payload)
{
	pr_peers_t *peers = link->peers;
	bool connecting = link->peer != NULL;

	if (link->state == LINK_CHALLENGED && connecting &&
	    pr_slice_equal(type, PR_SLICE("challenge")))
		return answer_challenge(link, payload);
	if (link->state == LINK_CHALLENGED && !connecting &&
	    pr_slice_equal(type, PR_SLICE("hello")))
		return check_hello(link, payload);
	if (link->state == LINK_PROVING &&
	    pr_slice_equal(type, PR_SLICE("welcome")))
		return check_welcome(link, payload);
	if (link->state != LINK_OPEN || connecting)
		return PR_EDENIED;
	peers->options.on_message(peers->options.data, pr_slice_of(link->name),
				  type, payload);
	return 0;
}

static int parse_frame(link_t *link, const char *bytes, size_t len)
{
	msgpack_unpacked unpacked;
	msgpack_object *items;
	size_t used = 0;
	int rc = PR_EPARSE;

	msgpack_unpacked_init(&unpacked);
	if (!pr_msgpack_check(pr_slice(bytes, len)) ||
	    msgpack_unpack_next(&unpacked, bytes, len, &used) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    unpacked.data.type != MSGPACK_OBJECT_ARRAY ||
	    unpacked.data.via.array.size != 2)
		goto cleanup;
	items = unpacked.data.via.array.ptr;
	if (items[0].type != MSGPACK_OBJECT_STR ||
	    items[1].type != MSGPACK_OBJECT_BIN)
		goto cleanup;
	rc = handle_frame(
		link, pr_slice(items[0].via.str.ptr, items[0].via.str.size),
		pr_slice(items[1].via.bin.ptr, items[1].via.bin.size));

cleanup:
	msgpack_unpacked_destroy(&unpacked);
	return rc;
}

static int parse_input(link_t *link)
{
	size_t at = 0;
	int rc = 0;

	while (!rc && link->state != LINK_CLOSING &&
	       link->input.len - at >= HEADER_BYTES) {
		const uint8_t *head = (uint8_t *)link->input.ptr + at;
		size_t len = (size_t)head[0] << 24 | (size_t)head[1] << 16 |
			     (size_t)head[2] << 8 | head[3];

		if (len > (link->state == LINK_OPEN ? PR_PEER_FRAME_MAX
						    : HANDSHAKE_FRAME_MAX))
			return PR_EPARSE;
		if (link->input.len - at - HEADER_BYTES < len)
			break;
		rc = parse_frame(link, (const char *)head + HEADER_BYTES, len);
		at += HEADER_BYTES + len;
	}
	if (at) {
		memmove(link->input.ptr, link->input.ptr + at,
			link->input.len - at);
		link->input.len -= at;
	}
	return rc;
}

static void on_alloc(uv_handle_t *handle, size_t wanted, uv_buf_t *buffer)
{
	link_t *link = handle->data;

	*buffer = uv_buf_init(link->peers->read_buffer, READ_BYTES);
}

static void on_read(uv_stream_t *stream, ssize_t got, const uv_buf_t *buffer)
{
	link_t *link = stream->data;

	if (got == 0)
		return;
	if (got > 0)
		pr_metric_add(link->peers->bytes_in, (double)got);
	if (got < 0 || pr_str_append(&link->input, buffer->base, (size_t)got) ||
	    parse_input(link))
		close_link(link);
}

static link_t *new_link(pr_peers_t *peers)
{
	link_t *link = calloc(1, sizeof(*link));

	if (!link)
		return NULL;
	link->peers = peers;
	link->next = peers->links;
	peers->links = link;
	peers->handles++;
	uv_tcp_init(peers->options.loop, &link->tcp);
	link->tcp.data = link;
	return link;
}

static void on_accept(uv_stream_t *listener, int status)
{
	pr_peers_t *peers = listener->data;
	pr_str_t frame = PR_STR_INIT;
	link_t *link;

	if (status)
		return;
	link = new_link(peers);
	if (!link)
		return;
	link->state = LINK_CHALLENGED;
	if (peers->handles > LINKS_MAX) {
		uv_accept(listener, (uv_stream_t *)&link->tcp);
		close_link(link);
		return;
	}
	if (uv_accept(listener, (uv_stream_t *)&link->tcp) ||
	    RAND_bytes(link->challenge, sizeof(link->challenge)) != 1 ||
	    uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read)) {
		close_link(link);
		return;
	}
	uv_tcp_nodelay(&link->tcp, 1);
	pack_frame(&frame, "challenge",
		   pr_slice((char *)link->challenge, sizeof(link->challenge)));
	write_bytes(link, &frame);
}

static void on_connected(uv_connect_t *req, int status)
{
	link_t *link = req->handle->data;

	if (link->state == LINK_CLOSING)
		return;
	if (status ||
	    uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read)) {
		close_link(link);
		return;
	}
	uv_tcp_nodelay(&link->tcp, 1);
	link->state = LINK_CHALLENGED;
}

static void connect_peer(pr_peers_t *peers, peer_t *peer)
{
	link_t *link;

	if (peer->link)
		return;
	link = new_link(peers);
	if (!link)
		return;
	link->state = LINK_CONNECTING;
	link->peer = peer;
	peer->link = link;
	if (uv_tcp_connect(&link->connect, &link->tcp,
			   (struct sockaddr *)&peer->address, on_connected))
		close_link(link);
}

static void on_udp_alloc(uv_handle_t *handle, size_t wanted, uv_buf_t *buffer)
{
	pr_peers_t *peers = handle->data;

	*buffer = uv_buf_init(peers->read_buffer, READ_BYTES);
}

static void on_udp(uv_udp_t *udp, ssize_t got, const uv_buf_t *buffer,
		   const struct sockaddr *from, unsigned int flags)
{
	pr_peers_t *peers = udp->data;

	if (got <= 0 || !peers->options.on_datagram)
		return;
	pr_metric_add(peers->bytes_in, (double)got);
	peers->options.on_datagram(peers->options.data,
				   pr_slice(buffer->base, (size_t)got));
}

static int listen_all(pr_peers_t *peers)
{
	const pr_peers_options_t *options = &peers->options;
	struct sockaddr_in address;
	int rc;

	if (uv_ip4_addr(options->address, options->port, &address))
		return pr_error_set(PR_EINVALID, "address %s is not IPv4",
				    options->address);
	uv_tcp_init(options->loop, &peers->listener);
	uv_udp_init(options->loop, &peers->udp);
	peers->handles = 2;
	peers->listener.data = peers;
	peers->udp.data = peers;
	rc = uv_tcp_bind(&peers->listener, (struct sockaddr *)&address, 0);
	if (!rc)
		rc = uv_listen((uv_stream_t *)&peers->listener, LISTEN_BACKLOG,
			       on_accept);
	if (!rc)
		rc = uv_udp_bind(&peers->udp, (struct sockaddr *)&address, 0);
	if (!rc)
		rc = uv_udp_recv_start(&peers->udp, on_udp_alloc, on_udp);
	if (rc)
		return pr_error_set(PR_EIO, "listen for peers on %s:%d: %s",
				    options->address, options->port,
				    uv_strerror(rc));
	return 0;
}

int pr_peers_open(pr_peers_t **out, const pr_peers_options_t *options)
{
	pr_peers_t *peers = calloc(1, sizeof(*peers));
	int rc;

	*out = NULL;
	if (!peers)
		return pr_error_set(PR_ENOMEM, "no memory for peers");
	peers->options = *options;
	peers->bytes_out = pr_metrics_series(options->metrics,
					     "pr_peer_bytes_sent_total", "");
	peers->bytes_in = pr_metrics_series(options->metrics,
					    "pr_peer_bytes_received_total", "");
	peers->refused = pr_metrics_series(options->metrics,
					   "pr_peer_refused_total", "");
	peers->dropped = pr_metrics_series(
		options->metrics, "pr_peer_messages_dropped_total", "");
	rc = listen_all(peers);
	if (rc && !peers->handles)
		free(peers);
	else if (rc)
		pr_peers_close(peers);
	else
		*out = peers;
	return rc;
}

static void on_handle_closed(uv_handle_t *handle)
{
	pr_peers_t *peers = handle->data;

	peers->handles--;
	free_when_closed(peers);
}

void pr_peers_close(pr_peers_t *peers)
{
	peers->closing = true;
	uv_close((uv_handle_t *)&peers->listener, on_handle_closed);
	uv_close((uv_handle_t *)&peers->udp, on_handle_closed);
	for (link_t *link = peers->links; link; link = link->next)
		close_link(link);
}

static peer_t *find_peer(pr_peers_t *peers, const char *name)
{
	peer_t *peer = peers->known;

	while (peer && strcmp(peer->name, name) != 0)
		peer = peer->next;
	return peer;
}

int pr_peers_set(pr_peers_t *peers, const char *name, const char *address,
		 uint16_t port)
{
	peer_t *peer = find_peer(peers, name);
	struct sockaddr_in parsed;

	if (uv_ip4_addr(address, port, &parsed))
		return pr_error_set(PR_EINVALID, "address %s is not IPv4",
				    address);
	if (!peer) {
		peer = calloc(1, sizeof(*peer));
		if (!peer)
			return pr_error_set(PR_ENOMEM, "no memory for a peer");
		snprintf(peer->name, sizeof(peer->name), "%s", name);
		peer->next = peers->known;
		peers->known = peer;
	}
	if (peer->link && memcmp(&peer->address, &parsed, sizeof(parsed)) != 0)
		close_link(peer->link);
	peer->address = parsed;
	return 0;
}

int pr_peers_send(pr_peers_t *peers, const char *to, const char *type,
		  pr_slice_t payload)
{
	peer_t *peer = find_peer(peers, to);

	if (!peer)
		return pr_error_set(PR_ENOTFOUND, "peer %s is not known", to);
	if (peer->queue.len + payload.len > PR_PEER_QUEUE_MAX) {
		pr_metric_add(peers->dropped, 1);
		return pr_error_set(PR_EFULL, "queue to peer %s is full", to);
	}
	if (!peer->link && peers->options.timers->now < peer->retry_at) {
		pr_metric_add(peers->dropped, 1);
		return pr_error_set(PR_EUNAVAILABLE, "peer %s is down", to);
	}
	pack_frame(&peer->queue, type, payload);
	connect_peer(peers, peer);
	flush_queue(peer);
	return 0;
}

void pr_peers_send_datagram(pr_peers_t *peers, const char *address,
			    uint16_t port, pr_slice_t bytes)
{
	struct sockaddr_in to;
	uv_buf_t buffer =
		uv_buf_init((char *)bytes.ptr, (unsigned int)bytes.len);

	if (uv_ip4_addr(address, port, &to))
		return;
	pr_metric_add(peers->bytes_out, (double)bytes.len);
	uv_udp_try_send(&peers->udp, &buffer, 1, (struct sockaddr *)&to);
}
