/* recording.c -- encoding and decoding of the lines of a trace file.  */

#include "adapter/recording.h"

#include "adapter/json_field.h"
#include "adapter/trace.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define BODY_DIGEST_BYTES 16
/** Prefix of the content type of a placeholder body; the recorded digest
    follows.  */
#define PLACEHOLDER_TYPE_PREFIX "recorded/"

static char *
json_to_line (json_t *j)
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
  return json_to_line (json_pack (
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
  bool valid;

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
  valid = f->item_count == 0;
  json_decref (j);
  talloc_free (f);
  return valid;
}

/* Adds the digest of B, or of the recorded body that B is a placeholder of. */
static void
set_digest (json_t *j, const struct blob *b)
{
  uint8_t digest[BODY_DIGEST_BYTES];
  char hex[2 * BODY_DIGEST_BYTES + 1];
  const char *text = hex;

  if (b == NULL)
    return;
  if (strncmp (b->content_type, PLACEHOLDER_TYPE_PREFIX,
               strlen (PLACEHOLDER_TYPE_PREFIX))
      == 0)
    text = b->content_type + strlen (PLACEHOLDER_TYPE_PREFIX);
  else
    {
      crypto_generichash (digest, sizeof digest, b->data, b->size_bytes, NULL,
                          0);
      sodium_bin2hex (hex, sizeof hex, digest, sizeof digest);
    }
  json_object_set_new (j, "body_digest", json_string (text));
}

/* Makes B a placeholder of the recorded body with DIGEST.  Its content type
   holds the digest and its bytes repeat it, so placeholders are equal if and
   only if the bodies were.  */
static void
make_placeholder (struct blob *b, const char *digest)
{
  size_t n = strlen (digest);
  uint32_t i;

  if (b == NULL || n != 2 * BODY_DIGEST_BYTES)
    return;
  snprintf (b->content_type, sizeof b->content_type,
            PLACEHOLDER_TYPE_PREFIX "%s", digest);
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
  return json_to_line (j);
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
    make_placeholder (event_body (e), digest);
  json_decref (j);
  return e;
}

char *
recording_action_line (const struct action *a)
{
  json_t *j = trace_action_to_json (a);

  set_digest (j, action_body (a));
  return json_to_line (j);
}
