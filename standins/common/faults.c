#include "faults.h"

#include <string.h>

#include "pistachiorack/error.h"

/* Larger values in a control request are refused, so that a typing error does
 * not leave a test hanging. */
#define VALUE_MAX 10000000

typedef struct field_t {
	const char *name;
	size_t offset;
} field_t;

#define FIELD(name)                                                            \
	{                                                                      \
#name, offsetof(standin_faults_t, name)                        \
	}

static const field_t fields_known[] = {
	FIELD(outage),       FIELD(unreachable), FIELD(refuse),
	FIELD(break_before), FIELD(slow_ms),     FIELD(delay_answer_ms),
	FIELD(lose_answers), FIELD(no_answer),   FIELD(garbage),
	FIELD(half_answer),  FIELD(cut_answers), FIELD(cross_answers),
	FIELD(crash_before), FIELD(crash_after), FIELD(freeze_ms),
};
#define FIELDS_KNOWN (sizeof(fields_known) / sizeof(fields_known[0]))

static int apply_number(standin_faults_t *faults, const field_t *field,
			const json_t *value)
{
	uint32_t *slot = (uint32_t *)((char *)faults + field->offset);

	if (json_is_boolean(value)) {
		*slot = json_is_true(value);
		return 0;
	}
	if (!json_is_integer(value) || json_integer_value(value) < 0 ||
	    json_integer_value(value) > VALUE_MAX)
		return pr_error_set(PR_EINVALID,
				    "%s must be a boolean or 0 to %d",
				    field->name, VALUE_MAX);
	*slot = (uint32_t)json_integer_value(value);
	return 0;
}

int standin_faults_apply(standin_faults_t *faults, const json_t *fields)
{
	standin_faults_t next = *faults;
	const json_t *only = json_object_get(fields, "only");
	int rc;

	if (json_is_true(json_object_get(fields, "clear")))
		next = (standin_faults_t){ 0 };
	for (size_t i = 0; i < FIELDS_KNOWN; i++) {
		const json_t *value =
			json_object_get(fields, fields_known[i].name);

		if (!value)
			continue;
		rc = apply_number(&next, &fields_known[i], value);
		if (rc)
			return rc;
	}
	if (only) {
		if (!json_is_string(only))
			return pr_error_set(PR_EINVALID,
					    "only must be a string");
		rc = pr_slice_copy(next.only, sizeof(next.only),
				   pr_slice_of(json_string_value(only)));
		if (rc)
			return pr_error_set(PR_EINVALID, "only is too long");
	}
	*faults = next;
	return 0;
}

bool standin_faults_match(const standin_faults_t *faults, pr_slice_t path)
{
	return pr_slice_starts_with(path, pr_slice_of(faults->only));
}

static bool use_up(uint32_t *count)
{
	if (!*count)
		return false;
	--*count;
	return true;
}

standin_entry_t standin_faults_entry(standin_faults_t *faults, pr_slice_t path)
{
	if (!standin_faults_match(faults, path))
		return STANDIN_ENTRY_RUN;
	if (faults->crash_before)
		return STANDIN_ENTRY_CRASH;
	if (faults->unreachable || use_up(&faults->break_before))
		return STANDIN_ENTRY_BREAK;
	if (faults->outage)
		return STANDIN_ENTRY_OUTAGE;
	if (use_up(&faults->refuse))
		return STANDIN_ENTRY_REFUSE;
	return STANDIN_ENTRY_RUN;
}

standin_fate_t standin_faults_fate(standin_faults_t *faults, pr_slice_t path)
{
	if (!standin_faults_match(faults, path))
		return STANDIN_FATE_WHOLE;
	if (faults->crash_after)
		return STANDIN_FATE_CRASH;
	if (use_up(&faults->lose_answers))
		return STANDIN_FATE_LOST;
	if (use_up(&faults->no_answer))
		return STANDIN_FATE_NONE;
	if (use_up(&faults->garbage))
		return STANDIN_FATE_GARBAGE;
	if (use_up(&faults->half_answer))
		return STANDIN_FATE_HALF;
	if (use_up(&faults->cut_answers))
		return STANDIN_FATE_CUT;
	if (use_up(&faults->cross_answers))
		return STANDIN_FATE_CROSSED;
	return STANDIN_FATE_WHOLE;
}
