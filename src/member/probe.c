/* Probing, relays, and the spread of news. */
#include "member/member.h"

/* Entries of the table that a datagram repeats, for those who missed news. */
#define REPEATS 2
/* Probes of dead hosts while some of them answer, as after a partition. */
#define REVIVE_PROBE (200 * PR_USEC_PER_MSEC)
/* Hosts that get an extra datagram at a time. */
#define NEWS_TARGETS 2
/* Burst of the byte budget, in seconds of it. */
#define BUDGET_BURST 3

static void put_update(pr_probe_t *probe, const pr_member_host_t *host)
{
	pr_update_t *update = &probe->updates[probe->updates_count++];

	memcpy(update->host, host->name, sizeof(update->host));
	update->state = host->state;
	update->incarnation = host->incarnation;
}

/* The freshest news first: those with the most transmissions left. */
static void put_news(pr_member_t *member, const pr_member_host_t *to,
		     pr_probe_t *probe)
{
	unsigned int most = 0;

	for (unsigned int i = 0; i < member->count; i++)
		if (member->hosts[i].transmits > most)
			most = member->hosts[i].transmits;
	for (unsigned int level = most; level; level--)
		for (unsigned int i = 0; i < member->count; i++) {
			pr_member_host_t *host = &member->hosts[i];

			if (host->transmits != level || host == to)
				continue;
			/* Room for repeats stays, or a flood hides them. */
			if (probe->updates_count + REPEATS >=
			    PR_PROBE_UPDATES_MAX)
				return;
			put_update(probe, host);
		}
}

static void put_repeats(pr_member_t *member, pr_probe_t *probe)
{
	for (int i = 0; i < REPEATS; i++) {
		if (probe->updates_count == PR_PROBE_UPDATES_MAX)
			return;
		member->repeat = (member->repeat + 1) % member->count;
		put_update(probe, &member->hosts[member->repeat]);
	}
}

void member_send(pr_member_t *member, pr_member_host_t *to, pr_probe_t *probe,
		 pr_usec_t now)
{
	pr_member_host_t *self = member_self(member);
	char datagram[PR_MEMBER_DATAGRAM_MAX];
	unsigned int news;
	size_t len;

	memcpy(probe->from, self->name, sizeof(probe->from));
	probe->incarnation = self->incarnation;
	probe->leaving = self->state == PR_MEMBER_LEAVING;
	probe->config_version = member->config_version;
	probe->config_age = -1;
	if (member->config_confirmed && now >= member->config_confirmed_at)
		probe->config_age = (now - member->config_confirmed_at) / 1000;
	probe->updates_count = 0;
	/* The receiver can refute only what it hears. */
	if (to->state != PR_MEMBER_ALIVE)
		put_update(probe, to);
	put_news(member, to, probe);
	news = probe->updates_count;
	put_repeats(member, probe);
	len = pr_probe_encode(datagram, probe, member->options.secret);
	if (!len)
		return;
	if (news > probe->updates_count)
		news = probe->updates_count;
	for (unsigned int i = 0; i < news; i++) {
		pr_member_host_t *host =
			member_find(member, probe->updates[i].host);

		if (host && host->transmits)
			host->transmits--;
	}
	member->stats.datagrams_sent++;
	member->stats.bytes_sent += len + HEADER_BYTES;
	member->ops->send(member->data, to->address, pr_slice(datagram, len));
}

static bool is_probed(const pr_member_host_t *host)
{
	return host->state != PR_MEMBER_DEAD;
}

pr_member_host_t *member_random(pr_member_t *member, const char *but)
{
	unsigned int start, i;

	if (member->count < 2)
		return NULL;
	start = pr_rand_below(member->rand, member->count);
	for (i = 0; i < member->count; i++) {
		pr_member_host_t *host =
			&member->hosts[(start + i) % member->count];

		if (host != member_self(member) && is_probed(host) &&
		    (!but || strcmp(host->name, but) != 0))
			return host;
	}
	return NULL;
}

/* Every host once in random order, which bounds the time to a first probe. */
static void shuffle(pr_member_t *member)
{
	member->order_next = 0;
	member->order_count = member->count - 1;
	for (unsigned int i = 0; i < member->order_count; i++)
		member->order[i] = (uint16_t)(i + 1);
	for (unsigned int i = member->order_count; i > 1; i--) {
		unsigned int j = pr_rand_below(member->rand, i);
		uint16_t swap = member->order[i - 1];

		member->order[i - 1] = member->order[j];
		member->order[j] = swap;
	}
}

static pr_member_host_t *next_target(pr_member_t *member)
{
	for (unsigned int tries = 0; tries < member->count; tries++) {
		pr_member_host_t *host;

		if (member->order_next >= member->order_count)
			shuffle(member);
		if (!member->order_count)
			return NULL;
		host = &member->hosts[member->order[member->order_next++]];
		if (is_probed(host))
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
	member->round = (round_t){ .running = true,
				   .sequence = ++member->sequence,
				   .started = now };
	memcpy(member->round.target, target->name, sizeof(target->name));
	probe.sequence = member->round.sequence;
	member_send(member, target, &probe, now);
}

static void ask_helpers(pr_member_t *member, pr_usec_t now)
{
	round_t *round = &member->round;

	round->indirect = true;
	for (int i = 0; i < HELPERS; i++) {
		pr_member_host_t *helper = member_random(member, round->target);
		pr_probe_t probe = { .kind = PR_PROBE_REQUEST,
				     .sequence = round->sequence };

		if (!helper)
			return;
		memcpy(probe.subject, round->target, sizeof(probe.subject));
		round->helpers++;
		member_send(member, helper, &probe, now);
	}
}

static void fail_round(pr_member_t *member, pr_usec_t now)
{
	round_t *round = &member->round;
	pr_member_host_t *target = member_find(member, round->target);

	round->running = false;
	/* Helpers that are silent too point at this host or its network. */
	if (round->nacks < round->helpers)
		member_health_change(member, 1);
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

static void relay_tick(pr_member_t *member, pr_usec_t now)
{
	for (int i = 0; i < RELAYS_MAX; i++) {
		relay_t *relay = &member->relays[i];
		pr_probe_t probe = { .kind = PR_PROBE_NACK };
		pr_member_host_t *origin;

		if (!relay->due || now < relay->due)
			continue;
		relay->due = 0;
		origin = member_find(member, relay->origin);
		if (!origin)
			continue;
		probe.sequence = relay->origin_sequence;
		memcpy(probe.subject, relay->subject, sizeof(probe.subject));
		member_send(member, origin, &probe, now);
	}
}

static void probe_dead(pr_member_t *member, pr_usec_t now)
{
	bool reviving = now - member->revived < member->options.dead_probe;
	pr_probe_t probe = { .kind = PR_PROBE_PING };
	unsigned int start = pr_rand_below(member->rand, member->count);

	if (now < member->next_dead)
		return;
	member->next_dead =
		now + (reviving ? REVIVE_PROBE : member->options.dead_probe);
	for (unsigned int i = 0; i < member->count; i++) {
		pr_member_host_t *host =
			&member->hosts[(start + i) % member->count];

		if (host->state != PR_MEMBER_DEAD || !host->listed)
			continue;
		member->dead_sequence = probe.sequence = ++member->sequence;
		member->dead_sent = now;
		member_send(member, host, &probe, now);
		return;
	}
}

void member_check(pr_member_t *member, pr_member_host_t *host, pr_usec_t now)
{
	pr_probe_t probe = { .kind = PR_PROBE_PING };
	uint64_t before = member->stats.bytes_sent;

	if (member->budget <= 0)
		return;
	host->checked = true;
	probe.sequence = ++member->sequence;
	member_send(member, host, &probe, now);
	member->budget -= (double)(member->stats.bytes_sent - before);
}

void member_probe_tick(pr_member_t *member, pr_usec_t now)
{
	pr_usec_t scale = 1 + (pr_usec_t)member->health;
	round_t *round = &member->round;

	if (round->running && !round->indirect &&
	    now - round->started >= member->options.answer_timeout * scale)
		ask_helpers(member, now);
	if (now >= member->next_round) {
		if (round->running)
			fail_round(member, now);
		member->next_round = now + member->options.period * scale;
		start_round(member, now);
	}
	relay_tick(member, now);
	probe_dead(member, now);
}

static bool has_news(const pr_member_t *member)
{
	for (unsigned int i = 0; i < member->count; i++)
		if (member->hosts[i].transmits)
			return true;
	return member->config_news > 0;
}

/* Extra datagrams within the budget; probes alone double news once a second. */
void member_news_tick(pr_member_t *member, pr_usec_t now)
{
	double most = (double)member->options.gossip_bytes * BUDGET_BURST;

	member->budget += (double)(now - member->budget_at) / 1e6 *
			  member->options.gossip_bytes;
	member->budget = member->budget < most ? member->budget : most;
	member->budget_at = now;
	if (now < member->next_news)
		return;
	member->next_news = now + member->options.gossip_interval;
	for (int i = 0; i < NEWS_TARGETS; i++) {
		pr_member_host_t *to = member_random(member, NULL);
		pr_probe_t probe = { .kind = PR_PROBE_NEWS };
		uint64_t before = member->stats.bytes_sent;

		if (!to || member->budget <= 0 || !has_news(member))
			return;
		member_send(member, to, &probe, now);
		if (member->config_news)
			member->config_news--;
		member->budget -= (double)(member->stats.bytes_sent - before);
	}
}

static void relay_request(pr_member_t *member, pr_member_host_t *from,
			  const pr_probe_t *probe, pr_usec_t now)
{
	pr_member_host_t *subject = member_find(member, probe->subject);
	pr_probe_t ping = { .kind = PR_PROBE_PING };

	for (int i = 0; subject && i < RELAYS_MAX; i++) {
		relay_t *relay = &member->relays[i];

		if (relay->due)
			continue;
		relay->sequence = ping.sequence = ++member->sequence;
		relay->origin_sequence = probe->sequence;
		memcpy(relay->origin, from->name, sizeof(relay->origin));
		memcpy(relay->subject, subject->name, sizeof(relay->subject));
		relay->due = now + member->options.answer_timeout;
		member_send(member, subject, &ping, now);
		return;
	}
}

static void handle_ack(pr_member_t *member, pr_member_host_t *from,
		       const pr_probe_t *probe, pr_usec_t now)
{
	round_t *round = &member->round;
	pr_usec_t age = probe->config_age < 0 ? PR_USEC_NEVER
					      : probe->config_age * 1000;

	if (round->running && probe->sequence == round->sequence &&
	    !strcmp(*probe->subject ? probe->subject : from->name,
		    round->target)) {
		round->running = false;
		if (!round->indirect)
			member_health_change(member, -1);
		if (!*probe->subject)
			member->ops->peer_config(member->data,
						 probe->config_version, age,
						 round->started);
		return;
	}
	if (member->dead_sequence && probe->sequence == member->dead_sequence) {
		member->revived = now;
		member->next_dead = now;
		return;
	}
	for (int i = 0; i < RELAYS_MAX; i++) {
		relay_t *relay = &member->relays[i];
		pr_probe_t ack = { .kind = PR_PROBE_ACK };
		pr_member_host_t *origin;

		if (!relay->due || relay->sequence != probe->sequence)
			continue;
		relay->due = 0;
		origin = member_find(member, relay->origin);
		ack.sequence = relay->origin_sequence;
		memcpy(ack.subject, relay->subject, sizeof(ack.subject));
		if (origin)
			member_send(member, origin, &ack, now);
		return;
	}
}

/* What the sender says of itself, and what it says of others. */
static void take_updates(pr_member_t *member, pr_member_host_t *from,
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

void member_handle(pr_member_t *member, pr_member_host_t *from,
		   const pr_probe_t *probe, pr_usec_t now)
{
	pr_probe_t ack = { .kind = PR_PROBE_ACK, .sequence = probe->sequence };

	take_updates(member, from, probe, now);
	switch (probe->kind) {
	case PR_PROBE_PING:
		member_send(member, from, &ack, now);
		break;
	case PR_PROBE_ACK:
		handle_ack(member, from, probe, now);
		break;
	case PR_PROBE_REQUEST:
		relay_request(member, from, probe, now);
		break;
	case PR_PROBE_NACK:
		if (member->round.running &&
		    probe->sequence == member->round.sequence)
			member->round.nacks++;
		break;
	case PR_PROBE_NEWS:
		break;
	}
}
