#include "record.h"

#include <stdlib.h>
#include <time.h>

#include "pistachiorack/error.h"

int standin_record_init(standin_record_t *record, size_t max)
{
	record->entries = calloc(max ? max : 1, sizeof(char *));
	record->max = max ? max : 1;
	record->next = 1;
	record->counts = json_object();
	if (!record->entries || !record->counts)
		return pr_error_set(PR_ENOMEM, "no memory for a record");
	return 0;
}

void standin_record_finish(standin_record_t *record)
{
	for (size_t i = 0; record->entries && i < record->max; i++)
		free(record->entries[i]);
	free(record->entries);
	json_decref(record->counts);
	*record = (standin_record_t){ 0 };
}

void standin_record_add(standin_record_t *record, json_t *entry)
{
	struct timespec now;
	char **slot = &record->entries[record->next % record->max];

	json_object_set_new(entry, "seq",
			    json_integer((json_int_t)record->next));
	clock_gettime(CLOCK_REALTIME, &now);
	json_object_set_new(entry, "at_ms",
			    json_integer((json_int_t)now.tv_sec * 1000 +
					 now.tv_nsec / 1000000));
	free(*slot);
	*slot = json_dumps(entry, JSON_COMPACT);
	json_decref(entry);
	record->next++;
}

void standin_record_count(standin_record_t *record, const char *name)
{
	json_int_t old =
		json_integer_value(json_object_get(record->counts, name));

	json_object_set_new(record->counts, name, json_integer(old + 1));
}

json_t *standin_record_json(const standin_record_t *record, uint64_t after,
			    size_t limit)
{
	json_t *entries = json_array();
	uint64_t first =
		record->next > record->max ? record->next - record->max : 1;

	for (uint64_t seq = after + 1 > first ? after + 1 : first;
	     seq < record->next && json_array_size(entries) < limit; seq++) {
		const char *text = record->entries[seq % record->max];

		if (text)
			json_array_append_new(entries,
					      json_loads(text, 0, NULL));
	}
	return json_pack("{s:o,s:I,s:I,s:O}", "entries", entries, "next",
			 (json_int_t)record->next, "dropped",
			 (json_int_t)(first - 1), "counts", record->counts);
}
