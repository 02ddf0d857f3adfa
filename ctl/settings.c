/* settings.c -- where the log and the entries are.  */

#include "ctl/ctl.h"

#include "adapter/json_document.h"
#include "adapter/json_field.h"

#include <stdio.h>

static void
read_entries (struct ctl *c, struct json_reader *p)
{
  const json_t *list = json_get_array (p, "entries", false);
  json_t *entry;
  size_t i;

  json_array_foreach (list, i, entry)
  {
    struct json_reader q = *p;
    char path[NAME_BYTES];

    snprintf (path, sizeof path, "entries[%zu]", i);
    if (c->entry_count == ENTRY_LIMIT_COUNT)
      {
        json_add_finding (p, path, "is one too many");
        return;
      }
    q.object = json_pack ("{s:O}", path, entry);
    json_get_address (&q, path, true, c->entries[c->entry_count]);
    json_decref ((json_t *)q.object);
    c->entry_count++;
  }
}

bool
ctl_read_settings (struct ctl *c, const char *file)
{
  static const char *const known[] = { "log", "entries", NULL };
  TALLOC_CTX *mem = talloc_new (NULL);
  struct findings *f;
  json_t *j = json_document_read (mem, file, &f);
  struct json_reader p;
  bool good;

  if (j != NULL && json_reader_open (&p, f, j, ""))
    {
      json_reject_unknown_keys (&p, known);
      json_get_address (&p, "log", true, c->log_address);
      read_entries (c, &p);
    }
  json_decref (j);
  findings_print (f, stderr);
  good = f->item_count == 0;
  talloc_free (mem);
  return good;
}

bool
ctl_find_entries (struct ctl *c)
{
  struct control *s;
  const struct member **members;
  uint32_t i;

  if (c->entry_count > 0)
    return true;
  s = ctl_read_log (NULL, c);
  if (s == NULL)
    return false;
  members = ctl_sorted_members (s, s);
  for (i = 0; i < s->member_count && c->entry_count < ENTRY_LIMIT_COUNT; i++)
    if (members[i]->operator_address[0] != '\0')
      text_copy (c->entries[c->entry_count++], ADDRESS_BYTES,
                 members[i]->operator_address);
  talloc_free (s);
  return true;
}
