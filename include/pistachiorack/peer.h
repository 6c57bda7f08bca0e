/**
 * Links between router hosts: TCP frames with msgpack, authenticated by a
 * challenge, and UDP datagrams for membership probes.
 *
 * A host opens one link to each peer that it has something to say to, on
 * demand, and only sends on it; it receives on the links that others opened.
 */
#ifndef PISTACHIORACK_PEER_H
#define PISTACHIORACK_PEER_H

#include <stdint.h>
#include <uv.h>

#include "pistachiorack/metrics.h"
#include "pistachiorack/str.h"
#include "pistachiorack/timer.h"

/** Largest frame, bytes; a longer one breaks the link. */
#define PR_PEER_FRAME_MAX (1 << 20)
/** Output queued for one peer, bytes; beyond it messages are refused. */
#define PR_PEER_QUEUE_MAX (4 << 20)

typedef struct pr_peers_t pr_peers_t;

typedef struct pr_peers_options_t {
	unsigned int version;
	uv_loop_t *loop;
	pr_timers_t *timers;
	pr_metrics_t *metrics;
	/** This host's name, as its peers know it. */
	const char *name;
	const char *address;
	uint16_t port;
	const char *secret;
	/** A message arrived; slices are valid during the call. */
	void (*on_message)(void *data, pr_slice_t from, pr_slice_t type,
			   pr_slice_t payload);
	/** A datagram arrived on the same address and port. */
	void (*on_datagram)(void *data, pr_slice_t bytes);
	void *data;
} pr_peers_options_t;

#define PR_PEERS_OPTIONS_VERSION 1
#define PR_PEERS_OPTIONS_INIT                                                  \
	{                                                                      \
		.version = PR_PEERS_OPTIONS_VERSION                            \
	}

/** @return 0, PR_EIO (bind), PR_EINVALID (address) or PR_ENOMEM */
int pr_peers_open(pr_peers_t **out, const pr_peers_options_t *options);
/** Close links and listeners; memory is freed as the loop closes them. */
void pr_peers_close(pr_peers_t *peers);

/** Make a peer's address known, or change it. @return 0 or PR_ENOMEM */
int pr_peers_set(pr_peers_t *peers, const char *name, const char *address,
		 uint16_t port);

/**
 * Queue a message. Delivery is not confirmed; the receiver may get it, or not.
 *
 * @param type message name of the design page, for example "claim"
 * @param payload msgpack bytes
 * @return 0, PR_ENOTFOUND (unknown peer), PR_EFULL, PR_EUNAVAILABLE (the last
 *	   connection broke a moment ago) or PR_ENOMEM
 */
int pr_peers_send(pr_peers_t *peers, const char *to, const char *type,
		  pr_slice_t payload);

/** Send a datagram; losses are silent. */
void pr_peers_send_datagram(pr_peers_t *peers, const char *address,
			    uint16_t port, pr_slice_t bytes);

#endif
