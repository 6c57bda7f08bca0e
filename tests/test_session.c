/* Tests of src/session: token, owner memory, rules, messages. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#include "pistachiorack/error.h"
#include "pistachiorack/session.h"

#include "fleet_text.h"

#define SECRET_A PR_SLICE("secret-a-secret-a")
#define SECRET_B PR_SLICE("secret-b-secret-b")
#define SECRET_C PR_SLICE("secret-c-secret-c")

static pr_session_t session_of(const char *id, const char *version,
			       pr_usec_t issued)
{
	pr_session_t session;

	assert_int_equal(pr_session_set(&session, PR_SLICE("w1"),
					pr_slice_of(id), PR_SLICE("small"),
					pr_slice_of(version), issued),
			 0);
	return session;
}

/* Guards against forged, foreign and cut tokens, each counted, and against a
 * rotation that invalidates tokens in use. */
static void token_is_checked(void **state)
{
	pr_session_t in = session_of("s-1", "s1", 1234567), out;
	pr_session_keyring_t ring;
	pr_str_t token = PR_STR_INIT;

	assert_int_equal(pr_session_keyring_init(&ring, PR_SLICE("short")),
			 PR_EINVALID);
	assert_int_equal(pr_session_keyring_init(&ring, SECRET_A), 0);
	assert_int_equal(pr_session_sign(&ring, &in, &token), 0);
	assert_int_equal(pr_session_check(&ring, &out, pr_str_slice(&token),
					  PR_SLICE("w1")),
			 0);
	assert_string_equal(out.version, "s1");
	assert_int_equal(out.issued, 1234567);
	printf("token with short names: %zu characters\n", token.len);
	assert_int_equal(pr_session_check(&ring, &out, pr_str_slice(&token),
					  PR_SLICE("w2")),
			 PR_EDENIED);
	for (size_t i = 0; i < token.len; i++) {
		char kept = token.ptr[i];

		token.ptr[i] = kept == '0' ? '1' : '0';
		assert_int_not_equal(pr_session_check(&ring, &out,
						      pr_str_slice(&token),
						      PR_SLICE("w1")),
				     0);
		token.ptr[i] = kept;
		assert_int_not_equal(pr_session_check(&ring, &out,
						      pr_slice(token.ptr, i),
						      PR_SLICE("w1")),
				     0);
	}
	assert_int_equal(ring.accepted, 1);
	assert_int_equal(ring.wrong_workspace, 1);
	assert_int_equal(ring.wrong_signature + ring.malformed, 2 * token.len);
	assert_int_equal(pr_session_keyring_rotate(&ring, SECRET_B), 0);
	assert_int_equal(pr_session_check(&ring, &out, pr_str_slice(&token),
					  PR_SLICE("w1")),
			 0);
	assert_int_equal(pr_session_keyring_rotate(&ring, SECRET_C), 0);
	assert_int_equal(pr_session_check(&ring, &out, pr_str_slice(&token),
					  PR_SLICE("w1")),
			 PR_EDENIED);
	pr_str_finish(&token);
}

/* Guards against memory that grows, keeps expired sessions, drops sessions in
 * use before idle ones, or lets a late message undo a move. */
static void memory_is_bounded(void **state)
{
	pr_session_cache_t memory;
	pr_session_t out;
	char id[16];

	assert_int_equal(pr_session_cache_init(&memory, 0, 1), PR_EINVALID);
	assert_int_equal(pr_session_cache_init(&memory, 100, 1000), 0);
	for (int i = 0; i < 1000; i++) {
		pr_session_t session;

		snprintf(id, sizeof(id), "s-%d", i);
		session = session_of(id, "s1", i);
		assert_int_equal(pr_session_cache_put(&memory, &session, 0), 0);
		assert_int_equal(pr_session_cache_get(&memory, &out,
						      PR_SLICE("w1"),
						      PR_SLICE("s-0"), 0),
				 0);
	}
	assert_int_equal(memory.evicted, 900);
	assert_int_equal(pr_session_cache_get(&memory, &out, PR_SLICE("w1"),
					      PR_SLICE("s-500"), 0),
			 PR_ENOTFOUND);
	assert_int_equal(pr_session_cache_get(&memory, &out, PR_SLICE("w2"),
					      PR_SLICE("s-0"), 0),
			 PR_ENOTFOUND);
	out = session_of("s-0", "moved", 5000);
	assert_int_equal(pr_session_cache_put(&memory, &out, 1), 0);
	out = session_of("s-0", "s1", 10);
	assert_int_equal(pr_session_cache_put(&memory, &out, 1), 0);
	assert_int_equal(pr_session_cache_get(&memory, &out, PR_SLICE("w1"),
					      PR_SLICE("s-0"), 1),
			 0);
	assert_string_equal(out.version, "moved");
	assert_int_equal(pr_session_cache_get(&memory, &out, PR_SLICE("w1"),
					      PR_SLICE("s-0"), 1001),
			 PR_ENOTFOUND);
	assert_int_equal(memory.newest, UINT32_MAX);
	pr_session_cache_finish(&memory);
}

/* Guards against a host that stops remembering after 256 version names, which
 * a year of daily roll-outs reaches. */
static void version_names_are_reused(void **state)
{
	pr_session_cache_t memory;
	pr_session_t session;
	char version[16];

	assert_int_equal(pr_session_cache_init(&memory, 8, 1000), 0);
	for (int i = 0; i < 1000; i++) {
		snprintf(version, sizeof(version), "v%d", i);
		session = session_of("s", version, i);
		assert_int_equal(pr_session_cache_put(&memory, &session, i), 0);
		assert_int_equal(pr_session_cache_get(&memory, &session,
						      PR_SLICE("w1"),
						      PR_SLICE("s"), i),
				 0);
		assert_string_equal(session.version, version);
	}
	printf("session memory: %zu bytes per 100,000 sessions\n",
	       (size_t)100000 * (sizeof(pr_session_entry_t) + 4));
	pr_session_cache_finish(&memory);
}

static pr_fleet_t *fleet_with(const char *state_of_s2, int share)
{
	char text[256];

	snprintf(text, sizeof(text),
		 "models:\n- {name: small, versions: [{name: s1},\n"
		 "  {name: s2, state: %s, share: %d, replaces: s1}]}\n",
		 state_of_s2, share);
	return fleet_of(text);
}

/* Guards against a share that moves running sessions, a halt that does, and a
 * withdrawal that moves a session twice or in silence. */
static void rules_hold_over_changes(void **state)
{
	static const struct {
		const char *state;
		int share;
		pr_session_action_t of_s1, of_s2;
	} cases[] = {
		{ "rolling", 100, PR_SESSION_KEEP, PR_SESSION_KEEP },
		{ "rolling", 10000, PR_SESSION_KEEP, PR_SESSION_KEEP },
		{ "halted", 100, PR_SESSION_KEEP, PR_SESSION_KEEP },
		{ "proven", 0, PR_SESSION_KEEP, PR_SESSION_KEEP },
		{ "withdrawn", 0, PR_SESSION_KEEP, PR_SESSION_MOVE },
	};
	pr_session_t on_s1 = session_of("a", "s1", 10);
	pr_session_t on_s2 = session_of("b", "s2", 10);
	pr_session_t moved = session_of("b", "s1", 20);
	pr_session_decision_t decision;

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		pr_fleet_t *fleet = fleet_with(cases[i].state, cases[i].share);

		assert_non_null(fleet);
		assert_int_equal(pr_session_decide(fleet, &on_s1, NULL).action,
				 cases[i].of_s1);
		decision = pr_session_decide(fleet, NULL, &on_s2);
		assert_int_equal(decision.action, cases[i].of_s2);
		assert_ptr_equal(decision.source, &on_s2);
		/* The old token after the move: no second move. */
		decision = pr_session_decide(fleet, &on_s2, &moved);
		assert_int_equal(decision.action, PR_SESSION_KEEP);
		assert_ptr_equal(decision.source, &moved);
		pr_fleet_free(fleet);
	}
}

/* Guards against sessions that change version when an owner is lost or a host
 * replaced: a token needs no owner, an id needs one of its two owners. With
 * the memory switched off, callers that send only an id lose their version. */
static void host_loss_keeps_sessions(void **state)
{
	pr_fleet_t *fleet = fleet_with("rolling", 100);
	pr_session_t session = session_of("a", "s2", 10), out;
	pr_session_cache_t owners[2];
	pr_session_keyring_t ring;
	pr_str_t token = PR_STR_INIT;

	for (int i = 0; i < 2; i++) {
		assert_int_equal(pr_session_cache_init(&owners[i], 10, 1000),
				 0);
		assert_int_equal(pr_session_cache_put(&owners[i], &session, 0),
				 0);
	}
	pr_session_keyring_init(&ring, SECRET_A);
	assert_int_equal(pr_session_sign(&ring, &session, &token), 0);
	/* The first owner is replaced by a host with empty memory. */
	pr_session_cache_finish(&owners[0]);
	assert_int_equal(pr_session_cache_init(&owners[0], 10, 1000), 0);
	assert_int_equal(pr_session_cache_get(&owners[0], &out, PR_SLICE("w1"),
					      PR_SLICE("a"), 1),
			 PR_ENOTFOUND);
	assert_int_equal(pr_session_cache_get(&owners[1], &out, PR_SLICE("w1"),
					      PR_SLICE("a"), 1),
			 0);
	assert_int_equal(pr_session_decide(fleet, NULL, &out).action,
			 PR_SESSION_KEEP);
	/* Another host with the same secret accepts the token by itself. */
	pr_session_keyring_init(&ring, SECRET_A);
	assert_int_equal(pr_session_check(&ring, &out, pr_str_slice(&token),
					  PR_SLICE("w1")),
			 0);
	assert_int_equal(pr_session_decide(fleet, &out, NULL).action,
			 PR_SESSION_KEEP);
	assert_int_equal(pr_session_decide(fleet, NULL, NULL).action,
			 PR_SESSION_START);
	for (int i = 0; i < 2; i++)
		pr_session_cache_finish(&owners[i]);
	pr_str_finish(&token);
	pr_fleet_free(fleet);
}

/* Guards against messages that lose a field or crash on damaged bytes. */
static void messages_survive(void **state)
{
	pr_session_t in = session_of("a", "s2", -5), out;
	pr_str_t message = PR_STR_INIT;

	assert_int_equal(pr_session_put_encode(&message, &in), 0);
	assert_int_equal(pr_session_decode(&out, pr_str_slice(&message)), 0);
	assert_string_equal(out.version, "s2");
	assert_int_equal(out.issued, -5);
	for (size_t i = 0; i < message.len; i++)
		assert_int_equal(
			pr_session_decode(&out, pr_slice(message.ptr, i)),
			PR_EPARSE);
	pr_str_clear(&message);
	assert_int_equal(
		pr_session_get_encode(&message, PR_SLICE("w1"), PR_SLICE("a")),
		0);
	assert_int_equal(pr_session_decode(&out, pr_str_slice(&message)), 0);
	assert_string_equal(out.session, "a");
	assert_string_equal(out.version, "");
	pr_str_finish(&message);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(token_is_checked),
		cmocka_unit_test(memory_is_bounded),
		cmocka_unit_test(version_names_are_reused),
		cmocka_unit_test(rules_hold_over_changes),
		cmocka_unit_test(host_loss_keeps_sessions),
		cmocka_unit_test(messages_survive),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
