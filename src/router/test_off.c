/* Switches for tests; see test_off.h. */
#include "router/test_off.h"

#include <stdlib.h>
#include <string.h>

#include "pistachiorack/error.h"
#include "pistachiorack/log.h"

#ifndef PR_TEST_SWITCHES
#define PR_TEST_SWITCHES 0
#endif

static const char *off;

int pr_test_off_init(void)
{
	off = getenv("PISTACHIORACK_TEST_OFF");
	if (!off)
		return 0;
	if (!PR_TEST_SWITCHES)
		return pr_error_set(PR_EINVALID,
				    "PISTACHIORACK_TEST_OFF is set, but this "
				    "binary was built without test switches");
	pr_log(PR_LOG_WARNING, "switched off for a test: %s", off);
	return 0;
}

bool pr_test_off(const char *mechanism)
{
	size_t len = strlen(mechanism);
	const char *at = PR_TEST_SWITCHES ? off : NULL;

	while (at && *at) {
		size_t part = strcspn(at, ",");

		if (part == len && !memcmp(at, mechanism, len))
			return true;
		at += part + (at[part] == ',');
	}
	return false;
}
