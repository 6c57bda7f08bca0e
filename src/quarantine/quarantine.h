/**
 * Quarantine of prompt parts that crash upstreams.
 *
 * A part of a prompt may crash every upstream that starts to answer on it.
 * Requests with such a part come to many hosts, each of which sees few of the
 * crashes. So hosts exchange what they know: which parts were in requests that
 * broke off before they had an answer, and on which parts answers began. Both
 * can be merged in any order and any number of times with the same result.
 *
 * A part is quarantined when different requests with it crashed several
 * upstreams and no answer on it began, while other requests of the service were
 * answered. The crashes that a quarantined part explains do not count against
 * other parts, and every answer on a part clears it. After the quarantine one
 * host after the other sends one request with the part; a crash puts it back.
 * Where the crashes left the service without any answers, the quarantine has no
 * length: it goes on to those single requests at once.
 */
#ifndef PR_QUARANTINE_QUARANTINE_H
#define PR_QUARANTINE_QUARANTINE_H

#include "quarantine/suspect.h"
#include "relay/audience.h"

#include <stddef.h>

/** Most parts that are under suspicion or in quarantine. */
#define PR_QUARANTINE_MAX 512
/** Parts whose last answer is remembered; a power of two. */
#define PR_QUARANTINE_ANSWERED_MAX 8192
/** Upstreams whose last answer is remembered; a power of two. */
#define PR_QUARANTINE_ALIVE_MAX 1024
/** Answers to other requests after which a service counts as up beside a
 * suspected part. */
#define PR_QUARANTINE_OTHERS_MIN 5
/** Services whose answers are counted; a power of two. */
#define PR_QUARANTINE_SERVICES_MAX 64

/** A suspect on this host. */
typedef struct pr_quarantine_entry_t {
	pr_suspect_t suspect;
	/** Answers of this host to other requests of the service while the
	 *  part has been suspected, and the times from which this host has
	 *  known of answers of any host, and of enough of them; 0 for none. */
	uint32_t other_answers;
	int64_t other_since_ms, others_enough_ms;
	/** The other hosts have not been told of all bits in suspect.others. */
	bool others_unsent;
	/** The service answered requests until the part was suspected. */
	bool was_service_up;
	/** The quarantine is not in force: a likelier part of the same requests
	 *  is quarantined and crashed all upstreams that this one did. */
	bool overruled;
	/** Evidence as of the last judgement: crashes that no quarantined part
	 *  explains and that all hosts know of, and the time of the first one
	 *  without an explanation. */
	unsigned crashes;
	int64_t first_ms;
	/** How often the suspect is still to be sent, by audience. */
	uint32_t sends_left[PR_AUDIENCES_COUNT];
	/** Number of the message in which it was sent last, by audience. */
	uint32_t sent_at[PR_AUDIENCES_COUNT];
	/** Begin of the quarantine that the saved list has for the part; 0 when
	 *  it lacks the part. */
	int64_t saved_ms;
	/** The part was in quarantine at the last pr_quarantine_next_change().
	 */
	bool was_in_force;
} pr_quarantine_entry_t;

/** Zeroed before first use. */
typedef struct pr_quarantine_t {
	pr_quarantine_entry_t entries[PR_QUARANTINE_MAX];
	size_t count;
	/** Indexes of the entries that explain crashes, for a judgement. */
	uint16_t explaining[PR_QUARANTINE_MAX];
	size_t explaining_count;
	/** This host leaves verdicts to the relays: it learns the evidence of
	 *  others later than they do, so that it may judge by its own. */
	bool defers;
	/** Rank of this host, from 0, in the order in which hosts release
	 *  parts. */
	uint32_t rank;
	/** Number of suspects that were sent. */
	uint32_t sends;
	/** Index of the entry that was refreshed last. */
	size_t refresh_at;
	/** Last answers on parts, in sets of a few, and of upstreams, where
	 *  those with the same slot displace each other. */
	struct {
		uint64_t part;
		int64_t ms;
	} answered[PR_QUARANTINE_ANSWERED_MAX];
	struct {
		uint32_t upstream;
		int64_t ms;
	} alive[PR_QUARANTINE_ALIVE_MAX];
	/** Answers of services without a long pause between them, and the time
	 *  of the last one. */
	struct {
		uint32_t service;
		uint32_t answers;
		int64_t ms;
	} services[PR_QUARANTINE_SERVICES_MAX];
} pr_quarantine_t;

/** The prompt of a request. */
typedef struct pr_quarantine_prompt_t {
	/** Hash of the service. */
	uint32_t service;
	/** Shared parts. */
	const uint64_t *parts;
	size_t parts_count;
	/** Hash of what the request asks for, which is the same when a caller
	 *  sends it again; 0 when it is not known. It is a suspect like the
	 *  parts: a request may crash upstreams by itself. */
	uint64_t content;
	/** Hash of the request. */
	uint64_t request;
} pr_quarantine_prompt_t;

/**
 * Record that an upstream broke a request off before its answer had begun.
 *
 * @param upstream tag of the upstream's incarnation
 */
void pr_quarantine_record_crash(pr_quarantine_t *quarantine,
				const pr_quarantine_prompt_t *prompt,
				uint32_t upstream, int64_t now_ms);
/** Record that an upstream began to answer a request. */
void pr_quarantine_record_answer(pr_quarantine_t *quarantine,
				 const pr_quarantine_prompt_t *prompt,
				 int64_t now_ms);
/** Record that an upstream sent anything, whatever it was: it has not crashed.
 */
void pr_quarantine_record_alive(pr_quarantine_t *quarantine, uint32_t upstream,
				int64_t now_ms);
/**
 * Merge what another host knows of a part.
 *
 * @param tell_relays the other host reports to this relay, which has to tell
 *	  the other relays
 */
void pr_quarantine_merge(pr_quarantine_t *quarantine,
			 const pr_suspect_t *suspect, bool tell_relays);
/** Quarantine the parts against which the evidence suffices. */
void pr_quarantine_judge(pr_quarantine_t *quarantine, int64_t now_ms);
/**
 * Find a part whose quarantine began or ended on this host, for the log. Call
 * it until it returns NULL.
 *
 * @param in_force set to true when the quarantine began
 */
const pr_suspect_t *pr_quarantine_next_change(pr_quarantine_t *quarantine,
					      int64_t now_ms, bool *in_force);
/**
 * Decide whether a request may be sent to an upstream. After the quarantine of
 * a part one request with it may, and the next one only once the outcome is
 * known or has not come for a time.
 *
 * @param is_repeat the request was sent before; it is no such request then
 * @param until_ms set to the time at which a request with the part may be sent
 *	  again when the result is false; may be NULL
 * @return false when a part of the prompt is in quarantine
 */
bool pr_quarantine_admits(const pr_quarantine_t *quarantine,
			  const pr_quarantine_prompt_t *prompt, bool is_repeat,
			  int64_t now_ms, int64_t *until_ms);
/** @return true when a part of the prompt was quarantined and not answered
 *	   since: an admitted request with it is not repeated, and its outcome
 *	   has to be awaited */
bool pr_quarantine_is_awaited(const pr_quarantine_t *quarantine,
			      const pr_quarantine_prompt_t *prompt);
/** Note that an admitted request was sent. */
void pr_quarantine_note_sent(pr_quarantine_t *quarantine,
			     const pr_quarantine_prompt_t *prompt,
			     int64_t now_ms);
/** Mark some of the parts that are or were in quarantine as changed, in
 *  rotation, for hosts that started after the verdict. */
void pr_quarantine_refresh(pr_quarantine_t *quarantine, int64_t now_ms);
/**
 * List suspects that changed and have not been sent to the audience often
 * enough, as many as may be sent at a time: first the quarantined
 * ones, then in turn those that were cleared and those with the most evidence.
 *
 * @return number of suspects in out
 */
size_t pr_quarantine_take_changes(pr_quarantine_t *quarantine,
				  pr_audience_t audience, pr_suspect_t *out,
				  size_t max);

/**
 * List the parts in quarantine, to save them: a fleet that starts as a whole
 * would have to learn them again from crashes.
 *
 * @return number of suspects in out; beyond max, the newest quarantines
 */
size_t pr_quarantine_list(const pr_quarantine_t *quarantine, int64_t now_ms,
			  pr_suspect_t *out, size_t max);
/** Merge the saved list, and note what it has. */
void pr_quarantine_load(pr_quarantine_t *quarantine,
			const pr_suspect_t *suspects, size_t count);
/**
 * @param max as for pr_quarantine_list()
 * @return false when the saved list lacks a part, or has one that was released
 *	   by an answer
 */
bool pr_quarantine_is_saved(const pr_quarantine_t *quarantine, int64_t now_ms,
			    size_t max);

#endif
