/* Datagrams of the membership: a msgpack array and a truncated HMAC-SHA256. */
#ifndef PR_MEMBER_MESSAGE_H
#define PR_MEMBER_MESSAGE_H

#include <msgpack.h>

#include "pistachiorack/member.h"

/* Updates per datagram; more would exceed PR_MEMBER_DATAGRAM_MAX. */
#define PR_PROBE_UPDATES_MAX 12
/* Truncated HMAC in bytes: 128 bits, a length that NIST SP 800-107 accepts. */
#define PR_PROBE_MAC_SIZE 16

typedef enum pr_probe_kind_t {
	PR_PROBE_PING,
	PR_PROBE_ACK,
	/** Requests that the receiver probes the subject. */
	PR_PROBE_REQUEST,
	/** Reply to a request if the subject sent no ack in time. */
	PR_PROBE_NACK,
	/** Carries updates only; no reply is sent. */
	PR_PROBE_GOSSIP,
} pr_probe_kind_t;

/** State of one host as seen by the sender. */
typedef struct pr_update_t {
	char host[PR_MEMBER_NAME_SIZE];
	pr_member_state_t state;
	uint64_t incarnation;
} pr_update_t;

typedef struct pr_probe_t {
	pr_probe_kind_t kind;
	char from[PR_MEMBER_NAME_SIZE];
	uint64_t incarnation;
	/** True if the sender is leaving. */
	bool leaving;
	/** Chosen by the sender of a ping or request; echoed in ack and nack.
	 */
	uint64_t sequence;
	/** Host to probe in a request and in the reply to it; "" otherwise. */
	char subject[PR_MEMBER_NAME_SIZE];
	uint64_t config_version;
	/**
	 * Time since the sender's configuration was confirmed, in
	 * milliseconds; -1 if it never was.
	 */
	int64_t config_age_ms;
	pr_update_t updates[PR_PROBE_UPDATES_MAX];
	unsigned int updates_count;
} pr_probe_t;

/**
 * Encode a datagram and append its HMAC. If the datagram would be too long,
 * updates are omitted from the end of the array and updates_count is reduced.
 *
 * @param out buffer of PR_MEMBER_DATAGRAM_MAX bytes
 * @param secret key of the HMAC
 * @return length of the datagram in bytes; 0 if memory is exhausted or the
 *	   datagram is too long even without updates
 */
size_t pr_probe_encode(char *out, pr_probe_t *probe, pr_slice_t secret);
/**
 * Verify and decode a datagram.
 *
 * @return 0, PR_EDENIED for a wrong HMAC, or PR_EPARSE for a wrong length or a
 *	   malformed body
 */
int pr_probe_decode(pr_probe_t *out, pr_slice_t datagram, pr_slice_t secret);

#endif
