/* test_tables.c -- every fault of refused tables is reported with its path. */

#include "adapter/config_json.h"

#include <glib.h>
#include <string.h>

static const char faulty[]
    = "{\"base_version\":1,"
      "\"teams\":[{\"name\":\"a\",\"ceiling\":-1},{\"name\":\"a\"}],"
      "\"pools\":[{\"name\":\"p\",\"unavailable\":-1,\"vms\":["
      "{\"name\":\"w1\",\"address\":\"127.0.0.1:1\"}]},"
      "{\"name\":\"q\",\"domains\":0,\"vms\":["
      "{\"name\":\"w1\",\"address\":\"127.0.0.1:1\"}]}],"
      "\"routes\":[{\"queue\":\"t\",\"pool\":\"r\",\"team\":\"b\"},"
      "{\"queue\":\"t\",\"pool\":\"p\",\"colour\":1}]}";

static const char *const expected[] = {
  "teams[0].ceiling: -1 is outside 0 to 1000000",
  "teams[1].name: names a team twice",
  "pools[0].unavailable: -1 is outside 0 to 1000000",
  "pools[1].domains: 0 is outside 1 to 1000000",
  "pools[1].vms[0].name: names a VM that is already in a pool",
  "routes[0].team: names no team of this document",
  "routes[0].pool: names no pool of this document",
  "routes[1].colour: unknown field",
  "routes[1].queue: names a queue twice",
};

static void
test_findings (void)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct findings *f = findings_new (mem, "tables", NULL);
  json_t *j = json_loads (faulty, 0, NULL);
  guint i;

  g_assert_null (config_from_json (mem, j, f));
  for (i = 0; i < f->item_count && i < G_N_ELEMENTS (expected); i++)
    {
      gchar *line
          = g_strdup_printf ("%s: %s", f->items[i].path, f->items[i].text);

      g_assert_cmpstr (line, ==, expected[i]);
      g_free (line);
    }
  g_assert_cmpuint (f->item_count, ==, G_N_ELEMENTS (expected));
  json_decref (j);
  talloc_free (mem);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/tables/findings", test_findings);
  return g_test_run ();
}
