/**
 * Sessions: the signed token, the memory of a session's owners, and the rule
 * that a session keeps its version until the version is withdrawn.
 */
#ifndef PISTACHIORACK_SESSION_H
#define PISTACHIORACK_SESSION_H

#include "pistachiorack/config.h"
#include "pistachiorack/timer.h"

/** Longest workspace, model, version or session name in a token, bytes. */
#define PR_SESSION_NAME_MAX   127
#define PR_SESSION_SECRET_MAX 64

/** What is known about a session; strings are terminated. */
typedef struct pr_session_t {
	char workspace[PR_SESSION_NAME_MAX + 1];
	char session[PR_SESSION_NAME_MAX + 1];
	char model[PR_SESSION_NAME_MAX + 1];
	char version[PR_SESSION_NAME_MAX + 1];
	/** Microseconds of wall-clock time; the newer statement counts. */
	pr_usec_t issued;
} pr_session_t;

/** @return 0 or PR_EFULL when a name is too long */
int pr_session_set(pr_session_t *session, pr_slice_t workspace, pr_slice_t id,
		   pr_slice_t model, pr_slice_t version, pr_usec_t issued);

/** Signing keys: new tokens use the first, checks accept both. */
typedef struct pr_session_keyring_t {
	char secrets[2][PR_SESSION_SECRET_MAX];
	/** 0 for an unused place. */
	size_t lengths[2];
	uint64_t accepted, wrong_signature, wrong_workspace, malformed;
} pr_session_keyring_t;

/** @return 0 or PR_EINVALID (secret shorter than 16 bytes or too long) */
int pr_session_keyring_init(pr_session_keyring_t *ring, pr_slice_t secret);
/** Put a new secret first and keep the former for checks. */
int pr_session_keyring_rotate(pr_session_keyring_t *ring, pr_slice_t secret);

/** Append the value of x-session-token. @return 0 or PR_ENOMEM */
int pr_session_sign(const pr_session_keyring_t *ring,
		    const pr_session_t *session, pr_str_t *out);
/**
 * Check a token; the signature is compared in constant time. A bad token is
 * counted in the ring and must be treated as absent.
 *
 * @param workspace the workspace of the request's key
 * @return 0, PR_EPARSE (malformed) or PR_EDENIED (signature or workspace)
 */
int pr_session_check(pr_session_keyring_t *ring, pr_session_t *session,
		     pr_slice_t token, pr_slice_t workspace);

/** One remembered session; names are indices into the memory's list. */
typedef struct pr_session_entry_t {
	uint64_t key[2];
	pr_usec_t used;
	pr_usec_t issued;
	/** Hash chain and recency list; indices, UINT32_MAX ends a list. */
	uint32_t chain, newer, older;
	uint16_t model, version;
} pr_session_entry_t;

#define PR_SESSION_NAMES_MAX 256

typedef struct pr_session_cache_t {
	pr_session_entry_t *entries;
	uint32_t *buckets;
	uint32_t max, count, newest, oldest, free;
	char *names[PR_SESSION_NAMES_MAX];
	uint16_t names_count;
	pr_usec_t ttl;
	uint64_t evicted, expired;
} pr_session_cache_t;

/**
 * @param max most sessions; the least recently used one is replaced
 * @param ttl time without use after which a session is forgotten
 * @return 0, PR_EINVALID or PR_ENOMEM
 */
int pr_session_cache_init(pr_session_cache_t *memory, uint32_t max,
			  pr_usec_t ttl);
void pr_session_cache_finish(pr_session_cache_t *memory);
/** @return bytes of memory without the names; it never grows */
size_t pr_session_cache_bytes(const pr_session_cache_t *memory);
/**
 * Remember a session's version. An older statement than the remembered one is
 * ignored, so that late messages do not undo a move.
 *
 * @return 0, PR_EFULL (too many distinct names) or PR_ENOMEM
 */
int pr_session_cache_put(pr_session_cache_t *memory,
			 const pr_session_t *session, pr_usec_t now);
/** @return 0 or PR_ENOTFOUND; fills model, version and issued */
int pr_session_cache_get(pr_session_cache_t *memory, pr_session_t *session,
			 pr_slice_t workspace, pr_slice_t id, pr_usec_t now);

typedef enum pr_session_action_t {
	/** No version known: plan freely, then sign and remember. */
	PR_SESSION_START,
	/** Run on the known version. */
	PR_SESSION_KEEP,
	/** The version may no longer be used: plan anew and say so. */
	PR_SESSION_MOVE,
} pr_session_action_t;

typedef struct pr_session_decision_t {
	pr_session_action_t action;
	/** The statement that counted; NULL for PR_SESSION_START. */
	const pr_session_t *source;
} pr_session_decision_t;

/**
 * Decide what a session does. Of the token and the memory the newer statement
 * counts; a caller that repeats an old token after a move therefore stays on
 * the version it was moved to.
 *
 * @param token checked token or NULL
 * @param memory statement of a session owner or NULL
 */
pr_session_decision_t pr_session_decide(const pr_fleet_t *fleet,
					const pr_session_t *token,
					const pr_session_t *memory);

/** Message session_get; msgpack map. @return 0 or PR_ENOMEM */
int pr_session_get_encode(pr_str_t *out, pr_slice_t workspace, pr_slice_t id);
/** Message session_put, also the answer to session_get. */
int pr_session_put_encode(pr_str_t *out, const pr_session_t *session);
/**
 * Decode either message; model and version are "" in a session_get.
 *
 * @return 0 or PR_EPARSE
 */
int pr_session_decode(pr_session_t *session, pr_slice_t message);

#endif
