#include "host_list.h"

#include <string.h>

static void merge_one(json_t *list, const char *name_field, const char *name,
		      json_t *change)
{
	const char *state = json_string_value(json_object_get(change, "state"));
	json_t *old;
	size_t i;

	json_array_foreach(list, i, old)
	{
		const char *known =
			json_string_value(json_object_get(old, name_field));

		if (!known || strcmp(known, name) != 0)
			continue;
		if (state && strcmp(state, "gone") == 0)
			json_array_remove(list, i);
		else
			json_object_update(old, change);
		return;
	}
	if (state && strcmp(state, "gone") == 0)
		return;
	old = json_deep_copy(change);
	if (!state)
		json_object_set_new(old, "state", json_string("live"));
	json_array_append_new(list, old);
}

void host_list_merge(json_t *list, const char *name_field,
		     const json_t *changes)
{
	json_t *change;
	size_t i;

	json_array_foreach(changes, i, change)
	{
		const char *name =
			json_string_value(json_object_get(change, name_field));

		if (name)
			merge_one(list, name_field, name, change);
	}
}
