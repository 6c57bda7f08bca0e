/* The model of the world: quality, confidence, price and latency of answers. */
#include "replay/replay.h"

#include <math.h>
#include <string.h>

#include "pistachiorack/hash.h"

/* Share of requests whose difficulty is the same for all versions; on the
 * others a version's success is independent of the others'. */
#define SHARED_DIFFICULTY 0.6
#define BAD_BY            0.02

double rp_unit(const rp_trace_t *trace, size_t request, uint64_t salt)
{
	uint64_t words[3] = { trace->seed, request, salt };

	return (double)(pr_hash64(words, sizeof(words), 3) >> 11) * 0x1p-53;
}

double rp_quality(const rp_trace_t *trace, int version, int request_class,
		  int workspace, double at_s)
{
	double quality = trace->versions[version].quality[request_class];

	for (size_t i = 0; i < trace->shifts_count; i++) {
		const rp_shift_t *shift = &trace->shifts[i];
		double part = 1;

		if (shift->version != version || at_s < shift->at_s ||
		    (shift->request_class >= 0 &&
		     shift->request_class != request_class) ||
		    (shift->workspace >= 0 && shift->workspace != workspace))
			continue;
		if (shift->over_s > 0)
			part = fmin((at_s - shift->at_s) / shift->over_s, 1);
		quality += part * shift->delta;
	}
	return fmin(fmax(quality, 0.01), 0.999);
}

bool rp_good(const rp_trace_t *trace, size_t request, int version)
{
	const rp_request_t *r = &trace->requests[request];
	uint64_t salt = 16 * (uint64_t)version;
	double quality = rp_quality(trace, version, r->request_class,
				    r->workspace, r->at_s);

	if (rp_unit(trace, request, salt + 1) < SHARED_DIFFICULTY)
		return r->difficulty < quality;
	return rp_unit(trace, request, salt + 2) < quality;
}

double rp_confidence(const rp_trace_t *trace, size_t request, int version,
		     bool good)
{
	double u = rp_unit(trace, request, 16 * (uint64_t)version + 3);

	if (!trace->versions[version].confidence)
		return -1;
	return good ? pow(u, 1 / 4.0) : 1 - pow(1 - u, 1 / 1.5);
}

double rp_price(const rp_trace_t *trace, size_t request, int version)
{
	const rp_request_t *r = &trace->requests[request];
	const rp_version_t *v = &trace->versions[version];

	return ((double)r->tokens_in * v->price_in +
		(double)r->tokens_out * v->price_out) /
	       1000;
}

double rp_latency(const rp_trace_t *trace, size_t request, int version)
{
	double u = rp_unit(trace, request, 16 * (uint64_t)version + 4);

	return trace->versions[version].answer_s * (0.7 + 0.6 * u);
}

bool rp_is_bad(const rp_trace_t *trace, int version, int workspace, double at_s)
{
	const rp_version_t *v = &trace->versions[version];
	int replaced = rp_find_version(trace, v->model, v->replaces);

	if (replaced < 0)
		return false;
	for (size_t c = 0; c < trace->classes_count; c++)
		if (rp_quality(trace, version, (int)c, workspace, at_s) <
		    rp_quality(trace, replaced, (int)c, workspace, at_s) -
			    BAD_BY)
			return true;
	return false;
}
