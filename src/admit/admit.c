/*
 * State of admission control: workspaces with their limits, keys, and the
 * application of a new configuration.
 */
#include "pistachiorack/admit.h"

#include <stdlib.h>
#include <string.h>

#include "pistachiorack/error.h"

int pr_admit_init(pr_admit_t *admit, const pr_admit_options_t *options)
{
	memset(admit, 0, sizeof(*admit));
	if (options->version != PR_ADMIT_OPTIONS_VERSION ||
	    options->concurrency_min < 1 ||
	    options->concurrency_max < options->concurrency_min)
		return pr_error_set(PR_EINVALID, "invalid admission options");
	admit->options = *options;
	admit->concurrency = options->concurrency;
	admit->hosts = 1;
	admit->service_time = PR_USEC_PER_SEC;
	admit->first_token_objective = PR_USEC_PER_SEC;
	return 0;
}

static void free_workspaces(pr_admit_workspace_t *workspaces,
			    unsigned int count)
{
	for (unsigned int i = 0; workspaces && i < count; i++)
		free(workspaces[i].name);
	free(workspaces);
}

void pr_admit_finish(pr_admit_t *admit)
{
	free_workspaces(admit->workspaces, admit->workspaces_count);
	free(admit->keys);
	memset(admit, 0, sizeof(*admit));
}

int pr_admit_find(const pr_admit_t *admit, pr_slice_t name)
{
	for (unsigned int i = 0; i < admit->workspaces_count; i++)
		if (pr_slice_equal(pr_slice_of(admit->workspaces[i].name),
				   name))
			return (int)i;
	return pr_error_set(PR_ENOTFOUND, "unknown workspace %.*s",
			    (int)name.len, name.ptr ? name.ptr : "");
}

static int parse_key(uint8_t out[PR_SHA256_SIZE], const char *hex)
{
	static const char digits[] = "0123456789abcdef";

	if (strlen(hex) != PR_SHA256_HEX_SIZE - 1)
		return pr_error_set(PR_EINVALID,
				    "key is not a SHA-256 of 64 hex digits");
	for (size_t i = 0; i < PR_SHA256_SIZE; i++) {
		const char *high = strchr(digits, hex[2 * i]);
		const char *low = strchr(digits, hex[2 * i + 1]);

		if (!high || !low)
			return pr_error_set(PR_EINVALID,
					    "key has a character that is not a "
					    "lower-case hex digit");
		out[i] = (uint8_t)((high - digits) << 4 | (low - digits));
	}
	return 0;
}

static int parse_keys(const pr_fleet_t *fleet, pr_admit_key_t **keys,
		      unsigned int *count)
{
	unsigned int total = 0;

	for (unsigned int i = 0; i < fleet->workspaces_count; i++)
		total += fleet->workspaces[i].keys_count;
	*count = 0;
	*keys = calloc(total + 1, sizeof(**keys));
	if (!*keys)
		return pr_error_set(PR_ENOMEM,
				    "out of memory for workspace keys");
	for (unsigned int i = 0; i < fleet->workspaces_count; i++) {
		const pr_workspace_t *config = &fleet->workspaces[i];

		for (unsigned int j = 0; j < config->keys_count; j++) {
			pr_admit_key_t *key = &(*keys)[(*count)++];

			key->workspace = i;
			if (parse_key(key->hash, config->keys[j])) {
				free(*keys);
				*keys = NULL;
				return PR_EINVALID;
			}
		}
	}
	return 0;
}

static void set_bucket_limits(pr_admit_workspace_t *workspace,
			      const pr_limits_t *limits)
{
	workspace->buckets[PR_ADMIT_REQUESTS].limit = limits->requests_per_s;
	workspace->buckets[PR_ADMIT_TOKENS].limit = limits->tokens_per_s;
	workspace->buckets[PR_ADMIT_IN_FLIGHT].limit = limits->in_flight;
}

/* Fills the rate buckets of a new workspace with one second's worth of this
 * host's share of the limit. */
static void init_buckets(pr_admit_t *admit, pr_admit_workspace_t *workspace,
			 pr_usec_t now)
{
	for (unsigned int i = 0; i < PR_ADMIT_IN_FLIGHT; i++) {
		workspace->buckets[i].tokens =
			workspace->buckets[i].limit / admit->hosts;
		workspace->buckets[i].refilled_at = now;
	}
}

int pr_admit_configure(pr_admit_t *admit, const pr_fleet_t *fleet,
		       pr_usec_t now)
{
	pr_admit_workspace_t *list =
		calloc(fleet->workspaces_count + 1, sizeof(*list));
	pr_admit_key_t *keys = NULL;
	unsigned int keys_count;
	int rc = parse_keys(fleet, &keys, &keys_count);

	for (unsigned int i = 0; list && !rc && i < fleet->workspaces_count;
	     i++) {
		const pr_workspace_t *config = &fleet->workspaces[i];
		pr_slice_t name = pr_slice_of(config->name);
		const pr_exception_t *exception =
			pr_fleet_exception(fleet, name);
		int old = pr_admit_find(admit, name);

		if (old >= 0)
			list[i] = admit->workspaces[old];
		else
			list[i].last_request_at = -PR_USEC_PER_SEC;
		list[i].name = strdup(config->name);
		list[i].weight = config->weight ? config->weight : 1;
		set_bucket_limits(&list[i], exception && exception->limits
						    ? exception->limits
						    : &fleet->defaults.limits);
		if (old < 0)
			init_buckets(admit, &list[i], now);
		if (!list[i].name)
			rc = pr_error_set(PR_ENOMEM,
					  "out of memory for a workspace name");
	}
	if (!list || rc) {
		free_workspaces(list, fleet->workspaces_count);
		free(keys);
		return rc ? rc
			  : pr_error_set(PR_ENOMEM,
					 "out of memory for workspaces");
	}
	free_workspaces(admit->workspaces, admit->workspaces_count);
	free(admit->keys);
	admit->workspaces = list;
	admit->workspaces_count = fleet->workspaces_count;
	admit->keys = keys;
	admit->keys_count = keys_count;
	admit->active_weight_until = 0;
	if (fleet->defaults.first_token_ms)
		admit->first_token_objective =
			(pr_usec_t)fleet->defaults.first_token_ms *
			PR_USEC_PER_MSEC;
	/* Requests of removed workspaces leave the total now: pr_admit_end()
	 * cannot subtract them without their workspace. */
	admit->in_flight = 0;
	for (unsigned int i = 0; i < admit->workspaces_count; i++)
		for (unsigned int p = 0; p < PR_ADMIT_PRIORITIES; p++)
			admit->in_flight += list[i].in_flight[p];
	return 0;
}

void pr_admit_set_hosts(pr_admit_t *admit, unsigned int hosts)
{
	admit->hosts = hosts ? hosts : 1;
}

int pr_admit_set_share(pr_admit_t *admit, pr_slice_t name,
		       pr_admit_limit_t limit, double share, pr_usec_t until)
{
	int index = pr_admit_find(admit, name);

	if (index < 0)
		return index;
	admit->workspaces[index].buckets[limit].granted_share = share;
	admit->workspaces[index].buckets[limit].granted_until = until;
	return 0;
}

int pr_admit_authenticate(const pr_admit_t *admit, pr_slice_t authorization)
{
	uint8_t hash[PR_SHA256_SIZE];
	int found = -1;

	if (!pr_slice_starts_with(authorization, PR_SLICE("Bearer ")) ||
	    authorization.len <= 7)
		return pr_error_set(PR_EDENIED,
				    "Authorization header has no bearer key");
	pr_sha256(hash, pr_slice(authorization.ptr + 7, authorization.len - 7));
	/* Always compares all keys and selects the match without a branch: the
	 * time must not depend on which key matches. */
	for (unsigned int i = 0; i < admit->keys_count; i++) {
		bool equal = pr_equal_constant_time(admit->keys[i].hash, hash,
						    sizeof(hash));
		int mask = -(int)equal;

		found = (found & ~mask) |
			((int)admit->keys[i].workspace & mask);
	}
	if (found < 0)
		return pr_error_set(PR_EDENIED, "unknown key");
	return found;
}
