/* The table of hosts: state updates, suspicion timeouts and key owners. */
#include "member/member.h"

#include <math.h>
#include <stdlib.h>

#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"

/*
 * Lifeguard's dynamic suspicion timeout. The minimum is
 * SUSPICION_MIN_FACTOR * log10(hosts) probe periods, which is 5.2 s for 390
 * hosts and a period of 1 s; the maximum is SUSPICION_MAX_RATIO times that. The
 * timeout falls to the minimum when SUSPICION_REPORTERS hosts have reported the
 * suspicion.
 */
#define SUSPICION_MIN_FACTOR 2.0
#define SUSPICION_MAX_RATIO  3.0
#define SUSPICION_REPORTERS  3
/* A longer time between two ticks (in us) means that this host stalled. */
#define STALL_THRESHOLD (500 * PR_USEC_PER_MSEC)

const char *pr_member_state_name(pr_member_state_t state)
{
	static const char *const names[] = { "alive", "suspect", "leaving",
					     "dead" };

	return names[state];
}

static int copy_name(char out[PR_MEMBER_NAME_SIZE], pr_slice_t name)
{
	return pr_slice_copy(out, PR_MEMBER_NAME_SIZE, name);
}

static pr_member_host_t *add_host(pr_member_t *member, pr_slice_t name,
				  pr_slice_t zone, pr_slice_t address)
{
	pr_member_host_t *host;

	if (member->count == PR_MEMBER_HOSTS_MAX)
		return NULL;
	if (member->count == member->cap) {
		unsigned int cap = member->cap ? member->cap * 2 : 16;
		pr_member_host_t *hosts =
			realloc(member->hosts, cap * sizeof(*hosts));

		if (!hosts)
			return NULL;
		member->hosts = hosts;
		member->cap = cap;
	}
	host = &member->hosts[member->count];
	memset(host, 0, sizeof(*host));
	if (!name.len || copy_name(host->name, name) ||
	    copy_name(host->zone, zone) || copy_name(host->address, address))
		return NULL;
	host->hash = pr_hash64(name.ptr, name.len, 0);
	member->count++;
	return host;
}

int pr_member_open(pr_member_t **out, const pr_member_options_t *options,
		   const pr_member_ops_t *ops, void *data, pr_rand_t *rand,
		   pr_usec_t now)
{
	pr_member_t *member;
	pr_member_host_t *self;

	*out = NULL;
	if (options->version != PR_MEMBER_OPTIONS_VERSION ||
	    options->probe_period <= 0 || !options->secret.len)
		return pr_error_set(PR_EINVALID,
				    "member options: wrong version, "
				    "probe_period not above 0 or "
				    "empty secret");
	member = calloc(1, sizeof(*member));
	if (!member)
		return PR_ENOMEM;
	member->options = *options;
	self = add_host(member, options->host, options->zone, options->address);
	if (!self || pr_slice_copy(member->secret, sizeof(member->secret),
				   options->secret)) {
		pr_member_close(member);
		return pr_error_set(PR_EINVALID,
				    "host name is empty, or host name, zone, "
				    "address or secret is too long");
	}
	self->listed = true;
	self->incarnation = options->incarnation;
	self->transmits_left = (uint8_t)member_transmit_limit(member);
	member->options.secret = pr_slice_of(member->secret);
	member->ops = ops;
	member->data = data;
	member->rand = rand;
	member->last_tick = member->gossip_budget_refilled_at = now;
	/* Random, so that hosts started together do not probe in step. */
	member->next_round_at =
		now + pr_rand_below(rand, (uint32_t)options->probe_period);
	member->dead_ack_at = now - options->dead_probe_interval;
	*out = member;
	return 0;
}

void pr_member_close(pr_member_t *member)
{
	if (!member)
		return;
	free(member->hosts);
	free(member);
}

pr_member_host_t *member_find(const pr_member_t *member, const char *name)
{
	uint64_t hash = pr_hash64(name, strlen(name), 0);

	for (unsigned int i = 0; i < member->count; i++)
		if (member->hosts[i].hash == hash &&
		    !strcmp(member->hosts[i].name, name))
			return &member->hosts[i];
	return NULL;
}

const pr_member_host_t *pr_member_find(const pr_member_t *member,
				       pr_slice_t name)
{
	char text[PR_MEMBER_NAME_SIZE];

	return copy_name(text, name) ? NULL : member_find(member, text);
}

/*
 * An update that each host sends k times misses a given host with probability
 * e^-k. The result for 390 hosts is 16; with 11, one view missed one of 240
 * deaths during a partition.
 */
unsigned int member_transmit_limit(const pr_member_t *member)
{
	return 4 + 4 * (unsigned int)ceil(log10(member->count + 1.0));
}

static void forget_hosts(pr_member_t *member, pr_usec_t now)
{
	for (unsigned int i = 1; i < member->count;) {
		pr_member_host_t *host = &member->hosts[i];

		if (host->listed || host->state != PR_MEMBER_DEAD ||
		    now - host->state_since < member->options.forget_after) {
			i++;
			continue;
		}
		*host = member->hosts[--member->count];
		/* Indexes of hosts have changed; start with a new order. */
		member->probe_order_count = member->probe_order_next = 0;
	}
}

int pr_member_set_list(pr_member_t *member, const pr_member_list_entry_t *list,
		       unsigned int count, pr_usec_t now)
{
	int rc = 0;

	for (unsigned int i = 1; i < member->count; i++)
		member->hosts[i].listed = false;
	for (unsigned int i = 0; i < count; i++) {
		pr_member_host_t *host = (pr_member_host_t *)pr_member_find(
			member, list[i].host);

		if (!host) {
			host = add_host(member, list[i].host, list[i].zone,
					list[i].address);
			if (!host) {
				rc = pr_error_set(PR_EFULL,
						  "host list has entries that "
						  "are invalid or do not fit "
						  "into the view");
				continue;
			}
			host->state_since = now;
			member->ops->changed(member->data, host,
					     PR_MEMBER_DEAD);
		} else if (host != member_self(member)) {
			/* A replaced host may have another zone or address. */
			copy_name(host->zone, list[i].zone);
			copy_name(host->address, list[i].address);
		}
		host->listed = true;
	}
	forget_hosts(member, now);
	return rc;
}

void pr_member_set_config(pr_member_t *member, uint64_t version,
			  bool ever_confirmed, pr_usec_t confirmed_at)
{
	if (version > member->config_version)
		member->config_gossip_left = member_transmit_limit(member);
	member->config_version = version;
	member->config_confirmed = ever_confirmed;
	member->config_confirmed_at = confirmed_at;
}

void member_adjust_health_score(pr_member_t *member, int change)
{
	int score = (int)member->health_score + change;

	if (!member->options.local_health)
		return;
	member->health_score =
		(unsigned int)(score < 0                  ? 0
			       : score > HEALTH_SCORE_MAX ? HEALTH_SCORE_MAX
							  : score);
}

void member_set_state(pr_member_t *member, pr_member_host_t *host,
		      pr_member_state_t state, uint64_t incarnation,
		      pr_usec_t now)
{
	pr_member_state_t before = host->state;

	/*
	 * The first incarnation received from a new listed host is not queued
	 * for sending: other hosts list it as alive too, and a fleet whose
	 * hosts all start at once would send these updates for minutes.
	 */
	if (state != before || host->incarnation)
		host->transmits_left = (uint8_t)member_transmit_limit(member);
	host->incarnation = incarnation;
	if (state == before)
		return;
	host->state = state;
	host->state_since = now;
	host->suspected_by_count = 0;
	host->final_probe_sent = false;
	member->stats.suspicions += state == PR_MEMBER_SUSPECT;
	member->stats.deaths += state == PR_MEMBER_DEAD;
	member->ops->changed(member->data, host, before);
}

/*
 * Announce a higher incarnation after an update reported this host in a later
 * state than its own, or with an incarnation of an earlier process.
 */
static void refute(pr_member_t *member, const pr_update_t *update,
		   pr_usec_t now)
{
	pr_member_host_t *self = member_self(member);

	if (update->incarnation < self->incarnation ||
	    (update->incarnation == self->incarnation &&
	     update->state <= self->state))
		return;
	member->stats.refutations++;
	member_adjust_health_score(member, 1);
	member_set_state(member, self, self->state, update->incarnation + 1,
			 now);
	/* Gossip at the next tick: the suspicion timeout is already running. */
	member->next_gossip_at = now;
}

/* Record a host that reported the suspicion, once per host. */
static void add_suspicion_reporter(pr_member_host_t *host, const char *from)
{
	uint32_t reporter = (uint32_t)pr_hash64(from, strlen(from), 0);

	for (int i = 0; i < host->suspected_by_count; i++)
		if (host->suspected_by[i] == reporter)
			return;
	if (host->suspected_by_count < SUSPICION_REPORTERS + 1)
		host->suspected_by[host->suspected_by_count++] = reporter;
}

/*
 * The higher incarnation takes precedence; for equal incarnations the state
 * later in the order alive, suspect, leaving, dead (that of pr_member_state_t).
 */
void member_apply_update(pr_member_t *member, const pr_update_t *update,
			 const char *from, pr_usec_t now)
{
	pr_member_host_t *host = member_find(member, update->host);

	if (!host)
		return;
	if (host == member_self(member)) {
		refute(member, update, now);
		return;
	}
	if (update->incarnation > host->incarnation ||
	    (update->incarnation == host->incarnation &&
	     update->state > host->state))
		member_set_state(member, host, update->state,
				 update->incarnation, now);
	if (host->state == PR_MEMBER_SUSPECT &&
	    update->state == PR_MEMBER_SUSPECT &&
	    update->incarnation == host->incarnation)
		add_suspicion_reporter(host, from);
}

/*
 * Interpolate between the maximum and the minimum timeout by the logarithm of
 * the number of reporters; the minimum grows with the local health score.
 */
static pr_usec_t suspicion_timeout(const pr_member_t *member,
				   const pr_member_host_t *host)
{
	double hosts = member->count > 10 ? member->count : 10;
	double min_usec = SUSPICION_MIN_FACTOR * log10(hosts) *
			  (double)member->options.probe_period;
	unsigned int reporters_needed = member->count < SUSPICION_REPORTERS + 2
						? member->count - 2
						: SUSPICION_REPORTERS;
	double max_usec =
		reporters_needed ? min_usec * SUSPICION_MAX_RATIO : min_usec;
	double fraction;

	if (member->options.local_health)
		min_usec *= 1 + member->health_score;
	if (!reporters_needed || max_usec < min_usec)
		return (pr_usec_t)min_usec;
	fraction = log(host->suspected_by_count + 1.0) /
		   log(reporters_needed + 1.0);
	fraction = fraction < 1 ? fraction : 1;
	return (pr_usec_t)(max_usec - (max_usec - min_usec) * fraction);
}

/*
 * A suspect is probed again shortly before its timeout, because its refutation
 * may have been lost on the way to this host; this occurred at 10% loss.
 */
void member_expire_suspicions(pr_member_t *member, pr_usec_t now)
{
	for (unsigned int i = 1; i < member->count; i++) {
		pr_member_host_t *host = &member->hosts[i];
		pr_usec_t left;

		if (host->state != PR_MEMBER_SUSPECT)
			continue;
		left = host->state_since + suspicion_timeout(member, host) -
		       now;
		if (left <= 0)
			member_set_state(member, host, PR_MEMBER_DEAD,
					 host->incarnation, now);
		else if (left <= 2 * member->options.ack_timeout &&
			 !host->final_probe_sent)
			member_probe_suspect(member, host, now);
	}
}

/*
 * During a stall this host received no refutations and no acks. Therefore all
 * suspicion timeouts restart, and the current probe round is aborted because
 * its result says nothing about the target.
 */
static void detect_stall(pr_member_t *member, pr_usec_t now)
{
	if (now - member->last_tick < STALL_THRESHOLD ||
	    !member->options.local_health)
		return;
	member_adjust_health_score(member, 1);
	member->round.running = false;
	for (unsigned int i = 1; i < member->count; i++)
		if (member->hosts[i].state == PR_MEMBER_SUSPECT)
			member->hosts[i].state_since = now;
}

void pr_member_tick(pr_member_t *member, pr_usec_t now)
{
	detect_stall(member, now);
	member->last_tick = now;
	member_probe_tick(member, now);
	member_expire_suspicions(member, now);
	forget_hosts(member, now);
	member_gossip_tick(member, now);
}

int pr_member_receive(pr_member_t *member, pr_slice_t datagram, pr_usec_t now)
{
	pr_member_host_t *from;
	pr_probe_t probe;

	detect_stall(member, now);
	if (now - member->last_tick >= STALL_THRESHOLD)
		member->last_tick = now;
	member->stats.datagrams_received++;
	member->stats.bytes_received += datagram.len + IP_UDP_HEADER_BYTES;
	from = pr_probe_decode(&probe, datagram, member->options.secret)
		       ? NULL
		       : member_find(member, probe.from);
	if (!from || from == member_self(member)) {
		member->stats.refused++;
		return PR_EDENIED;
	}
	member_handle_datagram(member, from, &probe, now);
	return 0;
}

void pr_member_leave(pr_member_t *member, pr_usec_t now)
{
	pr_member_host_t *self = member_self(member);

	if (self->state == PR_MEMBER_LEAVING)
		return;
	member_set_state(member, self, PR_MEMBER_LEAVING, self->incarnation + 1,
			 now);
	member->next_gossip_at = now;
	member_gossip_tick(member, now);
}

unsigned int pr_member_count(const pr_member_t *member)
{
	return member->count;
}

const pr_member_host_t *pr_member_at(const pr_member_t *member,
				     unsigned int index)
{
	return index < member->count ? &member->hosts[index] : NULL;
}

bool pr_member_is_live(const pr_member_host_t *host)
{
	return host->state == PR_MEMBER_ALIVE ||
	       host->state == PR_MEMBER_SUSPECT;
}

unsigned int pr_member_live_count(const pr_member_t *member)
{
	unsigned int live = 0;

	for (unsigned int i = 0; i < member->count; i++)
		live += pr_member_is_live(&member->hosts[i]);
	return live;
}

unsigned int pr_member_listed_count(const pr_member_t *member)
{
	unsigned int listed = 0;

	for (unsigned int i = 0; i < member->count; i++)
		listed += member->hosts[i].listed;
	return listed;
}

/*
 * @param excluded_zone zone whose hosts are skipped, or NULL
 * @param excluded_name host that is skipped, or NULL
 * @return the live host with the highest rendezvous score, or NULL
 */
static const pr_member_host_t *best_host(const pr_member_t *member,
					 pr_slice_t key,
					 const char *excluded_zone,
					 const char *excluded_name)
{
	const pr_member_host_t *best_so_far = NULL;
	uint64_t highest = 0;

	for (unsigned int i = 0; i < member->count; i++) {
		const pr_member_host_t *host = &member->hosts[i];
		uint64_t score;

		if (!pr_member_is_live(host) ||
		    (excluded_zone && !strcmp(host->zone, excluded_zone)) ||
		    (excluded_name && !strcmp(host->name, excluded_name)))
			continue;
		score = pr_rendezvous_score(key, pr_slice_of(host->name));
		if (!best_so_far || score > highest) {
			best_so_far = host;
			highest = score;
		}
	}
	return best_so_far;
}

const pr_member_host_t *pr_member_owner(const pr_member_t *member,
					pr_slice_t key,
					const pr_member_host_t **second)
{
	const pr_member_host_t *first = best_host(member, key, NULL, NULL);

	if (!second)
		return first;
	*second = first ? best_host(member, key, first->zone, NULL) : NULL;
	if (first && !*second)
		*second = best_host(member, key, NULL, first->name);
	return first;
}

unsigned int pr_member_health_score(const pr_member_t *member)
{
	return member->health_score;
}

const pr_member_stats_t *pr_member_stats(const pr_member_t *member)
{
	return &member->stats;
}
