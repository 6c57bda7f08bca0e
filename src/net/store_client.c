/*
 * Table service calls. Keys may hold any byte, so they are percent-encoded in
 * paths. An answer that cannot be read leaves it unknown whether the commit
 * was applied.
 */
#include "pistachiorack/store_client.h"

#include <jansson.h>
#include <stdlib.h>

#include "pistachiorack/error.h"

typedef struct store_call_t {
	pr_store_cb callback;
	void *data;
	uint64_t tag;
	size_t count;
	/** Gives a refusal after the function has returned. */
	pr_timer_t later;
} store_call_t;

static store_call_t *new_call(pr_store_cb callback, void *data, uint64_t tag,
			      size_t count)
{
	store_call_t *call = calloc(1, sizeof(*call));

	if (!call)
		return NULL;
	call->callback = callback;
	call->data = data;
	call->tag = tag;
	call->count = count;
	return call;
}

static void end_without_results(store_call_t *call, pr_store_status_t status)
{
	call->callback(call->data, call->tag, status, NULL, 0);
	free(call);
}

static void on_refused(pr_timer_t *timer, pr_usec_t now)
{
	end_without_results(timer->data, PR_STORE_REFUSED);
}

/* Callers rely on a callback that never comes before the call returns. */
static void refuse_later(pr_platform_t *platform, store_call_t *call)
{
	call->later.data = call;
	pr_timers_subscribe(pr_platform_timers(platform), &call->later, 0, 0,
			    on_refused);
}

/* Text of a row's value; the caller frees it. */
static char *value_text(const json_t *item)
{
	const json_t *value = json_object_get(item, "value");

	return value ? json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
}

static void fill_result(pr_store_result_t *result, const json_t *item,
			char **text)
{
	*text = value_text(item);
	result->applied = json_is_true(json_object_get(item, "applied"));
	result->version =
		(uint64_t)json_integer_value(json_object_get(item, "version"));
	result->value = pr_slice_of(*text ? *text : "");
}

static void give_results(store_call_t *call, const json_t *list)
{
	pr_store_result_t results[PR_STORE_OPS_MAX];
	char *texts[PR_STORE_OPS_MAX];
	size_t count = json_array_size(list);

	if (count != call->count || count > PR_STORE_OPS_MAX) {
		end_without_results(call, PR_STORE_UNKNOWN);
		return;
	}
	for (size_t i = 0; i < count; i++)
		fill_result(&results[i], json_array_get(list, i), &texts[i]);
	call->callback(call->data, call->tag, PR_STORE_ANSWERED, results,
		       count);
	for (size_t i = 0; i < count; i++)
		free(texts[i]);
	free(call);
}

static pr_store_status_t status_of(pr_platform_outcome_t outcome, int status)
{
	if (outcome == PR_PLATFORM_NOT_APPLIED)
		return PR_STORE_REFUSED;
	if (outcome == PR_PLATFORM_UNKNOWN)
		return PR_STORE_UNKNOWN;
	if (status >= 400 && status < 500 && status != 404)
		return PR_STORE_REFUSED;
	return status == 200 || status == 404 ? PR_STORE_ANSWERED
					      : PR_STORE_UNKNOWN;
}

static void on_committed(void *data, pr_platform_outcome_t outcome, int status,
			 pr_slice_t body)
{
	store_call_t *call = data;
	pr_store_status_t known = status_of(outcome, status);
	json_t *root;

	if (known != PR_STORE_ANSWERED) {
		end_without_results(call, known);
		return;
	}
	root = json_loadb(body.ptr, body.len, 0, NULL);
	give_results(call, json_object_get(root, "results"));
	json_decref(root);
}

static void on_read(void *data, pr_platform_outcome_t outcome, int status,
		    pr_slice_t body)
{
	store_call_t *call = data;
	pr_store_status_t known = status_of(outcome, status);
	pr_store_result_t result = { 0 };
	char *text = NULL;
	json_t *root = NULL;

	if (known == PR_STORE_ANSWERED && status == 200) {
		root = json_loadb(body.ptr, body.len, 0, NULL);
		if (root)
			fill_result(&result, root, &text);
		else
			known = PR_STORE_UNKNOWN;
	}
	call->callback(call->data, call->tag, known, &result,
		       known == PR_STORE_ANSWERED ? 1 : 0);
	json_decref(root);
	free(text);
	free(call);
}

static const char *condition_name(pr_store_condition_t condition)
{
	static const char *const names[] = { "absent", "version", "any" };

	return names[condition];
}

static json_t *pack_op(const pr_store_op_t *op)
{
	json_t *value =
		json_loadb(op->value.ptr, op->value.len, JSON_DECODE_ANY, NULL);

	return json_pack("{s:s, s:s%, s:s, s:I, s:o}", "table", op->table,
			 "key", op->key.ptr, op->key.len, "if",
			 condition_name(op->condition), "version",
			 (json_int_t)op->version, "value",
			 value ? value : json_null());
}

void pr_store_commit(pr_platform_t *platform, const pr_store_op_t *ops,
		     size_t count, pr_usec_t timeout, pr_store_cb callback,
		     void *data, uint64_t tag)
{
	store_call_t *call = new_call(callback, data, tag, count);
	json_t *list = json_array();
	json_t *root = json_pack("{s:o}", "ops", list);
	char *text = NULL;
	bool packed = call && root;

	for (size_t i = 0; i < count && packed; i++)
		packed = !json_array_append_new(list, pack_op(&ops[i]));
	if (packed)
		text = json_dumps(root, JSON_COMPACT);
	if (!text || pr_platform_call_owned(platform, "POST",
					    PR_SLICE("/v1/table/commit"),
					    pr_slice_of(text), timeout,
					    on_committed, free, call)) {
		if (call)
			refuse_later(platform, call);
		else
			callback(data, tag, PR_STORE_REFUSED, NULL, 0);
	}
	free(text);
	json_decref(root);
}

static int append_encoded(pr_str_t *out, pr_slice_t key)
{
	static const char plain[] =
		"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
		"0123456789-_.~/";
	int rc = 0;

	for (size_t i = 0; i < key.len && !rc; i++) {
		unsigned char byte = (unsigned char)key.ptr[i];

		if (byte && strchr(plain, byte))
			rc = pr_str_append(out, &key.ptr[i], 1);
		else
			rc = pr_str_appendf(out, "%%%02X", byte);
	}
	return rc;
}

void pr_store_read(pr_platform_t *platform, const char *table, pr_slice_t key,
		   pr_usec_t timeout, pr_store_cb callback, void *data,
		   uint64_t tag)
{
	store_call_t *call = new_call(callback, data, tag, 1);
	pr_str_t path = PR_STR_INIT;
	int rc = call ? 0 : PR_ENOMEM;

	if (!rc)
		rc = pr_str_appendf(&path, "/v1/table/rows/%s/", table);
	if (!rc)
		rc = append_encoded(&path, key);
	if (!rc)
		rc = pr_platform_call_owned(
			platform, "GET", pr_str_slice(&path), pr_slice("", 0),
			timeout, on_read, free, call);
	pr_str_finish(&path);
	if (rc && call)
		refuse_later(platform, call);
	else if (rc)
		callback(data, tag, PR_STORE_REFUSED, NULL, 0);
}
