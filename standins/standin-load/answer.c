/* Parsing and checking of answers. */
#include <stdlib.h>
#include <string.h>

#include "../common/text.h"
#include "load.h"
#include "pistachiorack/hash.h"

static void take(char *out, size_t size, const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	if (text)
		pr_slice_copy(out, size, pr_slice_of(text));
}

static void take_error(load_request_t *request, const json_t *json)
{
	const json_t *error = json_object_get(json, "error");

	if (!json_is_object(error))
		return;
	take(request->code, sizeof(request->code), error, "code");
	take(request->verdict, sizeof(request->verdict), error, "verdict");
}

static void take_content(load_request_t *request, const json_t *json,
			 const char *part)
{
	const json_t *choice =
		json_array_get(json_object_get(json, "choices"), 0);
	const json_t *content =
		json_object_get(json_object_get(choice, part), "content");

	if (!json_is_string(content))
		return;
	if (!request->first)
		request->first = load_now(request->load);
	pr_str_append(&request->text, json_string_value(content),
		      json_string_length(content));
}

static void take_event(load_request_t *request, pr_slice_t data)
{
	json_t *json;

	if (pr_slice_equal(data, PR_SLICE("[DONE]"))) {
		request->done_seen = true;
		return;
	}
	json = json_loadb(data.ptr, data.len, 0, NULL);
	if (!json || json_object_get(json, "error"))
		request->error_event = true;
	if (!json)
		pr_slice_copy(request->code, sizeof(request->code),
			      PR_SLICE("bad_event"));
	take_error(request, json);
	take(request->model, sizeof(request->model), json, "model");
	take_content(request, json, "delta");
	json_decref(json);
}

void load_sse_parse(load_request_t *request)
{
	pr_str_t *input = &request->input;

	for (;;) {
		const char *line = input->ptr + request->parsed;
		const char *end =
			memchr(line, '\n', input->len - request->parsed);
		size_t len;

		if (!end)
			return;
		len = (size_t)(end - line);
		request->parsed += len + 1;
		if (len && line[len - 1] == '\r')
			len--;
		if (len > 6 && memcmp(line, "data: ", 6) == 0)
			take_event(request, pr_slice(line + 6, len - 6));
	}
}

void load_json_parse(load_request_t *request)
{
	json_t *json = json_loadb(pr_str_cstr(&request->input),
				  request->input.len, 0, NULL);

	if (!json) {
		pr_slice_copy(request->code, sizeof(request->code),
			      PR_SLICE("bad_json"));
		return;
	}
	take_error(request, json);
	take(request->model, sizeof(request->model), json, "model");
	take_content(request, json, "message");
	json_decref(json);
}

/* "model@version" that the answer claims, from its header or its body. */
static void claimed_version(const load_request_t *request, char *out,
			    size_t size)
{
	const char *header = request->version;

	if (strchr(header, '@'))
		snprintf(out, size, "%s", header);
	else if (header[0])
		snprintf(out, size, "%s@%s", request->load->options.model,
			 header);
	else
		snprintf(out, size, "%s", request->model);
}

static load_check_t check_chat(const load_request_t *request)
{
	char version[2 * LOAD_NAME_BYTES];
	pr_str_t prompt = PR_STR_INIT;
	uint64_t seed;

	claimed_version(request, version, sizeof(version));
	pr_str_appendf(&prompt, "user: %s\n", pr_str_cstr(&request->prompt));
	seed = standin_text_seed(pr_slice_of(version), pr_str_slice(&prompt));
	pr_str_finish(&prompt);
	return standin_text_check(pr_str_slice(&request->text), seed,
				  request->tokens)
		       ? LOAD_CHECK_OK
		       : LOAD_CHECK_WRONG;
}

static load_check_t check_operation(const load_request_t *request)
{
	char hash[PR_SHA256_HEX_SIZE];
	char key[LOAD_NAME_BYTES] = "";
	char sum[PR_SHA256_HEX_SIZE] = "";
	json_t *json = json_loadb(pr_str_cstr(&request->input),
				  request->input.len, 0, NULL);

	take(key, sizeof(key), json, "key");
	take(sum, sizeof(sum), json, "body_sha256");
	json_decref(json);
	pr_sha256_hex(hash, pr_str_slice(&request->body));
	return strcmp(key, request->key) == 0 && strcmp(sum, hash) == 0
		       ? LOAD_CHECK_OK
		       : LOAD_CHECK_WRONG;
}

load_check_t load_check(const load_request_t *request)
{
	if (load_classes[request->class_id].chat)
		return check_chat(request);
	return check_operation(request);
}
