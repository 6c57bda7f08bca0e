/* Evaluation of a load test by sequential tests of the rate of failures. */
#include "transition/load_test.h"

#include <math.h>

#include "pistachiorack/sequential.h"

/* Load, as a part of the slots, from which on it counts as high. */
#define HIGH_LOAD 0.5
/* Rate of failures at a high load that a good version may have. */
#define NORMAL_BAD_RATE 0.02
/* Minimum number of failures for a withdrawal. */
#define BAD_MIN 5
/* A good version reaches this natural logarithm of the evidence for a higher
 * rate at most once in a thousand orders. */
#define BAD_EVIDENCE_LOG 6.9
/* A version is good when its rate of failures is shown to exceed that of the
 * old version by less than this. One with a higher rate is found good at most
 * once in twenty orders. */
#define GOOD_RATE_MARGIN  0.15
#define GOOD_EVIDENCE_LOG 3.0
/* At the end of a test that was too short to show that, a version is accepted
 * with this number of responses at a high load, when their rate of failures
 * exceeds that of the old version by no more than this. */
#define LOADED_MIN_AT_END       14
#define GOOD_RATE_MARGIN_AT_END 0.05
/* The number of requests in flight no longer grows once this multiple of it has
 * ended: the test has lasted for several times as long as a request. */
#define ENDED_PER_IN_FLIGHT 2
/* A high load is out of reach when at most this part of the requests was sent
 * at one. */
#define LOADED_PART_MAX 0.25

void pr_load_test_tally_add(pr_load_test_tally_t *sum,
			    const pr_load_test_tally_t *part)
{
	sum->begun += part->begun;
	sum->ended += part->ended;
	sum->loaded += part->loaded;
	sum->loaded_bad += part->loaded_bad;
}

uint32_t pr_load_test_in_flight(const pr_load_test_tally_t *tally)
{
	/* The counts of hosts arrive at different times. */
	return tally->begun > tally->ended ? tally->begun - tally->ended : 0;
}

bool pr_load_test_is_load_high(const pr_load_test_tally_t *tally,
			       uint32_t slots)
{
	return pr_load_test_in_flight(tally) >= HIGH_LOAD * slots;
}

bool pr_load_test_is_bad(const pr_load_test_tally_t *tally, double old_bad_rate)
{
	return tally->loaded_bad >= BAD_MIN &&
	       pr_sequential_evidence_above(
		       tally->loaded, tally->loaded_bad,
		       fmax(NORMAL_BAD_RATE, old_bad_rate)) >= BAD_EVIDENCE_LOG;
}

bool pr_load_test_is_good(const pr_load_test_tally_t *tally,
			  double old_bad_rate)
{
	double limit = old_bad_rate + GOOD_RATE_MARGIN;

	return pr_sequential_evidence_below(tally->loaded, tally->loaded_bad,
					    limit) >= GOOD_EVIDENCE_LOG;
}

bool pr_load_test_is_good_at_end(const pr_load_test_tally_t *tally,
				 double old_bad_rate)
{
	return tally->loaded >= LOADED_MIN_AT_END &&
	       tally->loaded_bad <=
		       (old_bad_rate + GOOD_RATE_MARGIN_AT_END) * tally->loaded;
}

bool pr_load_test_is_load_out_of_reach(const pr_load_test_tally_t *tally)
{
	return tally->loaded <= LOADED_PART_MAX * tally->begun &&
	       tally->ended >=
		       ENDED_PER_IN_FLIGHT * pr_load_test_in_flight(tally);
}
