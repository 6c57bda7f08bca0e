/* Builds a pr_fleet_t of a given size in memory, for unit tests. */
#ifndef TESTS_FLEET_FIXTURE_H
#define TESTS_FLEET_FIXTURE_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pistachiorack/config.h"

static inline char *fixture_name(const char *prefix, unsigned int number)
{
	char name[64];

	snprintf(name, sizeof(name), "%s%u", prefix, number);
	return strdup(name);
}

/* Zones z0, z1, ...; the first half are in region r0, the others in r1.
 * Upstreams u0, u1, ... are assigned to zones and then to models m0@1, ... in
 * turn. */
static inline pr_fleet_t *fixture_fleet(unsigned int zones,
					unsigned int upstreams,
					unsigned int models,
					unsigned int workspaces)
{
	pr_fleet_t *fleet = calloc(1, sizeof(*fleet));

	fleet->format = 1;
	fleet->defaults.first_token_ms = 1000;
	fleet->zones = calloc(zones, sizeof(*fleet->zones));
	fleet->zones_count = zones;
	for (unsigned int i = 0; i < zones; i++) {
		fleet->zones[i].name = fixture_name("z", i);
		fleet->zones[i].region =
			fixture_name("r", i >= (zones + 1) / 2);
	}
	fleet->upstreams = calloc(upstreams, sizeof(*fleet->upstreams));
	fleet->upstreams_count = upstreams;
	for (unsigned int i = 0; i < upstreams; i++) {
		pr_upstream_t *upstream = &fleet->upstreams[i];
		char model[32];

		snprintf(model, sizeof(model), "m%u@1", i / zones % models);
		upstream->name = fixture_name("u", i);
		upstream->zone = fixture_name("z", i % zones);
		upstream->address = strdup("127.0.0.1");
		upstream->port = (uint16_t)(9000 + i);
		upstream->slots = 8;
		upstream->cold_slots = 2;
		upstream->serves = calloc(1, sizeof(char *));
		upstream->serves[0] = strdup(model);
		upstream->serves_count = 1;
	}
	fleet->workspaces = calloc(workspaces + 1, sizeof(pr_workspace_t));
	fleet->workspaces_count = workspaces;
	for (unsigned int i = 0; i < workspaces; i++) {
		fleet->workspaces[i].name = fixture_name("w", i);
		fleet->workspaces[i].weight = 1;
	}
	return fleet;
}

static inline void fixture_free(pr_fleet_t *fleet)
{
	for (unsigned int i = 0; i < fleet->zones_count; i++) {
		free(fleet->zones[i].name);
		free(fleet->zones[i].region);
	}
	for (unsigned int i = 0; i < fleet->upstreams_count; i++) {
		pr_upstream_t *upstream = &fleet->upstreams[i];

		free(upstream->name);
		free(upstream->zone);
		free(upstream->address);
		free(upstream->serves[0]);
		free(upstream->serves);
	}
	for (unsigned int i = 0; i < fleet->workspaces_count; i++) {
		pr_workspace_t *workspace = &fleet->workspaces[i];

		for (unsigned int j = 0; j < workspace->keys_count; j++)
			free(workspace->keys[j]);
		free(workspace->keys);
		free(workspace->name);
	}
	free(fleet->zones);
	free(fleet->upstreams);
	free(fleet->workspaces);
	free(fleet);
}

#endif
