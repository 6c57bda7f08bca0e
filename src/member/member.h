/* State shared by the files of the membership slice. */
#ifndef PR_MEMBER_MEMBER_H
#define PR_MEMBER_MEMBER_H

#include "member/message.h"

#define INDIRECT_PROBES_MAX 32
#define PROBE_HELPERS       3
#define HEALTH_SCORE_MAX    8
/* IPv4 and UDP headers. */
#define IP_UDP_HEADER_BYTES 28

/* A probe on behalf of another host. */
typedef struct indirect_probe_t {
	uint64_t sequence;
	uint64_t requester_sequence;
	char requester[PR_MEMBER_NAME_SIZE];
	char subject[PR_MEMBER_NAME_SIZE];
	/* 0 for a free place. */
	pr_usec_t deadline;
} indirect_probe_t;

/* The probe that runs now. */
typedef struct probe_round_t {
	bool running;
	bool indirect_sent;
	char target[PR_MEMBER_NAME_SIZE];
	uint64_t sequence;
	pr_usec_t started;
	unsigned int helpers;
	unsigned int nacks;
} probe_round_t;

struct pr_member_t {
	pr_member_options_t options;
	char secret[128];
	const pr_member_ops_t *ops;
	void *data;
	pr_rand_t *rand;
	/* The first one is this host. */
	pr_member_host_t *hosts;
	unsigned int count, cap;
	/* Order of probing and the place in it. */
	uint16_t probe_order[PR_MEMBER_HOSTS_MAX];
	unsigned int probe_order_count, probe_order_next;
	probe_round_t round;
	indirect_probe_t indirect_probes[INDIRECT_PROBES_MAX];
	pr_usec_t next_round_at, next_gossip_at, next_dead_probe_at;
	pr_usec_t last_tick;
	uint64_t sequence;
	/* Sequence and time of the last probe of a dead host. */
	uint64_t dead_probe_sequence;
	pr_usec_t dead_probe_sent_at;
	/* When a dead host answered last. */
	pr_usec_t dead_ack_at;
	unsigned int health_score;
	/* Bytes that extra datagrams may use, and the time of the last refill.
	 */
	double gossip_budget;
	pr_usec_t gossip_budget_refilled_at;
	/* Next entry of the table that is repeated for those who missed it. */
	unsigned int anti_entropy_index;
	uint64_t config_version;
	bool config_confirmed;
	pr_usec_t config_confirmed_at;
	/* Extra datagrams left for a new configuration version. */
	unsigned int config_gossip_left;
	pr_member_stats_t stats;
};

static inline pr_member_host_t *member_self(pr_member_t *member)
{
	return &member->hosts[0];
}

pr_member_host_t *member_find(const pr_member_t *member, const char *name);
/* Times that a piece of news is sent by a host that has it. */
unsigned int member_transmit_limit(const pr_member_t *member);
/* Change a state and queue the news; the accuser may be NULL. */
void member_set_state(pr_member_t *member, pr_member_host_t *host,
		      pr_member_state_t state, uint64_t incarnation,
		      pr_usec_t now);
void member_apply_update(pr_member_t *member, const pr_update_t *update,
			 const char *from, pr_usec_t now);
void member_expire_suspicions(pr_member_t *member, pr_usec_t now);
void member_adjust_health_score(pr_member_t *member, int change);

/* probe.c */
/* Send a datagram with news; the receiver is told when it is not alive here. */
void member_send(pr_member_t *member, pr_member_host_t *to, pr_probe_t *probe,
		 pr_usec_t now);
/* @return a random live host other than this one and `but`, or NULL */
pr_member_host_t *member_random_peer(pr_member_t *member,
				     const char *excluded_name);
/* Probe a suspect outside the rounds, within the budget. */
void member_probe_suspect(pr_member_t *member, pr_member_host_t *host,
			  pr_usec_t now);
void member_probe_tick(pr_member_t *member, pr_usec_t now);
void member_gossip_tick(pr_member_t *member, pr_usec_t now);
void member_handle_datagram(pr_member_t *member, pr_member_host_t *from,
			    const pr_probe_t *probe, pr_usec_t now);

#endif
