/**
 * Evidence of a load test: a few upstreams of a new version get requests up to
 * a high load, since a version may fail under load only. The test must show
 * that most answers at a high load are good before all traffic moves to the
 * version.
 */
#ifndef PR_TRANSITION_LOAD_TEST_H
#define PR_TRANSITION_LOAD_TEST_H

#include <stdbool.h>
#include <stdint.h>

/** Counts of the requests of a load test. */
typedef struct pr_load_test_tally_t {
	/** Attempts that were sent, and those of them that ended. */
	uint32_t begun, ended;
	/** Attempts sent at a high load that were answered or failed, and the
	 *  failed ones among them. */
	uint32_t loaded, loaded_bad;
} pr_load_test_tally_t;

/** Add the counts of part to sum. */
void pr_load_test_tally_add(pr_load_test_tally_t *sum,
			    const pr_load_test_tally_t *part);

/** @return number of attempts in flight */
uint32_t pr_load_test_in_flight(const pr_load_test_tally_t *tally);
/** @return true when the attempts in flight take half of an upstream's slots or
 *	   more */
bool pr_load_test_is_load_high(const pr_load_test_tally_t *tally,
			       uint32_t slots);
/**
 * @param old_bad_rate rate of bad responses of the old version
 * @return true when responses at a high load are shown to fail more often
 */
bool pr_load_test_is_bad(const pr_load_test_tally_t *tally,
			 double old_bad_rate);
/** @return true when most responses at a high load are shown to be good */
bool pr_load_test_is_good(const pr_load_test_tally_t *tally,
			  double old_bad_rate);
/** @return true when responses at a high load failed about as often as those of
 *	   the old version; for the end of a test that was too short for
 *	   pr_load_test_is_good() */
bool pr_load_test_is_good_at_end(const pr_load_test_tally_t *tally,
				 double old_bad_rate);
/**
 * @return true when the requests of the service are too few to bring one
 *	   upstream to a high load: the number in flight no longer grows, and
 *	   few requests were sent at a high load
 */
bool pr_load_test_is_load_out_of_reach(const pr_load_test_tally_t *tally);

#endif
