/*
 * Burn series as JSON, and their merge. Slots are written by age, newest
 * first, since clocks of hosts start at different times.
 */
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

#include "pistachiorack/error.h"
#include "report/series.h"

static json_t *pack_window(const pr_burn_window_t *window, int index,
			   pr_usec_t now)
{
	int64_t current = now / pr_burn_slot_length(index);
	json_t *list = json_array();

	for (int64_t age = 0; age < PR_BURN_SLOTS; age++) {
		int64_t number = current - age;
		const pr_burn_slot_t *slot;

		if (number < 0 || number > window->newest ||
		    number <= window->newest - PR_BURN_SLOTS)
			continue;
		slot = &window->slots[number % PR_BURN_SLOTS];
		if (slot->good || slot->bad)
			json_array_append_new(list, json_pack("[iii]", (int)age,
							      (int)slot->good,
							      (int)slot->bad));
	}
	return list;
}

static json_t *pack_series(const pr_burn_series_t *series, pr_usec_t now)
{
	json_t *windows = json_array();
	json_t *causes = json_object();

	for (int i = 0; i < PR_BURN_WINDOWS; i++)
		json_array_append_new(windows,
				      pack_window(&series->windows[i], i, now));
	for (int i = 0; i < PR_BURN_CAUSES; i++)
		if (series->causes[i].bad)
			json_object_set_new(
				causes, series->causes[i].name,
				json_integer(series->causes[i].bad));
	return json_pack("{s:s, s:i, s:o, s:o}", "workspace", series->workspace,
			 "objective", (int)series->objective, "windows",
			 windows, "causes", causes);
}

int pr_burn_print(const pr_burn_t *burn, pr_usec_t now, pr_str_t *out)
{
	json_t *list = json_array();
	json_t *root = json_pack("{s:o}", "series", list);
	char *text;
	int rc = PR_ENOMEM;

	for (unsigned int i = 0; i < burn->count; i++)
		json_array_append_new(list, pack_series(&burn->series[i], now));
	text = json_dumps(root, JSON_COMPACT);
	if (text)
		rc = pr_str_append(out, text, strlen(text));
	free(text);
	json_decref(root);
	return rc;
}

static void merge_window(pr_burn_window_t *window, int index, pr_usec_t now,
			 const json_t *slots)
{
	int64_t current = now / pr_burn_slot_length(index);
	const json_t *slot;
	size_t at;

	window->newest = current;
	json_array_foreach(slots, at, slot)
	{
		int age, good, bad;

		if (json_unpack((json_t *)slot, "[iii]", &age, &good, &bad) ||
		    age < 0 || age >= PR_BURN_SLOTS || age > current ||
		    good < 0 || bad < 0)
			continue;
		window->slots[(current - age) % PR_BURN_SLOTS].good +=
			(uint32_t)good;
		window->slots[(current - age) % PR_BURN_SLOTS].bad +=
			(uint32_t)bad;
	}
}

static void merge_causes(pr_burn_series_t *series, const json_t *causes)
{
	const char *name;
	json_t *value;

	json_object_foreach((json_t *)causes, name, value)
	{
		pr_burn_cause_add(series, name,
				  (uint32_t)json_integer_value(value));
	}
}

int pr_burn_merge(pr_burn_t *burn, pr_usec_t now, pr_slice_t json)
{
	json_t *root = json_loadb(json.ptr, json.len, 0, NULL);
	json_t *item;
	size_t at;
	int rc = root ? 0 : pr_error_set(PR_EPARSE, "burn: not JSON");

	json_array_foreach(json_object_get(root, "series"), at, item)
	{
		const char *workspace;
		int objective;
		json_t *windows, *causes;
		pr_burn_series_t *series;

		if (json_unpack(item, "{s:s, s:i, s:o, s:o}", "workspace",
				&workspace, "objective", &objective, "windows",
				&windows, "causes", &causes) ||
		    objective < 0 || objective >= PR_OBJECTIVES)
			continue;
		series = pr_burn_series_get(burn, workspace,
					    (pr_objective_t)objective);
		if (!series) {
			rc = pr_error_set(PR_EFULL, "burn: too many series");
			break;
		}
		for (int i = 0; i < PR_BURN_WINDOWS; i++)
			merge_window(&series->windows[i], i, now,
				     json_array_get(windows, (size_t)i));
		merge_causes(series, causes);
	}
	json_decref(root);
	return rc;
}
