/** Life of the entry daemon. */
#ifndef PR_EDGE_DAEMON_H
#define PR_EDGE_DAEMON_H

#include "edge/edge.h"

/**
 * Start on caller-owned memory.
 *
 * @param path settings file; must outlive the daemon
 * @return 0 or an error with its detail in pr_error_last()
 */
int pr_edge_init(pr_edge_t *edge, uv_loop_t *loop, const char *path);
/** Begin to stop: not ready at once, the loop ends when work is done. */
void pr_edge_stop(pr_edge_t *edge);
/** Read the settings file again. */
void pr_edge_reload(pr_edge_t *edge);

#endif
