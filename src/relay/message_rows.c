/* Encoding and decoding of datagrams with rows of the store. */
#include <stdlib.h>

#include "pistachiorack/error.h"
#include "relay/message.h"
#include "relay/message_parts.h"

/* Bytes of a row beside its key and value (field names and numbers), and of the
 * map's other fields. */
#define ROW_OVERHEAD 40
#define HEADER_SIZE  200

static void row_field(char name[32], const char *field, size_t index)
{
	snprintf(name, 32, "%s%zu", field, index);
}

/* A map has 15 fields at most; the era takes the place of a row. */
static size_t rows_max(uint64_t era)
{
	return era ? PR_ROWS_IN_DATAGRAM - 1 : PR_ROWS_IN_DATAGRAM;
}

static size_t rows_that_fit(const pr_store_row_t *rows, size_t count,
			    uint64_t era)
{
	size_t size = HEADER_SIZE;
	size_t fit = 0;

	while (fit < count && fit < rows_max(era)) {
		size += ROW_OVERHEAD + strlen(rows[fit].key) +
			rows[fit].value.len;
		if (size > PR_DATAGRAM_MAX)
			break;
		fit++;
	}
	/* Rows of one transaction share a version. A receiver that has one of
	 * them counts the version as known, so it gets all of them at once. */
	while (fit && fit < count &&
	       pr_revision_equal(rows[fit - 1].version, rows[fit].version))
		fit--;
	return fit;
}

static int pack_row(msgpack_packer *packer, const pr_store_row_t *row,
		    size_t index)
{
	char name[32];
	int rc;

	row_field(name, "key", index);
	rc = pr_msgmap_pack_text(packer, name, pr_slice_of(row->key));
	row_field(name, "version", index);
	if (!rc)
		rc = pr_msgmap_pack_number(packer, name, row->version.number);
	row_field(name, "value", index);
	if (!rc && !row->removed)
		rc = pr_msgmap_pack_text(packer, name,
					 pr_str_slice(&row->value));
	return rc;
}

size_t pr_message_pack_rows(pr_str_t *out, const char *host,
			    pr_store_table_t table, pr_revision_t after,
			    const pr_store_row_t *rows, size_t count)
{
	size_t fit = rows_that_fit(rows, count, after.era);
	size_t fields = 2 + !!after.era;
	msgpack_packer packer;
	int rc;

	for (size_t i = 0; i < fit; i++)
		fields += rows[i].removed ? 2 : 3;
	rc = pr_message_begin(&packer, out, host, fields);
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "table", table);
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "after", after.number);
	if (!rc)
		rc = pr_message_pack_era(&packer, after.era);
	for (size_t i = 0; i < fit && !rc; i++)
		rc = pack_row(&packer, &rows[i], i);
	return rc ? 0 : fit;
}

void pr_message_rows_finish(pr_message_rows_t *rows)
{
	for (size_t i = 0; i < rows->count; i++) {
		free(rows->rows[i].key);
		pr_str_finish(&rows->rows[i].value);
	}
	rows->count = 0;
}

/* @return 0, PR_ENOTFOUND when the map has no row of this index, PR_EPARSE or
 *	   PR_ENOMEM */
static int read_row(const pr_msgmap_t *map, uint64_t era, pr_store_row_t *row,
		    size_t index)
{
	pr_slice_t key, value;
	char name[32];

	row_field(name, "key", index);
	if (pr_msgmap_text(map, &key, name))
		return PR_ENOTFOUND;
	row_field(name, "version", index);
	if (pr_msgmap_number(map, &row->version.number, name))
		return PR_EPARSE;
	row->version.era = era;
	row->key = strndup(key.ptr, key.len);
	if (!row->key)
		return PR_ENOMEM;
	row_field(name, "value", index);
	row->removed = pr_msgmap_text(map, &value, name);
	if (row->removed || !pr_str_append(&row->value, value.ptr, value.len))
		return 0;
	free(row->key);
	return PR_ENOMEM;
}

int pr_message_read_rows(const pr_msgmap_t *map, pr_message_rows_t *out)
{
	uint64_t era = pr_message_read_era(map);
	uint64_t table;
	int rc = 0;

	memset(out, 0, sizeof(*out));
	if (pr_msgmap_number(map, &table, "table") ||
	    pr_msgmap_number(map, &out->after.number, "after") ||
	    table >= PR_TABLES_COUNT)
		return PR_EPARSE;
	out->table = (pr_store_table_t)table;
	out->after.era = era;
	while (out->count < PR_ROWS_IN_DATAGRAM && !rc) {
		rc = read_row(map, era, &out->rows[out->count], out->count);
		out->count += !rc;
	}
	if (!rc || rc == PR_ENOTFOUND)
		return 0;
	pr_message_rows_finish(out);
	return rc;
}
