/* log.c -- computes the control state from the platform's log.

   If the log no longer retains its first records, the state is restored from a
   checkpoint, as an entry does.  */

#include "ctl/ctl.h"

#include "adapter/record_json.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define PAGE_LIMIT_COUNT 1000
#define PATH_BYTES 128

/* The retained content of the log.  */
struct log_content
{
  json_t *records;
  uint64_t first; /**< Oldest offset retained.  */
  uint64_t next;  /**< One past the newest offset.  */
};

static uint64_t
number_at (const json_t *j, const char *key)
{
  return (uint64_t)json_integer_value (json_object_get (j, key));
}

/* Reads a page from *OFFSET on and advances *OFFSET past it; returns false on
   an error.  */
static bool
read_page (const struct ctl *c, struct log_content *t, uint64_t *offset)
{
  char path[PATH_BYTES];
  uint32_t status;
  const json_t *records;
  json_t *page;
  size_t n;

  snprintf (path, sizeof path, "/v1/read?from=%" PRIu64 "&wait_ms=0&max=%d",
            *offset, PAGE_LIMIT_COUNT);
  page = ctl_call ("GET", c->log_address, path, NULL, &status);
  records = json_object_get (page, "records");
  if (status != 200 || !json_is_array (records))
    {
      json_decref (page);
      return false;
    }
  n = json_array_size (records);
  t->next = number_at (page, "next");
  t->first = number_at (page, "first");
  *offset = n > 0 ? number_at (json_array_get (records, n - 1), "offset") + 1
                  : t->next;
  json_array_extend (t->records, (json_t *)records);
  json_decref (page);
  return true;
}

static bool
read_all (const struct ctl *c, struct log_content *t)
{
  uint64_t offset = 0;

  t->records = json_array ();
  do
    if (!read_page (c, t, &offset))
      {
        fprintf (stderr, "fulmartackctl: cannot read log %s\n",
                 c->log_address);
        return false;
      }
  while (offset < t->next);
  return true;
}

/* Restores the state from the first valid checkpoint whose following records
   are all retained.  */
static bool
restore_from_checkpoint (struct control *c, const struct log_content *t)
{
  json_t *envelope;
  bool done = false;
  size_t i;

  json_array_foreach (t->records, i, envelope)
  {
    struct record *r
        = record_from_json (NULL, json_object_get (envelope, "data"));

    done = r != NULL && r->kind == RECORD_CHECKPOINT
           && r->u.checkpoint->next_offset >= t->first
           && control_restore (c, r->u.checkpoint);
    talloc_free (r);
    if (done)
      return true;
  }
  fprintf (stderr,
           "fulmartackctl: the log begins at offset %" PRIu64
           " and has no valid checkpoint\n",
           t->first);
  return false;
}

static void
apply_record (struct control *c, const json_t *envelope,
              struct command_result *f)
{
  uint64_t offset = number_at (envelope, "offset");
  struct record *r;
  enum apply_result v;

  if (offset < c->next_offset)
    return;
  r = record_from_json (NULL, json_object_get (envelope, "data"));
  if (r == NULL)
    {
      control_skip (c, offset);
      return;
    }
  v = control_apply (c, offset, r);
  /* Later records with the same id are repeats.  */
  if (f != NULL && !f->seen && strcmp (r->id, f->id) == 0)
    {
      f->seen = true;
      f->applied = v == APPLY_OK;
      f->offset = offset;
    }
  talloc_free (r);
}

struct control *
ctl_read_command_result (TALLOC_CTX *mem, const struct ctl *ctl,
                         struct command_result *f)
{
  struct control *c = control_new (mem);
  struct log_content t = { 0 };
  json_t *envelope;
  size_t i;

  if (read_all (ctl, &t) && (t.first == 0 || restore_from_checkpoint (c, &t)))
    json_array_foreach (t.records, i, envelope) apply_record (c, envelope, f);
  else
    TALLOC_FREE (c);
  json_decref (t.records);
  return c;
}

struct control *
ctl_read_log (TALLOC_CTX *mem, const struct ctl *c)
{
  return ctl_read_command_result (mem, c, NULL);
}
