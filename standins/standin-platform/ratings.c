/*
 * The rating service. A rating appears rating_delay_ms after it was asked for.
 * Its score depends on the seed and the request only, so asking twice gives
 * the same score.
 */
#include <stdlib.h>

#include "platform.h"

#define RATINGS_KEPT   200000
#define PENDING_MAX    100000
#define GET_LIMIT      1000
#define QUALITY_FIRST  0.9
#define DELAY_FIRST_MS 1000

typedef struct pending_t {
	pr_timer_t timer;
	platform_t *platform;
	json_t *rating;
} pending_t;

int ratings_init(ratings_t *ratings)
{
	ratings->quality = json_object();
	ratings->quality_default = QUALITY_FIRST;
	ratings->delay_ms = DELAY_FIRST_MS;
	return standin_record_init(&ratings->ring, RATINGS_KEPT);
}

static void on_rated(pr_timer_t *timer, pr_usec_t now)
{
	pending_t *pending = timer->data;
	ratings_t *ratings = &pending->platform->ratings;

	ratings->pending--;
	standin_record_add(&ratings->ring, pending->rating);
	free(pending);
}

static void ask(standin_exchange_t *exchange, platform_t *platform)
{
	ratings_t *ratings = &platform->ratings;
	pending_t *pending;

	if (!json_is_object(exchange->json) ||
	    !standin_field(exchange, "request", NULL) ||
	    !standin_field(exchange, "model", NULL) ||
	    !standin_field(exchange, "version", NULL)) {
		standin_answer_error(exchange, 400, "bad_request", "not_run");
		return;
	}
	standin_record_count(&platform->standin.record, "ratings_asked");
	if (ratings->off || ratings->pending >= PENDING_MAX) {
		standin_answer_error(exchange, 503, "ratings_off", "not_run");
		return;
	}
	pending = calloc(1, sizeof(*pending));
	if (!pending) {
		standin_answer_error(exchange, 503, "no_memory", "not_run");
		return;
	}
	pending->platform = platform;
	pending->timer.data = pending;
	pending->rating = json_deep_copy(exchange->json);
	json_object_set_new(
		pending->rating, "score",
		json_real(score_draw(ratings->quality, ratings->quality_default,
				     platform->standin.options.seed,
				     exchange->json)));
	ratings->pending++;
	standin_after(&platform->standin, &pending->timer,
		      ratings->delay_ms * PR_USEC_PER_MSEC, 0, on_rated);
	standin_answer(exchange, 202, json_pack("{s:b}", "accepted", 1));
}

static void list(standin_exchange_t *exchange, const ratings_t *ratings)
{
	json_t *all;
	json_t *page;
	size_t limit = (size_t)standin_query_int(exchange, "limit", GET_LIMIT);

	if (ratings->off) {
		standin_answer_error(exchange, 503, "ratings_off", "not_run");
		return;
	}
	all = standin_record_json(
		&ratings->ring,
		(uint64_t)standin_query_int(exchange, "after", 0), limit);
	page = json_object_get(all, "entries");
	standin_answer(exchange, 200, json_pack("{s:O}", "ratings", page));
	json_decref(all);
}

void ratings_handle(standin_exchange_t *exchange, platform_t *platform)
{
	if (standin_is(exchange, "POST", "/v1/ratings"))
		ask(exchange, platform);
	else
		list(exchange, &platform->ratings);
}

void ratings_control(ratings_t *ratings, const json_t *fields)
{
	const json_t *value = json_object_get(fields, "quality");

	if (json_is_object(value))
		json_object_update(ratings->quality, (json_t *)value);
	value = json_object_get(fields, "quality_default");
	if (json_is_number(value))
		ratings->quality_default = json_number_value(value);
	value = json_object_get(fields, "rating_delay_ms");
	if (json_is_integer(value))
		ratings->delay_ms = (uint32_t)json_integer_value(value);
	value = json_object_get(fields, "ratings_off");
	if (json_is_boolean(value))
		ratings->off = json_is_true(value);
}
