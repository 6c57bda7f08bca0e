/**
 * A prompt part that may crash upstreams: the evidence against it.
 */
#ifndef PR_QUARANTINE_SUSPECT_H
#define PR_QUARANTINE_SUSPECT_H

#include <stdbool.h>
#include <stdint.h>

/** Time until all hosts know what one host observed, milliseconds: it is
 * reported to the relays of the zone, then to the other relays, then to their
 * hosts. */
#define PR_REPORT_MS INT64_C(600)

/** An upstream that broke off a request with a part. */
typedef struct pr_crash_t {
	/** Tag of its incarnation. */
	uint32_t upstream;
	/** Time of the crash, and of the newest answer of the upstream before
	 *  it can have started again: after a crash there is none. */
	int64_t at_ms, answer_ms;
} pr_crash_t;

/** Most upstreams that are kept for a part: those that crashed first, and the
 * newest ones. */
#define PR_SUSPECT_CRASHES_MAX 16
/** Words of the set of upstreams whose crashes are not kept. */
#define PR_SUSPECT_DROPPED_WORDS 4

/** Position of a suspect that is no part of a prompt but all that a request
 * asks for. It fits the position's field in messages. */
#define PR_SUSPECT_CONTENT UINT16_MAX

/** What is known of a part; all times by the store's clock, milliseconds. */
typedef struct pr_suspect_t {
	uint64_t part;
	/** Hash of the service whose upstreams crashed. */
	uint32_t service;
	/** Position in the prompt, from 0, or PR_SUSPECT_CONTENT. */
	uint32_t position;
	/** Requests that broke off while the part has been suspected: bit set
	 *  by hash. */
	uint64_t requests;
	pr_crash_t crashes[PR_SUSPECT_CRASHES_MAX];
	uint32_t crashes_count;
	/** Upstreams whose crashes are not kept: bit set by hash. */
	uint64_t dropped[PR_SUSPECT_DROPPED_WORDS];
	/** Other requests of the service that were answered at any host while
	 *  the part has been suspected: bit set by hash. */
	uint32_t others;
	/** First crash while the part has been suspected, and the newest. */
	int64_t since_ms, crash_ms;
	/** Evidence up to this time does not count: an answer on the part
	 *  began. */
	int64_t cleared_ms;
	/** Newest answer on the part that a host reported; 0 for none. */
	int64_t answer_ms;
	/** Begin of the last quarantine, and the number of quarantines; 0 for
	 * one without length. */
	int64_t quarantined_ms;
	uint32_t quarantines;
	/** When a host sent the last request after a quarantine, whose outcome
	 *  the others await; 0 for none. */
	int64_t probe_ms;
} pr_suspect_t;

bool pr_suspect_is_content(const pr_suspect_t *suspect);
/** @return true when there is evidence since the last answer on the part */
bool pr_suspect_is_suspected(const pr_suspect_t *suspect);
/** @return true when no answer on the part began since its quarantine did, or
 *	   shortly before, so that the host of the verdict did not know of it;
 *	   the quarantine may have ended */
bool pr_suspect_is_quarantined(const pr_suspect_t *suspect);
/** @return true when an answer on the part began not long before the first
 *	   crash */
bool pr_suspect_was_answered(const pr_suspect_t *suspect);
/** @return true when the upstream crashed indeed: one that sends something
 *	   afterwards only broke the connection */
bool pr_crash_is_real(const pr_crash_t *crash);
/** Note that the upstream sent something. Long after the crash that shows
 * nothing: one that starts again while the store is away keeps its tag. */
void pr_crash_note_alive(pr_crash_t *crash, int64_t alive_ms);
/**
 * Merge a crash of an upstream, in place of one between the first and the
 * newest ones when there is no room.
 *
 * @return true when the evidence changes
 */
bool pr_suspect_add_crash(pr_suspect_t *suspect, const pr_crash_t *crash);
bool pr_suspect_has_crash(const pr_suspect_t *suspect, uint32_t upstream);
/** @return true when the part crashed the upstream, or, where its crash was not
 *	   kept, may have */
bool pr_suspect_explains(const pr_suspect_t *suspect, const pr_crash_t *crash);
/**
 * @param a_crashes number of crashes that count against a
 * @return true when a is more likely than b to be the part that crashed the
 *	   upstreams
 */
bool pr_suspect_is_likelier(const pr_suspect_t *a, unsigned a_crashes,
			    const pr_suspect_t *b, unsigned b_crashes);

#endif
