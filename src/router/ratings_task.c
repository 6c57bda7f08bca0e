/*
 * Ratings task: reads the rating service's feed into policy, roll-outs and the
 * burn report, and bounds the number of ratings that are asked for.
 *
 * Every host reads every rating, so what the fleet asks for decides what each
 * host reads; see docs/decisions/ratings.md.
 */
#include <jansson.h>
#include <math.h>
#include <stdlib.h>

#include "pistachiorack/error.h"
#include "pistachiorack/hash.h"
#include "pistachiorack/log.h"
#include "router/live.h"

#define POLL_EVERY   (2 * PR_USEC_PER_SEC)
#define SEARCH_EVERY (20 * PR_USEC_PER_MSEC)
#define READ_TIMEOUT (2 * PR_USEC_PER_SEC)
#define PAGE_MAX     500
#define PATH_BYTES   64
/* Answers whose rating is awaited; an older one gives way. */
#define ASKED_MAX 4096
/* Ratings that all hosts together read in a second. */
#define FLEET_READS_PER_S 4000.0
#define ASKS_LEAST_PER_S  10.0
#define ASKS_MOST_PER_S   200.0
/* Unused permission to ask is kept for this long. */
#define BURST_S     5.0
#define GOOD_AT     0.5
#define CAUSE_BYTES PR_BURN_CAUSE_NAME

typedef enum feed_state_t {
	/** Looks for a number with no rating after it, by doubling. */
	FEED_DOUBLING,
	/** Narrows between the last rating and that number. */
	FEED_HALVING,
	/** Reads what is new. */
	FEED_FOLLOWING,
} feed_state_t;

typedef struct asked_t {
	uint64_t answer;
	bool final;
} asked_t;

typedef struct pr_ratings_t {
	pr_timer_t tick;
	feed_state_t state;
	/** Highest number that is known to be used. */
	uint64_t cursor;
	/** Number of the running read, and one with no rating after it. */
	uint64_t probe, above;
	bool reading;
	bool down;
	/** Ratings that may be asked for: proven versions, others. */
	double asks[2];
	pr_usec_t asks_at;
	asked_t asked[ASKED_MAX];
	/** Hashes of the last ratings taken, against doubled ones. */
	uint64_t taken[ASKED_MAX];
	uint64_t read, bytes, doubled, malformed;
	uint64_t asks_total, asks_failed, not_asked;
} pr_ratings_t;

static double asks_per_s(const pr_router_t *router)
{
	double hosts = router->live_hosts ? router->live_hosts : 1;
	double fleet = fmin(fmax(FLEET_READS_PER_S / hosts, ASKS_LEAST_PER_S),
			    ASKS_MOST_PER_S);

	return fleet / hosts;
}

bool pr_ratings_allow(pr_router_t *router, bool unproven)
{
	pr_ratings_t *ratings = router->ratings;
	double rate = asks_per_s(router) / 2;
	pr_usec_t now = pr_router_now(router);
	double passed =
		(double)(now - ratings->asks_at) / (double)PR_USEC_PER_SEC;

	ratings->asks_at = now;
	for (int i = 0; i < 2; i++)
		ratings->asks[i] = fmin(ratings->asks[i] + rate * passed,
					fmax(rate * BURST_S, 1));
	if (ratings->asks[unproven] < 1) {
		ratings->not_asked++;
		return false;
	}
	ratings->asks[unproven] -= 1;
	return true;
}

void pr_ratings_asked(pr_router_t *router, uint64_t answer, bool final)
{
	router->ratings->asks_total++;
	router->ratings->asked[answer % ASKED_MAX] =
		(asked_t){ .answer = answer, .final = final };
}

void pr_ratings_ask_failed(pr_router_t *router)
{
	router->ratings->asks_failed++;
}

static pr_slice_t field(const json_t *entry, const char *name)
{
	return pr_slice_of(json_string_value(json_object_get(entry, name)));
}

/* Each answer counts once in the fleet: on the host that asked. */
static void record_quality(pr_router_t *router, const pr_rating_t *rating)
{
	asked_t *asked = &router->ratings->asked[rating->request % ASKED_MAX];
	char workspace[PR_BURN_NAME];
	char cause[CAUSE_BYTES];

	if (asked->answer != rating->request || !asked->final ||
	    pr_slice_copy(workspace, sizeof(workspace), rating->workspace))
		return;
	asked->answer = 0;
	snprintf(cause, sizeof(cause), "version=%.*s@%.*s",
		 (int)rating->model.len, rating->model.ptr,
		 (int)rating->version.len, rating->version.ptr);
	pr_burn_record(&router->burn, pr_router_now(router), workspace,
		       PR_OBJECTIVE_QUALITY, rating->good ? NULL : cause);
}

static bool is_evidence(pr_slice_t request)
{
	pr_slice_t suffix = PR_SLICE(PR_RATING_EVIDENCE);

	return request.len > suffix.len &&
	       pr_slice_equal(pr_slice(request.ptr + request.len - suffix.len,
				       suffix.len),
			      suffix);
}

static void take_rating(pr_router_t *router, const json_t *entry)
{
	pr_ratings_t *ratings = router->ratings;
	const json_t *score = json_object_get(entry, "score");
	pr_slice_t request = field(entry, "request");
	pr_rating_t rating = {
		.workspace = field(entry, "workspace"),
		.request_class = field(entry, "class"),
		.model = field(entry, "model"),
		.version = field(entry, "version"),
		.good = json_number_value(score) >= GOOD_AT,
	};
	pr_outcome_counts_t counts = { 0 };
	uint64_t *place;

	if (!json_is_number(score) || !request.len || !rating.model.len ||
	    !rating.version.len || !rating.workspace.len) {
		ratings->malformed++;
		return;
	}
	rating.request = pr_hash64(request.ptr, request.len, 0);
	place = &ratings->taken[rating.request % ASKED_MAX];
	if (*place == rating.request) {
		ratings->doubled++;
		return;
	}
	*place = rating.request;
	counts.trials[PR_SIGNAL_RATING] = 1;
	counts.bad[PR_SIGNAL_RATING] = !rating.good;
	pr_policy_add_rating(&router->policy, &rating, pr_router_now(router));
	if (is_evidence(request))
		pr_rollout_add_counts(&router->rollout, rating.model,
				      rating.version, rating.workspace,
				      &counts);
	record_quality(router, &rating);
	ratings->read++;
}

/* @return number of ratings in the page that are above the cursor */
static size_t take_page(pr_router_t *router, const json_t *page)
{
	pr_ratings_t *ratings = router->ratings;
	size_t fresh = 0;
	size_t index;
	json_t *entry;

	json_array_foreach(page, index, entry)
	{
		json_int_t seq =
			json_integer_value(json_object_get(entry, "seq"));

		if (seq <= 0 || (uint64_t)seq <= ratings->cursor)
			continue;
		ratings->cursor = (uint64_t)seq;
		fresh++;
		if (ratings->state == FEED_FOLLOWING)
			take_rating(router, entry);
	}
	return fresh;
}

/* The service has no call for the newest number: it is found by halving. */
static void search(pr_ratings_t *ratings, size_t fresh)
{
	if (!fresh) {
		ratings->above = ratings->probe;
		ratings->state = FEED_HALVING;
	}
	if (ratings->state == FEED_HALVING && ratings->above <= ratings->cursor)
		ratings->state = FEED_FOLLOWING;
}

static void start_read(pr_router_t *router);

static void on_tick(pr_timer_t *timer, pr_usec_t now)
{
	start_read(timer->data);
}

static void read_after(pr_router_t *router, pr_usec_t delay)
{
	pr_timers_subscribe(&router->timers, &router->ratings->tick, delay, 0,
			    on_tick);
}

static void note_down(pr_ratings_t *ratings, bool down)
{
	if (ratings->down == down)
		return;
	ratings->down = down;
	if (down)
		pr_log(PR_LOG_WARNING, "rating service does not answer");
	else
		pr_log(PR_LOG_NOTICE, "rating service answers again");
}

static void on_read(void *data, pr_platform_outcome_t outcome, int status,
		    pr_slice_t body)
{
	pr_router_t *router = data;
	pr_ratings_t *ratings = router->ratings;
	json_t *root = NULL;
	json_t *page;
	size_t fresh;

	ratings->reading = false;
	ratings->bytes += body.len;
	if (outcome == PR_PLATFORM_ANSWERED && status == 200)
		root = json_loadb(body.ptr, body.len, 0, NULL);
	page = json_object_get(root, "ratings");
	note_down(ratings, !json_is_array(page));
	if (!json_is_array(page)) {
		json_decref(root);
		read_after(router, POLL_EVERY);
		return;
	}
	fresh = take_page(router, page);
	json_decref(root);
	if (ratings->state != FEED_FOLLOWING) {
		search(ratings, fresh);
		read_after(router, SEARCH_EVERY);
	} else {
		read_after(router,
			   fresh >= PAGE_MAX ? SEARCH_EVERY : POLL_EVERY);
	}
}

static void start_read(pr_router_t *router)
{
	pr_ratings_t *ratings = router->ratings;
	char path[PATH_BYTES];

	ratings->probe = ratings->cursor;
	if (ratings->state == FEED_DOUBLING)
		ratings->probe = 2 * ratings->cursor;
	else if (ratings->state == FEED_HALVING)
		ratings->probe = ratings->cursor +
				 (ratings->above - ratings->cursor) / 2;
	snprintf(path, sizeof(path), "/v1/ratings?after=%llu&limit=%d",
		 (unsigned long long)ratings->probe,
		 ratings->state == FEED_FOLLOWING ? PAGE_MAX : 1);
	ratings->reading = !pr_platform_call(router->platform, "GET",
					     pr_slice_of(path), pr_slice("", 0),
					     READ_TIMEOUT, on_read, router);
	if (!ratings->reading)
		read_after(router, POLL_EVERY);
}

static int init(pr_router_t *router)
{
	router->ratings = calloc(1, sizeof(*router->ratings));
	if (!router->ratings)
		return pr_error_set(PR_ENOMEM, "no memory for ratings");
	router->ratings->tick.data = router;
	router->ratings->asks_at = pr_router_now(router);
	read_after(router, 0);
	return 0;
}

static void print_metrics(const pr_router_t *router, pr_str_t *out)
{
	const pr_ratings_t *ratings = router->ratings;

	pr_str_appendf(out,
		       "pr_ratings_read_total %llu\n"
		       "pr_ratings_bytes_total %llu\n"
		       "pr_ratings_doubled_total %llu\n"
		       "pr_ratings_malformed_total %llu\n"
		       "pr_ratings_asked_total %llu\n"
		       "pr_ratings_ask_failed_total %llu\n"
		       "pr_ratings_not_asked_total %llu\n"
		       "pr_ratings_cursor %llu\npr_ratings_following %d\n",
		       (unsigned long long)ratings->read,
		       (unsigned long long)ratings->bytes,
		       (unsigned long long)ratings->doubled,
		       (unsigned long long)ratings->malformed,
		       (unsigned long long)ratings->asks_total,
		       (unsigned long long)ratings->asks_failed,
		       (unsigned long long)ratings->not_asked,
		       (unsigned long long)ratings->cursor,
		       ratings->state == FEED_FOLLOWING);
}

static void finish(pr_router_t *router)
{
	if (router->ratings)
		pr_timers_unsubscribe(&router->timers, &router->ratings->tick);
	free(router->ratings);
}

const pr_task_ops_t pr_ratings_task = {
	.name = "ratings",
	.init = init,
	.metrics = print_metrics,
	.finish = finish,
};
