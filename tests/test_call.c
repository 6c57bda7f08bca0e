/*
 * Tests of src/http/call over loopback. Guards against a call that is given up
 * while its answer arrives: the same long answer is then requested again and
 * again, and fills the link on which it is late.
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
#include <sys/socket.h>
#include <unistd.h>

#include "http/call.h"

#define TIMEOUT (100 * PR_USEC_PER_MSEC)
#define STEP    (40 * PR_USEC_PER_MSEC)

typedef struct world_t {
	uv_loop_t loop;
	pr_timers_t timers;
	pr_call_t call;
	int listener, fd;
	/** -1 while the call is under way. */
	int status;
	size_t body_len;
} world_t;

static void on_done(pr_call_t *call, int status, pr_slice_t body)
{
	world_t *world = call->owner;

	world->status = status;
	world->body_len = body.len;
}

static void start(world_t *world)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	socklen_t len = sizeof(address);

	memset(world, 0, sizeof(*world));
	world->status = -1;
	world->listener = socket(AF_INET, SOCK_STREAM, 0);
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	assert_int_equal(
		bind(world->listener, (struct sockaddr *)&address, len), 0);
	assert_int_equal(listen(world->listener, 1), 0);
	getsockname(world->listener, (struct sockaddr *)&address, &len);
	uv_loop_init(&world->loop);
	pr_timers_init(&world->timers, PR_USEC_PER_SEC);
	pr_call_init(&world->call, &world->loop, &world->timers, &address,
		     world);
	pr_call_start(&world->call, PR_SLICE("GET / HTTP/1.1\r\n\r\n"), TIMEOUT,
		      on_done);
	world->fd = accept(world->listener, NULL, NULL);
	assert_true(world->fd >= 0);
}

/* Let the loop handle what has arrived, then let time pass. */
static void step(world_t *world, const char *bytes)
{
	assert_int_equal(send(world->fd, bytes, strlen(bytes), 0),
			 (ssize_t)strlen(bytes));
	for (int i = 0; i < 20; i++) {
		uv_run(&world->loop, UV_RUN_NOWAIT);
		usleep(200);
	}
	pr_timers_advance(&world->timers, world->timers.now + STEP);
}

static void finish(world_t *world)
{
	pr_call_finish(&world->call);
	close(world->fd);
	close(world->listener);
	uv_run(&world->loop, UV_RUN_DEFAULT);
	assert_int_equal(uv_loop_close(&world->loop), 0);
}

/* The answer takes ten steps, four times the timeout. */
static void test_slow_answer(void **state)
{
	world_t world;

	start(&world);
	step(&world, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
	for (int i = 0; i < 10; i++) {
		assert_int_equal(world.status, -1);
		assert_true(pr_call_is_receiving(&world.call));
		step(&world, "x");
	}
	assert_int_equal(world.status, 200);
	assert_int_equal(world.body_len, 10);
	assert_false(pr_call_is_receiving(&world.call));
	finish(&world);
}

/* The era of the store is read from any answer, also from one that refuses. */
static void test_kept_field(void **state)
{
	world_t world;

	start(&world);
	pr_call_keep_field(&world.call, "Store-Era");
	step(&world, "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n"
		     "store-era: 7\r\n\r\n");
	assert_int_equal(world.status, 410);
	assert_true(pr_slice_equal(pr_call_field(&world.call), PR_SLICE("7")));
	pr_call_start(&world.call, PR_SLICE("GET / HTTP/1.1\r\n\r\n"), TIMEOUT,
		      on_done);
	world.status = -1;
	step(&world, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	assert_int_equal(world.status, 200);
	assert_null(pr_call_field(&world.call).ptr);
	finish(&world);
}

/* Without a first byte the call ends at its timeout. */
static void test_no_answer(void **state)
{
	world_t world;

	start(&world);
	step(&world, "");
	assert_int_equal(world.status, -1);
	assert_false(pr_call_is_receiving(&world.call));
	step(&world, "");
	step(&world, "");
	assert_int_equal(world.status, 0);
	finish(&world);
}

/* An answer that stalls, and one that never ends, are given up. */
static void test_endless_answer(void **state)
{
	world_t world;
	int steps = 0;

	start(&world);
	step(&world, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
	while (world.status == -1 && steps++ < 60)
		step(&world, "");
	assert_int_equal(world.status, 0);
	assert_true(steps * STEP < 2 * PR_USEC_PER_SEC);
	finish(&world);

	start(&world);
	step(&world, "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
	for (steps = 0; world.status == -1 && steps < 500; steps++)
		step(&world, "x");
	assert_int_equal(world.status, 0);
	assert_true(steps * STEP > 10 * PR_USEC_PER_SEC);
	finish(&world);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_slow_answer),
		cmocka_unit_test(test_kept_field),
		cmocka_unit_test(test_no_answer),
		cmocka_unit_test(test_endless_answer),
	};

	return cmocka_run_group_tests_name("call", tests, NULL, NULL);
}
