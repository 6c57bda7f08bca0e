#include "relay/extent.h"

pr_revision_t pr_extent_complete(const pr_extent_t *extent)
{
	return pr_revision_later(extent->newest, extent->version);
}

pr_revision_t pr_extent_last(const pr_extent_t *extent)
{
	return pr_revision_later(extent->newest, extent->base);
}

void pr_extent_add(pr_extent_t *extent, pr_revision_t version)
{
	extent->newest = pr_revision_later(extent->newest, version);
}

void pr_extent_advance(pr_extent_t *extent, pr_revision_t version)
{
	extent->version = pr_revision_later(extent->version, version);
}

void pr_extent_read(pr_extent_t *extent, pr_revision_t version, bool first)
{
	extent->version = version;
	extent->newest = pr_revision_earlier(extent->newest, version);
	if (first)
		extent->base = version;
}

void pr_extent_enter_era(pr_extent_t *extent, pr_revision_t newest,
			 pr_revision_t version)
{
	extent->version = version;
	extent->newest = pr_revision_earlier(newest, version);
	extent->base = (pr_revision_t){ .era = version.era };
}

pr_announced_t pr_extent_announce(const pr_extent_t *extent, bool reads_store)
{
	pr_announced_t announced = { extent->newest, extent->version };

	if (!pr_revision_is_after(extent->base, extent->newest))
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
	if (pr_revision_is_after(relay->newest, pr_extent_complete(extent)))
		return;
	if (!pr_revision_is_after(extent->base, relay->version)) {
		extent->base = pr_revision_earlier(extent->base, relay->newest);
		extent->newest =
			pr_revision_later(extent->newest, relay->newest);
	}
	if (paused)
		pr_extent_advance(extent, relay->version);
}

bool pr_extent_has_gap(const pr_extent_t *extent, const pr_announced_t *relay)
{
	return pr_revision_is_after(
		extent->base, pr_revision_later(relay->newest, relay->version));
}

void pr_extent_close_gap(pr_extent_t *extent, const pr_announced_t *relay)
{
	extent->base = pr_revision_earlier(extent->base, relay->newest);
}
