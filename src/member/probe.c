/* Direct and indirect probes, gossip, and handling of received datagrams. */
#include "member/member.h"

/*
 * Entries of the table that each datagram carries in turn, for hosts that
 * missed an update (anti-entropy).
 */
#define ANTI_ENTROPY_ENTRIES 2
/* Time between probes of dead hosts while some ack, as after a partition. */
#define REJOIN_PROBE_INTERVAL (200 * PR_USEC_PER_MSEC)
/* Hosts that receive a gossip datagram per gossip interval. */
#define GOSSIP_FANOUT 2
/* Capacity of the gossip token bucket, in seconds of its rate. */
#define GOSSIP_BURST_SEC 3

static void put_update(pr_probe_t *probe, const pr_member_host_t *host)
{
	pr_update_t *update = &probe->updates[probe->updates_count++];

	memcpy(update->host, host->name, sizeof(update->host));
	update->state = host->state;
	update->incarnation = host->incarnation;
}

/* Add the newest updates first: those with the most transmissions left. */
static void put_pending_updates(pr_member_t *member, const pr_member_host_t *to,
				pr_probe_t *probe)
{
	unsigned int highest = 0;

	for (unsigned int i = 0; i < member->count; i++)
		if (member->hosts[i].transmits_left > highest)
			highest = member->hosts[i].transmits_left;
	for (unsigned int level = highest; level; level--)
		for (unsigned int i = 0; i < member->count; i++) {
			pr_member_host_t *host = &member->hosts[i];

			if (host->transmits_left != level || host == to)
				continue;
			/*
			 * Keep room for the anti-entropy entries, which a
			 * burst of updates would displace otherwise.
			 */
			if (probe->updates_count + ANTI_ENTROPY_ENTRIES >=
			    PR_PROBE_UPDATES_MAX)
				return;
			put_update(probe, host);
		}
}

/* Add the next entries of the table in turn. */
static void put_anti_entropy(pr_member_t *member, pr_probe_t *probe)
{
	for (int i = 0; i < ANTI_ENTROPY_ENTRIES; i++) {
		if (probe->updates_count == PR_PROBE_UPDATES_MAX)
			return;
		member->anti_entropy_index =
			(member->anti_entropy_index + 1) % member->count;
		put_update(probe, &member->hosts[member->anti_entropy_index]);
	}
}

void member_send(pr_member_t *member, pr_member_host_t *to, pr_probe_t *probe,
		 pr_usec_t now)
{
	pr_member_host_t *self = member_self(member);
	char datagram[PR_MEMBER_DATAGRAM_MAX];
	unsigned int pending_count;
	size_t len;

	memcpy(probe->from, self->name, sizeof(probe->from));
	probe->incarnation = self->incarnation;
	probe->leaving = self->state == PR_MEMBER_LEAVING;
	probe->config_version = member->config_version;
	probe->config_age_ms = -1;
	if (member->config_confirmed && now >= member->config_confirmed_at)
		probe->config_age_ms =
			(now - member->config_confirmed_at) / 1000;
	probe->updates_count = 0;
	/* The receiver can refute its state only if it is informed of it. */
	if (to->state != PR_MEMBER_ALIVE)
		put_update(probe, to);
	put_pending_updates(member, to, probe);
	pending_count = probe->updates_count;
	put_anti_entropy(member, probe);
	len = pr_probe_encode(datagram, probe, member->options.secret);
	if (!len)
		return;
	if (pending_count > probe->updates_count)
		pending_count = probe->updates_count;
	for (unsigned int i = 0; i < pending_count; i++) {
		pr_member_host_t *host =
			member_find(member, probe->updates[i].host);

		if (host && host->transmits_left)
			host->transmits_left--;
	}
	member->stats.datagrams_sent++;
	member->stats.bytes_sent += len + IP_UDP_HEADER_BYTES;
	member->ops->send(member->data, to->address, pr_slice(datagram, len));
}

static bool is_probe_target(const pr_member_host_t *host)
{
	return host->state != PR_MEMBER_DEAD;
}

pr_member_host_t *member_random_peer(pr_member_t *member,
				     const char *excluded_name)
{
	unsigned int start, i;

	if (member->count < 2)
		return NULL;
	start = pr_rand_below(member->rand, member->count);
	for (i = 0; i < member->count; i++) {
		pr_member_host_t *host =
			&member->hosts[(start + i) % member->count];

		if (host != member_self(member) && is_probe_target(host) &&
		    (!excluded_name || strcmp(host->name, excluded_name) != 0))
			return host;
	}
	return NULL;
}

/*
 * Set up a random order in which each host is probed once, which bounds the
 * time until a failed host is probed.
 */
static void shuffle(pr_member_t *member)
{
	member->probe_order_next = 0;
	member->probe_order_count = member->count - 1;
	for (unsigned int i = 0; i < member->probe_order_count; i++)
		member->probe_order[i] = (uint16_t)(i + 1);
	for (unsigned int i = member->probe_order_count; i > 1; i--) {
		unsigned int j = pr_rand_below(member->rand, i);
		uint16_t swap = member->probe_order[i - 1];

		member->probe_order[i - 1] = member->probe_order[j];
		member->probe_order[j] = swap;
	}
}

/* @return the next host of the order that is not dead, or NULL */
static pr_member_host_t *next_target(pr_member_t *member)
{
	for (unsigned int tries = 0; tries < member->count; tries++) {
		pr_member_host_t *host;

		if (member->probe_order_next >= member->probe_order_count)
			shuffle(member);
		if (!member->probe_order_count)
			return NULL;
		host = &member->hosts[member->probe_order
					      [member->probe_order_next++]];
		if (is_probe_target(host))
			return host;
	}
	return NULL;
}

static void start_round(pr_member_t *member, pr_usec_t now)
{
	pr_member_host_t *target = next_target(member);
	pr_probe_t probe = { .kind = PR_PROBE_PING };

	if (!target)
		return;
	member->round = (probe_round_t){ .running = true,
					 .sequence = ++member->sequence,
					 .started = now };
	memcpy(member->round.target, target->name, sizeof(target->name));
	probe.sequence = member->round.sequence;
	member_send(member, target, &probe, now);
}

/* Request indirect probes of the silent target from random hosts. */
static void send_probe_requests(pr_member_t *member, pr_usec_t now)
{
	probe_round_t *round = &member->round;

	round->indirect_sent = true;
	for (int i = 0; i < PROBE_HELPERS; i++) {
		pr_member_host_t *helper =
			member_random_peer(member, round->target);
		pr_probe_t probe = { .kind = PR_PROBE_REQUEST,
				     .sequence = round->sequence };

		if (!helper)
			return;
		memcpy(probe.subject, round->target, sizeof(probe.subject));
		round->helpers++;
		member_send(member, helper, &probe, now);
	}
}

/* Suspect the target after a round without an ack; a leaving target is dead. */
static void end_failed_round(pr_member_t *member, pr_usec_t now)
{
	probe_round_t *round = &member->round;
	pr_member_host_t *target = member_find(member, round->target);

	round->running = false;
	/* Missing nacks suggest that this host or its network is the cause. */
	if (round->nacks < round->helpers)
		member_adjust_health_score(member, 1);
	if (target && (target->state == PR_MEMBER_ALIVE ||
		       target->state == PR_MEMBER_SUSPECT)) {
		pr_update_t update = { .state = PR_MEMBER_SUSPECT,
				       .incarnation = target->incarnation };

		memcpy(update.host, target->name, sizeof(update.host));
		member_apply_update(member, &update, member_self(member)->name,
				    now);
	} else if (target && target->state == PR_MEMBER_LEAVING) {
		member_set_state(member, target, PR_MEMBER_DEAD,
				 target->incarnation, now);
	}
}

/* Send a nack for each indirect probe whose subject sent no ack in time. */
static void expire_indirect_probes(pr_member_t *member, pr_usec_t now)
{
	for (int i = 0; i < INDIRECT_PROBES_MAX; i++) {
		indirect_probe_t *indirect = &member->indirect_probes[i];
		pr_probe_t probe = { .kind = PR_PROBE_NACK };
		pr_member_host_t *requester;

		if (!indirect->deadline || now < indirect->deadline)
			continue;
		indirect->deadline = 0;
		requester = member_find(member, indirect->requester);
		if (!requester)
			continue;
		probe.sequence = indirect->requester_sequence;
		memcpy(probe.subject, indirect->subject, sizeof(probe.subject));
		member_send(member, requester, &probe, now);
	}
}

/* Probe a random dead host that is still listed. */
static void probe_dead_host(pr_member_t *member, pr_usec_t now)
{
	bool rejoining =
		now - member->dead_ack_at < member->options.dead_probe_interval;
	pr_probe_t probe = { .kind = PR_PROBE_PING };
	unsigned int start = pr_rand_below(member->rand, member->count);

	if (now < member->next_dead_probe_at)
		return;
	member->next_dead_probe_at =
		now + (rejoining ? REJOIN_PROBE_INTERVAL
				 : member->options.dead_probe_interval);
	for (unsigned int i = 0; i < member->count; i++) {
		pr_member_host_t *host =
			&member->hosts[(start + i) % member->count];

		if (host->state != PR_MEMBER_DEAD || !host->listed)
			continue;
		member->dead_probe_sequence = probe.sequence =
			++member->sequence;
		member->dead_probe_sent_at = now;
		member_send(member, host, &probe, now);
		return;
	}
}

void member_probe_suspect(pr_member_t *member, pr_member_host_t *host,
			  pr_usec_t now)
{
	pr_probe_t probe = { .kind = PR_PROBE_PING };
	uint64_t before = member->stats.bytes_sent;

	if (member->gossip_budget <= 0)
		return;
	host->final_probe_sent = true;
	probe.sequence = ++member->sequence;
	member_send(member, host, &probe, now);
	member->gossip_budget -= (double)(member->stats.bytes_sent - before);
}

void member_probe_tick(pr_member_t *member, pr_usec_t now)
{
	pr_usec_t scale = 1 + (pr_usec_t)member->health_score;
	probe_round_t *round = &member->round;

	if (round->running && !round->indirect_sent &&
	    now - round->started >= member->options.ack_timeout * scale)
		send_probe_requests(member, now);
	if (now >= member->next_round_at) {
		if (round->running)
			end_failed_round(member, now);
		member->next_round_at =
			now + member->options.probe_period * scale;
		start_round(member, now);
	}
	expire_indirect_probes(member, now);
	probe_dead_host(member, now);
}

static bool has_pending_updates(const pr_member_t *member)
{
	for (unsigned int i = 0; i < member->count; i++)
		if (member->hosts[i].transmits_left)
			return true;
	return member->config_gossip_left > 0;
}

/*
 * Gossip datagrams speed up the spread of updates: with probes alone, the
 * number of hosts that know an update doubles only once per probe period (1 s).
 */
void member_gossip_tick(pr_member_t *member, pr_usec_t now)
{
	double burst_bytes =
		(double)member->options.gossip_bytes_per_sec * GOSSIP_BURST_SEC;

	member->gossip_budget +=
		(double)(now - member->gossip_budget_refilled_at) / 1e6 *
		member->options.gossip_bytes_per_sec;
	member->gossip_budget = member->gossip_budget < burst_bytes
					? member->gossip_budget
					: burst_bytes;
	member->gossip_budget_refilled_at = now;
	if (now < member->next_gossip_at)
		return;
	member->next_gossip_at = now + member->options.gossip_interval;
	for (int i = 0; i < GOSSIP_FANOUT; i++) {
		pr_member_host_t *to = member_random_peer(member, NULL);
		pr_probe_t probe = { .kind = PR_PROBE_GOSSIP };
		uint64_t before = member->stats.bytes_sent;

		if (!to || member->gossip_budget <= 0 ||
		    !has_pending_updates(member))
			return;
		member_send(member, to, &probe, now);
		if (member->config_gossip_left)
			member->config_gossip_left--;
		member->gossip_budget -=
			(double)(member->stats.bytes_sent - before);
	}
}

/* Probe the subject of a request, or drop the request if no entry is free. */
static void start_indirect_probe(pr_member_t *member, pr_member_host_t *from,
				 const pr_probe_t *probe, pr_usec_t now)
{
	pr_member_host_t *subject = member_find(member, probe->subject);
	pr_probe_t ping = { .kind = PR_PROBE_PING };

	for (int i = 0; subject && i < INDIRECT_PROBES_MAX; i++) {
		indirect_probe_t *indirect = &member->indirect_probes[i];

		if (indirect->deadline)
			continue;
		indirect->sequence = ping.sequence = ++member->sequence;
		indirect->requester_sequence = probe->sequence;
		memcpy(indirect->requester, from->name,
		       sizeof(indirect->requester));
		memcpy(indirect->subject, subject->name,
		       sizeof(indirect->subject));
		indirect->deadline = now + member->options.ack_timeout;
		member_send(member, subject, &ping, now);
		return;
	}
}

/*
 * Match an ack with the current round, the last probe of a dead host or an
 * indirect probe, by its sequence.
 */
static void handle_ack(pr_member_t *member, pr_member_host_t *from,
		       const pr_probe_t *probe, pr_usec_t now)
{
	probe_round_t *round = &member->round;
	pr_usec_t age = probe->config_age_ms < 0 ? PR_USEC_NEVER
						 : probe->config_age_ms * 1000;

	if (round->running && probe->sequence == round->sequence &&
	    !strcmp(*probe->subject ? probe->subject : from->name,
		    round->target)) {
		round->running = false;
		if (!round->indirect_sent)
			member_adjust_health_score(member, -1);
		if (!*probe->subject)
			member->ops->peer_config(member->data,
						 probe->config_version, age,
						 round->started);
		return;
	}
	if (member->dead_probe_sequence &&
	    probe->sequence == member->dead_probe_sequence) {
		member->dead_ack_at = now;
		member->next_dead_probe_at = now;
		return;
	}
	for (int i = 0; i < INDIRECT_PROBES_MAX; i++) {
		indirect_probe_t *indirect = &member->indirect_probes[i];
		pr_probe_t ack = { .kind = PR_PROBE_ACK };
		pr_member_host_t *requester;

		if (!indirect->deadline ||
		    indirect->sequence != probe->sequence)
			continue;
		indirect->deadline = 0;
		requester = member_find(member, indirect->requester);
		ack.sequence = indirect->requester_sequence;
		memcpy(ack.subject, indirect->subject, sizeof(ack.subject));
		if (requester)
			member_send(member, requester, &ack, now);
		return;
	}
}

/* Apply the sender's own state, then its updates about other hosts. */
static void apply_updates(pr_member_t *member, pr_member_host_t *from,
			  const pr_probe_t *probe, pr_usec_t now)
{
	pr_update_t own = { .state = probe->leaving ? PR_MEMBER_LEAVING
						    : PR_MEMBER_ALIVE,
			    .incarnation = probe->incarnation };

	memcpy(own.host, from->name, sizeof(own.host));
	member_apply_update(member, &own, from->name, now);
	for (unsigned int i = 0; i < probe->updates_count; i++)
		member_apply_update(member, &probe->updates[i], from->name,
				    now);
	if (probe->config_version > member->config_version)
		member->ops->peer_config(member->data, probe->config_version,
					 PR_USEC_NEVER, now);
}

void member_handle_datagram(pr_member_t *member, pr_member_host_t *from,
			    const pr_probe_t *probe, pr_usec_t now)
{
	pr_probe_t ack = { .kind = PR_PROBE_ACK, .sequence = probe->sequence };

	apply_updates(member, from, probe, now);
	switch (probe->kind) {
	case PR_PROBE_PING:
		member_send(member, from, &ack, now);
		break;
	case PR_PROBE_ACK:
		handle_ack(member, from, probe, now);
		break;
	case PR_PROBE_REQUEST:
		start_indirect_probe(member, from, probe, now);
		break;
	case PR_PROBE_NACK:
		if (member->round.running &&
		    probe->sequence == member->round.sequence)
			member->round.nacks++;
		break;
	case PR_PROBE_GOSSIP:
		break;
	}
}
