/*
 * The router daemon: one libuv loop, tasks that own sockets and state.
 *
 *   main.c        settings, signals, start and stop
 *   router.c      construction, time, graceful shutdown
 *   caller.c      callers' requests: path, key, limits
 *   exchange.c    life of one request from arrival to the end of its answer
 *   objectives.c  finished requests in the service-level report
 *   admission.c   keys, limits, retry budgets
 *   chat.c        model requests: parsing and the steps of the plan
 *   chat_answer.c streamed and whole answers of models
 *   service.c     plain services
 *   attempt.c     choice, attempts, retries
 *   call.c        one call to one upstream
 *   upstreams.c   upstream addresses and their connections
 *   balance_task.c  load and state of upstreams
 *   versions_task.c plan, sessions, roll-outs, ratings
 *   sessions_task.c  memory of sessions at their owners
 *   ratings_task.c  the rating service's feed
 *   rollout_task.c  evidence of roll-outs and what follows from it
 *   stepper.c     changes of the configuration by roll-outs
 *   once_task.c   claims of requests that may not be repeated
 *   billing.c     bills
 *   grant_task.c  leases of fleet-wide limits
 *   grant_demand.c  what this host needs of each limit
 *   order_task.c  orders to engines that lack a version
 *   poll_task.c   load reports and cache events of upstreams
 *   cold_task.c   notices of cold upstreams between hosts
 *   hosts.c       known hosts, owners of keys
 *   member_task.c probes, the platform's host list
 *   task.h, tasks.c  duties with their own state, and the events between them
 *   config_task.c the fleet configuration
 *   explain.c     reason records of finished requests
 *   admin.c       metrics, health, operators' requests
 */
#ifndef PR_ROUTER_ROUTER_H
#define PR_ROUTER_ROUTER_H

#include "base/index.h"
#include "base/list.h"
#include "pistachiorack/admit.h"
#include "pistachiorack/balance.h"
#include "pistachiorack/bill.h"
#include "pistachiorack/config.h"
#include "pistachiorack/config_holder.h"
#include "pistachiorack/hash.h"
#include "pistachiorack/http.h"
#include "pistachiorack/member.h"
#include "pistachiorack/metrics.h"
#include "pistachiorack/once.h"
#include "pistachiorack/peer.h"
#include "pistachiorack/platform.h"
#include "pistachiorack/policy.h"
#include "pistachiorack/rand.h"
#include "pistachiorack/report.h"
#include "pistachiorack/rollout.h"
#include "pistachiorack/session.h"
#include "pistachiorack/settings.h"
#include "pistachiorack/timer.h"
#include "router/hosts.h"
#include "router/task.h"

#define PR_ID_BYTES 112

/** Connections and counters of one upstream. */
typedef struct pr_upstream_link_t {
	/** In router->upstreams by the hash of the name. */
	pr_index_node_t node;
	char *name;
	char *address;
	uint16_t port;
	pr_http_target_t *target;
} pr_upstream_link_t;

typedef struct pr_router_counters_t {
	pr_metric_t *requests, *refused, *attempts, *retries, *caller_gone;
	pr_metric_t *broken_streams, *unknown_messages;
	pr_histogram_t *first_token_us, *total_us;
} pr_router_counters_t;

typedef struct pr_router_t {
	uv_loop_t *loop;
	pr_settings_t *settings;
	pr_timers_t timers;
	uv_timer_t clock;
	uv_prepare_t prepare;
	pr_metrics_t metrics;
	pr_router_counters_t counters;
	pr_rand_t rand;
	pr_burn_t burn;
	pr_http_server_t *server;
	pr_http_server_t *admin;
	pr_http_client_t *client;
	pr_platform_t *platform;
	pr_peers_t *peers;
	/** Key of the links between hosts. */
	char peer_key[PR_KEY_SIZE];
	pr_config_holder_t config;
	/** The configuration in force; NULL until the first is accepted. */
	pr_config_t *fleet;
	pr_index_t upstreams;
	/** Links whose upstream moved; their calls may still run. */
	pr_index_t retired;
	pr_balance_t balance;
	pr_admit_t admit;
	/** Retry budgets by the hash of the workspace's name. */
	pr_index_t budgets;
	pr_policy_t policy;
	pr_rollout_t rollout;
	struct pr_explain_t *explain;
	struct pr_ratings_t *ratings;
	struct pr_rollouts_t *rollouts;
	struct pr_stepper_t *stepper;
	pr_session_keyring_t session_ring;
	pr_session_cache_t sessions;
	/** Exchanges that wait for an owner of their session. */
	struct pr_exchange_t *asking;
	uint64_t session_timeouts;
	pr_host_list_t hosts;
	pr_member_t *member;
	/** The view changed since the tasks were told. */
	bool view_dirty;
	pr_timer_t member_tick;
	pr_usec_t list_due;
	bool list_reading;
	pr_once_t *once;
	struct pr_leases_t *leases;
	struct pr_cold_t *cold;
	struct pr_polls_t *polls;
	struct pr_order_state_t *orders;
	pr_bill_book_t *bills;
	/** Exchanges that wait for their bill, or for their claim. */
	pr_index_t billing, claiming;
	/** Exchanges whose claim is held and that are not dispatched yet. */
	struct pr_exchange_t *granted;
	/** Hosts that this host believes alive, itself included. */
	unsigned int live_hosts;
	/** The configuration in force is known to be current. */
	bool confirmed;
	struct pr_exchange_t *exchanges;
	unsigned int exchange_count;
	/** Random per start, so that request ids never repeat. */
	char boot[17];
	uint64_t next_request;
	pr_timer_t config_tick;
	pr_timer_t caller_check;
	pr_timer_t stop_timer;
	bool stopping;
	bool stopped;
} pr_router_t;

/** Start everything. @return 0 or the first error */
int pr_router_init(pr_router_t *router, uv_loop_t *loop,
		   pr_settings_t *settings);
/** Begin a graceful shutdown; a second call ends at once. */
void pr_router_stop(pr_router_t *router);
void pr_router_finish(pr_router_t *router);
/** Time of the timer service, brought up to date. */
pr_usec_t pr_router_now(pr_router_t *router);
bool pr_router_ready(const pr_router_t *router);

void pr_caller_on_request(pr_http_request_t *request, void *data);
void pr_admin_on_request(pr_http_request_t *request, void *data);

pr_upstream_link_t *pr_upstreams_find(pr_router_t *router, const char *name);

#endif
