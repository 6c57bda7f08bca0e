/*
 * The messages between holder and owner: lease (a request) and lease_result,
 * both encoded as msgpack maps.
 */
#ifndef PR_GRANT_MESSAGE_H
#define PR_GRANT_MESSAGE_H

#include <msgpack.h>

#include "pistachiorack/grant.h"

typedef enum pr_lease_type_t {
	PR_LEASE_REQUEST,
	PR_LEASE_RESULT,
} pr_lease_type_t;

typedef enum pr_lease_status_t {
	PR_LEASE_GRANTED,
	/** The owner is new or was paused, and does not grant yet. */
	PR_LEASE_WAIT,
	/**
	 * The receiver does not consider itself the owner, or cannot keep one
	 * more resource or holder.
	 */
	PR_LEASE_NOT_OWNER,
} pr_lease_status_t;

typedef struct pr_lease_message_t {
	pr_lease_type_t type;
	char resource[PR_GRANT_NAME_SIZE];
	/** Time of the request by the holder's clock; copied to the result. */
	pr_usec_t sent;
	/** Request: amount that the holder may spend until the result. */
	uint32_t held;
	/** Request: amount that cannot be returned now. */
	uint32_t in_use;
	/** Request: demand by class, most important class first. */
	uint32_t demand[PR_GRANT_CLASSES];
	/** Result: whether the owner grants the request. */
	pr_lease_status_t status;
	/** Result: amount granted; 0 unless the status is PR_LEASE_GRANTED. */
	uint32_t amount;
	/** Result: lifetime of the lease, counted from sent. */
	pr_usec_t lifetime;
} pr_lease_message_t;

/** Append the encoded message to the buffer. */
void pr_lease_encode(msgpack_sbuffer *out, const pr_lease_message_t *message);
/**
 * Decode a message from untrusted bytes; unknown fields are skipped.
 *
 * @return 0, or PR_EPARSE when the message is malformed
 */
int pr_lease_decode(pr_lease_message_t *out, pr_slice_t bytes);

#endif
