/**
 * Scores of the rating service.
 */
#ifndef STANDIN_SCORE_H
#define STANDIN_SCORE_H

#include <jansson.h>
#include <stdint.h>

/**
 * Score of a request: 1 with the probability of the quality, else 0. It depends
 * on the seed, the request and the version only.
 *
 * @param quality quality by "class/model@version" or "model@version"
 * @param fallback quality of a version that is not listed
 * @param asked the body of `POST /v1/ratings`
 */
double score_draw(const json_t *quality, double fallback, uint64_t seed,
		  const json_t *asked);

#endif
