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
	cache->complete_after = cache->rows[0].row.version;
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
	int rc = 0;

	if (pr_revision_is_after(after, cache->newest)) {
		pr_row_cache_finish(cache);
		cache->complete_after = cache->newest = after;
	}
	for (size_t i = 0; i < count && !rc; i++) {
		if (pr_revision_is_after(rows[i].version, cache->newest))
			rc = add_row(cache, &rows[i]);
	}
	if (rc)
		pr_row_cache_finish(cache);
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

/* Append the length of a row's map in LENGTH_SIZE bytes, most significant byte
 * first, then the map. */
static int append_row(pr_str_t *out, const pr_cached_row_t *cached)
{
	unsigned char length[LENGTH_SIZE];
	msgpack_packer packer;
	pr_str_t map = PR_STR_INIT;
	int rc;

	pr_msgmap_packer(&packer, &map);
	rc = pack_row(&packer, cached);
	for (int i = 0; i < LENGTH_SIZE; i++)
		length[i] =
			(unsigned char)(map.len >> (8 * (LENGTH_SIZE - 1 - i)));
	if (!rc)
		rc = pr_str_append(out, length, LENGTH_SIZE);
	if (!rc)
		rc = pr_str_append(out, map.ptr, map.len);
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
