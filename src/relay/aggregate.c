/* Aggregation of the reports that hosts send. */
#include "relay/aggregate.h"

#include <stdlib.h>
#include <string.h>

/* Upstream counts older than this no longer describe the upstream. */
#define COUNTS_AGE_MAX (1500 * PR_USEC_PER_MSEC)

pr_host_report_t *pr_host_report_get(pr_host_t *host)
{
	if (!host->report)
		host->report = calloc(1, sizeof(*host->report));
	return host->report;
}

static uint16_t saturating_sum(uint16_t a, uint16_t b)
{
	uint32_t sum = (uint32_t)a + b;

	return sum < UINT16_MAX ? (uint16_t)sum : UINT16_MAX;
}

void pr_upstream_counts_add(pr_upstream_counts_t *counts,
			    const pr_upstream_count_t *count)
{
	size_t least = 0;

	for (size_t i = 0; i < counts->count; i++) {
		pr_upstream_count_t *item = &counts->items[i];

		if (item->tag == count->tag) {
			for (int j = 0; j < 2; j++)
				item->values[j] = saturating_sum(
					item->values[j], count->values[j]);
			return;
		}
		if (item->values[0] < counts->items[least].values[0])
			least = i;
	}
	if (counts->count < PR_UPSTREAM_COUNTS_MAX)
		counts->items[counts->count++] = *count;
	else if (count->values[0] > counts->items[least].values[0])
		counts->items[least] = *count;
}

static void add_report(pr_upstream_counts_t *out, const pr_host_t *host,
		       pr_count_kind_t kind, pr_usec_t now)
{
	const pr_host_report_t *report = host->report;

	if (!report || now - report->upstreams[kind].at > COUNTS_AGE_MAX)
		return;
	for (size_t i = 0; i < report->upstreams[kind].counts.count; i++)
		pr_upstream_counts_add(
			out, &report->upstreams[kind].counts.items[i]);
}

void pr_aggregate_zone_counts(pr_upstream_counts_t *out,
			      const pr_roster_t *roster, const char *zone,
			      pr_count_kind_t kind, pr_usec_t now)
{
	for (size_t i = 0; i < roster->count; i++) {
		if (!strcmp(roster->hosts[i]->zone, zone))
			add_report(out, roster->hosts[i], kind, now);
	}
}

void pr_aggregate_other_zone_counts(pr_upstream_counts_t *out,
				    const pr_roster_t *roster, const char *zone,
				    pr_count_kind_t kind, pr_usec_t now)
{
	for (size_t i = 0; i < roster->count; i++) {
		const pr_host_t *host = roster->hosts[i];

		if (strcmp(host->zone, zone) != 0 || !host->report ||
		    !pr_roster_is_responsive(host, now))
			continue;
		add_report(out, host, kind, now);
		return;
	}
}

static const pr_tallies_t *tallies_of(const pr_host_t *host, size_t index,
				      uint64_t order)
{
	if (!host->report || host->report->transitions[index].order != order)
		return NULL;
	return &host->report->transitions[index].tallies;
}

static void add_tallies(pr_tallies_t *sum, const pr_tallies_t *part)
{
	pr_tally_add(&sum->new, &part->new);
	pr_tally_add(&sum->old, &part->old);
	pr_load_test_tally_add(&sum->load_test, &part->load_test);
}

void pr_aggregate_zone_tallies(pr_tallies_t *out, const pr_roster_t *roster,
			       const char *zone, size_t index, uint64_t order)
{
	for (size_t i = 0; i < roster->count; i++) {
		const pr_host_t *host = roster->hosts[i];
		const pr_tallies_t *part = tallies_of(host, index, order);

		if (part && !strcmp(host->zone, zone))
			add_tallies(out, part);
	}
}

void pr_aggregate_other_zone_tallies(pr_tallies_t *out,
				     const pr_roster_t *roster,
				     const char *zone, size_t index,
				     uint64_t order)
{
	const pr_tallies_t *most = NULL;

	for (size_t i = 0; i < roster->count; i++) {
		const pr_host_t *host = roster->hosts[i];
		const pr_tallies_t *part = tallies_of(host, index, order);

		if (!part || strcmp(host->zone, zone) != 0)
			continue;
		if (!most || part->new.total + part->old.total >
				     most->new.total + most->old.total)
			most = part;
	}
	if (most)
		add_tallies(out, most);
}

static uint32_t subtract_clamped(uint32_t all, uint32_t own)
{
	return all > own ? all - own : 0;
}

static pr_tally_t subtract_tally(const pr_tally_t *all, const pr_tally_t *own)
{
	pr_tally_t tally = *all;

	tally.total = subtract_clamped(all->total, own->total);
	tally.bad = subtract_clamped(all->bad, own->bad);
	tally.timed = subtract_clamped(all->timed, own->timed);
	tally.slow = subtract_clamped(all->slow, own->slow);
	tally.ranked = subtract_clamped(all->ranked, own->ranked);
	tally.slower = subtract_clamped(all->slower, own->slower);
	return tally;
}

static pr_load_test_tally_t subtract_load_test(const pr_load_test_tally_t *all,
					       const pr_load_test_tally_t *own)
{
	return (pr_load_test_tally_t){
		.begun = subtract_clamped(all->begun, own->begun),
		.ended = subtract_clamped(all->ended, own->ended),
		.loaded = subtract_clamped(all->loaded, own->loaded),
		.loaded_bad =
			subtract_clamped(all->loaded_bad, own->loaded_bad),
	};
}

pr_tallies_t pr_aggregate_subtract(const pr_tallies_t *all,
				   const pr_tallies_t *own)
{
	return (pr_tallies_t){
		.new = subtract_tally(&all->new, &own->new),
		.old = subtract_tally(&all->old, &own->old),
		.load_test =
			subtract_load_test(&all->load_test, &own->load_test),
	};
}
