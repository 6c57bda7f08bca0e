/*
 * Loads YAML by schema with libcyaml and turns its log into one error message
 * with file, line, field, value and reason.
 */
#ifndef PR_BASE_YAML_H
#define PR_BASE_YAML_H

#include <cyaml/cyaml.h>

#include "pistachiorack/str.h"

/**
 * Load a document.
 *
 * @param out the value described by the schema; free with pr_yaml_free()
 * @param name file name for messages
 * @return 0 or PR_EPARSE with the detail in pr_error_last()
 */
int pr_yaml_load(void **out, const char *name, pr_slice_t text,
		 const cyaml_schema_value_t *schema);
/** Append a value as YAML. @return 0 or PR_EINVALID */
int pr_yaml_save(pr_str_t *out, const void *value,
		 const cyaml_schema_value_t *schema);
void pr_yaml_free(void *value, const cyaml_schema_value_t *schema);
/**
 * Replace characters that JSON may contain as they are, and that YAML refuses
 * or takes for the end of a line, by question marks. A byte order mark at the
 * begin stays.
 */
void pr_yaml_mask(pr_str_t *text);
/** Read a whole file. @return 0, PR_ENOTFOUND or PR_ENOMEM */
int pr_file_read(pr_str_t *out, const char *path);

#endif
