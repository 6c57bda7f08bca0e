/**
 * Lists of hosts and upstreams of the platform stand-in.
 */
#ifndef STANDIN_HOST_LIST_H
#define STANDIN_HOST_LIST_H

#include <jansson.h>

/**
 * Change a list by name: known entries are updated, new ones added with state
 * "live", and entries whose new state is "gone" removed.
 *
 * @param name_field field that names an entry
 * @param changes array of entries; NULL changes nothing
 */
void host_list_merge(json_t *list, const char *name_field,
		     const json_t *changes);

#endif
