#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "list_history.h"
#include "private/instance_list.h"

#define NAMES 12
#define SEEDS 200
#define STEPS 200

/* The platform's side of the list, and what an instance holds of it. */
struct site {
	void *mem;
	struct rj_instance lines[NAMES];
	uint32_t count;
	struct rj_standin_history history;
	struct rj_instance_list list;
	uint64_t random;
};

static struct site *site_new(uint64_t seed)
{
	struct site *site = g_new0(struct site, 1);

	site->mem = talloc_new(NULL);
	site->random = seed;
	rj_instance_list_init(&site->list, site->mem);
	return site;
}

static void site_free(struct site *site)
{
	talloc_free(site->mem);
	g_free(site);
}

static uint64_t version(const struct site *site)
{
	return rj_instances_version(site->lines, site->count);
}

/* Put a worker into the platform's list, or change its line. */
static void put(struct site *site, const char *name, uint64_t incarnation)
{
	uint32_t at = 0;

	rj_standin_history_record(&site->history, version(site), name);
	while (at < site->count && strcmp(site->lines[at].name, name) != 0)
		at++;
	site->count += at == site->count;
	memset(&site->lines[at], 0, sizeof(site->lines[at]));
	site->lines[at].role = RJ_ROLE_WORKER;
	g_strlcpy(site->lines[at].name, name, RJ_NAME_BYTES);
	g_strlcpy(site->lines[at].domain, "d", RJ_NAME_BYTES);
	g_strlcpy(site->lines[at].address.ip, "127.0.0.1", RJ_IP_BYTES);
	site->lines[at].address.port = 1024;
	site->lines[at].incarnation = incarnation;
}

/* Take one from the platform's list. */
static void take_away(struct site *site, const char *name)
{
	rj_standin_history_record(&site->history, version(site), name);
	for (uint32_t i = 0; i < site->count; i++)
		if (!strcmp(site->lines[i].name, name))
			site->lines[i] = site->lines[--site->count];
}

/* What the platform answers to whoever knows that version. */
static char *ask(struct site *site, uint64_t known)
{
	struct rj_instances_answer answer;

	if (known == version(site) ||
	    !rj_standin_history_since(&site->history, site->mem, known,
				      site->lines, site->count, &answer))
		return rj_instances_encode(site->mem, site->lines, site->count,
					   known);
	return rj_instances_encode_changes(site->mem, &answer);
}

/* Let the instance take an answer; whether it has news. */
static bool take(struct site *site, const char *text)
{
	struct rj_instances_answer answer;

	g_assert_cmpint(rj_instances_decode(site->mem, text, &answer, NULL), ==,
			0);
	return rj_instance_list_take(&site->list, &answer);
}

/* The list as it is held names whom the platform lists, with their lines. */
static void expect_equal(const struct site *site)
{
	g_assert_cmpuint(site->list.count, ==, site->count);
	for (uint32_t i = 0; i < site->count; i++) {
		bool found = false;

		for (uint32_t j = 0; j < site->count; j++)
			found |= !strcmp(site->list.lines[j].name,
					 site->lines[i].name) &&
				 site->list.lines[j].incarnation ==
					 site->lines[i].incarnation;
		g_assert_true(found);
	}
}

static void test_whole_then_changes(void)
{
	struct site *site = site_new(0);
	char *text;

	put(site, "a", 1);
	put(site, "b", 1);
	g_assert_true(take(site, ask(site, 0)));
	expect_equal(site);
	g_assert_false(take(site, ask(site, site->list.version)));
	put(site, "b", 2);
	put(site, "c", 1);
	take_away(site, "a");
	text = ask(site, site->list.version);
	g_assert_nonnull(strstr(text, "\"since\""));
	g_assert_true(take(site, text));
	expect_equal(site);
	g_assert_cmpuint(site->list.version, ==, version(site));
	/* A platform without versions sends the list whole each time. */
	g_assert_true(take(site, "{\"instances\":[]}"));
	g_assert_cmpuint(site->list.count, ==, 0);
	g_assert_cmpuint(site->list.version, ==, 0);
	site_free(site);
}

/*
 * An instance calls a worker at an address that was given to another.
 * The list is asked for twice; the first answer comes after the second, and
 * its older line replaces the newer one, of which no later answer speaks.
 * Cause: changes were taken against a version that was no longer held.
 */
static void test_late_answer_changes_nothing(void)
{
	struct site *site = site_new(0);
	char *late;

	put(site, "a", 1);
	take(site, ask(site, 0));
	put(site, "a", 2);
	late = ask(site, site->list.version);
	put(site, "a", 3);
	g_assert_true(take(site, ask(site, site->list.version)));
	g_assert_false(take(site, late));
	expect_equal(site);
	site_free(site);
}

/*
 * An instance that was replaced stays in the view of another for good.
 * The platform has forgotten to say that it is gone, and never says it again.
 * Cause: nothing compared the list with the platform's.
 */
static void test_list_of_another_length_is_asked_for_whole(void)
{
	struct site *site = site_new(0);
	struct rj_instances_answer answer;

	put(site, "a", 1);
	put(site, "b", 1);
	take(site, ask(site, 0));
	take_away(site, "a");
	put(site, "b", 2);
	g_assert_true(rj_standin_history_since(&site->history, site->mem,
					       site->list.version, site->lines,
					       site->count, &answer));
	answer.gone_count = 0;
	g_assert_false(
		take(site, rj_instances_encode_changes(site->mem, &answer)));
	g_assert_cmpuint(site->list.version, ==, 0);
	g_assert_true(take(site, ask(site, site->list.version)));
	expect_equal(site);
	site_free(site);
}

/* A version that the platform has forgotten, or never had, gets it whole. */
static void test_forgotten_version(void)
{
	struct site *site = site_new(0);

	put(site, "a", 1);
	take(site, ask(site, 0));
	for (uint32_t i = 0; i < RJ_STANDIN_HISTORY_MAX + 1; i++)
		put(site, "a", 2 + i);
	g_assert_null(strstr(ask(site, site->list.version), "\"since\""));
	g_assert_null(strstr(ask(site, 7), "\"since\""));
	take(site, ask(site, site->list.version));
	expect_equal(site);
	site_free(site);
}

/* Lines come, change and go; answers are lost, or come late: whoever has
 * taken an answer of now has the list of now. */
static void one_random_history(uint64_t seed)
{
	struct site *site = site_new(seed);
	char *late = NULL;

	put(site, "stays", 1);
	for (uint32_t step = 1; step < STEPS; step++) {
		char name[] = "a";

		name[0] =
			(char)('a' + rj_random64(&site->random) % (NAMES - 1));
		if (rj_random64(&site->random) % 3)
			put(site, name, step);
		else
			take_away(site, name);
		if (rj_random64(&site->random) % 4 == 0)
			late = ask(site, site->list.version);
		if (late && rj_random64(&site->random) % 4 == 0)
			take(site, late);
		if (rj_random64(&site->random) % 3)
			continue;
		late = NULL; /* one of now comes last */
		take(site, ask(site, site->list.version));
		expect_equal(site);
	}
	site_free(site);
}

static void test_random_histories(void)
{
	for (uint64_t seed = 0; seed < SEEDS; seed++)
		one_random_history(seed);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/instance-list/changes", test_whole_then_changes);
	g_test_add_func("/instance-list/late",
			test_late_answer_changes_nothing);
	g_test_add_func("/instance-list/length",
			test_list_of_another_length_is_asked_for_whole);
	g_test_add_func("/instance-list/forgotten", test_forgotten_version);
	g_test_add_func("/instance-list/random", test_random_histories);
	return g_test_run();
}
