/** Functions that the files of this folder share. */
#ifndef PR_QUARANTINE_INTERNAL_H
#define PR_QUARANTINE_INTERNAL_H

#include "quarantine/quarantine.h"

/** Time in which the evidence against a part lasts without a further crash,
 *  milliseconds. */
#define PR_SUSPICION_MS INT64_C(600000)

/** @return time of the release of a part on the first host */
int64_t pr_quarantine_end_ms(const pr_suspect_t *suspect);
/** @return time of its release on this host */
int64_t pr_quarantine_release_ms(const pr_quarantine_t *quarantine,
				 const pr_suspect_t *suspect);
/** @return true while requests with the part are refused */
bool pr_quarantine_is_in_force(const pr_quarantine_t *quarantine,
			       const pr_quarantine_entry_t *entry,
			       int64_t now_ms);
/** @return the entry of a part, or NULL */
pr_quarantine_entry_t *pr_quarantine_find(pr_quarantine_t *quarantine,
					  uint32_t service, uint64_t part);
/** @return true when the service answered enough other requests while the part
 *	   has been suspected */
bool pr_quarantine_has_others(const pr_quarantine_entry_t *entry);
/** @return time of the last answer of an upstream, or 0 */
int64_t pr_quarantine_alive_ms(const pr_quarantine_t *quarantine,
			       uint32_t upstream);
/**
 * Note that other hosts have to learn of an entry.
 *
 * @param tell_relays the relays too, not only the hosts that report to this one
 */
void pr_quarantine_mark_changed(pr_quarantine_entry_t *entry, bool tell_relays);

#endif
