/*
 * Group commit: writes of this host and, as their owner, of others are
 * collected and leave in commits of up to group_max.
 */
#include <stdlib.h>

#include "once/internal.h"
#include "pistachiorack/error.h"

static void write_free(pr_once_write_t *write)
{
	pr_str_finish(&write->key);
	pr_str_finish(&write->attempt);
	pr_str_finish(&write->row);
	free(write);
}

static pr_store_op_t op_of(const pr_once_t *once, const pr_once_write_t *write)
{
	pr_store_op_t op = {
		.table = PR_ONCE_TABLE,
		.key = pr_str_slice(&write->key),
		.condition = write->version ? PR_STORE_IF_VERSION
					    : PR_STORE_IF_ABSENT,
		.version = write->version,
		.value = pr_str_slice(&write->row),
	};

	if (once->options.test_unconditional)
		op.condition = PR_STORE_IF_ANY;
	return op;
}

static void commit_group(pr_once_t *once)
{
	pr_store_op_t ops[PR_STORE_OPS_MAX];
	pr_once_group_t *group = calloc(1, sizeof(*group));

	/* Without memory the writes stay queued until the next timer. */
	if (!group)
		return;
	while (!pr_list_empty(&once->queue) &&
	       group->count < once->options.group_max) {
		pr_once_write_t *write =
			PR_OWNER(once->queue.next, pr_once_write_t, list);

		pr_list_remove(&write->list);
		once->queue_count--;
		ops[group->count] = op_of(once, write);
		group->writes[group->count++] = write;
	}
	pr_index_add(&once->groups, &group->node, ++once->next_tag);
	once->counters.commits++;
	once->counters.writes += group->count;
	once->options.ops->commit(once->options.data, ops, group->count,
				  group->node.key);
}

static void flush_expired(pr_timer_t *timer, pr_usec_t now)
{
	pr_once_t *once = timer->data;

	if (!pr_list_empty(&once->queue))
		commit_group(once);
	if (!pr_list_empty(&once->queue))
		pr_once_arm(once, timer, now, once->options.group_wait,
			    flush_expired);
}

int pr_once_group_add(pr_once_t *once, pr_slice_t from,
		      const pr_once_message_t *message, pr_usec_t now)
{
	pr_once_write_t *write;

	if (once->writes_count >= once->options.writes_max)
		return pr_error_set(PR_EFULL, "queue of claims is full");
	write = calloc(1, sizeof(*write));
	if (!write)
		return pr_error_set(PR_ENOMEM, "no memory for a claim");
	write->request = message->request;
	write->write = message->write;
	write->version = message->version;
	if (pr_slice_copy(write->from, sizeof(write->from), from) ||
	    pr_str_append(&write->key, message->key.ptr, message->key.len) ||
	    pr_str_append(&write->attempt, message->attempt.ptr,
			  message->attempt.len) ||
	    pr_str_append(&write->row, message->row.ptr, message->row.len)) {
		write_free(write);
		return pr_error_set(PR_ENOMEM, "no memory for a claim");
	}
	pr_list_append(&once->queue, &write->list);
	once->writes_count++;
	if (++once->queue_count >= once->options.group_max)
		commit_group(once);
	else if (once->queue_count == 1)
		pr_once_arm(once, &once->flush, now, once->options.group_wait,
			    flush_expired);
	return 0;
}

static void report(pr_once_t *once, const pr_once_write_t *write,
		   const pr_once_message_t *result, pr_usec_t now)
{
	if (!write->from[0])
		pr_once_written(once, result, true, now);
	else
		once->options.ops->send(once->options.data,
					pr_slice_of(write->from), result);
}

void pr_once_committed(pr_once_t *once, uint64_t tag, pr_store_status_t status,
		       const pr_store_result_t *results, size_t count,
		       pr_usec_t now)
{
	pr_index_node_t *node = pr_index_find(&once->groups, tag);
	pr_once_group_t *group;

	if (!node)
		return;
	group = PR_OWNER(node, pr_once_group_t, node);
	pr_index_remove(&once->groups, node);
	/* An answer of another length says nothing about single writes. */
	if (status == PR_STORE_ANSWERED && count != group->count)
		status = PR_STORE_UNKNOWN;
	once->writes_count -= group->count;
	for (size_t i = 0; i < group->count; i++) {
		pr_once_write_t *write = group->writes[i];
		pr_once_message_t result = {
			.kind = PR_ONCE_MESSAGE_RESULT,
			.request = write->request,
			.write = write->write,
			.key = pr_str_slice(&write->key),
			.attempt = pr_str_slice(&write->attempt),
			.status = status,
			.row = PR_SLICE(""),
		};

		if (status == PR_STORE_ANSWERED) {
			result.applied = results[i].applied;
			result.version = results[i].version;
			if (!results[i].applied)
				result.row = results[i].value;
		}
		report(once, write, &result, now);
		write_free(write);
	}
	free(group);
}

void pr_once_group_finish(pr_once_t *once)
{
	pr_list_t *queued = once->queue.next;
	pr_index_node_t *node;

	while (queued != &once->queue) {
		pr_once_write_t *write =
			PR_OWNER(queued, pr_once_write_t, list);

		queued = queued->next;
		write_free(write);
	}
	pr_list_init(&once->queue);
	while ((node = pr_index_any(&once->groups)) != NULL) {
		pr_once_group_t *group = PR_OWNER(node, pr_once_group_t, node);

		pr_index_remove(&once->groups, node);
		for (size_t i = 0; i < group->count; i++)
			write_free(group->writes[i]);
		free(group);
	}
	pr_index_finish(&once->groups);
}
