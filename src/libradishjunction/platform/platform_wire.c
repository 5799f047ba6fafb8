#include "private/platform_wire.h"

#include <assert.h>
#include <glib.h>
#include <string.h>
#include <talloc.h>

#include "private/wire.h"

/* JSON integers are signed 64-bit numbers. */
#define NUMBER_MAX INT64_MAX
/*
 * Longer than any record this project writes, so that a reader skips an
 * oversized record as malformed instead of rejecting its whole page.
 */
#define TEXT_MAX_BYTES (64 * 1024 * 1024)

static const struct rj_schema_field entry_fields[] = {
	{ RJ_FIELD(u64, rj_log_entry, offset), .max = NUMBER_MAX },
	{ RJ_FIELD(u64, rj_log_entry, age_ms), .max = NUMBER_MAX },
	{ RJ_FIELD(string, rj_log_entry, text), .max = TEXT_MAX_BYTES },
};

static const struct rj_schema entry_schema = {
	.fields = entry_fields,
	.field_count = RJ_FIELD_COUNT(entry_fields),
	.size = sizeof(struct rj_log_entry),
	.allow_unknown = true,
};

static const struct rj_schema_field page_fields[] = {
	{ RJ_FIELD(u64, rj_log_page, oldest), .max = NUMBER_MAX },
	{ RJ_FIELD(u64, rj_log_page, from), .max = NUMBER_MAX },
	{ RJ_FIELD(u64, rj_log_page, next), .max = NUMBER_MAX },
	{ RJ_FIELD(u64, rj_log_page, head), .max = NUMBER_MAX },
	{ RJ_FIELD(array, rj_log_page, records),
	  .count_offset = offsetof(struct rj_log_page, count),
	  .schema = &entry_schema, .max = RJ_LOG_PAGE_MAX },
};

static const struct rj_schema page_schema = {
	.fields = page_fields,
	.field_count = RJ_FIELD_COUNT(page_fields),
	.size = sizeof(struct rj_log_page),
	.allow_unknown = true,
};

struct append_answer {
	uint64_t first_offset;
};

static const struct rj_schema_field append_fields[] = {
	{ RJ_FIELD(u64, append_answer, first_offset), .max = NUMBER_MAX },
};

static const struct rj_schema append_schema = {
	.fields = append_fields,
	.field_count = RJ_FIELD_COUNT(append_fields),
	.size = sizeof(struct append_answer),
	.allow_unknown = true,
};

enum wire_state { STATE_LIVE, STATE_LEAVING, STATE_COUNT };

static const char *const state_string[STATE_COUNT] = {
	[STATE_LIVE] = "live",
	[STATE_LEAVING] = "leaving",
};

/* The protocol's representation of struct rj_instance. */
struct wire_instance {
	char name[RJ_NAME_BYTES];
	enum rj_instance_role role;
	char domain[RJ_NAME_BYTES];
	uint32_t rack;
	char ip[RJ_IP_BYTES];
	uint32_t port;
	uint64_t incarnation;
	enum wire_state state;
};

static const struct rj_schema_field instance_fields[] = {
	{ RJ_FIELD(name, wire_instance, name), .optional = true },
	{ RJ_FIELD(choice, wire_instance, role),
	  .choices = rj_instance_role_string, .max = RJ_ROLE_COUNT },
	{ RJ_FIELD(name, wire_instance, domain) },
	{ RJ_FIELD(u32, wire_instance, rack), .optional = true,
	  .max = UINT32_MAX },
	{ RJ_FIELD(text, wire_instance, ip), .min = 1, .size = RJ_IP_BYTES },
	{ RJ_FIELD(u32, wire_instance, port), .min = 1, .max = UINT16_MAX },
	{ RJ_FIELD(id, wire_instance, incarnation) },
	{ RJ_FIELD(choice, wire_instance, state), .choices = state_string,
	  .max = STATE_COUNT },
};

static const struct rj_schema instance_schema = {
	.fields = instance_fields,
	.field_count = RJ_FIELD_COUNT(instance_fields),
	.size = sizeof(struct wire_instance),
	.allow_unknown = true,
};

static const struct rj_schema_field name_fields[] = {
	{ RJ_FIELD(name, rj_instance_name, name) },
};

static const struct rj_schema name_schema = {
	.fields = name_fields,
	.field_count = RJ_FIELD_COUNT(name_fields),
	.size = sizeof(struct rj_instance_name),
	.allow_unknown = true,
};

struct wire_instances {
	uint64_t version;
	uint64_t since; /* base version of the changes */
	bool unchanged; /* the list still has the queried version */
	uint32_t total; /* with `since` */
	struct wire_instance *instances;
	uint32_t count;
	struct rj_instance_name *gone; /* with `since` */
	uint32_t gone_count;
};

static const struct rj_schema_field instances_fields[] = {
	{ RJ_FIELD(id, wire_instances, version), .optional = true },
	{ RJ_FIELD(id, wire_instances, since), .optional = true },
	{ RJ_FIELD(bool, wire_instances, unchanged), .optional = true },
	{ RJ_FIELD(u32, wire_instances, total), .optional = true,
	  .max = RJ_INSTANCES_MAX },
	{ RJ_FIELD(array, wire_instances, instances), .optional = true,
	  .count_offset = offsetof(struct wire_instances, count),
	  .schema = &instance_schema, .max = RJ_INSTANCES_MAX },
	{ RJ_FIELD(array, wire_instances, gone), .optional = true,
	  .count_offset = offsetof(struct wire_instances, gone_count),
	  .schema = &name_schema, .max = RJ_INSTANCES_MAX },
};

static const struct rj_schema instances_schema = {
	.fields = instances_fields,
	.field_count = RJ_FIELD_COUNT(instances_fields),
	.size = sizeof(struct wire_instances),
	.allow_unknown = true,
};

/*
 * Encode the answer to a read.
 */
char *rj_log_page_encode(void *mem, const struct rj_log_page *page)
{
	return rj_wire_encode(mem, &page_schema, page);
}

/*
 * Decode the answer to a read. Returns 0, or -1 with `err`, also if its
 * offsets are not consecutive: such a page would hide a record.
 */
int rj_log_page_decode(void *mem, const char *text, struct rj_log_page *page,
		       struct rj_error *err)
{
	if (rj_wire_decode(&page_schema, mem, text, page, err))
		return -1;
	if (page->from < page->oldest || page->next != page->from + page->count)
		return rj_error_set(err, RJ_ERR_MALFORMED,
				    "next: not one past the last record; read "
				    "again");
	for (uint32_t i = 0; i < page->count; i++)
		if (page->records[i].offset != page->from + i)
			return rj_error_set(err, RJ_ERR_MALFORMED,
					    "records[%u].offset: out of order; "
					    "read again",
					    i);
	return 0;
}

/*
 * Encode the answer to an append.
 */
char *rj_append_answer_encode(void *mem, uint64_t first_offset)
{
	struct append_answer answer = { first_offset };

	return rj_wire_encode(mem, &append_schema, &answer);
}

/*
 * Decode the answer to an append. Returns 0, or -1 with `err`.
 */
int rj_append_answer_decode(const char *text, uint64_t *first_offset,
			    struct rj_error *err)
{
	struct append_answer answer;

	if (rj_wire_decode(&append_schema, NULL, text, &answer, err))
		return -1;
	*first_offset = answer.first_offset;
	return 0;
}

static void to_wire(struct wire_instance *wire,
		    const struct rj_instance *instance)
{
	memset(wire, 0, sizeof(*wire));
	memcpy(wire->name, instance->name, sizeof(wire->name));
	wire->role = instance->role;
	memcpy(wire->domain, instance->domain, sizeof(wire->domain));
	wire->rack = instance->rack;
	memcpy(wire->ip, instance->address.ip, sizeof(wire->ip));
	wire->port = instance->address.port;
	wire->incarnation = instance->incarnation;
	wire->state = instance->leaving ? STATE_LEAVING : STATE_LIVE;
}

static void from_wire(struct rj_instance *instance,
		      const struct wire_instance *wire)
{
	memset(instance, 0, sizeof(*instance));
	memcpy(instance->name, wire->name, sizeof(instance->name));
	instance->role = wire->role;
	memcpy(instance->domain, wire->domain, sizeof(instance->domain));
	instance->rack = wire->rack;
	memcpy(instance->address.ip, wire->ip, sizeof(instance->address.ip));
	instance->address.port = (uint16_t)wire->port;
	instance->incarnation = wire->incarnation;
	instance->leaving = wire->state == STATE_LEAVING;
}

/*
 * Encode one instance for its registration.
 */
char *rj_instance_encode(void *mem, const struct rj_instance *instance)
{
	struct wire_instance wire;

	to_wire(&wire, instance);
	return rj_wire_encode(mem, &instance_schema, &wire);
}

/*
 * Decode one instance; its name is optional. Returns 0, or -1 with `err`.
 */
int rj_instance_decode(const char *text, struct rj_instance *instance,
		       struct rj_error *err)
{
	struct wire_instance wire;

	if (rj_wire_decode(&instance_schema, NULL, text, &wire, err))
		return -1;
	from_wire(instance, &wire);
	return 0;
}

/*
 * The version of a list, a digest of its instances; never 0. IP addresses are
 * not included, because a worker's address changes only with its incarnation.
 */
uint64_t rj_instances_version(const struct rj_instance *instances,
			      uint32_t count)
{
	uint64_t digest = count + 1;

	for (uint32_t i = 0; i < count; i++) {
		const uint64_t numbers[] = { instances[i].incarnation,
					     instances[i].address.port,
					     instances[i].rack,
					     instances[i].leaving };

		digest = rj_hash64_string(instances[i].name, digest);
		digest = rj_hash64(numbers, sizeof(numbers), digest);
	}
	return digest ? digest : 1;
}

/*
 * Encode the list of instances with its version; the instances are omitted if
 * the version equals `known`.
 */
char *rj_instances_encode(void *mem, const struct rj_instance *instances,
			  uint32_t count, uint64_t known)
{
	struct wire_instances wire = {
		.count = count,
		.version = rj_instances_version(instances, count),
	};
	char *text;

	wire.unchanged = wire.version == known;
	if (wire.unchanged) {
		wire.count = 0;
		return rj_wire_encode(mem, &instances_schema, &wire);
	}
	wire.instances = talloc_array(NULL, struct wire_instance, count);
	assert(wire.instances);
	for (uint32_t i = 0; i < count; i++)
		to_wire(&wire.instances[i], &instances[i]);
	text = rj_wire_encode(mem, &instances_schema, &wire);
	talloc_free(wire.instances);
	return text;
}

/*
 * Encode the changes of the list from version `answer->since` to
 * `answer->version`.
 */
char *rj_instances_encode_changes(void *mem,
				  const struct rj_instances_answer *answer)
{
	struct wire_instances wire = {
		.version = answer->version,
		.since = answer->since,
		.total = answer->total,
		.count = answer->count,
		.gone = answer->gone,
		.gone_count = answer->gone_count,
	};
	void *scratch = talloc_new(NULL);
	char *text;

	wire.instances =
		talloc_array(scratch, struct wire_instance, answer->count);
	assert(wire.instances);
	for (uint32_t i = 0; i < answer->count; i++)
		to_wire(&wire.instances[i], &answer->instances[i]);
	text = rj_wire_encode(mem, &instances_schema, &wire);
	talloc_free(scratch);
	return text;
}

/* Decode the valid instances of `list`; returns their number. */
static uint32_t decode_instances(const json_t *list,
				 struct rj_instance *instances)
{
	struct wire_instance wire;
	struct rj_error_list errors;
	uint32_t count = 0;
	const json_t *entry;
	size_t i;

	rj_error_list_init(&errors, NULL);
	json_array_foreach(
		list, i, entry) if (!rj_schema_decode(&instance_schema, NULL,
						      entry, &wire, &errors) &&
				    wire.name[0])
		from_wire(&instances[count++], &wire);
	rj_error_list_finish(&errors);
	return count;
}

/* Decode a version; 0 if the field is missing. */
static uint64_t decode_version(const json_t *json, const char *field)
{
	const char *text = json_string_value(json_object_get(json, field));

	return text ? g_ascii_strtoull(text, NULL, 16) : 0;
}

/* Decode the names of instances that are no longer listed. */
static void decode_removed(void *mem, const json_t *list,
			   struct rj_instances_answer *answer)
{
	const json_t *entry;
	size_t i;

	answer->gone = talloc_zero_array(mem, struct rj_instance_name,
					 json_array_size(list));
	assert(answer->gone);
	json_array_foreach(list, i, entry)
	{
		const char *name =
			json_string_value(json_object_get(entry, "name"));

		if (name &&
		    !rj_name_set(answer->gone[answer->gone_count].name, name))
			answer->gone_count++;
	}
}

/*
 * Decode the platform's answer to a query of the list. An invalid entry is
 * skipped, so that it does not hide other live or leaving instances. Returns
 * 0, or -1 with `err` if the answer is not a list.
 */
int rj_instances_decode(void *mem, const char *text,
			struct rj_instances_answer *answer,
			struct rj_error *err)
{
	json_t *json = json_loads(text, 0, NULL);
	const json_t *list = json_object_get(json, "instances");
	const json_t *gone = json_object_get(json, "gone");

	memset(answer, 0, sizeof(*answer));
	answer->version = decode_version(json, "version");
	answer->since = decode_version(json, "since");
	answer->unchanged = json_is_true(json_object_get(json, "unchanged"));
	answer->total =
		(uint32_t)json_integer_value(json_object_get(json, "total"));
	if (!answer->unchanged && !answer->since && !json_is_array(list)) {
		json_decref(json);
		return rj_error_set(err, RJ_ERR_MALFORMED,
				    "instances: no list; ask again");
	}
	if (json_array_size(list) > RJ_INSTANCES_MAX ||
	    json_array_size(gone) > RJ_INSTANCES_MAX) {
		json_decref(json);
		return rj_error_set(err, RJ_ERR_MALFORMED,
				    "instances: no list of at most %d; ask "
				    "again",
				    RJ_INSTANCES_MAX);
	}
	answer->instances =
		talloc_array(mem, struct rj_instance, json_array_size(list));
	assert(answer->instances);
	answer->count = decode_instances(list, answer->instances);
	decode_removed(mem, gone, answer);
	json_decref(json);
	return 0;
}
