/* Construction of the balancer, configuration changes and inspection. */
#include "balance/internal.h"

#include <stdlib.h>

#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"

/* First-token time and duration in microseconds that are assumed until they
 * have been learned. */
#define FIRST_TOKEN_DEFAULT 200e3
#define DURATION_DEFAULT    2e6

int pr_balance_init(pr_balance_t *balance, const pr_balance_options_t *options)
{
	memset(balance, 0, sizeof(*balance));
	if (options->version != PR_BALANCE_OPTIONS_VERSION || !options->host ||
	    !options->zone || !options->candidates || !options->subset_local)
		return pr_error_set(
			PR_EINVALID,
			"balancer options need the current version, a "
			"host, a zone, candidates and a local subset");
	balance->options = *options;
	balance->host = strdup(options->host);
	balance->own_zone = strdup(options->zone);
	balance->options.host = balance->host;
	balance->options.zone = balance->own_zone;
	balance->objective = PR_USEC_PER_SEC;
	if (balance->host && balance->own_zone)
		return 0;
	pr_balance_finish(balance);
	return pr_error_set(PR_ENOMEM, "no memory for the load balancer");
}

void pr_balance_free_upstream(pr_balance_upstream_t *upstream)
{
	if (!upstream)
		return;
	free(upstream->name);
	free(upstream->zone);
	free(upstream->address);
	free(upstream->prefix);
	free(upstream);
}

static void free_zones(pr_balance_zone_t *zones, unsigned int count)
{
	for (unsigned int i = 0; i < count; i++) {
		free(zones[i].name);
		free(zones[i].region);
	}
	free(zones);
}

void pr_balance_finish(pr_balance_t *balance)
{
	for (unsigned int i = 0; i < balance->upstreams_count; i++)
		pr_balance_free_upstream(balance->upstreams[i]);
	free(balance->upstreams);
	free(balance->index);
	while (balance->retired) {
		pr_balance_upstream_t *next = balance->retired->next_retired;

		pr_balance_free_upstream(balance->retired);
		balance->retired = next;
	}
	pr_balance_free_pools(balance->pools, balance->pools_count);
	free_zones(balance->zones, balance->zones_count);
	for (unsigned int i = 0; balance->views && i < PR_BALANCE_VIEWS_MAX;
	     i++)
		free(balance->views[i].hosts);
	free(balance->views);
	free(balance->host);
	free(balance->own_zone);
	memset(balance, 0, sizeof(*balance));
}

pr_balance_upstream_t *pr_balance_find(const pr_balance_t *balance,
				       const char *name)
{
	uint64_t hash = pr_hash64(name, strlen(name), 0);
	unsigned int at = (unsigned int)hash & balance->index_mask;

	while (balance->index && balance->index[at]) {
		if (balance->index[at]->hash == hash &&
		    strcmp(balance->index[at]->name, name) == 0)
			return balance->index[at];
		at = (at + 1) & balance->index_mask;
	}
	return NULL;
}

/* @return a hash table of the upstreams by name, or NULL when out of memory */
static pr_balance_upstream_t **build_index(pr_balance_upstream_t **list,
					   unsigned int count,
					   unsigned int *mask)
{
	pr_balance_upstream_t **index;
	unsigned int size = 4;

	while (size < 2 * count)
		size *= 2;
	*mask = size - 1;
	index = calloc(size, sizeof(pr_balance_upstream_t *));
	for (unsigned int i = 0; index && i < count; i++) {
		unsigned int at = (unsigned int)list[i]->hash & *mask;

		while (index[at])
			at = (at + 1) & *mask;
		index[at] = list[i];
	}
	return index;
}

const char *pr_balance_name(const pr_balance_upstream_t *upstream)
{
	return upstream->name;
}

static const pr_balance_zone_t *find_zone(const pr_balance_zone_t *zones,
					  unsigned int count, const char *name)
{
	for (unsigned int i = 0; i < count; i++)
		if (strcmp(zones[i].name, name) == 0)
			return &zones[i];
	return NULL;
}

/* Replaces the zones; the state that events have set is kept. */
static int load_zones(pr_balance_t *balance, const pr_fleet_t *fleet)
{
	pr_balance_zone_t *zones =
		calloc(fleet->zones_count + 1, sizeof(*zones));

	if (!zones)
		return PR_ENOMEM;
	for (unsigned int i = 0; i < fleet->zones_count; i++) {
		const pr_zone_t *config = &fleet->zones[i];
		const pr_balance_zone_t *old = find_zone(
			balance->zones, balance->zones_count, config->name);

		zones[i].name = strdup(config->name);
		zones[i].region = strdup(config->region);
		zones[i].config_out = config->state == PR_ZONE_OUT;
		zones[i].event_out = old && old->event_out;
		if (!zones[i].name || !zones[i].region) {
			free_zones(zones, i + 1);
			return PR_ENOMEM;
		}
	}
	free_zones(balance->zones, balance->zones_count);
	balance->zones = zones;
	balance->zones_count = fleet->zones_count;
	return 0;
}

static int replace_string(char **to, const char *from)
{
	char *copy;

	if (*to && strcmp(*to, from) == 0)
		return 0;
	copy = strdup(from);
	if (!copy)
		return PR_ENOMEM;
	free(*to);
	*to = copy;
	return 0;
}

static pr_balance_upstream_t *create_upstream(const char *name)
{
	pr_balance_upstream_t *upstream = calloc(1, sizeof(*upstream));

	if (!upstream)
		return NULL;
	upstream->hash = pr_hash64(name, strlen(name), 0);
	upstream->first_token = FIRST_TOKEN_DEFAULT;
	upstream->duration = DURATION_DEFAULT;
	upstream->prefix_trust = 1;
	upstream->reported_at = -1;
	if (replace_string(&upstream->name, name) == 0)
		return upstream;
	free(upstream);
	return NULL;
}

static int apply_config(pr_balance_t *balance, pr_balance_upstream_t *upstream,
			const pr_upstream_t *config)
{
	const pr_balance_zone_t *zone =
		find_zone(balance->zones, balance->zones_count, config->zone);
	const pr_balance_zone_t *own = find_zone(
		balance->zones, balance->zones_count, balance->own_zone);

	upstream->in_config = true;
	upstream->port = config->port;
	upstream->slots = config->slots ? config->slots : 1;
	upstream->cold_slots = config->cold_slots;
	upstream->config_leaving = config->state == PR_UPSTREAM_LEAVING;
	upstream->zone_index = zone ? (unsigned int)(zone - balance->zones)
				    : balance->zones_count;
	upstream->remote =
		!own || !zone || strcmp(own->region, zone->region) != 0;
	upstream->other_zone = own != zone;
	if (replace_string(&upstream->zone, config->zone))
		return PR_ENOMEM;
	return replace_string(&upstream->address,
			      config->address ? config->address : "");
}

/* An upstream with a new address is a new process under the same name. */
static bool has_moved(const pr_balance_upstream_t *upstream,
		      const pr_upstream_t *config)
{
	return upstream->port != config->port ||
	       strcmp(upstream->address,
		      config->address ? config->address : "") != 0;
}

/* Returns true if neither the upstream is leaving nor its zone out of service;
 * ejection is not considered. */
static bool is_in_service(const pr_balance_t *balance,
			  const pr_balance_upstream_t *upstream)
{
	const pr_balance_zone_t *zone;

	if (upstream->zone_index >= balance->zones_count)
		return false;
	zone = &balance->zones[upstream->zone_index];
	return !zone->config_out && !zone->event_out &&
	       !upstream->config_leaving && !upstream->event_leaving;
}

/* @return the upstreams in the order of the configuration, existing ones where
 * the name is known; NULL when out of memory */
static pr_balance_upstream_t **match_upstreams(pr_balance_t *balance,
					       const pr_fleet_t *fleet,
					       const bool *was_in_service,
					       pr_usec_t now)
{
	bool first = balance->upstreams == NULL;
	pr_balance_upstream_t **list =
		calloc(fleet->upstreams_count + 1, sizeof(void *));

	for (unsigned int i = 0; list && i < fleet->upstreams_count; i++) {
		const pr_upstream_t *config = &fleet->upstreams[i];
		pr_balance_upstream_t *upstream =
			pr_balance_find(balance, config->name);
		bool is_new = !upstream;
		bool moved = upstream && has_moved(upstream, config);

		if (is_new)
			upstream = create_upstream(config->name);
		list[i] = upstream;
		if (!upstream || apply_config(balance, upstream, config)) {
			for (unsigned int j = 0; j <= i; j++)
				if (!pr_balance_find(balance,
						     fleet->upstreams[j].name))
					pr_balance_free_upstream(list[j]);
			free(list);
			return NULL;
		}
		if ((is_new && !first) || moved)
			pr_balance_begin_ramp(balance, upstream, now);
	}
	/* Upstreams that the configuration has put back into service. */
	for (unsigned int i = 0; list && i < balance->upstreams_count; i++) {
		pr_balance_upstream_t *old = balance->upstreams[i];

		if (old->in_config && !was_in_service[i] &&
		    is_in_service(balance, old))
			pr_balance_begin_ramp(balance, old, now);
	}
	return list;
}

/* Frees an upstream that was removed from the configuration, or keeps it until
 * its attempts have ended. */
static void retire(pr_balance_t *balance, pr_balance_upstream_t *upstream)
{
	if (!upstream->in_flight) {
		pr_balance_free_upstream(upstream);
		return;
	}
	upstream->event_leaving = true;
	upstream->next_retired = balance->retired;
	balance->retired = upstream;
}

static void free_idle_retired(pr_balance_t *balance)
{
	pr_balance_upstream_t **at = &balance->retired;

	while (*at) {
		pr_balance_upstream_t *upstream = *at;

		if (upstream->in_flight) {
			at = &upstream->next_retired;
			continue;
		}
		*at = upstream->next_retired;
		pr_balance_free_upstream(upstream);
	}
}

int pr_balance_configure(pr_balance_t *balance, const pr_fleet_t *fleet,
			 pr_usec_t now)
{
	bool *was_in_service =
		calloc(balance->upstreams_count + 1, sizeof(bool));
	pr_balance_upstream_t **list;
	pr_balance_pool_t *pools;
	unsigned int pools_count;

	if (!was_in_service)
		return pr_error_set(PR_ENOMEM, "no memory for upstreams");
	for (unsigned int i = 0; i < balance->upstreams_count; i++) {
		was_in_service[i] =
			is_in_service(balance, balance->upstreams[i]);
		balance->upstreams[i]->in_config = false;
	}
	if (load_zones(balance, fleet)) {
		free(was_in_service);
		return pr_error_set(PR_ENOMEM, "no memory for zones");
	}
	list = match_upstreams(balance, fleet, was_in_service, now);
	free(was_in_service);
	if (!list)
		return pr_error_set(PR_ENOMEM, "no memory for upstreams");
	free_idle_retired(balance);
	for (unsigned int i = 0; i < balance->upstreams_count; i++)
		if (!balance->upstreams[i]->in_config)
			retire(balance, balance->upstreams[i]);
	free(balance->upstreams);
	free(balance->index);
	balance->upstreams = list;
	balance->index =
		build_index(list, fleet->upstreams_count, &balance->index_mask);
	balance->upstreams_count = fleet->upstreams_count;
	if (fleet->defaults.first_token_ms)
		balance->objective = (pr_usec_t)fleet->defaults.first_token_ms *
				     PR_USEC_PER_MSEC;
	if (!balance->index)
		return pr_error_set(PR_ENOMEM, "no memory for upstreams");
	if (pr_balance_build_pools(balance, fleet, &pools, &pools_count))
		return PR_ENOMEM;
	pr_balance_free_pools(balance->pools, balance->pools_count);
	balance->pools = pools;
	balance->pools_count = pools_count;
	return 0;
}

bool pr_balance_usable(const pr_balance_t *balance,
		       const pr_balance_upstream_t *upstream, pr_usec_t now)
{
	return is_in_service(balance, upstream) &&
	       now >= upstream->ejected_until;
}

void pr_balance_status(pr_balance_t *balance, pr_balance_status_t *status,
		       pr_balance_upstream_t *upstream, pr_usec_t now)
{
	*status = (pr_balance_status_t){
		.name = upstream->name,
		.zone = upstream->zone,
		.address = upstream->address,
		.port = upstream->port,
		.connected = upstream->connected,
		.in_flight = upstream->in_flight,
		.ejected_until = upstream->ejected_until,
		.first_token = (pr_usec_t)upstream->first_token,
	};
	/* Sets upstream->cold to false when the ramp is over. */
	status->ceiling = pr_balance_ceiling(balance, upstream, now);
	status->cold = upstream->cold;
	status->ramp_start = upstream->ramp_start;
	status->level = pr_balance_level(balance, upstream, now);
	status->ceiling_skips = upstream->ceiling_skips;
	status->sent = upstream->sent;
	status->usable = pr_balance_usable(balance, upstream, now);
}
