/* Claim rows as JSON text. */
#include "once/row.h"

#include <jansson.h>

#include "pistachiorack/error.h"

static const char *const state_names[] = { "claimed", "done", "not_run" };

int pr_once_row_print(pr_str_t *out, const pr_once_row_t *row)
{
	json_t *root = json_pack("{ssssssss}", "attempt", row->attempt,
				 "body_hash", row->body_hash, "host", row->host,
				 "state", state_names[row->state]);
	char *text;
	int err = PR_ENOMEM;

	if (!root)
		return err;
	if (row->state == PR_ONCE_ROW_DONE) {
		json_t *body = row->body_kept
				       ? json_stringn(pr_str_cstr(&row->body),
						      row->body.len)
				       : NULL;

		json_object_set_new(root, "status", json_integer(row->status));
		json_object_set_new(root, "verdict",
				    json_string(pr_verdict_name(row->verdict)));
		if (body)
			json_object_set_new(root, "body", body);
	}
	text = json_dumps(root, JSON_COMPACT);
	if (text)
		err = pr_str_append(out, text, strlen(text));
	free(text);
	json_decref(root);
	return err;
}

static int read_name(char *out, const json_t *root, const char *field)
{
	const char *text = json_string_value(json_object_get(root, field));

	if (!text)
		return PR_EPARSE;
	return pr_slice_copy(out, PR_ONCE_NAME_SIZE, pr_slice_of(text));
}

static int read_outcome(pr_once_row_t *out, const json_t *root)
{
	const json_t *status = json_object_get(root, "status");
	const json_t *body = json_object_get(root, "body");
	const char *verdict =
		json_string_value(json_object_get(root, "verdict"));

	if (!json_is_integer(status) || !verdict)
		return PR_EPARSE;
	out->status = (int)json_integer_value(status);
	out->verdict = strcmp(verdict, "ran") != 0 ? PR_VERDICT_MAY_HAVE_RUN
						   : PR_VERDICT_RAN;
	out->body_kept = json_is_string(body);
	if (!out->body_kept)
		return 0;
	return pr_str_append(&out->body, json_string_value(body),
			     json_string_length(body));
}

static int read_row(pr_once_row_t *out, const json_t *root)
{
	const char *state = json_string_value(json_object_get(root, "state"));

	if (!state || read_name(out->attempt, root, "attempt") ||
	    read_name(out->body_hash, root, "body_hash") ||
	    read_name(out->host, root, "host"))
		return PR_EPARSE;
	for (int i = PR_ONCE_ROW_CLAIMED; i <= PR_ONCE_ROW_NOT_RUN; i++) {
		if (strcmp(state, state_names[i]) != 0)
			continue;
		out->state = (pr_once_state_t)i;
		return i == PR_ONCE_ROW_DONE ? read_outcome(out, root) : 0;
	}
	return PR_EPARSE;
}

int pr_once_row_parse(pr_once_row_t *out, pr_slice_t text)
{
	json_t *root = json_loadb(text.ptr ? text.ptr : "", text.len,
				  JSON_ALLOW_NUL, NULL);
	int err;

	memset(out, 0, sizeof(*out));
	err = root ? read_row(out, root) : PR_EPARSE;
	json_decref(root);
	if (err) {
		pr_once_row_finish(out);
		return pr_error_set(err, "claim row is not valid");
	}
	return 0;
}

void pr_once_row_finish(pr_once_row_t *row)
{
	pr_str_finish(&row->body);
}
