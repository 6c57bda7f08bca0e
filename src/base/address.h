/** IPv4 addresses as "IP:PORT". */
#ifndef PR_BASE_ADDRESS_H
#define PR_BASE_ADDRESS_H

#include <netinet/in.h>

#include "pistachiorack/str.h"

/** @return 0 or PR_EPARSE */
int pr_address_parse(struct sockaddr_in *out, pr_slice_t text);

#endif
