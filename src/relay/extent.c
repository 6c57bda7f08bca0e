#include "relay/extent.h"

static uint64_t later(uint64_t a, uint64_t b)
{
	return a > b ? a : b;
}

static uint64_t earlier(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

uint64_t pr_extent_complete(const pr_extent_t *extent)
{
	return later(extent->newest, extent->version);
}

uint64_t pr_extent_last(const pr_extent_t *extent)
{
	return later(extent->newest, extent->base);
}

void pr_extent_add(pr_extent_t *extent, uint64_t version)
{
	extent->newest = later(extent->newest, version);
}

void pr_extent_advance(pr_extent_t *extent, uint64_t version)
{
	extent->version = later(extent->version, version);
}

void pr_extent_read(pr_extent_t *extent, uint64_t version, bool first)
{
	extent->version = version;
	extent->newest = earlier(extent->newest, version);
	if (first)
		extent->base = version;
}

pr_announced_t pr_extent_announce(const pr_extent_t *extent, bool reads_store)
{
	pr_announced_t announced = { extent->newest, extent->version };

	if (extent->newest >= extent->base)
		return announced;
	if (reads_store)
		announced.newest = extent->base;
	else
		announced.version = extent->newest;
	return announced;
}

void pr_extent_adopt(pr_extent_t *extent, const pr_announced_t *relay,
		     bool paused)
{
	if (relay->newest > pr_extent_complete(extent))
		return;
	if (relay->version >= extent->base) {
		extent->base = earlier(extent->base, relay->newest);
		extent->newest = later(extent->newest, relay->newest);
	}
	if (paused)
		pr_extent_advance(extent, relay->version);
}

bool pr_extent_has_gap(const pr_extent_t *extent, const pr_announced_t *relay)
{
	return later(relay->newest, relay->version) < extent->base;
}

void pr_extent_close_gap(pr_extent_t *extent, const pr_announced_t *relay)
{
	extent->base = earlier(extent->base, relay->newest);
}
