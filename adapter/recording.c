/* recording.c -- coding of the lines of a recorded run.  */

#include "adapter/recording.h"

#include "adapter/json_field.h"
#include "adapter/trace.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define BODY_DIGEST_BYTES 16
/** Content type of a body that stands for a recorded one.  */
#define RECORDED_TYPE "recorded/"

static char *
line_of (json_t *j)
{
  char *text = json_dumps (j, JSON_COMPACT);

  if (text == NULL)
    out_of_memory ();
  json_decref (j);
  return text;
}

char *
recording_settings_line (const struct core_settings *s)
{
  char boot_id[20];

  snprintf (boot_id, sizeof boot_id, "%016llx",
            (unsigned long long)s->boot_id);
  return line_of (json_pack (
      "{s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:I}", "vm", s->vm, "zone", s->zone,
      "peer_address", s->peer_address, "address", s->operator_address,
      "boot_id", boot_id, "stop_limit_ms", (json_int_t)s->stop_limit_ms,
      "fresh_limit_ms", (json_int_t)s->log_age_limit_ms, "max_body_bytes",
      (json_int_t)s->max_body_bytes));
}

bool
recording_read_settings (const char *line, struct core_settings *s)
{
  struct findings *f = findings_new (NULL, "trace", NULL);
  json_t *j = json_loads (line, 0, NULL);
  struct json_reader p;
  char boot_id[20] = "";
  bool whole;

  memset (s, 0, sizeof *s);
  if (json_reader_open (&p, f, j, ""))
    {
      json_get_text (&p, "vm", true, s->vm, NAME_BYTES);
      json_get_text (&p, "zone", false, s->zone, NAME_BYTES);
      json_get_text (&p, "peer_address", false, s->peer_address,
                     ADDRESS_BYTES);
      json_get_text (&p, "address", false, s->operator_address, ADDRESS_BYTES);
      json_get_text (&p, "boot_id", true, boot_id, sizeof boot_id);
      s->boot_id = strtoull (boot_id, NULL, 16);
      s->stop_limit_ms
          = (uint32_t)json_get_number (&p, "stop_limit_ms", 0, UINT32_MAX, 0);
      s->log_age_limit_ms
          = (uint32_t)json_get_number (&p, "fresh_limit_ms", 0, UINT32_MAX, 0);
      s->max_body_bytes
          = (uint32_t)json_get_number (&p, "max_body_bytes", 0, UINT32_MAX, 0);
    }
  whole = f->item_count == 0;
  json_decref (j);
  talloc_free (f);
  return whole;
}

/* Adds the digest of B: its own, or the one that it stands for.  */
static void
set_digest (json_t *j, const struct blob *b)
{
  uint8_t digest[BODY_DIGEST_BYTES];
  char hex[2 * BODY_DIGEST_BYTES + 1];
  const char *text = hex;

  if (b == NULL)
    return;
  if (strncmp (b->content_type, RECORDED_TYPE, strlen (RECORDED_TYPE)) == 0)
    text = b->content_type + strlen (RECORDED_TYPE);
  else
    {
      crypto_generichash (digest, sizeof digest, b->data, b->size_bytes, NULL,
                          0);
      sodium_bin2hex (hex, sizeof hex, digest, sizeof digest);
    }
  json_object_set_new (j, "body_digest", json_string (text));
}

/* Makes B stand for the body with DIGEST: equal bodies stay equal and
   different ones different.  */
static void
stand_for (struct blob *b, const char *digest)
{
  size_t n = strlen (digest);
  uint32_t i;

  if (b == NULL || n != 2 * BODY_DIGEST_BYTES)
    return;
  snprintf (b->content_type, sizeof b->content_type, RECORDED_TYPE "%s",
            digest);
  for (i = 0; i < b->size_bytes; i++)
    b->data[i] = (uint8_t)digest[i % n];
}

static struct blob *
event_body (const struct event *e)
{
  switch (e->kind)
    {
    case EVENT_REQUEST:
      return e->u.request.body;
    case EVENT_ATTEMPT_DONE:
      return e->u.attempt.body;
    default:
      return NULL;
    }
}

static const struct blob *
action_body (const struct action *a)
{
  switch (a->kind)
    {
    case ACTION_ANSWER:
      return a->u.answer.body;
    case ACTION_START:
      return a->u.start.body;
    default:
      return NULL;
    }
}

char *
recording_event_line (const struct event *e)
{
  json_t *j = trace_event_to_json (e);

  set_digest (j, event_body (e));
  return line_of (j);
}

struct event *
recording_read_event (const char *line, char *text)
{
  json_error_t error;
  json_t *j = json_loads (line, 0, &error);
  struct event *e;
  const char *digest;

  if (j == NULL)
    {
      text_copy (text, TEXT_BYTES, error.text);
      return NULL;
    }
  e = trace_event_from_json (j, text);
  digest = json_string_value (json_object_get (j, "body_digest"));
  if (e != NULL && digest != NULL)
    stand_for (event_body (e), digest);
  json_decref (j);
  return e;
}

char *
recording_action_line (const struct action *a)
{
  json_t *j = trace_action_to_json (a);

  set_digest (j, action_body (a));
  return line_of (j);
}
