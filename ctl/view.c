/* view.c -- fulmartackctl status, timeline and submit.  */

#include "ctl/ctl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define LINE_BYTES 512
#define FOLLOW_PERIOD_MS 500

static void
print_status (const char *address, const json_t *j)
{
  printf ("%s vm=%s serving=%s version=%lld offset=%lld log_age_ms=%lld "
          "members=%zu waiting=%lld running=%lld\n",
          address, json_string_value (json_object_get (j, "vm")),
          json_is_true (json_object_get (j, "serving")) ? "yes" : "no",
          json_integer_value (json_object_get (j, "config_version")),
          json_integer_value (json_object_get (j, "next_offset")),
          json_integer_value (json_object_get (j, "log_age_ms")),
          json_array_size (json_object_get (j, "members")),
          json_integer_value (json_object_get (j, "waiting")),
          json_integer_value (json_object_get (j, "running")));
}

int
ctl_status (struct ctl *c)
{
  json_t *all = json_array ();
  int code = EXIT_DONE;
  uint32_t i;

  if (!ctl_find_entries (c))
    code = EXIT_UNREACHABLE;
  for (i = 0; i < c->entry_count; i++)
    {
      uint32_t status;
      json_t *j = ctl_call ("GET", c->entries[i], "/v1/status", NULL, &status);

      if (j == NULL)
        {
          fprintf (stderr, "fulmartackctl: entry %s did not answer\n",
                   c->entries[i]);
          code = EXIT_UNREACHABLE;
          continue;
        }
      if (!c->json)
        print_status (c->entries[i], j);
      json_array_append_new (all, j);
    }
  if (c->json)
    ctl_print_json (all, JSON_INDENT (2));
  else
    json_decref (all);
  return code;
}

static int
compare_time (const void *a, const void *b)
{
  json_int_t x
      = json_integer_value (json_object_get (*(json_t *const *)a, "at_ms"));
  json_int_t y
      = json_integer_value (json_object_get (*(json_t *const *)b, "at_ms"));

  return x < y ? -1 : x > y;
}

static void
print_note (const json_t *j)
{
  json_int_t at_ms = json_integer_value (json_object_get (j, "at_ms"));
  time_t s = (time_t)(at_ms / 1000);
  struct tm t;

  gmtime_r (&s, &t);
  printf ("%02d:%02d:%02d.%03d %-12s %-18s %s %lld\n", t.tm_hour, t.tm_min,
          t.tm_sec, (int)(at_ms % 1000),
          json_string_value (json_object_get (j, "vm")),
          json_string_value (json_object_get (j, "event")),
          json_string_value (json_object_get (j, "subject")),
          json_integer_value (json_object_get (j, "value")));
}

/* Appends the notes of ENTRY after number *LAST to ALL and advances *LAST.
   Returns false if ENTRY did not answer.  */
static bool
read_notes (const char *entry, uint64_t *last, json_t *all)
{
  char path[LINE_BYTES];
  uint32_t status;
  json_t *notes;
  json_t *note;
  size_t i;

  snprintf (path, sizeof path, "/v1/timeline?after=%llu",
            (unsigned long long)*last);
  notes = ctl_call ("GET", entry, path, NULL, &status);
  if (notes == NULL)
    return false;
  json_array_foreach (notes, i, note)
  {
    *last = (uint64_t)json_integer_value (json_object_get (note, "number"));
  }
  json_array_extend (all, notes);
  json_decref (notes);
  return true;
}

static void
print_sorted (const struct ctl *c, json_t *all)
{
  size_t n = json_array_size (all);
  json_t **sorted = calloc (n + 1, sizeof (json_t *));
  size_t i;

  for (i = 0; i < n; i++)
    sorted[i] = json_array_get (all, i);
  qsort (sorted, n, sizeof (json_t *), compare_time);
  for (i = 0; i < n; i++)
    if (c->json)
      ctl_print_json (json_incref (sorted[i]), JSON_COMPACT);
    else
      print_note (sorted[i]);
  fflush (stdout);
  free (sorted);
}

/* Prints the notes of every entry i after number LAST[i], ordered by time.  */
static int
print_notes (struct ctl *c, uint64_t *last)
{
  json_t *all = json_array ();
  int code = EXIT_DONE;
  uint32_t i;

  for (i = 0; i < c->entry_count; i++)
    if (!read_notes (c->entries[i], &last[i], all))
      code = EXIT_UNREACHABLE;
  print_sorted (c, all);
  json_decref (all);
  return code;
}

int
ctl_timeline (struct ctl *c)
{
  const struct timespec poll_period = { 0, FOLLOW_PERIOD_MS * 1000000L };
  uint64_t last[ENTRY_LIMIT_COUNT] = { 0 };
  int code;

  if (!ctl_find_entries (c))
    return EXIT_UNREACHABLE;
  code = print_notes (c, last);
  while (c->follow)
    {
      nanosleep (&poll_period, NULL);
      print_notes (c, last);
    }
  return code;
}

static struct blob *
read_body (const char *file)
{
  FILE *f = strcmp (file, "-") == 0 ? stdin : fopen (file, "re");
  char part[65536];
  char *all = NULL;
  size_t size = 0;
  size_t n;
  struct blob *b;

  if (f == NULL)
    return NULL;
  while ((n = fread (part, 1, sizeof part, f)) > 0)
    {
      char *grown = realloc (all, size + n);

      if (grown == NULL)
        break;
      all = grown;
      memcpy (all + size, part, n);
      size += n;
    }
  if (f != stdin)
    fclose (f);
  b = blob_copy (all, (uint32_t)size);
  free (all);
  return b;
}

int
ctl_submit (struct ctl *c)
{
  char url[LINE_BYTES];
  char authorization[LINE_BYTES];
  const char *const lines[] = { authorization, NULL };
  const char *key = getenv ("FULMARTACK_KEY");
  struct http_call call = {
    .method = "POST",
    .url = url,
    .header_lines = lines,
    .timeout_ms = 60000,
    .connect_timeout_ms = 1000,
  };
  struct http_result r;

  if (c->argument_count != 3)
    {
      fprintf (stderr,
               "usage: fulmartackctl submit QUEUE FILE, with the key in "
               "$FULMARTACK_KEY\n");
      return EXIT_USAGE_ERROR;
    }
  if (!ctl_find_entries (c) || c->entry_count == 0)
    {
      fprintf (stderr, "fulmartackctl: no entry is known; use --entry\n");
      return EXIT_UNREACHABLE;
    }
  snprintf (url, sizeof url, "http://%s/v1/queues/%s", c->entries[0],
            c->arguments[1]);
  snprintf (authorization, sizeof authorization, "Authorization: Bearer %s",
            key ? key : "");
  call.body = read_body (c->arguments[2]);
  if (call.body == NULL)
    {
      fprintf (stderr, "fulmartackctl: cannot read %s\n", c->arguments[2]);
      return EXIT_BAD_DOCUMENT;
    }
  http_client_perform (NULL, &call, &r);
  blob_unref (call.body);
  if (!r.answered)
    {
      fprintf (stderr, "fulmartackctl: entry %s did not answer\n",
               c->entries[0]);
      return EXIT_UNREACHABLE;
    }
  fwrite (r.body->data, 1, r.body->size_bytes, stdout);
  blob_unref (r.body);
  return r.status < 400 ? EXIT_DONE : EXIT_REFUSED;
}
