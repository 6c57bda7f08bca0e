#include "config/tree.h"

#include <stdlib.h>
#include <yaml.h>

#include "pistachiorack/error.h"

struct pr_tree_t {
	yaml_document_t document;
};

pr_tree_t *pr_tree_load(pr_slice_t text)
{
	pr_tree_t *tree = calloc(1, sizeof(*tree));
	yaml_parser_t parser;
	int loaded;

	if (!tree || !yaml_parser_initialize(&parser)) {
		free(tree);
		return NULL;
	}
	yaml_parser_set_input_string(&parser, (const unsigned char *)text.ptr,
				     text.len);
	loaded = yaml_parser_load(&parser, &tree->document);
	yaml_parser_delete(&parser);
	if (loaded && yaml_document_get_root_node(&tree->document))
		return tree;
	if (loaded)
		yaml_document_delete(&tree->document);
	free(tree);
	return NULL;
}

void pr_tree_free(pr_tree_t *tree)
{
	if (!tree)
		return;
	yaml_document_delete(&tree->document);
	free(tree);
}

static yaml_node_t *node_at(const pr_tree_t *tree, int id)
{
	return yaml_document_get_node((yaml_document_t *)&tree->document, id);
}

static pr_slice_t scalar(const yaml_node_t *node)
{
	if (!node || node->type != YAML_SCALAR_NODE)
		return pr_slice("", 0);
	return pr_slice((const char *)node->data.scalar.value,
			node->data.scalar.length);
}

static yaml_node_t *child(const pr_tree_t *tree, const yaml_node_t *node,
			  pr_slice_t key)
{
	const yaml_node_pair_t *pair;

	if (node->type != YAML_MAPPING_NODE)
		return NULL;
	for (pair = node->data.mapping.pairs.start;
	     pair < node->data.mapping.pairs.top; pair++)
		if (pr_slice_equal(scalar(node_at(tree, pair->key)), key))
			return node_at(tree, pair->value);
	return NULL;
}

static yaml_node_t *element(const pr_tree_t *tree, const yaml_node_t *node,
			    size_t index)
{
	if (node->type != YAML_SEQUENCE_NODE ||
	    index >= (size_t)(node->data.sequence.items.top -
			      node->data.sequence.items.start))
		return NULL;
	return node_at(tree, node->data.sequence.items.start[index]);
}

unsigned int pr_tree_line(const pr_tree_t *tree, const char *path)
{
	const yaml_node_t *node, *next;

	if (!tree)
		return 0;
	node = yaml_document_get_root_node((yaml_document_t *)&tree->document);
	while (*path) {
		if (*path == '[') {
			char *end;

			next = element(tree, node, strtoul(path + 1, &end, 10));
			path = *end ? end + 1 : end;
		} else {
			size_t len = strcspn(path, ".[");

			next = child(tree, node, pr_slice(path, len));
			path += len;
		}
		if (*path == '.')
			path++;
		if (!next)
			break;
		node = next;
	}
	return (unsigned int)node->start_mark.line + 1;
}

void pr_findings_locate(pr_findings_t *findings, pr_slice_t text)
{
	pr_tree_t *tree = text.len ? pr_tree_load(text) : NULL;

	for (unsigned int i = 0; i < findings->count; i++)
		if (!findings->items[i].line)
			findings->items[i].line =
				pr_tree_line(tree, findings->items[i].path);
	pr_tree_free(tree);
}

static int add_leaf(pr_leaves_t *out, const char *path, const char *value)
{
	pr_leaf_t *leaf;

	if (out->count == out->cap) {
		unsigned int cap = out->cap ? out->cap * 2 : 64;
		pr_leaf_t *items = realloc(out->items, cap * sizeof(*items));

		if (!items)
			return PR_ENOMEM;
		out->items = items;
		out->cap = cap;
	}
	leaf = &out->items[out->count];
	leaf->path = strdup(path);
	leaf->value = strdup(value);
	if (leaf->path && leaf->value) {
		out->count++;
		return 0;
	}
	free(leaf->path);
	free(leaf->value);
	return PR_ENOMEM;
}

static int walk(pr_leaves_t *out, const pr_tree_t *tree,
		const yaml_node_t *node, const pr_str_t *path);

static int walk_child(pr_leaves_t *out, const pr_tree_t *tree,
		      const yaml_node_t *node, const pr_str_t *path,
		      pr_slice_t name)
{
	pr_str_t inner = PR_STR_INIT;
	int rc;

	rc = pr_str_append(&inner, pr_str_cstr(path), path->len);
	if (!rc && path->len)
		rc = pr_str_append(&inner, "/", 1);
	if (!rc)
		rc = pr_str_append(&inner, name.ptr, name.len);
	if (!rc)
		rc = walk(out, tree, node, &inner);
	pr_str_finish(&inner);
	return rc;
}

/* Entries with a name become parts of the path, plain ones a joined value. */
static int walk_sequence(pr_leaves_t *out, const pr_tree_t *tree,
			 const yaml_node_t *node, const pr_str_t *path)
{
	pr_str_t joined = PR_STR_INIT;
	const yaml_node_t *entry;
	bool plain = false;
	int rc = 0;

	for (size_t i = 0; !rc && (entry = element(tree, node, i)); i++) {
		const yaml_node_t *name = child(tree, entry, PR_SLICE("name"));

		if (!name)
			name = child(tree, entry, PR_SLICE("workspace"));
		if (name) {
			rc = walk_child(out, tree, entry, path, scalar(name));
			continue;
		}
		plain = true;
		rc = pr_str_appendf(&joined, "%s%.*s", joined.len ? ", " : "",
				    (int)scalar(entry).len, scalar(entry).ptr);
	}
	if (!rc && plain)
		rc = add_leaf(out, pr_str_cstr(path), pr_str_cstr(&joined));
	pr_str_finish(&joined);
	return rc;
}

static int walk(pr_leaves_t *out, const pr_tree_t *tree,
		const yaml_node_t *node, const pr_str_t *path)
{
	const yaml_node_pair_t *pair;
	int rc = 0;

	if (node->type == YAML_SCALAR_NODE)
		return add_leaf(out, pr_str_cstr(path), scalar(node).ptr);
	if (node->type == YAML_SEQUENCE_NODE)
		return walk_sequence(out, tree, node, path);
	for (pair = node->data.mapping.pairs.start;
	     !rc && pair < node->data.mapping.pairs.top; pair++)
		rc = walk_child(out, tree, node_at(tree, pair->value), path,
				scalar(node_at(tree, pair->key)));
	return rc;
}

static int by_path(const void *a, const void *b)
{
	return strcmp(((const pr_leaf_t *)a)->path,
		      ((const pr_leaf_t *)b)->path);
}

int pr_tree_leaves(pr_leaves_t *out, const pr_tree_t *tree)
{
	yaml_document_t *document = (yaml_document_t *)&tree->document;
	pr_str_t path = PR_STR_INIT;
	int rc;

	rc = walk(out, tree, yaml_document_get_root_node(document), &path);
	if (out->count)
		qsort(out->items, out->count, sizeof(*out->items), by_path);
	return rc;
}

void pr_leaves_finish(pr_leaves_t *leaves)
{
	for (unsigned int i = 0; i < leaves->count; i++) {
		free(leaves->items[i].path);
		free(leaves->items[i].value);
	}
	free(leaves->items);
	memset(leaves, 0, sizeof(*leaves));
}
