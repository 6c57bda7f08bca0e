/* Addresses as text. */
#include "base/address.h"

#include <arpa/inet.h>

#include "base/number.h"
#include "pistachiorack/error.h"

int pr_address_parse(struct sockaddr_in *out, pr_slice_t text)
{
	char host[INET_ADDRSTRLEN];
	const char *colon = text.len ? memchr(text.ptr, ':', text.len) : NULL;
	uint64_t port;

	memset(out, 0, sizeof(*out));
	if (!colon ||
	    pr_slice_copy(host, sizeof(host),
			  pr_slice(text.ptr, (size_t)(colon - text.ptr))) ||
	    !pr_slice_number(pr_slice(colon + 1, text.len - (size_t)(colon + 1 -
								     text.ptr)),
			     &port) ||
	    !port || port > UINT16_MAX ||
	    inet_pton(AF_INET, host, &out->sin_addr) != 1)
		return pr_error_set(PR_EPARSE, "not an address: %.*s",
				    (int)text.len, text.ptr);
	out->sin_family = AF_INET;
	out->sin_port = htons((uint16_t)port);
	return 0;
}
