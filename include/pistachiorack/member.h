/**
 * Membership: tracks which hosts of the fleet are live and which of them own a
 * key. Implements SWIM failure detection with Lifeguard's extensions.
 *
 * In each period a host probes one other host directly. If no ack arrives, it
 * requests indirect probes from three other hosts; if these fail too, it marks
 * the target as suspect. The suspect is declared dead unless the suspicion is
 * refuted before its timeout. A suspected host refutes by announcing a higher
 * incarnation. State updates are piggybacked on probes; while updates are
 * pending, they are also sent in gossip datagrams within a byte budget. The
 * cost per host therefore does not grow with the size of the fleet.
 *
 * A host detects that it is itself slow by missing acks and by gaps between its
 * own ticks. It then probes less often and waits longer for acks and for the
 * refutation of a suspicion (Lifeguard's local health). Dead hosts that are
 * still listed are probed at a low rate, so that the sides of a healed
 * partition rejoin.
 *
 * The module owns no socket: it sends datagrams through pr_member_ops_t and
 * receives them through pr_member_receive(). References: SWIM (Das, Gupta,
 * Motivala, 2002), Lifeguard (Dadgar, Phillips, Currey, 2018).
 */
#ifndef PISTACHIORACK_MEMBER_H
#define PISTACHIORACK_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/rand.h"
#include "pistachiorack/str.h"
#include "pistachiorack/timer.h"

/** Maximum size of a host name, zone or address in bytes, with the NUL. */
#define PR_MEMBER_NAME_SIZE 64
/** Maximum size of a datagram in bytes, without IP and UDP headers. */
#define PR_MEMBER_DATAGRAM_MAX 480
/** Maximum number of hosts in a membership view. */
#define PR_MEMBER_HOSTS_MAX 1024

typedef enum pr_member_state_t {
	PR_MEMBER_ALIVE,
	PR_MEMBER_SUSPECT,
	/** Shutting down; still acks probes but owns no keys. */
	PR_MEMBER_LEAVING,
	PR_MEMBER_DEAD,
} pr_member_state_t;

/** One host of the membership view. */
typedef struct pr_member_host_t {
	char name[PR_MEMBER_NAME_SIZE];
	char zone[PR_MEMBER_NAME_SIZE];
	char address[PR_MEMBER_NAME_SIZE];
	pr_member_state_t state;
	uint64_t incarnation;
	/** True if the platform lists the host or the settings name it. */
	bool listed;
	/* The members below are private. */
	uint64_t hash;
	/* Start of the state; for suspects reset after a stall. */
	pr_usec_t state_since;
	/* Name hashes of the hosts that reported the suspicion. */
	uint32_t suspected_by[4];
	uint8_t suspected_by_count;
	/* Number of datagrams that will still carry this host's update. */
	uint8_t transmits_left;
	/* True if the suspect was probed again before its timeout. */
	bool final_probe_sent;
} pr_member_host_t;

typedef struct pr_member_t pr_member_t;

typedef struct pr_member_ops_t {
	/** Send a datagram; delivery is not guaranteed. */
	void (*send)(void *data, const char *address, pr_slice_t datagram);
	/**
	 * Called after a host changed from state `before` to host->state.
	 * One call into this module may lead to several calls.
	 */
	void (*changed)(void *data, const pr_member_host_t *host,
			pr_member_state_t before);
	/**
	 * Called when a peer reported its configuration version; the
	 * arguments are those of pr_config_holder_peer(). The age is the time
	 * in microseconds since the peer's version was confirmed. It is
	 * PR_USEC_NEVER if the peer has no confirmation, or if the datagram is
	 * not a direct ack of a probe sent by this host. In the latter case
	 * probe_sent_at is the time of receipt.
	 */
	void (*peer_config)(void *data, uint64_t version, pr_usec_t age,
			    pr_usec_t probe_sent_at);
} pr_member_ops_t;

typedef struct pr_member_options_t {
	unsigned int version;
	pr_slice_t host;
	pr_slice_t zone;
	pr_slice_t address;
	/** Secret shared by the fleet; key of the HMAC of datagrams. */
	pr_slice_t secret;
	/**
	 * Initial incarnation; should exceed that of earlier starts. The boot
	 * time in seconds is suitable.
	 */
	uint64_t incarnation;
	/** Time between the starts of two probe rounds. */
	pr_usec_t probe_period;
	/** Time to wait for the ack of a probe. */
	pr_usec_t ack_timeout;
	/** Time between two sends of gossip datagrams. */
	pr_usec_t gossip_interval;
	/** Budget of gossip datagrams in bytes/s, with IP and UDP headers. */
	uint32_t gossip_bytes_per_sec;
	/** Time between two probes of dead hosts. */
	pr_usec_t dead_probe_interval;
	/** Time after which a dead host that is not listed is removed. */
	pr_usec_t forget_after;
	/**
	 * Enables Lifeguard's local health. Only tests disable it, to compare
	 * the numbers of false suspicions and deaths.
	 */
	bool local_health;
} pr_member_options_t;

#define PR_MEMBER_OPTIONS_VERSION 1
#define PR_MEMBER_OPTIONS_INIT                                                 \
	{                                                                      \
		.version = PR_MEMBER_OPTIONS_VERSION,                          \
		.probe_period = PR_USEC_PER_SEC,                               \
		.ack_timeout = 400 * PR_USEC_PER_MSEC,                         \
		.gossip_interval = 200 * PR_USEC_PER_MSEC,                     \
		.gossip_bytes_per_sec = 1200,                                  \
		.dead_probe_interval = 5 * PR_USEC_PER_SEC,                    \
		.forget_after = 60 * PR_USEC_PER_SEC, .local_health = true,    \
	}

typedef struct pr_member_stats_t {
	uint64_t datagrams_sent;
	/** Includes 28 bytes of IP and UDP headers per datagram. */
	uint64_t bytes_sent;
	uint64_t datagrams_received;
	uint64_t bytes_received;
	/** Datagrams with a wrong HMAC, malformed, or from an unknown host. */
	uint64_t refused;
	uint64_t suspicions;
	uint64_t deaths;
	/** Number of times that this host refuted an update about itself. */
	uint64_t refutations;
} pr_member_stats_t;

/**
 * Create a membership view that contains only this host.
 *
 * @param out receives the view; free it with pr_member_close()
 * @param options copied, including the secret
 * @param ops callbacks; must outlive the view
 * @param data first argument of the callbacks
 * @param rand owned by the caller; must outlive the view
 * @param now current time in microseconds, of the same clock in all calls
 * @return 0, PR_EINVALID for invalid options, or PR_ENOMEM
 */
int pr_member_open(pr_member_t **out, const pr_member_options_t *options,
		   const pr_member_ops_t *ops, void *data, pr_rand_t *rand,
		   pr_usec_t now);
void pr_member_close(pr_member_t *member);

/** One entry of the host list from the platform or the settings. */
typedef struct pr_member_list_entry_t {
	pr_slice_t host;
	pr_slice_t zone;
	pr_slice_t address;
} pr_member_list_entry_t;

/**
 * Replace the list of candidate hosts. New hosts are added to the view as
 * alive. Because the list may be out of date, a host that is no longer listed
 * stays in the view until it has been dead for options.forget_after.
 *
 * @return 0, or PR_EFULL if at least one host could not be added
 */
int pr_member_set_list(pr_member_t *member, const pr_member_list_entry_t *list,
		       unsigned int count, pr_usec_t now);
/**
 * Set the configuration version that outgoing datagrams report. A version above
 * the previous one is also gossiped.
 *
 * @param ever_confirmed true if confirmed_at is valid
 * @param confirmed_at time in microseconds at which the version was confirmed
 */
void pr_member_set_config(pr_member_t *member, uint64_t version,
			  bool ever_confirmed, pr_usec_t confirmed_at);
/** Run all timers: probes, suspicions and gossip; call every 50 to 100 ms. */
void pr_member_tick(pr_member_t *member, pr_usec_t now);
/**
 * Process a received datagram.
 *
 * @return 0, or PR_EDENIED for a wrong HMAC, a malformed datagram or an unknown
 *	   sender
 */
int pr_member_receive(pr_member_t *member, pr_slice_t datagram, pr_usec_t now);
/**
 * Mark this host as leaving and gossip that. Keep calling pr_member_tick()
 * until the process exits, so that the update spreads.
 */
void pr_member_leave(pr_member_t *member, pr_usec_t now);

/** @return number of hosts in the view, including this host */
unsigned int pr_member_count(const pr_member_t *member);
/**
 * @param index 0 is this host
 * @return the host, or NULL for an index outside the view; valid until the next
 *	   call that modifies the view
 */
const pr_member_host_t *pr_member_at(const pr_member_t *member,
				     unsigned int index);
/** @return the host, or NULL if it is not in the view */
const pr_member_host_t *pr_member_find(const pr_member_t *member,
				       pr_slice_t name);
/** @return true if the host is alive or suspect */
bool pr_member_is_live(const pr_member_host_t *host);
/** @return number of live hosts, including this host */
unsigned int pr_member_live_count(const pr_member_t *member);
/** @return number of listed hosts, including this host */
unsigned int pr_member_listed_count(const pr_member_t *member);
/**
 * Find the two owners of a key by rendezvous hashing over the live hosts.
 *
 * @param second if not NULL, receives the host with the highest score outside
 *	  the zone of the first owner; if all hosts are in that zone, the host
 *	  with the second highest score; NULL if no other host is live
 * @return the first owner, or NULL if no host is live
 */
const pr_member_host_t *pr_member_owner(const pr_member_t *member,
					pr_slice_t key,
					const pr_member_host_t **second);
/** @return local health score, from 0 (healthy) to 8 (very slow) */
unsigned int pr_member_health_score(const pr_member_t *member);
const pr_member_stats_t *pr_member_stats(const pr_member_t *member);
/** @return "alive", "suspect", "leaving" or "dead" */
const char *pr_member_state_name(pr_member_state_t state);

#endif
