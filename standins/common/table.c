/* The table service: rows with versions and conditional writes. */
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "pistachiorack/error.h"
#include "table.h"

#define ROWS_FIRST 64

static table_t *find_table(const tables_t *tables, const char *name)
{
	for (size_t i = 0; i < tables->count; i++)
		if (strcmp(tables->tables[i].name, name) == 0)
			return (table_t *)&tables->tables[i];
	return NULL;
}

/* @return index of the first row whose key is not below key */
static size_t lower_bound(const table_t *table, const char *key)
{
	size_t low = 0;
	size_t high = table->count;

	while (low < high) {
		size_t middle = (low + high) / 2;

		if (strcmp(table->rows[middle].key, key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static row_t *find_row(const table_t *table, const char *key)
{
	size_t at;

	if (!table)
		return NULL;
	at = lower_bound(table, key);
	if (at == table->count || strcmp(table->rows[at].key, key) != 0)
		return NULL;
	return &table->rows[at];
}

const row_t *tables_find(const tables_t *tables, const char *table,
			 const char *key)
{
	return find_row(find_table(tables, table), key);
}

static table_t *add_table(tables_t *tables, const char *name)
{
	table_t *table = find_table(tables, name);

	if (table)
		return table;
	if (tables->count == TABLES_MAX)
		return NULL;
	table = &tables->tables[tables->count];
	table->name = strdup(name);
	if (!table->name)
		return NULL;
	tables->count++;
	return table;
}

static row_t *add_row(tables_t *tables, const char *name, const char *key)
{
	table_t *table = add_table(tables, name);
	size_t at;

	if (!table || tables->rows >= tables->rows_max)
		return NULL;
	if (table->count == table->cap) {
		size_t cap = table->cap ? table->cap * 2 : ROWS_FIRST;
		row_t *rows = realloc(table->rows, cap * sizeof(*rows));

		if (!rows)
			return NULL;
		table->rows = rows;
		table->cap = cap;
	}
	at = lower_bound(table, key);
	memmove(&table->rows[at + 1], &table->rows[at],
		(table->count - at) * sizeof(row_t));
	table->rows[at] = (row_t){ .key = strdup(key) };
	table->count++;
	tables->rows++;
	return &table->rows[at];
}

static bool condition_holds(const char *condition, const row_t *row,
			    json_int_t version)
{
	bool present = row && row->value;

	if (strcmp(condition, "absent") == 0)
		return !present;
	if (strcmp(condition, "version") == 0)
		return present ? (json_int_t)row->version == version
			       : version == 0;
	return true;
}

static int check_op(const json_t *op, const char **table, const char **key,
		    const char **condition, json_t **value)
{
	*condition = "any";
	if (json_unpack((json_t *)op, "{s:s,s:s,s?s,s:o}", "table", table,
			"key", key, "if", condition, "value", value))
		return pr_error_set(PR_EINVALID,
				    "op lacks table, key or value");
	if (strcmp(*condition, "absent") != 0 &&
	    strcmp(*condition, "version") != 0 &&
	    strcmp(*condition, "any") != 0)
		return pr_error_set(PR_EINVALID, "condition %s is not known",
				    *condition);
	if (strcmp(*condition, "version") == 0 &&
	    !json_is_integer(json_object_get(op, "version")))
		return pr_error_set(PR_EINVALID, "op lacks version");
	if (!**table || !**key || strchr(*table, '/'))
		return pr_error_set(PR_EINVALID, "table or key is not valid");
	return 0;
}

int tables_apply(tables_t *tables, const json_t *op, json_t **result)
{
	const char *table, *key, *condition;
	json_t *value;
	row_t *row;
	int rc = check_op(op, &table, &key, &condition, &value);

	*result = NULL;
	if (rc)
		return rc;
	row = find_row(find_table(tables, table), key);
	if (!condition_holds(
		    condition, row,
		    json_integer_value(json_object_get(op, "version")))) {
		*result = json_pack("{s:b,s:I,s:O?}", "applied", 0, "version",
				    row ? (json_int_t)row->version
					: (json_int_t)0,
				    "value", row ? row->value : NULL);
		if (!row || !row->value)
			json_object_set_new(*result, "value", json_null());
		return 0;
	}
	if (!row)
		row = add_row(tables, table, key);
	if (!row)
		return pr_error_set(PR_EFULL, "the table service is full");
	json_decref(row->value);
	row->value = json_is_null(value) ? NULL : json_incref(value);
	row->version++;
	*result = json_pack("{s:b,s:I}", "applied", 1, "version",
			    (json_int_t)row->version);
	return 0;
}

json_t *tables_list(const tables_t *tables, const char *name,
		    const char *prefix, const char *after, size_t limit)
{
	const table_t *table = find_table(tables, name);
	json_t *list = json_array();
	size_t at;

	if (!table)
		return list;
	at = lower_bound(table, strcmp(after, prefix) > 0 ? after : prefix);
	for (; at < table->count && json_array_size(list) < limit; at++) {
		const row_t *row = &table->rows[at];

		if (strncmp(row->key, prefix, strlen(prefix)) != 0)
			break;
		if (!row->value || strcmp(row->key, after) == 0)
			continue;
		json_array_append_new(list, json_pack("{s:s,s:I,s:O}", "key",
						      row->key, "version",
						      (json_int_t)row->version,
						      "value", row->value));
	}
	return list;
}

void tables_finish(tables_t *tables)
{
	for (size_t i = 0; i < tables->count; i++) {
		table_t *table = &tables->tables[i];

		for (size_t k = 0; k < table->count; k++) {
			free(table->rows[k].key);
			json_decref(table->rows[k].value);
		}
		free(table->rows);
		free(table->name);
	}
	*tables = (tables_t){ 0 };
}
