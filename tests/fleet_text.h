/** Fleet configurations as text, for the tests of policy, roll-outs and
 * sessions.
 */
#ifndef TESTS_FLEET_TEXT_H
#define TESTS_FLEET_TEXT_H

#include "pistachiorack/config.h"
#include "pistachiorack/str.h"

#define FLEET_HEAD                                                             \
	"format: 1\n"                                                          \
	"defaults: {models: [small, large], quality_target: 0.95,\n"           \
	"  first_token_ms: 990, between_tokens_ms: 35, objective: 0.95,\n"     \
	"  exposure_per_s: 2}\n"                                               \
	"workspaces: [{name: w1}, {name: w2}, {name: w3}]\n"                   \
	"exceptions: [{workspace: w3, reason: trial, models: [large]}]\n"

/* Parses FLEET_HEAD followed by a models section. Returns NULL on an error. */
static inline pr_fleet_t *fleet_of(const char *models)
{
	pr_str_t text = PR_STR_INIT;
	pr_fleet_t *fleet = NULL;

	pr_str_appendf(&text, "%s%s", FLEET_HEAD, models);
	if (pr_fleet_parse(&fleet, "test", pr_str_slice(&text)))
		fleet = NULL;
	pr_str_finish(&text);
	return fleet;
}

#endif
