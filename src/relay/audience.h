/** Hosts that get a datagram. */
#ifndef PR_RELAY_AUDIENCE_H
#define PR_RELAY_AUDIENCE_H

typedef enum pr_audience_t {
	/** The relays: they get what this host, or a host that reports to it,
	 *  observed or decided. */
	PR_AUDIENCE_RELAYS,
	/** The hosts that report to this relay: they get every change. */
	PR_AUDIENCE_FOLLOWERS,
	PR_AUDIENCES_COUNT,
} pr_audience_t;

#endif
