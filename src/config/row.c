/* The value of table row config/current. */
#include <jansson.h>
#include <stdlib.h>

#include "pistachiorack/config_holder.h"
#include "pistachiorack/error.h"

static json_t *split_ids(pr_slice_t ids)
{
	json_t *list = json_array();

	while (ids.len) {
		const char *comma = memchr(ids.ptr, ',', ids.len);
		size_t len = comma ? (size_t)(comma - ids.ptr) : ids.len;

		json_array_append_new(list, json_stringn(ids.ptr, len));
		len += comma != NULL;
		ids = pr_slice(ids.ptr + len, ids.len - len);
	}
	return list;
}

int pr_config_row_encode(pr_str_t *out, const pr_config_row_t *row)
{
	json_t *value = json_object();
	char *text;
	int rc;

	json_object_set_new(value, "version",
			    json_integer((json_int_t)row->version));
	json_object_set_new(
		value, "change_id",
		json_stringn(row->change_id.ptr, row->change_id.len));
	json_object_set_new(value, "previous", split_ids(row->previous));
	json_object_set_new(value, "text",
			    json_stringn(row->text.ptr, row->text.len));
	if (row->reason.len)
		json_object_set_new(
			value, "reason",
			json_stringn(row->reason.ptr, row->reason.len));
	text = json_dumps(value, JSON_COMPACT);
	json_decref(value);
	if (!text)
		return pr_error_set(PR_EINVALID,
				    "the text is not valid UTF-8 or memory is "
				    "short");
	rc = pr_str_append(out, text, strlen(text));
	free(text);
	return rc;
}

/* Append a string to the buffer; the offset becomes a slice at the end. */
static int keep(pr_str_t *buffer, size_t *len, const json_t *string)
{
	*len = json_string_length(string);
	return pr_str_append(buffer, json_string_value(string), *len);
}

static int keep_ids(pr_str_t *buffer, size_t *len, const json_t *list)
{
	size_t before = buffer->len, index;
	json_t *id;
	int rc = 0;

	json_array_foreach(list, index, id)
	{
		if (!rc && index < PR_CHANGES_KEPT && json_is_string(id))
			rc = pr_str_appendf(buffer, "%s%s",
					    buffer->len > before ? "," : "",
					    json_string_value(id));
	}
	*len = buffer->len - before;
	return rc;
}

int pr_config_row_decode(pr_config_row_t *out, pr_str_t *buffer,
			 uint64_t row_version, pr_slice_t value)
{
	json_t *root = json_loadb(value.ptr, value.len, 0, NULL);
	const json_t *version = json_object_get(root, "version");
	const json_t *id = json_object_get(root, "change_id");
	const json_t *text = json_object_get(root, "text");
	size_t id_len = 0, ids_len = 0, text_len = 0;
	int rc = PR_EPARSE;

	memset(out, 0, sizeof(*out));
	pr_str_clear(buffer);
	if (json_is_integer(version) && json_integer_value(version) > 0 &&
	    json_is_string(id) && json_string_length(id) < PR_CHANGE_ID_SIZE &&
	    json_is_string(text)) {
		rc = keep(buffer, &id_len, id);
		if (!rc)
			rc = keep_ids(buffer, &ids_len,
				      json_object_get(root, "previous"));
		if (!rc)
			rc = keep(buffer, &text_len, text);
	}
	if (!rc) {
		out->row_version = row_version;
		out->version = (uint64_t)json_integer_value(version);
		out->change_id = pr_slice(buffer->ptr, id_len);
		out->previous = pr_slice(buffer->ptr + id_len, ids_len);
		out->text = pr_slice(buffer->ptr + id_len + ids_len, text_len);
	}
	json_decref(root);
	return rc ? pr_error_set(rc, "row config/current is malformed") : 0;
}

bool pr_config_row_has(const pr_config_row_t *row, pr_slice_t change_id)
{
	pr_slice_t ids = row->previous;

	if (pr_slice_equal(row->change_id, change_id))
		return true;
	while (ids.len) {
		const char *comma = memchr(ids.ptr, ',', ids.len);
		size_t len = comma ? (size_t)(comma - ids.ptr) : ids.len;

		if (pr_slice_equal(pr_slice(ids.ptr, len), change_id))
			return true;
		len += comma != NULL;
		ids = pr_slice(ids.ptr + len, ids.len - len);
	}
	return false;
}
