/* test_entries.c -- scripted decoding of what others write, with expected
   output.

   Guards against an odd entry that costs more than itself: a page that is
   refused with the good entries in it, a value that is taken for another one,
   and a process that ends.

   Each line of tests/entries/NAME.script is a kind of message and its bytes.
   In the bytes, %HH is a byte in hexadecimal and %{N TEXT} is TEXT N times;
   "~" separates parts of a message.  */

#include "adapter/job_codec.h"
#include "adapter/relay_codec.h"
#include "platform/client.h"
#include "platform/cloud.h"
#include "platform/config.h"
#include "platform/runner.h"
#include "platform/store.h"
#include "tests/expected.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef void decode_fn (TALLOC_CTX *mem, const GByteArray *b, GString *out);

struct decoder
{
  const gchar *kind;
  decode_fn *decode;
};

/* Appends TEXT with its escapes replaced.  */
static void
unescape (const gchar *text, GByteArray *b)
{
  guint i;

  while (*text != '\0')
    {
      const gchar *end = strchr (text, '}');

      if (g_str_has_prefix (text, "%{") && end != NULL)
        {
          gchar *word = NULL;
          guint n = (guint)strtoul (text + 2, &word, 10);

          for (i = 0; i < n; i++)
            g_byte_array_append (b, (const guint8 *)word + 1,
                                 (guint)(end - word - 1));
          text = end + 1;
        }
      else if (text[0] == '%')
        {
          guint8 byte = (guint8)(g_ascii_xdigit_value (text[1]) << 4
                                 | g_ascii_xdigit_value (text[2]));

          g_byte_array_append (b, &byte, 1);
          text += 3;
        }
      else
        g_byte_array_append (b, (const guint8 *)text++, 1);
    }
}

static void
print_text (GString *out, const gchar *name, const gchar *text)
{
  gchar *s = g_strescape (text, NULL);

  g_string_append_printf (out, " %s \"%s\"", name, s);
  g_free (s);
}

static void
print_resources (GString *out, const struct resources *r)
{
  g_string_append_printf (out,
                          " cpu %" G_GUINT64_FORMAT
                          " memory %" G_GUINT64_FORMAT
                          " gpu %" G_GUINT64_FORMAT,
                          r->cpu_milli, r->memory_mib, r->gpu_count);
}

static void
print_records (GString *out, const struct platform_records *r)
{
  guint i;

  for (i = 0; i < r->item_count; i++)
    {
      gchar *value = g_strndup ((const gchar *)r->items[i].value,
                                r->items[i].value_bytes);

      g_string_append_printf (out, "  %" G_GUINT64_FORMAT, r->items[i].offset);
      print_text (out, "key", r->items[i].key);
      print_text (out, "value", value);
      g_string_append_c (out, '\n');
      g_free (value);
    }
  for (i = 0; i < r->unreadable_count; i++)
    {
      g_string_append (out, " ");
      print_text (out, "odd", r->unreadable_keys[i]);
      g_string_append_c (out, '\n');
    }
  g_string_append_printf (out, "  end %" G_GUINT64_FORMAT "%s\n",
                          r->end_offset, r->more ? " more" : "");
}

static void
decode_page (TALLOC_CTX *mem, const GByteArray *b, GString *out)
{
  struct platform_records r;

  if (platform_newest_decode (mem, 200, b->data, b->len, &r))
    print_records (out, &r);
  else
    g_string_append (out, "  refused\n");
}

/* Parts: the records as they follow their length.  */
static void
decode_read (TALLOC_CTX *mem, const GByteArray *b, GString *out)
{
  GByteArray *frames = g_byte_array_new ();
  struct platform_records r;
  guint at = 0;

  g_byte_array_set_size (frames, 16);
  memset (frames->data, 0, 16);
  frames->data[7] = 9;
  while (at <= b->len)
    {
      const guint8 *end = memchr (b->data + at, '~', b->len - at);
      guint n = end != NULL ? (guint)(end - b->data) - at : b->len - at;
      guint8 length[4] = { 0, 0, (guint8)(n >> 8), (guint8)n };

      g_byte_array_append (frames, length, sizeof length);
      g_byte_array_append (frames, b->data + at, n);
      at += n + 1;
    }
  if (platform_read_decode (mem, 200, 3, frames->data, frames->len, &r))
    print_records (out, &r);
  else
    g_string_append (out, "  refused\n");
  g_byte_array_free (frames, TRUE);
}

/* Splits B at its first "~" into a NUL-terminated key and a value.  */
static const guint8 *
split_key (TALLOC_CTX *mem, const GByteArray *b, gchar **key, guint *n)
{
  const guint8 *end = memchr (b->data, '~', b->len);

  g_assert_nonnull (end);
  *key = talloc_strndup (mem, (const gchar *)b->data, (gsize)(end - b->data));
  *n = b->len - (guint)(end - b->data) - 1;
  return end + 1;
}

/* Parts: the runner's id and its registration.  */
static void
decode_runner (TALLOC_CTX *mem, const GByteArray *b, GString *out)
{
  struct runner_report r;
  gchar *id;
  guint n;
  const guint8 *value = split_key (mem, b, &id, &n);

  if (!platform_runner_report_decode (id, value, n, &r))
    {
      g_string_append (out, "  refused\n");
      return;
    }
  g_string_append (out, "  ");
  print_text (out, "id", r.id);
  print_text (out, "pool", r.pool);
  print_text (out, "address", r.address);
  g_string_append_printf (out, "%s%s born %" G_GUINT64_FORMAT,
                          r.draining ? " draining" : "",
                          r.removed ? " removed" : "", r.booted_at_ms);
  print_resources (out, &r.capacity);
  g_string_append_c (out, '\n');
}

static void
print_task (GString *out, const struct task_id *t, guint run)
{
  g_string_append_printf (out, " %016" G_GINT64_MODIFIER "x.%u.%u.%u run %u",
                          t->job, t->occurrence, t->step, t->index, run);
}

/* The answer to a poll.  */
static void
decode_answer (TALLOC_CTX *mem, const GByteArray *b, GString *out)
{
  struct runner_result r = { 0 };
  guint i;

  platform_runner_order_decode (mem, ORDER_POLL, 200, true, b->data, b->len,
                                &r);
  g_string_append_printf (out,
                          "  outcome %u clock %" G_GUINT64_FORMAT
                          " born %" G_GUINT64_FORMAT "%s\n",
                          r.outcome, r.clock_ms, r.booted_at_ms,
                          r.running_incomplete ? " incomplete" : "");
  for (i = 0; i < r.running_count; i++)
    {
      g_string_append (out, "  running");
      print_task (out, &r.running[i].task, r.running[i].run);
      g_string_append_printf (out, " pace %u metric %u",
                              r.running[i].work_percent, r.running[i].metric);
      print_text (out, "checkpoint", r.running[i].checkpoint);
      g_string_append_c (out, '\n');
    }
  for (i = 0; i < r.ended_count; i++)
    {
      g_string_append_printf (out, "  ended %" G_GUINT64_FORMAT,
                              r.ended[i].number);
      print_task (out, &r.ended[i].task, r.ended[i].run);
      g_string_append_printf (out, " kind %u\n", (unsigned)r.ended[i].kind);
    }
}

static void
decode_config (TALLOC_CTX *mem, const GByteArray *b, GString *out)
{
  const struct site_config *f = platform_config_decode (mem, b->data, b->len);
  guint i;

  if (f == NULL)
    {
      g_string_append (out, "  refused\n");
      return;
    }
  g_string_append_printf (out, "  version %" G_GUINT64_FORMAT "\n",
                          f->version);
  for (i = 0; i < f->queue_count; i++)
    {
      const struct site_queue *q = &f->queues[i];

      g_string_append (out, "  queue");
      print_text (out, "name", q->name);
      print_text (out, "host", q->host);
      print_text (out, "prefix", q->prefix);
      print_text (out, "pool", q->pool);
      g_string_append_printf (
          out, " priority %u attempts %u stretch %u slack %u ticket %u\n",
          q->priority, q->attempt_limit, q->stretch_milli,
          q->objective_slack_ms, q->ticket_ttl_ms);
    }
  for (i = 0; i < f->pool_count; i++)
    {
      g_string_append (out, "  pool");
      print_text (out, "name", f->pools[i].name);
      g_string_append (out, f->pools[i].spare ? " spare\n" : "\n");
    }
  for (i = 0; i < f->tenant_count; i++)
    {
      g_string_append (out, "  tenant");
      print_text (out, "name", f->tenants[i].name);
      g_string_append_printf (out, " weight %u keys %u", f->tenants[i].weight,
                              f->tenants[i].key_count);
      print_resources (out, &f->tenants[i].limit);
      g_string_append_c (out, '\n');
    }
}

static void
decode_wave (TALLOC_CTX *mem, const GByteArray *b, GString *out)
{
  struct site_wave w;
  guint i;

  if (!platform_wave_decode (mem, b->data, b->len, &w))
    {
      g_string_append (out, "  refused\n");
      return;
    }
  g_string_append_printf (out,
                          "  wave %" G_GUINT64_FORMAT " deadline %u limit %u",
                          w.number, w.deadline_s, w.parallel_limit_count);
  for (i = 0; i < w.vm_count; i++)
    print_text (out, "vm", w.vms[i]);
  g_string_append_c (out, '\n');
}

static void
decode_vms (TALLOC_CTX *mem, const GByteArray *b, GString *out)
{
  struct vm_row *rows = NULL;
  uint32_t n = 0;
  gchar page[20];
  guint i;

  if (!platform_vms_decode (mem, 200, b->data, b->len, &rows, &n, page,
                            sizeof page))
    {
      g_string_append (out, "  refused\n");
      return;
    }
  for (i = 0; i < n; i++)
    {
      g_string_append (out, " ");
      print_text (out, "vm", rows[i].vm);
      print_text (out, "pool", rows[i].pool);
      print_text (out, "runner", rows[i].runner);
      g_string_append (out, rows[i].up ? " up\n" : " not up\n");
    }
  if (page[0] != '\0')
    {
      gchar url[PLATFORM_CLOUD_URL_BYTES];

      platform_vms_url (url, "h:1", page);
      g_string_append_printf (out, "  next %s\n", url);
    }
}

static void
decode_submit (TALLOC_CTX *mem, const GByteArray *b, GString *out)
{
  struct platform_request r = { .method = "POST",
                                .path = "/q/00000000000000aa",
                                .body = b->data,
                                .body_bytes = b->len };
  struct client_call c = { 0 };
  guint i;

  platform_client_decode (mem, &r, &c);
  if (c.kind != CALL_SUBMIT)
    {
      g_string_append_printf (out, "  refused: %s\n", c.fault);
      return;
    }
  g_string_append_printf (out, "  occurrences %u\n", c.spec->occurrence_count);
  for (i = 0; i < c.spec->step_count; i++)
    {
      const struct job_step *s = &c.spec->steps[i];

      g_string_append_printf (
          out,
          "  step count %u estimate %u per_runner %u target %u may_miss "
          "%u",
          s->task_count, s->estimate_ms, s->per_runner_limit_count,
          s->latency_target_ms, s->unavailable_limit_count);
      print_resources (out, &s->need);
      g_string_append_c (out, '\n');
    }
}

/* Parts: the path, as decoded from the URL, and the host of a call.  */
static void
decode_call (TALLOC_CTX *mem, const GByteArray *b, GString *out)
{
  struct client_call c = { 0 };
  struct platform_request r = { .method = "GET" };
  gchar *path;
  guint n;
  const guint8 *host = split_key (mem, b, &path, &n);

  r.path = path;
  r.host = talloc_strndup (mem, (const gchar *)host, n);
  platform_client_decode (mem, &r, &c);
  g_string_append (out, " ");
  print_text (out, "path", c.path);
  print_text (out, "host", c.host);
  g_string_append_c (out, '\n');
}

/* Parts: the key and the value of a record of jobs.  */
static void
decode_record (TALLOC_CTX *mem, const GByteArray *b, GString *out)
{
  struct recovered_record r;
  gchar *key;
  guint n;
  const guint8 *value = split_key (mem, b, &key, &n);

  if (recovered_record_unpack (mem, key, value, n, &r))
    g_string_append_printf (out, "  job %d tasks %u vms %u pools %u\n",
                            r.is_job, r.task_count, r.vm_count, r.pool_count);
  else
    g_string_append (out, "  refused\n");
}

static void
decode_relay (TALLOC_CTX *mem, const GByteArray *b, GString *out)
{
  struct relay_message m;

  if (relay_decode (mem, b->data, b->len, &m))
    g_string_append_printf (out, "  message %u\n", (guint)m.kind);
  else
    g_string_append (out, "  refused\n");
}

static const struct decoder decoders[] = {
  { "page", decode_page },     { "read", decode_read },
  { "runner", decode_runner }, { "answer", decode_answer },
  { "config", decode_config }, { "wave", decode_wave },
  { "vms", decode_vms },       { "submit", decode_submit },
  { "record", decode_record }, { "relay", decode_relay },
  { "call", decode_call },
};

static void
run_line (const gchar *line, GString *out)
{
  const gchar *space = strchr (line, ' ');
  GByteArray *b = g_byte_array_new ();
  TALLOC_CTX *mem = talloc_new (NULL);
  guint i;

  g_assert_nonnull (space);
  g_string_append_printf (out, "%s\n", line);
  unescape (space + 1, b);
  for (i = 0; i < G_N_ELEMENTS (decoders); i++)
    if (strlen (decoders[i].kind) == (gsize)(space - line)
        && g_str_has_prefix (line, decoders[i].kind))
      break;
  g_assert_cmpuint (i, <, G_N_ELEMENTS (decoders));
  decoders[i].decode (mem, b, out);
  talloc_free (mem);
  g_byte_array_free (b, TRUE);
}

static void
check_script (gconstpointer data)
{
  GString *out = g_string_new ("");
  gchar *text = NULL;
  gchar **lines;
  guint i;

  g_assert_true (g_file_get_contents (data, &text, NULL, NULL));
  lines = g_strsplit (text, "\n", -1);
  for (i = 0; lines[i] != NULL; i++)
    if (lines[i][0] == '#')
      g_string_append_printf (out, "%s\n", lines[i]);
    else if (lines[i][0] != '\0')
      run_line (lines[i], out);
  expected_check (data, ".script", out->str);
  g_strfreev (lines);
  g_free (text);
  g_string_free (out, TRUE);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  expected_add_directory ("/entries", "tests/entries", ".script",
                          check_script);
  return g_test_run ();
}
