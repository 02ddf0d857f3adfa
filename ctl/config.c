/* config.c -- fulmartackctl config check|diff|apply|show.  */

#include "ctl/ctl.h"

#include "adapter/config_json.h"
#include "adapter/duty.h"
#include "adapter/record_json.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#define POLL_MS 50

static struct config *
read_tables (TALLOC_CTX *mem, struct ctl *c)
{
  struct findings *f;
  struct config *tables;

  if (c->argument_count < 3)
    {
      fprintf (stderr, "fulmartackctl: config %s needs a file\n",
               c->arguments[1]);
      return NULL;
    }
  tables = config_from_file (mem, c->arguments[2], &f);
  findings_print (f, stderr);
  return tables;
}

static int
show (TALLOC_CTX *mem, struct ctl *c)
{
  struct control *s = ctl_read_log (mem, c);
  json_t *j;

  if (s == NULL)
    return EXIT_UNREACHABLE;
  if (s->config == NULL)
    {
      fprintf (stderr, "fulmartackctl: no configuration is in force\n");
      return EXIT_REFUSED;
    }
  j = config_to_json (s->config);
  json_object_set_new (j, "base_version",
                       json_integer ((json_int_t)s->config_version));
  json_dumpf (j, stdout, JSON_INDENT (2));
  putchar ('\n');
  json_decref (j);
  return EXIT_DONE;
}

/* Returns the version that the entry at ADDRESS has in force; 0: unknown.  */
static uint64_t
version_at (const char *address)
{
  uint32_t status;
  json_t *j = ctl_call ("GET", address, "/v1/status", NULL, &status);
  uint64_t v
      = (uint64_t)json_integer_value (json_object_get (j, "config_version"));

  json_decref (j);
  return v;
}

static int
wait_in_force (struct ctl *c, uint64_t version)
{
  const struct timespec nap = { 0, POLL_MS * 1000000L };
  uint64_t until_us = now_us () + c->wait_ms * US_PER_MS;
  uint32_t i = 0;

  while (i < c->entry_count)
    {
      if (version_at (c->entries[i]) >= version)
        i++;
      else if (now_us () >= until_us)
        {
          fprintf (stderr, "fulmartackctl: %s has not told version %llu\n",
                   c->entries[i], (unsigned long long)version);
          return EXIT_NOT_IN_FORCE;
        }
      else
        nanosleep (&nap, NULL);
    }
  printf ("in force: version %llu on %u entries\n",
          (unsigned long long)version, c->entry_count);
  return EXIT_DONE;
}

static int
apply (TALLOC_CTX *mem, struct ctl *c)
{
  struct config *tables = read_tables (mem, c);
  struct control *before = ctl_read_log (mem, c);
  struct record *r = talloc_zero (mem, struct record);
  struct control *after;
  json_t *j;

  if (tables == NULL)
    return EXIT_BAD_DOCUMENT;
  if (before == NULL)
    return EXIT_UNREACHABLE;
  if (tables->base_version != before->config_version)
    {
      fprintf (stderr,
               "fulmartackctl: made against version %llu, in force is %llu\n",
               (unsigned long long)tables->base_version,
               (unsigned long long)before->config_version);
      return EXIT_REFUSED;
    }
  r->kind = RECORD_CONFIG;
  r->u.config = tables;
  ctl_command_id (r->id);
  j = record_to_json (r);
  if (!ctl_append (c, j))
    return EXIT_UNREACHABLE;
  json_decref (j);
  after = ctl_read_log (mem, c);
  if (after == NULL)
    return EXIT_UNREACHABLE;
  if (after->config_version == before->config_version)
    {
      fprintf (stderr, "fulmartackctl: refused when applied\n");
      return EXIT_REFUSED;
    }
  return wait_in_force (c, after->config_version);
}

/* Prints every row of one table that is in FROM but not in TO.  */
static int
diff_rows (const char *sign, const json_t *from, const json_t *to,
           const char *table)
{
  json_t *row;
  json_t *other;
  size_t i;
  size_t k;
  int count = 0;

  json_array_foreach (json_object_get (from, table), i, row)
  {
    bool found = false;

    json_array_foreach (json_object_get (to, table), k, other) found
        |= json_equal (row, other);
    if (found)
      continue;
    printf ("%s%s ", sign, table);
    json_dumpf (row, stdout, JSON_COMPACT);
    putchar ('\n');
    count++;
  }
  return count;
}

static int
diff (TALLOC_CTX *mem, struct ctl *c)
{
  static const char *const tables[] = { "teams", "pools", "routes" };
  struct config *wanted = read_tables (mem, c);
  struct control *s;
  json_t *from;
  json_t *to;
  int count = 0;
  int i;

  if (wanted == NULL)
    return EXIT_BAD_DOCUMENT;
  s = ctl_read_log (mem, c);
  if (s == NULL)
    return EXIT_UNREACHABLE;
  from = s->config ? config_to_json (s->config) : json_object ();
  to = config_to_json (wanted);
  for (i = 0; i < 3; i++)
    {
      count += diff_rows ("-", from, to, tables[i]);
      count += diff_rows ("+", to, from, tables[i]);
    }
  json_decref (from);
  json_decref (to);
  return count == 0 ? EXIT_DONE : EXIT_REFUSED;
}

int
ctl_config (struct ctl *c)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  const char *verb = c->argument_count > 1 ? c->arguments[1] : "";
  int code = EXIT_USAGE_ERROR;

  if (strcmp (verb, "check") == 0)
    code = read_tables (mem, c) ? EXIT_DONE : EXIT_BAD_DOCUMENT;
  else if (strcmp (verb, "apply") == 0)
    code = apply (mem, c);
  else if (strcmp (verb, "show") == 0)
    code = show (mem, c);
  else if (strcmp (verb, "diff") == 0)
    code = diff (mem, c);
  else
    fprintf (stderr, "fulmartackctl: config check|diff|apply|show\n");
  talloc_free (mem);
  return code;
}
