/**
 * Sessions of a caller with a model: the signed session token, the session
 * cache that the owner hosts of a session keep, and the rule that a session
 * stays on its model version until that version is withdrawn.
 */
#ifndef PISTACHIORACK_SESSION_H
#define PISTACHIORACK_SESSION_H

#include "pistachiorack/config.h"
#include "pistachiorack/timer.h"

/** Longest workspace, model, version or session name, in bytes. */
#define PR_SESSION_NAME_MAX 127
/** Longest signing key, in bytes. */
#define PR_SESSION_SECRET_MAX 64

/**
 * Session record: the model version that a session runs on, as stated by a
 * token, a message or the session cache. Strings are NUL-terminated.
 */
typedef struct pr_session_t {
	char workspace[PR_SESSION_NAME_MAX + 1];
	char session[PR_SESSION_NAME_MAX + 1];
	char model[PR_SESSION_NAME_MAX + 1];
	char version[PR_SESSION_NAME_MAX + 1];
	/**
	 * Wall-clock time of the record in microseconds. Of two records of a
	 * session, the one issued later applies.
	 */
	pr_usec_t issued;
} pr_session_t;

/**
 * Fill in a session record.
 *
 * @param id name of the session
 * @param issued wall-clock time in microseconds
 * @return 0, or PR_EFULL when a name exceeds PR_SESSION_NAME_MAX bytes
 */
int pr_session_set(pr_session_t *session, pr_slice_t workspace, pr_slice_t id,
		   pr_slice_t model, pr_slice_t version, pr_usec_t issued);

/**
 * Keys for session tokens. New tokens are signed with the first key; a token
 * that either key has signed is accepted.
 */
typedef struct pr_session_keyring_t {
	char secrets[2][PR_SESSION_SECRET_MAX];
	/** Length of each key in bytes; 0 when the key is not set. */
	size_t lengths[2];
	/** Numbers of checked tokens by result. */
	uint64_t accepted, wrong_signature, wrong_workspace, malformed;
} pr_session_keyring_t;

/**
 * Initialise a keyring with one signing key.
 *
 * @return 0, or PR_EINVALID when the key is shorter than 16 bytes or longer
 *	   than PR_SESSION_SECRET_MAX bytes
 */
int pr_session_keyring_init(pr_session_keyring_t *keyring, pr_slice_t secret);
/**
 * Sign new tokens with a new key. Tokens signed with the previous key are still
 * accepted; the key before that is dropped.
 *
 * @return 0, or PR_EINVALID as for pr_session_keyring_init()
 */
int pr_session_keyring_rotate(pr_session_keyring_t *keyring, pr_slice_t secret);

/**
 * Append a signed token, the value of the x-session-token header, to a string.
 *
 * @return 0 or PR_ENOMEM
 */
int pr_session_sign(const pr_session_keyring_t *keyring,
		    const pr_session_t *session, pr_str_t *out);
/**
 * Verify a token and decode its session record. The signature is compared in
 * constant time. The keyring counts the result. The caller must treat a
 * rejected token as absent.
 *
 * @param workspace the workspace that the API key of the request belongs to
 * @return 0, PR_EPARSE when the token is malformed, or PR_EDENIED when the
 *	   signature is wrong or the token was issued for another workspace
 */
int pr_session_check(pr_session_keyring_t *keyring, pr_session_t *session,
		     pr_slice_t token, pr_slice_t workspace);

/** Session in the session cache. */
typedef struct pr_session_entry_t {
	/** 128-bit hash of the workspace and the session name. */
	uint64_t key[2];
	/** Time of the last access in microseconds on the monotonic clock. */
	pr_usec_t last_used;
	/** See pr_session_t. */
	pr_usec_t issued;
	/**
	 * Links of the hash bucket (also of the free list) and of the LRU list;
	 * indices of entries, UINT32_MAX at the end of a list.
	 */
	uint32_t next_in_bucket, newer, older;
	/** Indices into the cache's list of names. */
	uint16_t model, version;
} pr_session_entry_t;

/** Most distinct model and version names in a session cache. */
#define PR_SESSION_NAMES_MAX 256

/** Session records of an owner host; an LRU cache of fixed size with expiry. */
typedef struct pr_session_cache_t {
	pr_session_entry_t *entries;
	uint32_t *buckets;
	/** Capacity, and number of entries that were ever used. */
	uint32_t max, count;
	/** Ends of the LRU list and head of the free list; entry indices. */
	uint32_t newest, oldest, free;
	char *names[PR_SESSION_NAMES_MAX];
	uint16_t names_count;
	/** Microseconds. */
	pr_usec_t ttl;
	/** Numbers of entries removed for lack of space, and after the TTL. */
	uint64_t evicted, expired;
} pr_session_cache_t;

/**
 * Allocate a session cache.
 *
 * @param max capacity in sessions; a full cache evicts the least recently used
 * @param ttl time since the last access after which a session expires, in
 *	      microseconds
 * @return 0, PR_EINVALID or PR_ENOMEM
 */
int pr_session_cache_init(pr_session_cache_t *cache, uint32_t max,
			  pr_usec_t ttl);
void pr_session_cache_finish(pr_session_cache_t *cache);
/** @return size of the cache in bytes without the names; it is constant */
size_t pr_session_cache_bytes(const pr_session_cache_t *cache);
/**
 * Store a session record. A record that was issued before the stored one is
 * ignored, so that a delayed message does not undo the move of a session to
 * another version.
 *
 * @param now current time in microseconds
 * @return 0, PR_EFULL when the stored sessions use too many distinct model and
 *	   version names, or PR_ENOMEM
 */
int pr_session_cache_put(pr_session_cache_t *cache, const pr_session_t *session,
			 pr_usec_t now);
/**
 * Look up a session and mark it as used.
 *
 * @param[out] session record of the session
 * @param id name of the session
 * @param now current time in microseconds
 * @return 0, PR_ENOTFOUND, or PR_EFULL as for pr_session_set()
 */
int pr_session_cache_get(pr_session_cache_t *cache, pr_session_t *session,
			 pr_slice_t workspace, pr_slice_t id, pr_usec_t now);

typedef enum pr_session_action_t {
	/** No record of the session: choose a version, sign and store it. */
	PR_SESSION_START,
	/** Stay on the version of the session record. */
	PR_SESSION_KEEP,
	/**
	 * The version may no longer be used: choose another version and tell
	 * the caller that the session has moved.
	 */
	PR_SESSION_MOVE,
} pr_session_action_t;

typedef struct pr_session_decision_t {
	pr_session_action_t action;
	/** Record that the decision is based on; NULL for PR_SESSION_START. */
	const pr_session_t *source;
} pr_session_decision_t;

/**
 * Decide whether a session starts, keeps its version or moves to another one.
 * Of the two records, the one issued later applies. A caller that still sends
 * the token from before a move therefore stays on the version that the session
 * was moved to.
 *
 * @param token record of a verified token, or NULL
 * @param cached record from the session cache of an owner host, or NULL
 */
pr_session_decision_t pr_session_decide(const pr_fleet_t *fleet,
					const pr_session_t *token,
					const pr_session_t *cached);

/**
 * Append a session_get message, a msgpack map that requests the record of a
 * session from an owner host.
 *
 * @param id name of the session
 * @return 0 or PR_ENOMEM
 */
int pr_session_get_encode(pr_str_t *out, pr_slice_t workspace, pr_slice_t id);
/**
 * Append a session_put message, a msgpack map that transmits a session record.
 * It is also the reply to session_get.
 *
 * @return 0 or PR_ENOMEM
 */
int pr_session_put_encode(pr_str_t *out, const pr_session_t *session);
/**
 * Decode a session_get or session_put message. Model and version are empty
 * strings after a session_get.
 *
 * @return 0 or PR_EPARSE
 */
int pr_session_decode(pr_session_t *session, pr_slice_t message);

#endif
