/* Private declarations of the membership module. */
#ifndef PR_MEMBER_MEMBER_H
#define PR_MEMBER_MEMBER_H

#include "member/message.h"

/* Indirect probes that this host runs for other hosts at a time. */
#define INDIRECT_PROBES_MAX 32
/* Hosts that are requested to probe a silent target. */
#define PROBE_HELPERS 3
/* Maximum of the local health score. */
#define HEALTH_SCORE_MAX 8
/* Size of the IPv4 and UDP headers of a datagram. */
#define IP_UDP_HEADER_BYTES 28

/* An indirect probe that this host runs for another host. */
typedef struct indirect_probe_t {
	/* Sequence of the probe sent to the subject. */
	uint64_t sequence;
	/* Sequence of the request, echoed to the requester. */
	uint64_t requester_sequence;
	char requester[PR_MEMBER_NAME_SIZE];
	char subject[PR_MEMBER_NAME_SIZE];
	/* Time at which a nack is sent; 0 for an unused entry. */
	pr_usec_t deadline;
} indirect_probe_t;

/* The current probe round. */
typedef struct probe_round_t {
	bool running;
	/* True after indirect probes were requested. */
	bool indirect_sent;
	char target[PR_MEMBER_NAME_SIZE];
	uint64_t sequence;
	pr_usec_t started;
	/* Number of requests sent, and of nacks received for them. */
	unsigned int helpers;
	unsigned int nacks;
} probe_round_t;

struct pr_member_t {
	pr_member_options_t options;
	char secret[128];
	const pr_member_ops_t *ops;
	void *data;
	pr_rand_t *rand;
	/* hosts[0] is this host. */
	pr_member_host_t *hosts;
	unsigned int count, cap;
	/* Shuffled indexes of hosts, and the position of the next target. */
	uint16_t probe_order[PR_MEMBER_HOSTS_MAX];
	unsigned int probe_order_count, probe_order_next;
	probe_round_t round;
	indirect_probe_t indirect_probes[INDIRECT_PROBES_MAX];
	pr_usec_t next_round_at, next_gossip_at, next_dead_probe_at;
	pr_usec_t last_tick;
	uint64_t sequence;
	/* Sequence and send time of the last probe of a dead host. */
	uint64_t dead_probe_sequence;
	pr_usec_t dead_probe_sent_at;
	/* Time of the last ack of a dead host. */
	pr_usec_t dead_ack_at;
	unsigned int health_score;
	/* Token bucket of gossip datagrams in bytes, and its last refill. */
	double gossip_budget;
	pr_usec_t gossip_budget_refilled_at;
	/* Index of the host that was last sent as an anti-entropy entry. */
	unsigned int anti_entropy_index;
	uint64_t config_version;
	bool config_confirmed;
	pr_usec_t config_confirmed_at;
	/* Gossip datagrams still to be sent for a new configuration version. */
	unsigned int config_gossip_left;
	pr_member_stats_t stats;
};

static inline pr_member_host_t *member_self(pr_member_t *member)
{
	return &member->hosts[0];
}

pr_member_host_t *member_find(const pr_member_t *member, const char *name);
/* @return number of datagrams in which a host sends one update */
unsigned int member_transmit_limit(const pr_member_t *member);
/* Set the state and incarnation of a host and queue the update for sending. */
void member_set_state(pr_member_t *member, pr_member_host_t *host,
		      pr_member_state_t state, uint64_t incarnation,
		      pr_usec_t now);
/*
 * Merge an update received from a host, or made by this host, into the view.
 *
 * @param from name of the host that reported the update
 */
void member_apply_update(pr_member_t *member, const pr_update_t *update,
			 const char *from, pr_usec_t now);
/* Declare suspects dead whose suspicion timeout has expired. */
void member_expire_suspicions(pr_member_t *member, pr_usec_t now);
/* Add to the local health score, within 0 and HEALTH_SCORE_MAX. */
void member_adjust_health_score(pr_member_t *member, int change);

/* probe.c */
/*
 * Send a datagram with pending updates. If the receiver is not alive in this
 * host's view, the datagram includes that update so that it can be refuted.
 */
void member_send(pr_member_t *member, pr_member_host_t *to, pr_probe_t *probe,
		 pr_usec_t now);
/*
 * @param excluded_name host that is not returned; may be NULL
 * @return a random other host that is not dead, or NULL
 */
pr_member_host_t *member_random_peer(pr_member_t *member,
				     const char *excluded_name);
/* Probe a suspect outside the probe rounds if the gossip budget allows it. */
void member_probe_suspect(pr_member_t *member, pr_member_host_t *host,
			  pr_usec_t now);
/* Run the timers of direct, indirect and dead-host probes. */
void member_probe_tick(pr_member_t *member, pr_usec_t now);
/* Send gossip datagrams if updates are pending and the budget allows it. */
void member_gossip_tick(pr_member_t *member, pr_usec_t now);
/* Process a decoded datagram of a known host. */
void member_handle_datagram(pr_member_t *member, pr_member_host_t *from,
			    const pr_probe_t *probe, pr_usec_t now);

#endif
