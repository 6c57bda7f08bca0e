/**
 * Membership: which hosts of the fleet are live, and which of them own a key.
 *
 * Each host probes one other host a period, asks three others to probe it when
 * it is silent, suspects it, and declares it dead when nobody refuted that in
 * time. State changes travel on the probes and, while there is news, on extra
 * datagrams within a byte budget, so the cost per host does not grow with the
 * fleet. A host that is suspected refutes with a higher incarnation.
 *
 * A host that is itself slow notices so by missing answers and by gaps between
 * its own ticks; it then probes more slowly and accuses later (local health).
 * Hosts that are dead but still listed are probed now and then, so the sides of
 * a healed partition find each other.
 *
 * The slice owns no socket: datagrams go out through pr_member_ops_t and come
 * in through pr_member_receive(). Sources: SWIM (Das, Gupta, Motivala, 2002),
 * Lifeguard (Dadgar, Phillips, Currey, 2018).
 */
#ifndef PISTACHIORACK_MEMBER_H
#define PISTACHIORACK_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "pistachiorack/rand.h"
#include "pistachiorack/str.h"
#include "pistachiorack/timer.h"

/** Longest name of a host, zone or address in bytes, with the terminator. */
#define PR_MEMBER_NAME_SIZE 64
/** Largest datagram in bytes, without IP and UDP headers. */
#define PR_MEMBER_DATAGRAM_MAX 480
/** Most hosts in a view. */
#define PR_MEMBER_HOSTS_MAX 1024

typedef enum pr_member_state_t {
	PR_MEMBER_ALIVE,
	PR_MEMBER_SUSPECT,
	/** Shutting down; answers, but owns nothing. */
	PR_MEMBER_LEAVING,
	PR_MEMBER_DEAD,
} pr_member_state_t;

/** One host of the view. */
typedef struct pr_member_host_t {
	char name[PR_MEMBER_NAME_SIZE];
	char zone[PR_MEMBER_NAME_SIZE];
	char address[PR_MEMBER_NAME_SIZE];
	pr_member_state_t state;
	uint64_t incarnation;
	/** True while the platform lists it or the settings name it. */
	bool listed;
	/* Private. */
	uint64_t hash;
	pr_usec_t state_since;
	uint32_t suspected_by[4];
	uint8_t suspected_by_count;
	uint8_t transmits_left;
	bool final_probe_sent;
} pr_member_host_t;

typedef struct pr_member_t pr_member_t;

typedef struct pr_member_ops_t {
	/** Send a datagram; it may be lost. */
	void (*send)(void *data, const char *address, pr_slice_t datagram);
	/** A host's state changed; may be called several times in a row. */
	void (*changed)(void *data, const pr_member_host_t *host,
			pr_member_state_t before);
	/**
	 * A peer told its configuration; pass it on to
	 * pr_config_holder_peer(). The age is PR_USEC_NEVER when the peer did
	 * not answer a question of this host.
	 */
	void (*peer_config)(void *data, uint64_t version, pr_usec_t age,
			    pr_usec_t probe_sent_at);
} pr_member_ops_t;

typedef struct pr_member_options_t {
	unsigned int version;
	pr_slice_t host;
	pr_slice_t zone;
	pr_slice_t address;
	/** Shared secret of the fleet, for the HMAC of datagrams. */
	pr_slice_t secret;
	/** First incarnation; the boot time in seconds suits. */
	uint64_t incarnation;
	pr_usec_t probe_period;
	/** Time for the answer to a direct probe. */
	pr_usec_t ack_timeout;
	/** Time between two extra datagrams with news. */
	pr_usec_t gossip_interval;
	/** Budget of extra datagrams in bytes/s, headers included. */
	uint32_t gossip_bytes_per_sec;
	/** Time between two probes of a dead host. */
	pr_usec_t dead_probe_interval;
	/** Time after which a dead host that is not listed is forgotten. */
	pr_usec_t forget_after;
	/** True; a test turns it off to show what it prevents. */
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
	/** With 28 bytes of IP and UDP headers each. */
	uint64_t bytes_sent;
	uint64_t datagrams_received;
	uint64_t bytes_received;
	/** Wrong HMAC, malformed, or from a host that is not known. */
	uint64_t refused;
	uint64_t suspicions;
	uint64_t deaths;
	/** Times that this host refuted a suspicion of itself. */
	uint64_t refutations;
} pr_member_stats_t;

/**
 * @param out the view; free with pr_member_close()
 * @param rand stays the caller's and must outlive the view
 * @return 0, PR_EINVALID or PR_ENOMEM
 */
int pr_member_open(pr_member_t **out, const pr_member_options_t *options,
		   const pr_member_ops_t *ops, void *data, pr_rand_t *rand,
		   pr_usec_t now);
void pr_member_close(pr_member_t *member);

/** One entry of the platform's host list. */
typedef struct pr_member_list_entry_t {
	pr_slice_t host;
	pr_slice_t zone;
	pr_slice_t address;
} pr_member_list_entry_t;

/**
 * Replace the list of candidates. The list lags: a host that left it stays in
 * the view while it answers.
 *
 * @return 0, or PR_EFULL when hosts were left out
 */
int pr_member_set_list(pr_member_t *member, const pr_member_list_entry_t *list,
		       unsigned int count, pr_usec_t now);
/** Tell the configuration that datagrams carry. */
void pr_member_set_config(pr_member_t *member, uint64_t version,
			  bool ever_confirmed, pr_usec_t confirmed_at);
/** Probe, spread news, end suspicions; call every 50 to 100 ms. */
void pr_member_tick(pr_member_t *member, pr_usec_t now);
/** @return 0, or PR_EDENIED for a datagram that is not accepted */
int pr_member_receive(pr_member_t *member, pr_slice_t datagram, pr_usec_t now);
/** Tell everybody that this host shuts down. Keep ticking until the end. */
void pr_member_leave(pr_member_t *member, pr_usec_t now);

/** The view; index 0 is this host. Valid until the next call that changes. */
unsigned int pr_member_count(const pr_member_t *member);
const pr_member_host_t *pr_member_at(const pr_member_t *member,
				     unsigned int index);
/** @return NULL when the host is not in the view */
const pr_member_host_t *pr_member_find(const pr_member_t *member,
				       pr_slice_t name);
/** @return true for alive and suspect */
bool pr_member_is_live(const pr_member_host_t *host);
/** Hosts that are live, and hosts that are listed; both with this host. */
unsigned int pr_member_live_count(const pr_member_t *member);
unsigned int pr_member_listed_count(const pr_member_t *member);
/**
 * Owners of a key by rendezvous hashing over live hosts.
 *
 * @param second the best host in another zone than the first's; without one
 *	  the second best of all; NULL when there is no other host
 * @return the first owner, NULL when no host is live
 */
const pr_member_host_t *pr_member_owner(const pr_member_t *member,
					pr_slice_t key,
					const pr_member_host_t **second);
/** @return 0 for a healthy host up to 8 for a very slow one */
unsigned int pr_member_health_score(const pr_member_t *member);
const pr_member_stats_t *pr_member_stats(const pr_member_t *member);
/** @return "alive", "suspect", "leaving" or "dead" */
const char *pr_member_state_name(pr_member_state_t state);

#endif
