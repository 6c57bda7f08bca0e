/* The lease and lease_result messages, msgpack maps. */
#ifndef PR_GRANT_MESSAGE_H
#define PR_GRANT_MESSAGE_H

#include <msgpack.h>

#include "pistachiorack/grant.h"

typedef enum pr_lease_kind_t {
	PR_LEASE_REQUEST,
	PR_LEASE_RESULT,
} pr_lease_kind_t;

typedef enum pr_lease_status_t {
	PR_LEASE_GRANTED,
	/** The owner is new and does not grant yet. */
	PR_LEASE_WAIT,
	/** The receiver does not take itself for the owner. */
	PR_LEASE_NOT_OWNER,
} pr_lease_status_t;

typedef struct pr_lease_message_t {
	pr_lease_kind_t kind;
	char resource[PR_GRANT_NAME_SIZE];
	/** The holder's clock at sending; echoed in the answer. */
	pr_usec_t sent;
	/** Request: the amount that the holder spends up to now. */
	uint32_t held;
	/** Request: part of it that cannot be returned now. */
	uint32_t in_use;
	uint32_t demand[PR_GRANT_CLASSES];
	/** Result. */
	pr_lease_status_t status;
	uint32_t amount;
	pr_usec_t lifetime;
} pr_lease_message_t;

/** Append the message to the buffer. */
void pr_lease_encode(msgpack_sbuffer *out, const pr_lease_message_t *message);
/** @return 0 or PR_EPARSE; unknown fields are skipped */
int pr_lease_decode(pr_lease_message_t *out, pr_slice_t bytes);

#endif
