/*
 * Tests of the peer links: two or three ends on one loop over loopback.
 */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <unistd.h>

#include <cmocka.h>

#include "pistachiorack/peer.h"
#include "pistachiorack/rand.h"

#define PORT         9301
#define STEP_MS      10
#define STEPS_MAX    100
#define GARBAGE_RUNS 200

typedef struct end_t {
	pr_peers_t *peers;
	pr_metrics_t metrics;
	pr_timers_t timers;
	unsigned int messages;
	unsigned int datagrams;
	char from[65];
	char payload[65];
} end_t;

static uv_loop_t loop;
/* Depends on the process, so that runs of several worktrees do not meet. */
static char address[32];

static void on_message(void *data, pr_slice_t from, pr_slice_t type,
		       pr_slice_t payload)
{
	end_t *end = data;

	end->messages++;
	pr_slice_copy(end->from, sizeof(end->from), from);
	pr_slice_copy(end->payload, sizeof(end->payload), payload);
}

static void on_datagram(void *data, pr_slice_t bytes)
{
	((end_t *)data)->datagrams++;
}

static void open_end(end_t *end, const char *name, uint16_t port,
		     const char *secret)
{
	pr_peers_options_t options = PR_PEERS_OPTIONS_INIT;

	memset(end, 0, sizeof(*end));
	pr_metrics_init(&end->metrics, 16);
	pr_timers_init(&end->timers, 0);
	options.loop = &loop;
	options.timers = &end->timers;
	options.metrics = &end->metrics;
	options.name = name;
	options.address = address;
	options.port = port;
	options.secret = secret;
	options.on_message = on_message;
	options.on_datagram = on_datagram;
	options.data = end;
	assert_int_equal(pr_peers_open(&end->peers, &options), 0);
}

static void run_until(const unsigned int *counter, unsigned int wanted)
{
	for (int i = 0; i < STEPS_MAX && *counter < wanted; i++) {
		uv_run(&loop, UV_RUN_NOWAIT);
		usleep(STEP_MS * 1000);
	}
}

static void run_steps(int steps)
{
	for (int i = 0; i < steps; i++) {
		uv_run(&loop, UV_RUN_NOWAIT);
		usleep(1000);
	}
}

static void close_end(end_t *end)
{
	pr_peers_close(end->peers);
	run_steps(20);
	pr_timers_finish(&end->timers);
	pr_metrics_finish(&end->metrics);
}

static int set_up(void **state)
{
	snprintf(address, sizeof(address), "127.99.%d.%d",
		 (getpid() >> 8) & 0xff, (getpid() & 0xff) | 1);
	return uv_loop_init(&loop);
}

static int tear_down(void **state)
{
	return uv_loop_close(&loop);
}

/* Guards against messages that get lost while the link opens, and against a
 * sender's name that is not the proved one. */
static void messages_arrive_with_their_sender(void **state)
{
	end_t a, b;

	open_end(&a, "host-a", PORT, "a secret of the fleet");
	open_end(&b, "host-b", PORT + 1, "a secret of the fleet");
	assert_int_equal(pr_peers_set(a.peers, "host-b", address, PORT + 1), 0);
	for (int i = 0; i < 3; i++)
		assert_int_equal(pr_peers_send(a.peers, "host-b", "claim",
					       PR_SLICE("payload")),
				 0);
	run_until(&b.messages, 3);
	assert_int_equal(b.messages, 3);
	assert_string_equal(b.from, "host-a");
	assert_string_equal(b.payload, "payload");
	pr_peers_send_datagram(a.peers, address, PORT + 1, PR_SLICE("probe"));
	run_until(&b.datagrams, 1);
	assert_int_equal(b.datagrams, 1);
	close_end(&a);
	close_end(&b);
}

/* Guards against a host without the secret whose messages are taken. */
static void wrong_secret_is_refused(void **state)
{
	end_t a, b;

	open_end(&a, "host-a", PORT, "another secret, 16+");
	open_end(&b, "host-b", PORT + 1, "a secret of the fleet");
	pr_peers_set(a.peers, "host-b", address, PORT + 1);
	pr_peers_send(a.peers, "host-b", "claim", PR_SLICE("payload"));
	run_steps(60);
	assert_int_equal(b.messages, 0);
	assert_true(pr_metrics_series(&b.metrics, "pr_peer_refused_total", "")
			    ->value >= 1);
	close_end(&a);
	close_end(&b);
}

/* Guards against messages that go to a listener that is not the peer: it has
 * the secret, but another name. */
static void impostor_gets_no_messages(void **state)
{
	end_t a, b;

	open_end(&a, "host-a", PORT, "a secret of the fleet");
	open_end(&b, "host-x", PORT + 1, "a secret of the fleet");
	pr_peers_set(a.peers, "host-b", address, PORT + 1);
	pr_peers_send(a.peers, "host-b", "claim", PR_SLICE("payload"));
	run_steps(60);
	assert_int_equal(b.messages, 0);
	assert_true(pr_metrics_series(&a.metrics, "pr_peer_refused_total", "")
			    ->value >= 1);
	close_end(&a);
	close_end(&b);
}

static void send_garbage(pr_rand_t *rand)
{
	struct sockaddr_in to;
	char bytes[300];
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	uv_ip4_addr(address, PORT, &to);
	for (size_t i = 0; i < sizeof(bytes); i++)
		bytes[i] = (char)pr_rand_below(rand, 256);
	/* Small lengths reach the unpacker. */
	bytes[0] = 0;
	bytes[1] = 0;
	bytes[2] = 0;
	assert_int_equal(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	assert_true(send(fd, bytes, sizeof(bytes), MSG_NOSIGNAL) > 0);
	uv_run(&loop, UV_RUN_NOWAIT);
	close(fd);
	uv_run(&loop, UV_RUN_NOWAIT);
}

/* Guards against bytes from the network that end the process. Seed 11. */
static void garbage_is_refused(void **state)
{
	pr_rand_t rand;
	end_t a;

	assert_int_equal(pr_rand_init(&rand, 11), 0);
	open_end(&a, "host-a", PORT, "a secret of the fleet");
	for (int i = 0; i < GARBAGE_RUNS; i++)
		send_garbage(&rand);
	run_steps(20);
	assert_int_equal(a.messages, 0);
	close_end(&a);
	pr_rand_finish(&rand);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(
			messages_arrive_with_their_sender, set_up, tear_down),
		cmocka_unit_test_setup_teardown(wrong_secret_is_refused, set_up,
						tear_down),
		cmocka_unit_test_setup_teardown(impostor_gets_no_messages,
						set_up, tear_down),
		cmocka_unit_test_setup_teardown(garbage_is_refused, set_up,
						tear_down),
	};

	signal(SIGPIPE, SIG_IGN);
	return cmocka_run_group_tests(tests, NULL, NULL);
}
