/* config.c -- fulmartackctl config check|diff|apply|show.  */

#include "ctl/ctl.h"

#include "adapter/config_json.h"

#include <stdio.h>
#include <string.h>

static json_t *
findings_to_json (const struct findings *f)
{
  json_t *list = json_array ();
  uint32_t i;

  for (i = 0; i < f->item_count; i++)
    json_array_append_new (
        list, json_pack ("{s:s, s:i, s:s, s:s}", "file", f->file, "line",
                         (int)f->items[i].line, "path", f->items[i].path,
                         "text", f->items[i].text));
  return json_pack ("{s:o}", "findings", list);
}

struct config *
ctl_read_tables (TALLOC_CTX *mem, struct ctl *c)
{
  struct findings *f;
  struct config *tables;

  tables = config_from_file (mem, c->arguments[2], &f);
  if (c->json && tables == NULL)
    ctl_print_json (findings_to_json (f), JSON_INDENT (2));
  else
    findings_print (f, stderr);
  return tables;
}

static int
check (TALLOC_CTX *mem, struct ctl *c)
{
  if (ctl_read_tables (mem, c) == NULL)
    return EXIT_BAD_DOCUMENT;
  if (c->json)
    ctl_print_json (json_pack ("{s:[]}", "findings"), JSON_INDENT (2));
  return EXIT_DONE;
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
  ctl_print_json (j, JSON_INDENT (2));
  return EXIT_DONE;
}

int
ctl_config (struct ctl *c)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  const char *verb = c->argument_count > 1 ? c->arguments[1] : "";
  bool with_file = c->argument_count == 3;
  int code = EXIT_USAGE_ERROR;

  if (with_file && strcmp (verb, "check") == 0)
    code = check (mem, c);
  else if (with_file && strcmp (verb, "apply") == 0)
    code = ctl_config_apply (mem, c);
  else if (!with_file && strcmp (verb, "show") == 0)
    code = show (mem, c);
  else if (with_file && strcmp (verb, "diff") == 0)
    code = ctl_config_diff (mem, c);
  else
    fprintf (stderr, "usage: fulmartackctl config check|diff|apply FILE | "
                     "config show\n");
  talloc_free (mem);
  return code;
}
