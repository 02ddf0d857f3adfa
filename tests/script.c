/* script.c -- runs a core on events read from JSON lines.  */

#include "tests/script.h"

#include "adapter/trace.h"
#include "core/control.h"
#include "core/core.h"

#include <stdlib.h>
#include <string.h>

static void
print_action (GString *out, struct action *a)
{
  json_t *j = trace_action_to_json (a);
  char *text = json_dumps (j, JSON_COMPACT);

  g_string_append_printf (out, "  %s\n", text);
  free (text);
  json_decref (j);
  trace_action_drop (a);
}

/* Sets the digest of the checkpoint in E if the line J has the key
   "digest_of": "whole" digests the whole checkpoint, "without_last_key" all
   but the last key.  */
static void
set_checkpoint_digest (const json_t *j, struct event *e)
{
  const char *digest_of = json_string_value (json_object_get (j, "digest_of"));
  struct checkpoint *k;

  if (digest_of == NULL)
    return;
  k = e->u.record.record->u.checkpoint;
  if (strcmp (digest_of, "without_last_key") == 0)
    k->key_count--;
  checkpoint_digest (k, k->digest);
  if (strcmp (digest_of, "without_last_key") == 0)
    k->key_count++;
}

static void
run_line (struct core *c, struct actions *actions, const char *line,
          GString *out)
{
  json_error_t error;
  json_t *j = json_loads (line, 0, &error);
  char text[TEXT_BYTES];
  struct event *e = NULL;
  uint32_t i;

  if (j == NULL)
    g_string_append_printf (out, "malformed line: %s\n", error.text);
  else if ((e = trace_event_from_json (j, text)) == NULL)
    g_string_append_printf (out, "malformed event: %s\n", text);
  if (e != NULL)
    set_checkpoint_digest (j, e);
  json_decref (j);
  if (e == NULL)
    return;
  g_string_append_printf (out, "%s\n", line);
  actions->item_count = 0;
  core_step (c, e, actions);
  for (i = 0; i < actions->item_count; i++)
    print_action (out, &actions->items[i]);
  talloc_free (e);
}

GString *
script_run (const char *file)
{
  struct core_settings s = { .vm = "entry-1",
                             .zone = "a1",
                             .peer_address = "127.0.0.1:7201",
                             .boot_id = 1,
                             .stop_limit_ms = 30000,
                             .log_age_limit_ms = 5000,
                             .max_body_bytes = 8u << 20 };
  TALLOC_CTX *mem = talloc_new (NULL);
  struct core *c = core_new (mem, &s);
  struct actions actions = { 0 };
  GString *out = g_string_new ("");
  gchar *text = NULL;
  gchar **lines;
  guint i;

  if (!g_file_get_contents (file, &text, NULL, NULL))
    g_error ("cannot read %s", file);
  lines = g_strsplit (text, "\n", -1);
  for (i = 0; lines[i] != NULL; i++)
    if (lines[i][0] != '\0' && lines[i][0] != '#')
      run_line (c, &actions, lines[i], out);
  g_strfreev (lines);
  g_free (text);
  talloc_free (actions.items);
  talloc_free (mem);
  return out;
}
