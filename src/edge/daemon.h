/** Start, stop and reload of the entry daemon. */
#ifndef PR_EDGE_DAEMON_H
#define PR_EDGE_DAEMON_H

#include "edge/edge.h"

/**
 * Load the settings, open the listeners and start reading the store.
 *
 * @param edge memory of the daemon, owned by the caller
 * @param path path of the settings file; must outlive the daemon
 * @return 0 or an error with its detail in pr_error_last()
 */
int pr_edge_init(pr_edge_t *edge, uv_loop_t *loop, const char *path);
/**
 * Begin to stop. The daemon reports at once that it is not ready. The loop ends
 * when all connections are closed, or after the grace time.
 */
void pr_edge_stop(pr_edge_t *edge);
/** Read the settings file again; only its bounds take effect. */
void pr_edge_reload(pr_edge_t *edge);

#endif
