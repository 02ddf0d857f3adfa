/* diff.c -- fulmartackctl config diff: compares tables row by row.  */

#include "ctl/ctl.h"

#include "adapter/config_json.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** A table of the document, and the field that identifies its rows.  */
struct table
{
  const char *name;
  const char *key;
};

static const struct table tables[] = {
  { "teams", "name" },
  { "pools", "name" },
  { "vms", "name" },
  { "routes", "queue" },
};

/* Returns C as JSON with the VMs in a table of their own, so that a VM in
   another pool shows as one changed row.  */
static json_t *
flat_tables (const struct config *c)
{
  json_t *j = c ? config_to_json (c) : json_object ();
  json_t *vms = json_array ();
  json_t *pool;
  json_t *vm;
  size_t i;
  size_t k;

  json_array_foreach (json_object_get (j, "pools"), i, pool)
  {
    json_array_foreach (json_object_get (pool, "vms"), k, vm)
    {
      json_object_set (vm, "pool", json_object_get (pool, "name"));
      json_array_append (vms, vm);
    }
    json_object_del (pool, "vms");
  }
  json_object_set_new (j, "vms", vms);
  return j;
}

static const char *
row_name (const json_t *row, const struct table *t)
{
  return json_string_value (json_object_get (row, t->key));
}

static json_t *
find_row (const json_t *document, const struct table *t, const char *name)
{
  json_t *row;
  size_t i;

  json_array_foreach (json_object_get (document, t->name), i, row)
  {
    if (strcmp (row_name (row, t), name) == 0)
      return row;
  }
  return NULL;
}

static json_t *
make_change (const struct table *t, const char *change, const json_t *row)
{
  return json_pack ("{s:s, s:s, s:s, s:{}}", "table", t->name, "name",
                    row_name (row, t), "change", change, "fields");
}

/* Returns the changed fields from row A to row B, or NULL if there are none.
 */
static json_t *
compare_rows (const struct table *t, const json_t *a, json_t *b)
{
  json_t *change = NULL;
  const char *key;
  json_t *value;

  json_object_foreach (b, key, value)
  {
    json_t *old = json_object_get (a, key);

    if (json_equal (old, value))
      continue;
    if (change == NULL)
      change = make_change (t, "changed", b);
    json_object_set_new (json_object_get (change, "fields"), key,
                         json_pack ("[O, O]", old, value));
  }
  return change;
}

static void
compare_table (const struct table *t, const json_t *a, const json_t *b,
               json_t *changes)
{
  json_t *row;
  size_t i;

  json_array_foreach (json_object_get (a, t->name), i, row)
  {
    json_t *other = find_row (b, t, row_name (row, t));
    json_t *change = other ? compare_rows (t, row, other)
                           : make_change (t, "removed", row);

    if (change != NULL)
      json_array_append_new (changes, change);
  }
  json_array_foreach (json_object_get (b, t->name), i, row)
  {
    if (find_row (a, t, row_name (row, t)) == NULL)
      json_array_append_new (changes, make_change (t, "added", row));
  }
}

static void
print_value (const json_t *v)
{
  char *text = json_dumps (v, JSON_ENCODE_ANY | JSON_COMPACT);

  fputs (text, stdout);
  free (text);
}

static void
print_change (json_t *change)
{
  const char *kind = json_string_value (json_object_get (change, "change"));
  const char *key;
  json_t *pair;

  printf ("%c %s %s",
          kind[0] == 'a'   ? '+'
          : kind[0] == 'r' ? '-'
                           : '~',
          json_string_value (json_object_get (change, "table")),
          json_string_value (json_object_get (change, "name")));
  json_object_foreach (json_object_get (change, "fields"), key, pair)
  {
    printf (" %s=", key);
    print_value (json_array_get (pair, 0));
    printf ("->");
    print_value (json_array_get (pair, 1));
  }
  putchar ('\n');
}

json_t *
ctl_compare_tables (const struct config *a, const struct config *b)
{
  json_t *changes = json_array ();
  json_t *x = flat_tables (a);
  json_t *y = flat_tables (b);
  size_t i;

  for (i = 0; i < sizeof tables / sizeof tables[0]; i++)
    compare_table (&tables[i], x, y, changes);
  json_decref (x);
  json_decref (y);
  return changes;
}

int
ctl_config_diff (TALLOC_CTX *mem, struct ctl *c)
{
  struct config *wanted = ctl_read_tables (mem, c);
  struct control *s;
  json_t *changes;
  json_t *change;
  size_t count;
  size_t i;

  if (wanted == NULL)
    return EXIT_BAD_DOCUMENT;
  s = ctl_read_log (mem, c);
  if (s == NULL)
    return EXIT_UNREACHABLE;
  changes = ctl_compare_tables (s->config, wanted);
  count = json_array_size (changes);
  if (!c->json)
    json_array_foreach (changes, i, change) print_change (change);
  if (c->json)
    ctl_print_json (changes, JSON_INDENT (2));
  else
    json_decref (changes);
  return count == 0 ? EXIT_DONE : EXIT_REFUSED;
}
