/* The object store: named byte strings in memory. */
#include <stdlib.h>
#include <string.h>

#include "pistachiorack/error.h"
#include "platform.h"

#define OBJECTS_MAX ((size_t)10000)
#define BYTES_MAX   ((size_t)512 << 20)

const object_t *objects_get(const objects_t *objects, const char *name)
{
	for (size_t i = 0; i < objects->count; i++)
		if (strcmp(objects->objects[i].name, name) == 0)
			return &objects->objects[i];
	return NULL;
}

static object_t *add(objects_t *objects, const char *name)
{
	object_t *list;

	if (objects->count == OBJECTS_MAX)
		return NULL;
	list = realloc(objects->objects, (objects->count + 1) * sizeof(*list));
	if (!list)
		return NULL;
	objects->objects = list;
	list[objects->count] = (object_t){ .name = strdup(name) };
	return &list[objects->count++];
}

int objects_put(objects_t *objects, const char *name, pr_slice_t bytes)
{
	object_t *object = (object_t *)objects_get(objects, name);
	char *copy;

	if (objects->bytes + bytes.len > BYTES_MAX)
		return pr_error_set(PR_EFULL, "the object store is full");
	copy = malloc(bytes.len + 1);
	if (!object)
		object = add(objects, name);
	if (!object || !copy) {
		free(copy);
		return pr_error_set(PR_EFULL, "the object store is full");
	}
	if (bytes.len)
		memcpy(copy, bytes.ptr, bytes.len);
	objects->bytes += bytes.len - object->len;
	free(object->bytes);
	object->bytes = copy;
	object->len = bytes.len;
	return 0;
}
