/* apply.c -- fulmartackctl config apply.

   The command id is a digest of the document, its base version included, so a
   repeat after a lost answer finds the first attempt instead of adding
   another.  If the tables are in force already, nothing is appended and the
   command only waits for the members.  */

#include "ctl/ctl.h"

#include "adapter/config_json.h"
#include "adapter/duty.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define POLL_PERIOD_MS 50
/** Timeout of a status call.  The members are asked in turn, so one that
    does not answer delays the rest by as much.  */
#define STATUS_TIMEOUT_MS 500
#define ID_DIGEST_BYTES 16

/* A member and the configuration version that it has reported.  */
struct member_version
{
  char vm[NAME_BYTES];
  char address[ADDRESS_BYTES]; /**< May be empty.  */
  uint64_t version;            /**< 0: none reported.  */
};

/* The members that are to report VERSION.  */
struct rollout
{
  struct member_version *items;
  uint32_t item_count;
  uint64_t version;
};

static void
document_command_id (const struct config *tables, char *id)
{
  json_t *j = config_to_json (tables);
  char *text = json_dumps (j, JSON_COMPACT | JSON_SORT_KEYS);
  uint8_t digest[ID_DIGEST_BYTES];
  char hex[2 * ID_DIGEST_BYTES + 1];

  crypto_generichash (digest, sizeof digest, (const uint8_t *)text,
                      strlen (text), NULL, 0);
  sodium_bin2hex (hex, sizeof hex, digest, sizeof digest);
  snprintf (id, ID_BYTES, "config-%s", hex);
  free (text);
  json_decref (j);
}

static struct rollout *
rollout_new (TALLOC_CTX *mem, const struct control *s)
{
  struct rollout *r = talloc_zero (mem, struct rollout);
  const struct member **members = ctl_sorted_members (mem, s);
  uint32_t i;

  r->version = s->config_version;
  r->item_count = s->member_count;
  r->items = talloc_zero_array (r, struct member_version, s->member_count);
  for (i = 0; i < s->member_count; i++)
    {
      text_copy (r->items[i].vm, NAME_BYTES, members[i]->vm);
      text_copy (r->items[i].address, ADDRESS_BYTES,
                 members[i]->operator_address);
    }
  return r;
}

/* Asks the entry at ADDRESS for its status and stores the version in it for
   the member on the VM that the status names.  */
static void
ask_entry (struct rollout *r, const char *address)
{
  uint32_t status;
  json_t *j = ctl_call_with_timeout ("GET", address, "/v1/status", NULL,
                                     &status, STATUS_TIMEOUT_MS);
  const char *vm = json_string_value (json_object_get (j, "vm"));
  uint32_t i;

  for (i = 0; vm != NULL && i < r->item_count; i++)
    if (strcmp (r->items[i].vm, vm) == 0)
      r->items[i].version = (uint64_t)json_integer_value (
          json_object_get (j, "config_version"));
  json_decref (j);
}

/* Asks the members whose version is missing or old; returns how many still
   are.  */
static uint32_t
ask_members (struct rollout *r, const struct ctl *c)
{
  uint32_t missing_count = 0;
  uint32_t i;

  for (i = 0; i < r->item_count; i++)
    if (r->items[i].version < r->version && r->items[i].address[0] != '\0')
      ask_entry (r, r->items[i].address);
  for (i = 0; i < c->entry_count; i++)
    ask_entry (r, c->entries[i]);
  for (i = 0; i < r->item_count; i++)
    missing_count += r->items[i].version < r->version;
  return missing_count;
}

static void
print_json (const struct rollout *r)
{
  json_t *list = json_array ();
  uint32_t i;

  for (i = 0; i < r->item_count; i++)
    json_array_append_new (
        list, json_pack ("{s:s, s:I, s:b}", "vm", r->items[i].vm, "version",
                         (json_int_t)r->items[i].version, "in_force",
                         (int)(r->items[i].version >= r->version)));
  ctl_print_json (json_pack ("{s:I, s:o}", "version", (json_int_t)r->version,
                             "members", list),
                  JSON_INDENT (2));
}

static void
print_missing (const struct rollout *r)
{
  uint32_t i;

  for (i = 0; i < r->item_count; i++)
    if (r->items[i].version < r->version)
      fprintf (stderr, "fulmartackctl: %s has not confirmed version %llu\n",
               r->items[i].vm, (unsigned long long)r->version);
}

/* Waits until every member has reported the version in force, for at most
   wait_ms.  */
static int
wait_in_force (TALLOC_CTX *mem, struct ctl *c, const struct control *s)
{
  const struct timespec poll_period = { 0, POLL_PERIOD_MS * 1000000L };
  uint64_t deadline_us = now_us () + c->wait_ms * US_PER_MS;
  struct rollout *r = rollout_new (mem, s);
  uint32_t missing_count = ask_members (r, c);

  while (missing_count > 0 && now_us () < deadline_us)
    {
      nanosleep (&poll_period, NULL);
      missing_count = ask_members (r, c);
    }
  print_missing (r);
  if (c->json)
    print_json (r);
  else if (missing_count == 0)
    printf ("in force: version %llu on %u entries\n",
            (unsigned long long)r->version, r->item_count);
  return missing_count == 0 ? EXIT_DONE : EXIT_NOT_IN_FORCE;
}

/* Reports the result of the command; S is the state after it.  */
static int
report_result (TALLOC_CTX *mem, struct ctl *c, const struct control *s,
               const struct command_result *f)
{
  if (!f->applied)
    {
      fprintf (stderr,
               "fulmartackctl: the tables were rejected at offset %llu; "
               "compare their base_version with config show\n",
               (unsigned long long)f->offset);
      return EXIT_REFUSED;
    }
  if (s->config_version != f->offset + 1)
    {
      fprintf (stderr,
               "fulmartackctl: these tables were in force as version %llu and "
               "have been replaced by version %llu\n",
               (unsigned long long)f->offset + 1,
               (unsigned long long)s->config_version);
      return EXIT_REFUSED;
    }
  return wait_in_force (mem, c, s);
}

static bool
same_tables (const struct config *a, const struct config *b)
{
  json_t *changes = ctl_compare_tables (a, b);
  bool same = json_array_size (changes) == 0;

  json_decref (changes);
  return same;
}

int
ctl_config_apply (TALLOC_CTX *mem, struct ctl *c)
{
  struct config *tables = ctl_read_tables (mem, c);
  struct record *r = talloc_zero (mem, struct record);
  struct command_result f = { 0 };
  struct control *s;

  if (tables == NULL)
    return EXIT_BAD_DOCUMENT;
  document_command_id (tables, f.id);
  s = ctl_read_command_result (mem, c, &f);
  if (s == NULL)
    return EXIT_UNREACHABLE;
  if (f.seen)
    return report_result (mem, c, s, &f);
  if (s->config != NULL && same_tables (s->config, tables))
    return wait_in_force (mem, c, s);
  if (tables->base_version != s->config_version)
    {
      fprintf (stderr,
               "fulmartackctl: base_version is %llu, but version %llu is in "
               "force\n",
               (unsigned long long)tables->base_version,
               (unsigned long long)s->config_version);
      return EXIT_REFUSED;
    }
  r->kind = RECORD_CONFIG;
  r->u.config = tables;
  s = ctl_publish (mem, c, r, &f);
  return s ? report_result (mem, c, s, &f) : EXIT_UNREACHABLE;
}
