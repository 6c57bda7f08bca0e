/*
 * Tests of src/http/link over loopback. An answer without a length that is
 * reset on the way must not pass as whole: libuv reports the end of a stream
 * where a reset follows the last bytes.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include <arpa/inet.h>
#include <signal.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/link.h"

/* Time for a reset to arrive over loopback, microseconds. */
#define ARRIVAL_US 2000

typedef struct peer_t {
	pr_link_t link;
	bool ended, clean, closed;
	size_t received;
	/** Link to which a read writes; NULL for none. */
	pr_link_t *forward;
} peer_t;

static void on_connect(pr_link_t *link, int rc)
{
	assert_int_equal(rc, 0);
}

static void on_read(pr_link_t *link, const char *bytes, size_t len)
{
	peer_t *peer = (peer_t *)(void *)link;

	peer->received += len;
	if (peer->forward)
		pr_link_write(peer->forward, bytes, len);
}

static void on_end(pr_link_t *link, bool clean)
{
	peer_t *peer = (peer_t *)(void *)link;

	peer->ended = true;
	peer->clean = clean;
	pr_link_close(link);
}

static void on_closed(pr_link_t *link)
{
	((peer_t *)(void *)link)->closed = true;
}

static const pr_link_ops_t ops = { .on_connect = on_connect,
				   .on_read = on_read,
				   .on_end = on_end,
				   .on_closed = on_closed };

/* Connect a link on the loop. @return the other end of the connection */
static int connect_on(peer_t *peer, uv_loop_t *loop)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int fd;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(bind(listener, (struct sockaddr *)&address, len), 0);
	assert_int_equal(listen(listener, 1), 0);
	getsockname(listener, (struct sockaddr *)&address, &len);
	memset(peer, 0, sizeof(*peer));
	assert_int_equal(pr_link_init(&peer->link, loop, &ops), 0);
	assert_int_equal(pr_link_connect(&peer->link, &address), 0);
	fd = accept(listener, NULL, NULL);
	while (!peer->link.connected)
		uv_run(loop, UV_RUN_ONCE);
	close(listener);
	return fd;
}

static int connect_link(peer_t *peer, uv_loop_t *loop)
{
	uv_loop_init(loop);
	return connect_on(peer, loop);
}

/* Serve one connection: some bytes, then an end or a reset. */
static void run(peer_t *peer, bool reset)
{
	struct linger linger = { 1, 0 };
	uv_loop_t loop;
	int fd = connect_link(peer, &loop);

	/* Input that was not read yet shows that a kept connection cannot carry
	 * another request. */
	assert_false(pr_link_has_input(&peer->link));
	assert_int_equal(send(fd, "bytes", 5, 0), 5);
	assert_true(pr_link_has_input(&peer->link));
	if (reset)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
	while (!peer->closed)
		uv_run(&loop, UV_RUN_ONCE);
	uv_loop_close(&loop);
}

static void test_end_is_clean(void **state)
{
	peer_t peer;

	run(&peer, false);
	assert_int_equal(peer.received, 5);
	assert_true(peer.ended && peer.clean);
}

static void test_reset_behind_bytes_is_not_clean(void **state)
{
	peer_t peer;

	for (int i = 0; i < 20; i++) {
		run(&peer, true);
		assert_true(peer.ended);
		assert_false(peer.clean);
	}
}

/* Connect a link whose reading is paused. */
static int connect_paused(peer_t *peer, uv_loop_t *loop)
{
	int fd = connect_link(peer, loop);

	pr_link_pause(&peer->link);
	return fd;
}

/* Close with a reset that arrives before the next look at the connection. */
static void reset_connection(int fd)
{
	struct linger linger = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
	close(fd);
	usleep(ARRIVAL_US);
}

static void run_until_closed(peer_t *peer, uv_loop_t *loop)
{
	while (!peer->closed)
		uv_run(loop, UV_RUN_ONCE);
	uv_loop_close(loop);
	assert_true(peer->ended);
}

/* Guards against a reset that a write has found: the kernel reports it once,
 * and the read behind it finds the end of the stream. The write is one of the
 * events of a poll, so that libuv reports its failure after the read. */
static void test_reset_that_a_write_found_is_not_clean(void **state)
{
	uv_loop_t loop;
	peer_t peer, other;
	int fd = connect_link(&peer, &loop);
	int other_fd = connect_on(&other, &loop);

	other.forward = &peer.link;
	assert_int_equal(send(other_fd, "more", 4, 0), 4);
	assert_int_equal(send(fd, "bytes", 5, 0), 5);
	reset_connection(fd);
	while (!peer.closed)
		uv_run(&loop, UV_RUN_ONCE);
	assert_int_equal(peer.received, 5);
	assert_true(peer.ended);
	assert_false(peer.clean);
	close(other_fd);
	run_until_closed(&other, &loop);
}

/* As above, for a look at the next byte. */
static void test_reset_that_a_peek_found_is_not_clean(void **state)
{
	uv_loop_t loop;
	peer_t peer;
	int fd = connect_paused(&peer, &loop);

	reset_connection(fd);
	assert_true(pr_link_has_input(&peer.link));
	pr_link_resume(&peer.link);
	run_until_closed(&peer, &loop);
	assert_false(peer.clean);
}

/* A reset behind the end of the stream, for bytes that the peer did not read:
 * reads report the end only. */
static void test_reset_behind_the_end_is_not_clean(void **state)
{
	uv_loop_t loop;
	peer_t peer;
	int fd = connect_paused(&peer, &loop);

	assert_int_equal(send(fd, "bytes", 5, 0), 5);
	shutdown(fd, SHUT_WR);
	reset_connection(fd);
	pr_link_resume(&peer.link);
	run_until_closed(&peer, &loop);
	assert_int_equal(peer.received, 5);
	assert_false(peer.clean);
}

/* A connection with a request that has arrived must not be closed as idle. */
static void test_unread_bytes_are_seen(void **state)
{
	uv_loop_t loop;
	peer_t peer;
	int fd = connect_link(&peer, &loop);

	assert_false(pr_link_has_input(&peer.link));
	assert_int_equal(send(fd, "bytes", 5, 0), 5);
	assert_true(pr_link_has_input(&peer.link));
	while (!peer.received)
		uv_run(&loop, UV_RUN_ONCE);
	assert_int_equal(peer.received, 5);
	assert_false(pr_link_has_input(&peer.link));
	close(fd);
	while (!peer.ended)
		uv_run(&loop, UV_RUN_ONCE);
	while (!peer.closed)
		uv_run(&loop, UV_RUN_ONCE);
	uv_loop_close(&loop);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_unread_bytes_are_seen),
		cmocka_unit_test(test_end_is_clean),
		cmocka_unit_test(test_reset_behind_bytes_is_not_clean),
		cmocka_unit_test(test_reset_that_a_write_found_is_not_clean),
		cmocka_unit_test(test_reset_that_a_peek_found_is_not_clean),
		cmocka_unit_test(test_reset_behind_the_end_is_not_clean),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
