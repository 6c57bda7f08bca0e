/* Recent rows of a table. In a response each row is a flat msgpack map. */
#include "relay/row_cache.h"

#include <stdlib.h>

#include "base/deflate.h"
#include "base/msgmap.h"
#include "pistachiorack/error.h"

/* Shorter values are not compressed. */
#define DEFLATE_MIN 512
/* Bytes of the length before the map of a row. */
#define LENGTH_SIZE 4

static void cached_row_finish(pr_cached_row_t *cached)
{
	free(cached->row.key);
	pr_str_finish(&cached->row.value);
}

void pr_row_cache_finish(pr_row_cache_t *cache)
{
	for (size_t i = 0; i < cache->count; i++)
		cached_row_finish(&cache->rows[i]);
	free(cache->rows);
	memset(cache, 0, sizeof(*cache));
}

static int cached_row_init(pr_cached_row_t *cached, const pr_store_row_t *row)
{
	int rc = 0;

	memset(cached, 0, sizeof(*cached));
	cached->row.version = row->version;
	cached->row.removed = row->removed;
	cached->row.key = strdup(row->key);
	if (!cached->row.key)
		return PR_ENOMEM;
	if (row->value.len >= DEFLATE_MIN) {
		cached->inflated_size = row->value.len;
		rc = pr_deflate(&cached->row.value, pr_str_slice(&row->value));
	} else if (row->value.len) {
		rc = pr_str_append(&cached->row.value, row->value.ptr,
				   row->value.len);
	}
	if (rc)
		cached_row_finish(cached);
	return rc;
}

static void remove_row(pr_row_cache_t *cache, size_t index)
{
	cached_row_finish(&cache->rows[index]);
	cache->count--;
	memmove(&cache->rows[index], &cache->rows[index + 1],
		(cache->count - index) * sizeof(cache->rows[0]));
}

static void remove_key(pr_row_cache_t *cache, const char *key)
{
	for (size_t i = 0; i < cache->count; i++) {
		if (!strcmp(cache->rows[i].row.key, key)) {
			remove_row(cache, i);
			return;
		}
	}
}

static void remove_oldest(pr_row_cache_t *cache)
{
	cache->complete_after = pr_revision_later(cache->complete_after,
						  cache->rows[0].row.version);
	cache->whole = false;
	remove_row(cache, 0);
}

static int add_row(pr_row_cache_t *cache, const pr_store_row_t *row)
{
	pr_cached_row_t cached;

	if (cache->count == cache->capacity) {
		size_t capacity = cache->capacity ? 2 * cache->capacity : 16;
		pr_cached_row_t *rows =
			realloc(cache->rows, capacity * sizeof(rows[0]));

		if (!rows)
			return PR_ENOMEM;
		cache->rows = rows;
		cache->capacity = capacity;
	}
	if (cached_row_init(&cached, row))
		return PR_ENOMEM;
	remove_key(cache, row->key);
	if (cache->count == PR_ROW_CACHE_MAX)
		remove_oldest(cache);
	cache->rows[cache->count++] = cached;
	cache->newest = row->version;
	return 0;
}

int pr_row_cache_add(pr_row_cache_t *cache, pr_revision_t after,
		     const pr_store_row_t *rows, size_t count)
{
	pr_revision_t known;
	int rc = 0;

	if (pr_revision_is_after(after, cache->newest)) {
		pr_row_cache_finish(cache);
		cache->complete_after = cache->newest = after;
	}
	/* Rows of one transaction share a version. */
	known = cache->newest;
	for (size_t i = 0; i < count && !rc; i++) {
		if (pr_revision_is_after(rows[i].version, known))
			rc = add_row(cache, &rows[i]);
	}
	if (rc)
		pr_row_cache_finish(cache);
	return rc;
}

static int compare_versions(const void *a, const void *b)
{
	pr_revision_t x = ((const pr_cached_row_t *)a)->row.version;
	pr_revision_t y = ((const pr_cached_row_t *)b)->row.version;

	return pr_revision_is_after(x, y) - pr_revision_is_after(y, x);
}

int pr_row_cache_replace(pr_row_cache_t *cache, pr_revision_t version,
			 const pr_store_row_t *rows, size_t count)
{
	int rc = 0;

	pr_row_cache_finish(cache);
	cache->complete_after = cache->newest = version;
	cache->whole = count <= PR_ROW_CACHE_MAX;
	if (!count || !cache->whole)
		return 0;
	cache->rows = calloc(count, sizeof(cache->rows[0]));
	if (!cache->rows) {
		cache->whole = false;
		return PR_ENOMEM;
	}
	cache->capacity = count;
	for (; cache->count < count && !rc; cache->count += !rc)
		rc = cached_row_init(&cache->rows[cache->count],
				     &rows[cache->count]);
	if (rc)
		pr_row_cache_finish(cache);
	else
		qsort(cache->rows, count, sizeof(cache->rows[0]),
		      compare_versions);
	return rc;
}

static int pack_row(msgpack_packer *packer, const pr_cached_row_t *cached)
{
	const pr_store_row_t *row = &cached->row;
	bool deflated = cached->inflated_size;
	int rc = msgpack_pack_map(packer, 2 + !row->removed + deflated);

	if (!rc)
		rc = pr_msgmap_pack_text(packer, "key", pr_slice_of(row->key));
	if (!rc)
		rc = pr_msgmap_pack_number(packer, "version",
					   row->version.number);
	if (!rc && !row->removed)
		rc = pr_msgmap_pack_text(packer, "value",
					 pr_str_slice(&row->value));
	if (!rc && deflated)
		rc = pr_msgmap_pack_number(packer, "size",
					   cached->inflated_size);
	return rc;
}

/* Append the length of a map in LENGTH_SIZE bytes, most significant byte first,
 * then the map. */
static int append_map(pr_str_t *out, const pr_str_t *map)
{
	unsigned char length[LENGTH_SIZE];
	int rc;

	for (int i = 0; i < LENGTH_SIZE; i++)
		length[i] = (unsigned char)(map->len >>
					    (8 * (LENGTH_SIZE - 1 - i)));
	rc = pr_str_append(out, length, LENGTH_SIZE);
	return rc ? rc : pr_str_append(out, map->ptr, map->len);
}

static int append_row(pr_str_t *out, const pr_cached_row_t *cached)
{
	msgpack_packer packer;
	pr_str_t map = PR_STR_INIT;
	int rc;

	pr_msgmap_packer(&packer, &map);
	rc = pack_row(&packer, cached);
	if (!rc)
		rc = append_map(out, &map);
	pr_str_finish(&map);
	return rc ? PR_ENOMEM : 0;
}

/* The map before the rows of an answer. */
static int append_header(pr_str_t *out, pr_revision_t version, bool whole)
{
	msgpack_packer packer;
	pr_str_t map = PR_STR_INIT;
	int rc;

	pr_msgmap_packer(&packer, &map);
	rc = msgpack_pack_map(&packer, 3);
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "era", version.era);
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "to", version.number);
	if (!rc)
		rc = pr_msgmap_pack_number(&packer, "whole", whole);
	if (!rc)
		rc = append_map(out, &map);
	pr_str_finish(&map);
	return rc ? PR_ENOMEM : 0;
}

int pr_row_cache_pack(const pr_row_cache_t *cache, pr_revision_t after,
		      pr_str_t *out)
{
	size_t first = 0;
	int rc = 0;

	while (first < cache->count &&
	       !pr_revision_is_after(cache->rows[first].row.version, after))
		first++;
	if (pr_revision_is_after(cache->complete_after, after) ||
	    first == cache->count)
		return PR_ENOTFOUND;
	for (size_t i = first; i < cache->count && !rc; i++)
		rc = append_row(out, &cache->rows[i]);
	return rc;
}

int pr_row_answer_pack(const pr_row_cache_t *cache, pr_revision_t after,
		       pr_str_t *out)
{
	bool whole = cache->whole && after.era < cache->newest.era;
	int rc;

	if (!whole && after.era != cache->newest.era)
		return PR_ENOTFOUND;
	rc = append_header(out, cache->newest, whole);
	if (!rc && !whole)
		return pr_row_cache_pack(cache, after, out);
	for (size_t i = 0; i < cache->count && !rc; i++)
		rc = append_row(out, &cache->rows[i]);
	return rc;
}

static int read_value(pr_store_row_t *row, const pr_msgmap_t *map)
{
	pr_slice_t value;
	uint64_t size;

	row->removed = pr_msgmap_text(map, &value, "value");
	if (row->removed)
		return 0;
	if (!pr_msgmap_number(map, &size, "size"))
		return pr_inflate(&row->value, value, (size_t)size);
	return pr_str_append(&row->value, value.ptr, value.len);
}

static int read_row(pr_store_row_t *row, uint64_t era, const pr_msgmap_t *map)
{
	pr_slice_t key;
	int rc;

	if (pr_msgmap_text(map, &key, "key") ||
	    pr_msgmap_number(map, &row->version.number, "version"))
		return pr_error_set(PR_EPARSE, "row without a key or version");
	row->version.era = era;
	row->key = strndup(key.ptr, key.len);
	if (!row->key)
		return PR_ENOMEM;
	rc = read_value(row, map);
	if (rc) {
		free(row->key);
		pr_str_finish(&row->value);
	}
	return rc;
}

/* Remove the map of the next row from the bytes. @return false at their end, or
 * when they are damaged */
static bool next_map(pr_slice_t *bytes, pr_slice_t *map)
{
	size_t len = 0;

	if (bytes->len < LENGTH_SIZE)
		return false;
	for (int i = 0; i < LENGTH_SIZE; i++)
		len = len << 8 | (unsigned char)bytes->ptr[i];
	if (len > bytes->len - LENGTH_SIZE)
		return false;
	*map = pr_slice(bytes->ptr + LENGTH_SIZE, len);
	bytes->ptr += LENGTH_SIZE + len;
	bytes->len -= LENGTH_SIZE + len;
	return true;
}

static size_t count_maps(pr_slice_t bytes)
{
	pr_slice_t map;
	size_t count = 0;

	while (next_map(&bytes, &map))
		count++;
	return bytes.len ? 0 : count;
}

static int add_read_row(pr_store_rows_t *out, uint64_t era, pr_slice_t bytes)
{
	pr_store_row_t *row = &out->rows[out->count];
	pr_msgmap_t map;
	int rc = pr_msgmap_init(&map, bytes);

	if (rc)
		return rc;
	rc = read_row(row, era, &map);
	pr_msgmap_finish(&map);
	if (rc)
		return rc;
	out->count++;
	out->version = row->version;
	return 0;
}

int pr_row_cache_read(pr_store_rows_t *out, uint64_t era, pr_slice_t bytes)
{
	size_t count = count_maps(bytes);
	pr_slice_t map;
	int rc = 0;

	memset(out, 0, sizeof(*out));
	if (!count)
		return pr_error_set(PR_EPARSE, "no rows in a relay's response");
	out->rows = calloc(count, sizeof(pr_store_row_t));
	if (!out->rows)
		return PR_ENOMEM;
	while (!rc && next_map(&bytes, &map))
		rc = add_read_row(out, era, map);
	if (rc)
		pr_store_rows_finish(out);
	return rc;
}

static int read_header(pr_row_answer_t *out, pr_slice_t bytes)
{
	pr_msgmap_t map;
	uint64_t whole;
	int rc = pr_msgmap_init(&map, bytes);

	if (rc)
		return rc;
	rc = pr_msgmap_number(&map, &out->rows.version.era, "era");
	if (!rc)
		rc = pr_msgmap_number(&map, &out->rows.version.number, "to");
	if (!rc)
		rc = pr_msgmap_number(&map, &whole, "whole");
	pr_msgmap_finish(&map);
	out->whole = !rc && whole;
	return rc;
}

int pr_row_answer_read(pr_row_answer_t *out, pr_slice_t bytes)
{
	pr_revision_t version;
	pr_slice_t header;
	int rc;

	memset(out, 0, sizeof(*out));
	if (!next_map(&bytes, &header) || read_header(out, header))
		return pr_error_set(PR_EPARSE, "no header in a relay's answer");
	/* A table may be empty. */
	if (out->whole && !bytes.len)
		return 0;
	version = out->rows.version;
	rc = pr_row_cache_read(&out->rows, version.era, bytes);
	out->rows.version = version;
	return rc;
}

void pr_row_answer_finish(pr_row_answer_t *answer)
{
	pr_store_rows_finish(&answer->rows);
}
