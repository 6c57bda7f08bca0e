/**
 * A fleet without a network for the tests of src/quarantine: hosts tell the
 * relays of their zone what changed, relays tell each other and their hosts.
 */
#ifndef PR_TESTS_QUARANTINE_FLEET_H
#define PR_TESTS_QUARANTINE_FLEET_H

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "quarantine/quarantine.h"
#include "relay/message.h"

#define SERVICE 7
/* Parts: that of all requests of a kind, that of a few, that of the requests
 * that crash, and that of an unrelated kind. */
#define COMMON  0xc0
#define RARE    0x4a
#define DEADLY  0xdead
#define OTHER   0x07
#define HOSTS   295
#define ZONES   6
#define PERIOD  200
#define REFRESH 2000
#define CONTACT 4000
#define START   1000000

typedef struct fleet_t {
	pr_quarantine_t *hosts;
	int count;
	int64_t now;
	uint64_t requests, upstreams;
	uint32_t datagrams_max;
	/** Bytes that the last host was sent. */
	size_t bytes;
} fleet_t;

/* The first host of each zone is its relay. */
static inline bool is_relay(int host)
{
	return host < ZONES;
}

static inline void start_fleet(fleet_t *fleet, int count)
{
	memset(fleet, 0, sizeof(*fleet));
	fleet->hosts = calloc((size_t)count, sizeof(fleet->hosts[0]));
	assert_non_null(fleet->hosts);
	fleet->count = count;
	fleet->now = START;
	for (int i = 0; i < count; i++) {
		fleet->hosts[i].rank = (uint32_t)i;
		fleet->hosts[i].defers = !is_relay(i);
	}
}

static inline void finish_fleet(fleet_t *fleet)
{
	free(fleet->hosts);
}

/* @return bytes of the datagrams, with the headers of IP and UDP */
static inline size_t datagram_bytes(const pr_suspect_t *suspects, size_t count)
{
	size_t bytes = 0, at = 0;

	while (at < count) {
		pr_str_t datagram = PR_STR_INIT;

		at += pr_message_pack_suspects(&datagram, "host-of-a-zone-17",
					       &suspects[at], count - at);
		bytes += datagram.len + 28;
		pr_str_finish(&datagram);
	}
	return bytes;
}

static inline uint32_t send_changes(fleet_t *fleet, int from,
				    pr_audience_t audience)
{
	pr_suspect_t suspects[PR_SUSPECTS_IN_DATAGRAM];
	size_t count =
		pr_quarantine_take_changes(&fleet->hosts[from], audience,
					   suspects, PR_SUSPECTS_IN_DATAGRAM);
	uint32_t sent = 0;

	for (int to = 0; to < fleet->count && count; to++) {
		bool same_zone = to % ZONES == from % ZONES;
		bool gets =
			audience == PR_AUDIENCE_RELAYS
				? is_relay(to) && (same_zone || is_relay(from))
				: is_relay(from) && same_zone;

		if (to == from || !gets)
			continue;
		sent++;
		if (to == fleet->count - 1)
			fleet->bytes += datagram_bytes(suspects, count);
		for (size_t i = 0; i < count; i++)
			pr_quarantine_merge(&fleet->hosts[to], &suspects[i],
					    is_relay(to) && same_zone);
	}
	return sent;
}

static inline void run_period(fleet_t *fleet)
{
	fleet->now += PERIOD;
	for (int i = 0; i < fleet->count; i++) {
		uint32_t sent;

		pr_quarantine_judge(&fleet->hosts[i], fleet->now);
		if (fleet->now % REFRESH == 0)
			pr_quarantine_refresh(&fleet->hosts[i], fleet->now);
		sent = send_changes(fleet, i, PR_AUDIENCE_RELAYS) +
		       send_changes(fleet, i, PR_AUDIENCE_FOLLOWERS);
		if (!is_relay(i) && sent > fleet->datagrams_max)
			fleet->datagrams_max = sent;
	}
}

static inline pr_quarantine_prompt_t prompt_of(fleet_t *fleet,
					       const uint64_t *parts,
					       size_t count)
{
	return (pr_quarantine_prompt_t){
		.service = SERVICE,
		.parts = parts,
		.parts_count = count,
		.request = ++fleet->requests * UINT64_C(0x9e3779b97f4a7c15),
	};
}

/* An upstream crashes under the request, and under each repeat of it. @return
 * attempts that reached an upstream */
static inline int crash_attempts(fleet_t *fleet, int host,
				 const pr_quarantine_prompt_t *prompt,
				 int attempts)
{
	pr_quarantine_t *quarantine = &fleet->hosts[host];
	int reached = 0;

	while (reached < attempts &&
	       pr_quarantine_admits(quarantine, prompt, reached > 0, fleet->now,
				    NULL)) {
		pr_quarantine_note_sent(quarantine, prompt, fleet->now);
		reached++;
		pr_quarantine_record_crash(quarantine, prompt,
					   (uint32_t)++fleet->upstreams * 77,
					   fleet->now);
	}
	return reached;
}

/* A request is sent once and repeated once. */
static inline int crash(fleet_t *fleet, int host, const uint64_t *parts,
			size_t count)
{
	pr_quarantine_prompt_t prompt = prompt_of(fleet, parts, count);

	return crash_attempts(fleet, host, &prompt, 2);
}

static inline void answer(fleet_t *fleet, int host, const uint64_t *parts,
			  size_t count)
{
	pr_quarantine_prompt_t prompt = prompt_of(fleet, parts, count);

	pr_quarantine_record_answer(&fleet->hosts[host], &prompt, fleet->now);
}

static inline int count_quarantining(fleet_t *fleet, uint64_t part)
{
	pr_quarantine_prompt_t prompt = prompt_of(fleet, &part, 1);
	int count = 0;

	for (int i = 0; i < fleet->count; i++)
		count += !pr_quarantine_admits(&fleet->hosts[i], &prompt, false,
					       fleet->now, NULL);
	return count;
}

/* Sound requests of the fleet in one period: each zone has some, so that all
 * hosts know the common parts. */
static inline void answer_sound(fleet_t *fleet)
{
	static const uint64_t common[] = { COMMON }, other[] = { OTHER };

	for (int i = 0; i < fleet->count; i++) {
		answer(fleet, i, other, 1);
		if ((i + fleet->now / PERIOD) % 5 == 0)
			answer(fleet, i, common, 1);
	}
}

static inline void quarantine_deadly(fleet_t *fleet)
{
	static const uint64_t parts[] = { COMMON, DEADLY };

	for (int i = 0; i < 20; i++) {
		answer_sound(fleet);
		if (i % 3 == 0)
			crash(fleet, i % fleet->count, parts, 2);
		run_period(fleet);
	}
	assert_int_equal(count_quarantining(fleet, DEADLY), fleet->count);
}

#endif
