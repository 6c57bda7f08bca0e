/* Tests of src/session: token, session cache, version rule, messages. */
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

/* Guards against accepting tokens that are forged, truncated or issued for
 * another workspace, against not counting them, and against a key rotation that
 * invalidates tokens signed with the previous key. */
static void token_is_verified(void **state)
{
	pr_session_t in = session_of("s-1", "s1", 1234567), out;
	pr_session_keyring_t keyring;
	pr_str_t token = PR_STR_INIT;

	assert_int_equal(pr_session_keyring_init(&keyring, PR_SLICE("short")),
			 PR_EINVALID);
	assert_int_equal(pr_session_keyring_init(&keyring, SECRET_A), 0);
	assert_int_equal(pr_session_sign(&keyring, &in, &token), 0);
	assert_int_equal(pr_session_check(&keyring, &out, pr_str_slice(&token),
					  PR_SLICE("w1")),
			 0);
	assert_string_equal(out.version, "s1");
	assert_int_equal(out.issued, 1234567);
	printf("token with short names: %zu characters\n", token.len);
	assert_int_equal(pr_session_check(&keyring, &out, pr_str_slice(&token),
					  PR_SLICE("w2")),
			 PR_EDENIED);
	for (size_t i = 0; i < token.len; i++) {
		char original = token.ptr[i];

		token.ptr[i] = original == '0' ? '1' : '0';
		assert_int_not_equal(pr_session_check(&keyring, &out,
						      pr_str_slice(&token),
						      PR_SLICE("w1")),
				     0);
		token.ptr[i] = original;
		assert_int_not_equal(pr_session_check(&keyring, &out,
						      pr_slice(token.ptr, i),
						      PR_SLICE("w1")),
				     0);
	}
	assert_int_equal(keyring.accepted, 1);
	assert_int_equal(keyring.wrong_workspace, 1);
	assert_int_equal(keyring.wrong_signature + keyring.malformed,
			 2 * token.len);
	assert_int_equal(pr_session_keyring_rotate(&keyring, SECRET_B), 0);
	assert_int_equal(pr_session_check(&keyring, &out, pr_str_slice(&token),
					  PR_SLICE("w1")),
			 0);
	assert_int_equal(pr_session_keyring_rotate(&keyring, SECRET_C), 0);
	assert_int_equal(pr_session_check(&keyring, &out, pr_str_slice(&token),
					  PR_SLICE("w1")),
			 PR_EDENIED);
	pr_str_finish(&token);
}

/* Guards against a cache that grows without bound, returns expired sessions,
 * evicts sessions in use before idle ones, or lets a delayed record undo the
 * move of a session. */
static void cache_is_bounded(void **state)
{
	pr_session_cache_t cache;
	pr_session_t out;
	char id[16];

	assert_int_equal(pr_session_cache_init(&cache, 0, 1), PR_EINVALID);
	assert_int_equal(pr_session_cache_init(&cache, 100, 1000), 0);
	for (int i = 0; i < 1000; i++) {
		pr_session_t session;

		snprintf(id, sizeof(id), "s-%d", i);
		session = session_of(id, "s1", i);
		assert_int_equal(pr_session_cache_put(&cache, &session, 0), 0);
		assert_int_equal(pr_session_cache_get(&cache, &out,
						      PR_SLICE("w1"),
						      PR_SLICE("s-0"), 0),
				 0);
	}
	assert_int_equal(cache.evicted, 900);
	assert_int_equal(pr_session_cache_get(&cache, &out, PR_SLICE("w1"),
					      PR_SLICE("s-500"), 0),
			 PR_ENOTFOUND);
	assert_int_equal(pr_session_cache_get(&cache, &out, PR_SLICE("w2"),
					      PR_SLICE("s-0"), 0),
			 PR_ENOTFOUND);
	out = session_of("s-0", "moved", 5000);
	assert_int_equal(pr_session_cache_put(&cache, &out, 1), 0);
	out = session_of("s-0", "s1", 10);
	assert_int_equal(pr_session_cache_put(&cache, &out, 1), 0);
	assert_int_equal(pr_session_cache_get(&cache, &out, PR_SLICE("w1"),
					      PR_SLICE("s-0"), 1),
			 0);
	assert_string_equal(out.version, "moved");
	assert_int_equal(pr_session_cache_get(&cache, &out, PR_SLICE("w1"),
					      PR_SLICE("s-0"), 1001),
			 PR_ENOTFOUND);
	assert_int_equal(cache.newest, UINT32_MAX);
	pr_session_cache_finish(&cache);
}

/* Guards against a cache that stores no more sessions once 256 version names
 * were seen, which a year of daily roll-outs reaches. */
static void unused_version_names_are_replaced(void **state)
{
	pr_session_cache_t cache;
	pr_session_t session;
	char version[16];

	assert_int_equal(pr_session_cache_init(&cache, 8, 1000), 0);
	for (int i = 0; i < 1000; i++) {
		snprintf(version, sizeof(version), "v%d", i);
		session = session_of("s", version, i);
		assert_int_equal(pr_session_cache_put(&cache, &session, i), 0);
		assert_int_equal(pr_session_cache_get(&cache, &session,
						      PR_SLICE("w1"),
						      PR_SLICE("s"), i),
				 0);
		assert_string_equal(session.version, version);
	}
	printf("session cache: %zu bytes per 100,000 sessions\n",
	       (size_t)100000 * (sizeof(pr_session_entry_t) + 4));
	pr_session_cache_finish(&cache);
}

static pr_fleet_t *fleet_with(const char *s2_state, int s2_share)
{
	char text[256];

	snprintf(text, sizeof(text),
		 "models:\n- {name: small, versions: [{name: s1},\n"
		 "  {name: s2, state: %s, share: %d, replaces: s1}]}\n",
		 s2_state, s2_share);
	return fleet_of(text);
}

/* Guards against a change of a version's traffic share or a halted roll-out
 * that moves existing sessions, and against a withdrawal that moves a session
 * twice or without reporting the move. */
static void only_withdrawal_moves_sessions(void **state)
{
	static const struct {
		const char *state;
		int share;
		pr_session_action_t s1_action, s2_action;
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
				 cases[i].s1_action);
		decision = pr_session_decide(fleet, NULL, &on_s2);
		assert_int_equal(decision.action, cases[i].s2_action);
		assert_ptr_equal(decision.source, &on_s2);
		/* A token from before the move causes no second move. */
		decision = pr_session_decide(fleet, &on_s2, &moved);
		assert_int_equal(decision.action, PR_SESSION_KEEP);
		assert_ptr_equal(decision.source, &moved);
		pr_fleet_free(fleet);
	}
}

/* Guards against sessions that change version when an owner host is lost or
 * replaced. A token is valid without an owner; a session id needs one of the
 * two owners of the session. With the session cache switched off, callers that
 * send only an id lose their version. */
static void sessions_survive_host_loss(void **state)
{
	pr_fleet_t *fleet = fleet_with("rolling", 100);
	pr_session_t session = session_of("a", "s2", 10), out;
	pr_session_cache_t owners[2];
	pr_session_keyring_t keyring;
	pr_str_t token = PR_STR_INIT;

	for (int i = 0; i < 2; i++) {
		assert_int_equal(pr_session_cache_init(&owners[i], 10, 1000),
				 0);
		assert_int_equal(pr_session_cache_put(&owners[i], &session, 0),
				 0);
	}
	pr_session_keyring_init(&keyring, SECRET_A);
	assert_int_equal(pr_session_sign(&keyring, &session, &token), 0);
	/* The first owner is replaced by a host with an empty cache. */
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
	/* Another host with the same secret verifies the token alone. */
	pr_session_keyring_init(&keyring, SECRET_A);
	assert_int_equal(pr_session_check(&keyring, &out, pr_str_slice(&token),
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

/* Guards against messages that lose a field, and against accepting a truncated
 * message or crashing on it. */
static void messages_round_trip(void **state)
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
		cmocka_unit_test(token_is_verified),
		cmocka_unit_test(cache_is_bounded),
		cmocka_unit_test(unused_version_names_are_replaced),
		cmocka_unit_test(only_withdrawal_moves_sessions),
		cmocka_unit_test(sessions_survive_host_loss),
		cmocka_unit_test(messages_round_trip),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
