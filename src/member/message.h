/* Probe datagrams: a msgpack array followed by a truncated HMAC. */
#ifndef PR_MEMBER_MESSAGE_H
#define PR_MEMBER_MESSAGE_H

#include <msgpack.h>

#include "pistachiorack/member.h"

/* Updates in one datagram; more would exceed PR_MEMBER_DATAGRAM_MAX. */
#define PR_PROBE_UPDATES_MAX 12
/* 128 bits of the HMAC are kept, which NIST SP 800-107 accepts. */
#define PR_PROBE_MAC_SIZE 16

typedef enum pr_probe_kind_t {
	PR_PROBE_PING,
	PR_PROBE_ACK,
	/** Asks the receiver to probe the subject. */
	PR_PROBE_REQUEST,
	/** The receiver of a request got no answer from the subject. */
	PR_PROBE_NACK,
	/** Only carries updates. */
	PR_PROBE_GOSSIP,
} pr_probe_kind_t;

typedef struct pr_update_t {
	char host[PR_MEMBER_NAME_SIZE];
	pr_member_state_t state;
	uint64_t incarnation;
} pr_update_t;

typedef struct pr_probe_t {
	pr_probe_kind_t kind;
	char from[PR_MEMBER_NAME_SIZE];
	uint64_t incarnation;
	/** True when the sender is leaving. */
	bool leaving;
	/** Chosen by the prober, echoed in ack and nack. */
	uint64_t sequence;
	/** Host that a request, or the answer to one, is about; else "". */
	char subject[PR_MEMBER_NAME_SIZE];
	uint64_t config_version;
	/** Milliseconds since the sender's confirmation, -1 for none. */
	int64_t config_age_ms;
	pr_update_t updates[PR_PROBE_UPDATES_MAX];
	unsigned int updates_count;
} pr_probe_t;

/**
 * Encode and sign. Updates that do not fit are left out, the last ones first;
 * updates_count is then lowered.
 *
 * @param out has PR_MEMBER_DATAGRAM_MAX bytes
 * @return length, 0 without memory
 */
size_t pr_probe_encode(char *out, pr_probe_t *probe, pr_slice_t secret);
/** @return 0, PR_EDENIED (HMAC) or PR_EPARSE */
int pr_probe_decode(pr_probe_t *out, pr_slice_t datagram, pr_slice_t secret);

#endif
