/** Functions that message.c and message_rows.c share. */
#ifndef PR_RELAY_MESSAGE_PARTS_H
#define PR_RELAY_MESSAGE_PARTS_H

#include "base/msgmap.h"

/**
 * Begin a message with the name of its sender.
 *
 * @param fields number of the fields that follow
 * @return 0 or an error of the packer
 */
int pr_message_begin(msgpack_packer *packer, pr_str_t *out, const char *host,
		     size_t fields);
/**
 * Add the era of the numbers in a message. It is left out while it is 0, that
 * is, while the store states none. Hosts of earlier releases compare the
 * numbers alone, which is right within an era.
 */
int pr_message_pack_era(msgpack_packer *packer, uint64_t era);
/** @return the era, or 0 when the message has none */
uint64_t pr_message_read_era(const pr_msgmap_t *map);

#endif
