/**
 * Which changes of a table of the store a host knows.
 *
 * A full read returns the rows that exist, but not the keys that were removed
 * before it. A host that has just made its first one therefore knows the
 * content of the table as of a version, and none of the removals before that
 * version. If it announced that version as it is, hosts that have the same
 * newest row would take it over, and never learn of a removal that neither side
 * has seen.
 */
#ifndef PR_RELAY_EXTENT_H
#define PR_RELAY_EXTENT_H

#include <stdbool.h>
#include <stdint.h>

#include "store/revision.h"

/** Zeroed before first use. */
typedef struct pr_extent_t {
	/** Version of the newest change that is known. */
	pr_revision_t newest;
	/** Version of the store up to which the content of the table is known;
	 *  a feed call continues from it. */
	pr_revision_t version;
	/** All changes after this version are known, removals included. It is
	 *  above the newest change from a first full read until a removal
	 *  before that read is known, or certain not to exist. */
	pr_revision_t base;
} pr_extent_t;

/** State of a table as a relay announces it: it knows all changes up to the
 *  version, and there is none between the newest one and the version. */
typedef struct pr_announced_t {
	pr_revision_t newest, version;
} pr_announced_t;

/** @return version up to which the host knows the content of the table */
pr_revision_t pr_extent_complete(const pr_extent_t *extent);
/** @return version which another host must have reached, so that the changes
 *	   that this host learns next follow without a gap */
pr_revision_t pr_extent_last(const pr_extent_t *extent);
/** Note a change that the store or a relay has sent. */
void pr_extent_add(pr_extent_t *extent, pr_revision_t version);
/** Note the version of a full read, or of a feed call's response. */
void pr_extent_advance(pr_extent_t *extent, pr_revision_t version);
/**
 * Note the end of a full read.
 *
 * @param version version of its first page; later pages may have rows that are
 *	  newer, which the feed then returns once more
 * @param first the host did not know the table before
 */
void pr_extent_read(pr_extent_t *extent, pr_revision_t version, bool first);
/**
 * Note that the table was read as a whole in a new era. The keys that it lacks
 * are known as removed, so no change of the era before the read is unknown.
 *
 * @param newest version of the newest row of the read
 * @param version of the read
 */
void pr_extent_enter_era(pr_extent_t *extent, pr_revision_t newest,
			 pr_revision_t version);
/**
 * State of the table for other hosts.
 *
 * @param reads_store this host reads the store for others. Its unknown
 *	  removals are announced as a change, so that the others read them;
 *	  those of another host are not, since the reader knows them.
 */
pr_announced_t pr_extent_announce(const pr_extent_t *extent, bool reads_store);
/**
 * Take over what a relay knows, if this host has the relay's newest change.
 *
 * @param paused this host has no feed call of its own under way
 */
void pr_extent_adopt(pr_extent_t *extent, const pr_announced_t *relay,
		     bool paused);
/** @return true when the relay may lack a removal that this host does not know
 *	   either */
bool pr_extent_has_gap(const pr_extent_t *extent, const pr_announced_t *relay);
/** Note that this host has read all changes after those of a relay. */
void pr_extent_close_gap(pr_extent_t *extent, const pr_announced_t *relay);

#endif
