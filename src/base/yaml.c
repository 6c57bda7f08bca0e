#include "base/yaml.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "pistachiorack/error.h"

/* Longest text of a number, with the terminator. */
#define FLOAT_BYTES 40

/*
 * libcyaml reports a fault through its log: first the reason, then a backtrace
 * whose innermost entry has the line. Both are joined to one message.
 */
static void collect_log(cyaml_log_t level, void *context, const char *fmt,
			va_list args)
{
	pr_str_t *log = context;
	char line[256];

	vsnprintf(line, sizeof(line), fmt, args);
	line[strcspn(line, "\n")] = '\0';
	if (strstr(line, "Backtrace"))
		return;
	if (!strncmp(line, "Load: ", 6))
		memmove(line, line + 6, strlen(line + 6) + 1);
	pr_str_appendf(log, "%s%s", log->len ? "; " : "", line);
}

static cyaml_config_t config_with_log(pr_str_t *log)
{
	return (cyaml_config_t){
		.log_fn = collect_log,
		.log_ctx = log,
		.mem_fn = cyaml_mem,
		.log_level = CYAML_LOG_ERROR,
		.flags = CYAML_CFG_DEFAULT,
	};
}

int pr_yaml_load(void **out, const char *name, pr_slice_t text,
		 const cyaml_schema_value_t *schema)
{
	pr_str_t log = PR_STR_INIT;
	cyaml_config_t config = config_with_log(&log);
	cyaml_err_t err;
	int rc = 0;

	*out = NULL;
	/* libyaml aborts or crashes without a text. */
	if (!text.len)
		return pr_error_set(PR_EPARSE, "%s: the file is empty", name);
	err = cyaml_load_data((const uint8_t *)text.ptr, text.len, &config,
			      schema, (cyaml_data_t **)out, NULL);
	if (err != CYAML_OK)
		rc = pr_error_set(PR_EPARSE, "%s: %s: %s", name,
				  cyaml_strerror(err), pr_str_cstr(&log));
	else if (!*out)
		rc = pr_error_set(PR_EPARSE, "%s: the document is empty", name);
	pr_str_finish(&log);
	return rc;
}

/*
 * libcyaml writes 0.9 as 9.0000000000000002e-01. Values in that form are
 * written with as many digits as people use.
 */
static int append_line(pr_str_t *out, const char *line, size_t len)
{
	const char *colon = memchr(line, ':', len);
	char value[FLOAT_BYTES];
	char *end = value;
	double number = 0;

	if (colon && colon[1] == ' ' &&
	    !pr_slice_copy(
		    value, sizeof(value),
		    pr_slice(colon + 2, len - (size_t)(colon + 2 - line))))
		number = strtod(value, &end);
	if (end == value || *end || !strchr(value, 'e'))
		return pr_str_appendf(out, "%.*s\n", (int)len, line);
	return pr_str_appendf(out, "%.*s %.10g\n", (int)(colon + 1 - line),
			      line, number);
}

static int append_lines(pr_str_t *out, const char *text, size_t len)
{
	int rc = 0;

	while (len && !rc) {
		const char *newline = memchr(text, '\n', len);
		size_t line = newline ? (size_t)(newline - text) : len;

		rc = append_line(out, text, line);
		line += newline != NULL;
		text += line;
		len -= line;
	}
	return rc;
}

int pr_yaml_save(pr_str_t *out, const void *value,
		 const cyaml_schema_value_t *schema)
{
	pr_str_t log = PR_STR_INIT;
	cyaml_config_t config = config_with_log(&log);
	char *text = NULL;
	size_t len = 0;
	cyaml_err_t err;
	int rc;

	err = cyaml_save_data(&text, &len, &config, schema, value, 0);
	if (err != CYAML_OK)
		rc = pr_error_set(PR_EINVALID, "%s: %s", cyaml_strerror(err),
				  pr_str_cstr(&log));
	else
		rc = append_lines(out, text, len);
	if (text)
		cyaml_mem(NULL, text, 0);
	pr_str_finish(&log);
	return rc;
}

void pr_yaml_free(void *value, const cyaml_schema_value_t *schema)
{
	cyaml_config_t config = config_with_log(NULL);

	config.log_fn = NULL;
	if (value)
		cyaml_free(&config, schema, value, 0);
}

/* Length of the character at the begin of the bytes if YAML does not read it as
 * a part of a line, or 0. */
static size_t masked_length(const unsigned char *at, size_t len)
{
	/* DEL, and the control characters from U+0080 to U+009F. */
	if (at[0] == 0x7f)
		return 1;
	if (len >= 2 && at[0] == 0xc2 && at[1] >= 0x80 && at[1] <= 0x9f)
		return 2;
	if (len < 3)
		return 0;
	/* The line and paragraph separators, U+2028 and U+2029. */
	if (at[0] == 0xe2 && at[1] == 0x80 && (at[2] == 0xa8 || at[2] == 0xa9))
		return 3;
	/* The byte order mark, U+FEFF, and U+FFFE and U+FFFF. */
	if (at[0] == 0xef && ((at[1] == 0xbb && at[2] == 0xbf) ||
			      (at[1] == 0xbf && at[2] >= 0xbe)))
		return 3;
	return 0;
}

void pr_yaml_mask(pr_str_t *text)
{
	size_t at = 0;

	if (text->len >= 3 && !memcmp(text->ptr, "\xef\xbb\xbf", 3))
		at = 3;
	while (at < text->len) {
		size_t len = masked_length(
			(const unsigned char *)text->ptr + at, text->len - at);

		memset(text->ptr + at, '?', len);
		at += len ? len : 1;
	}
}

int pr_file_read(pr_str_t *out, const char *path)
{
	FILE *file = fopen(path, "rb");
	char block[4096];
	size_t got;
	int rc = 0;

	if (!file)
		return pr_error_set(PR_ENOTFOUND, "%s: cannot be read", path);
	while (!rc && (got = fread(block, 1, sizeof(block), file)) > 0)
		rc = pr_str_append(out, block, got);
	fclose(file);
	return rc;
}
