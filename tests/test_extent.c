/*
 * Tests of src/relay/extent.c: which changes of a table the hosts of a region
 * know. A region is simulated without a network: the store counts versions, one
 * host reads it, and the others take over what relays announce. Guards against
 * hosts that count a removal as known which no host has seen.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "relay/extent.h"
#include "revision.h"

#define HOSTS_MAX 295
/* Hosts that send digests. */
#define RELAYS 4

typedef struct sim_host_t {
	pr_extent_t extent;
	/** The removal has reached this host. */
	bool knows;
} sim_host_t;

typedef struct region_t {
	sim_host_t hosts[HOSTS_MAX];
	int count;
	/** Version of the store, and of the removal. */
	uint64_t version, removal;
	int calls;
} region_t;

static void start_region(region_t *region, int count)
{
	memset(region, 0, sizeof(*region));
	region->count = count;
	region->version = 40;
	for (int i = 0; i < count; i++) {
		pr_extent_add(&region->hosts[i].extent, rev(30));
		pr_extent_read(&region->hosts[i].extent, rev(40), true);
		pr_extent_close_gap(&region->hosts[i].extent,
				    &(pr_announced_t){ rev(30), rev(40) });
	}
}

/* The removal is in the response to a feed call that continues before it. */
static void call_feed(region_t *region, sim_host_t *host, uint64_t after)
{
	region->calls++;
	if (region->removal && after < region->removal) {
		host->knows = true;
		pr_extent_add(&host->extent, rev(region->removal));
	}
	pr_extent_advance(&host->extent, rev(region->version));
}

static void read_table(region_t *region, sim_host_t *host)
{
	memset(host, 0, sizeof(*host));
	region->calls++;
	/* The row that existed before, and still does. */
	pr_extent_add(&host->extent, rev(30));
	pr_extent_read(&host->extent, rev(region->version), true);
	host->knows = true;
}

/* A relay with the newest change sends it to a host that asks for what came
 * after its own; the store does when the relay lacks a part of it. */
static void ask(region_t *region, sim_host_t *host, const sim_host_t *relay)
{
	pr_revision_t have = pr_extent_complete(&host->extent);

	if (pr_revision_is_after(relay->extent.base, have) ||
	    !pr_revision_is_after(relay->extent.newest, have)) {
		call_feed(region, host, have.number);
		return;
	}
	host->knows |= relay->knows;
	pr_extent_add(&host->extent, relay->extent.newest);
	pr_extent_advance(&host->extent, host->extent.newest);
}

/* All relays send a digest. A host that lacks a change asks for it when the
 * lag has lasted; the reader closes a gap at once. */
static void exchange(region_t *region, bool lag_lasts)
{
	for (int i = 0; i < RELAYS && i < region->count; i++) {
		sim_host_t *relay = &region->hosts[i];
		pr_announced_t announced =
			pr_extent_announce(&relay->extent, i == 0);

		for (int j = 0; j < region->count; j++) {
			sim_host_t *host = &region->hosts[j];

			if (j == i)
				continue;
			pr_extent_adopt(&host->extent, &announced, j != 0);
			if (!j &&
			    pr_extent_has_gap(&host->extent, &announced)) {
				call_feed(region, host,
					  announced.version.number);
				pr_extent_close_gap(&host->extent, &announced);
			}
			if (lag_lasts &&
			    pr_revision_is_after(
				    announced.newest,
				    pr_extent_complete(&host->extent)))
				ask(region, host, relay);
		}
	}
}

static int ignorant(const region_t *region)
{
	int count = 0;

	for (int i = 0; i < region->count; i++)
		count += !region->hosts[i].knows;
	return count;
}

/* DRAIN: an entry is removed while the reader starts again. Its full read does
 * not return the removal, and the others took over its version. */
static void test_removal_beside_a_restart_of_the_reader(void **state)
{
	static const int sizes[] = { 9, 84, 295 };
	static region_t region;

	for (size_t s = 0; s < sizeof(sizes) / sizeof(sizes[0]); s++) {
		start_region(&region, sizes[s]);
		region.removal = 42;
		region.version = 45;
		read_table(&region, &region.hosts[0]);
		exchange(&region, false);
		exchange(&region, true);
		exchange(&region, true);
		assert_int_equal(ignorant(&region), 0);
		/* The reader asks for all of them. */
		assert_int_equal(region.calls, 2);
	}
}

/* The reader is the only relay: no digest tells it what the others lack. */
static void test_reader_that_no_relay_reports_to(void **state)
{
	static region_t region;
	pr_announced_t announced;

	start_region(&region, 9);
	region.removal = 42;
	region.version = 45;
	read_table(&region, &region.hosts[0]);
	announced = pr_extent_announce(&region.hosts[0].extent, true);
	for (int i = 1; i < region.count; i++) {
		pr_extent_t *extent = &region.hosts[i].extent;

		pr_extent_adopt(extent, &announced, true);
		assert_int_equal(pr_extent_complete(extent).number, 40);
		assert_true(pr_revision_is_after(announced.newest,
						 pr_extent_complete(extent)));
	}
	/* A row that follows must not hide the removal either. */
	pr_extent_add(&region.hosts[0].extent, rev(45));
	assert_int_equal(pr_extent_last(&region.hosts[0].extent).number, 45);
}

/* A host that starts again while another one reads the store: it must not make
 * the others ask for changes that the reader tells them of. */
static void test_restart_of_another_host(void **state)
{
	static region_t region;
	pr_announced_t announced;

	start_region(&region, 84);
	region.version = 45;
	read_table(&region, &region.hosts[1]);
	announced = pr_extent_announce(&region.hosts[1].extent, false);
	assert_int_equal(announced.newest.number, 30);
	assert_int_equal(announced.version.number, 30);
	region.calls = 0;
	exchange(&region, true);
	assert_int_equal(region.calls, 0);
	/* The removal comes by the reader, and to all. */
	region.removal = 46;
	region.version = 47;
	call_feed(&region, &region.hosts[0], 40);
	region.hosts[1].knows = false;
	exchange(&region, true);
	exchange(&region, true);
	assert_int_equal(ignorant(&region), 0);
	assert_int_equal(region.calls, 1);
}

/* A later page of a full read has a row that is newer than the first page. A
 * removal between the two versions is in neither. */
static void test_change_between_the_pages_of_a_read(void **state)
{
	pr_extent_t extent = { 0 };

	pr_extent_add(&extent, rev(30));
	pr_extent_add(&extent, rev(44));
	pr_extent_read(&extent, rev(40), true);
	assert_int_equal(pr_extent_complete(&extent).number, 40);
	assert_int_equal(pr_extent_last(&extent).number, 40);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_removal_beside_a_restart_of_the_reader),
		cmocka_unit_test(test_reader_that_no_relay_reports_to),
		cmocka_unit_test(test_restart_of_another_host),
		cmocka_unit_test(test_change_between_the_pages_of_a_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
