/* call.c -- HTTP calls and appends for the commands of fulmartackctl.  */

#include "ctl/ctl.h"

#include "adapter/record_json.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALL_TIMEOUT_MS 5000
#define CONNECT_TIMEOUT_MS 1000
#define APPEND_ATTEMPT_COUNT 5
#define URL_BYTES 256

json_t *
ctl_call (const char *method, const char *address, const char *path,
          const json_t *body, uint32_t *status)
{
  return ctl_call_with_timeout (method, address, path, body, status,
                                CALL_TIMEOUT_MS);
}

json_t *
ctl_call_with_timeout (const char *method, const char *address,
                       const char *path, const json_t *body, uint32_t *status,
                       uint32_t limit_ms)
{
  TALLOC_CTX *tmp = talloc_new (NULL);
  char url[URL_BYTES];
  struct http_call call = {
    .method = method,
    .url = url,
    .timeout_ms = limit_ms,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
  };
  struct http_result r;
  json_t *answer = NULL;

  snprintf (url, sizeof url, "http://%s%s", address, path);
  if (body != NULL)
    {
      char *text = json_dumps (body, JSON_COMPACT);

      call.body = blob_copy (text, (uint32_t)strlen (text));
      free (text);
    }
  http_client_perform (tmp, &call, &r);
  *status = r.status;
  if (r.body != NULL)
    answer = json_loadb ((const char *)r.body->data, r.body->size_bytes,
                         JSON_DECODE_ANY, NULL);
  blob_unref (r.body);
  blob_unref (call.body);
  talloc_free (tmp);
  return answer;
}

bool
ctl_append (const struct ctl *c, const json_t *record)
{
  json_t *batch = json_pack ("[O]", record);
  uint32_t status = 0;
  int i;

  /* A repeat is harmless, as each command id is applied once.  */
  for (i = 0; i < APPEND_ATTEMPT_COUNT && status != 200; i++)
    json_decref (
        ctl_call ("POST", c->log_address, "/v1/append", batch, &status));
  json_decref (batch);
  if (status != 200)
    fprintf (stderr, "fulmartackctl: log %s did not confirm the append\n",
             c->log_address);
  return status == 200;
}

static int
compare_vms (const void *a, const void *b)
{
  const struct member *const *x = a;
  const struct member *const *y = b;

  return strcmp ((*x)->vm, (*y)->vm);
}

const struct member **
ctl_sorted_members (TALLOC_CTX *mem, const struct control *s)
{
  const struct member **list
      = talloc_array (mem, const struct member *, s->member_count);
  uint32_t i;

  for (i = 0; i < s->member_count; i++)
    list[i] = &s->members[i];
  qsort (list, s->member_count, sizeof (const struct member *), compare_vms);
  return list;
}

struct control *
ctl_publish (TALLOC_CTX *mem, const struct ctl *c, struct record *r,
             struct command_result *f)
{
  struct control *after;
  json_t *j;

  text_copy (r->id, ID_BYTES, f->id);
  j = record_to_json (r);
  /* Even if the append was not confirmed, the record may be in the log.  */
  ctl_append (c, j);
  json_decref (j);
  after = ctl_read_command_result (mem, c, f);
  if (after == NULL || f->seen)
    return after;
  fprintf (stderr,
           "fulmartackctl: the command is not in the log; repeat it\n");
  talloc_free (after);
  return NULL;
}

void
ctl_print_json (json_t *j, size_t flags)
{
  json_dumpf (j, stdout, flags);
  putchar ('\n');
  fflush (stdout);
  json_decref (j);
}

void
ctl_make_command_id (char *id)
{
  uint8_t bytes[16];
  char hex[2 * sizeof bytes + 1];

  randombytes_buf (bytes, sizeof bytes);
  sodium_bin2hex (hex, sizeof hex, bytes, sizeof bytes);
  snprintf (id, ID_BYTES, "ctl-%s", hex);
}
