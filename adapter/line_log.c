/* line_log.c -- structured log on standard output.  */

#include "adapter/line_log.h"

#include "port/types.h"

#include <errno.h>
#include <limits.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define LINE_BYTES 720
/** Most bytes of lines passed to one write: a pipe takes as many whole or not
   at all, so that no line is cut or mixed with those of another process.  */
#define BATCH_BYTES PIPE_BUF

struct line_log
{
  struct duty *duty;
  char vm[NAME_BYTES];
  _Atomic uint64_t dropped_count;
  uint64_t reported_count; /**< Dropped lines already reported in the log.  */
  char *batch;
  uint32_t batch_bytes;
};

/* Returns the number of lines in N bytes of TEXT.  */
static uint64_t
count_lines (const char *text, uint32_t n)
{
  uint64_t lines = 0;
  uint32_t i;

  for (i = 0; i < n; i++)
    lines += text[i] == '\n';
  return lines;
}

static void
write_batch (void *state)
{
  struct line_log *l = state;
  uint32_t at = 0;

  while (at < l->batch_bytes)
    {
      ssize_t n = write (STDOUT_FILENO, l->batch + at, l->batch_bytes - at);

      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        {
          atomic_fetch_add (&l->dropped_count,
                            count_lines (l->batch + at, l->batch_bytes - at));
          break;
        }
      at += (uint32_t)n;
    }
  l->batch_bytes = 0;
}

static void
add_line (struct line_log *l, const char *text)
{
  uint32_t n = (uint32_t)strlen (text);

  if (l->batch_bytes + n > BATCH_BYTES)
    write_batch (l);
  memcpy (l->batch + l->batch_bytes, text, n);
  l->batch_bytes += n;
}

static void
on_line (void *state, void *item)
{
  struct line_log *l = state;
  uint64_t dropped = atomic_load (&l->dropped_count);
  char text[LINE_BYTES];

  if (dropped > l->reported_count)
    {
      snprintf (text, sizeof text,
                "{\"at_ms\":%llu,\"vm\":\"%s\",\"what\":\"lines_dropped\","
                "\"count\":%llu}\n",
                (unsigned long long)wall_ms (), l->vm,
                (unsigned long long)(dropped - l->reported_count));
      l->reported_count = dropped;
      add_line (l, text);
    }
  add_line (l, item);
  free (item);
}

struct line_log *
line_log_new (const char *vm, uint32_t capacity_count)
{
  struct line_log *l = talloc_zero (NULL, struct line_log);

  text_copy (l->vm, NAME_BYTES, vm);
  l->batch = talloc_array (l, char, BATCH_BYTES);
  l->duty = duty_new ("log", capacity_count, on_line, l);
  if (l->duty == NULL)
    {
      talloc_free (l);
      return NULL;
    }
  l->duty->on_batch = write_batch;
  return l;
}

struct duty *
line_log_duty (struct line_log *l)
{
  return l->duty;
}

void
line_log_write (struct line_log *l, const char *what, uint64_t job,
                const char *fields)
{
  char text[LINE_BYTES];
  char id[48] = "";
  char *line;

  if (job != 0)
    snprintf (id, sizeof id, ",\"job\":\"%016llx\"", (unsigned long long)job);
  snprintf (text, sizeof text,
            "{\"at_ms\":%llu,\"vm\":\"%s\",\"what\":\"%s\"%s%s%.400s}\n",
            (unsigned long long)wall_ms (), l->vm, what, id,
            fields[0] != '\0' ? "," : "", fields);
  line = strdup (text);
  if (line != NULL && ring_push (l->duty->inbound, line))
    return;
  free (line);
  atomic_fetch_add (&l->dropped_count, 1);
}

uint64_t
line_log_dropped_count (const struct line_log *l)
{
  return atomic_load (&l->dropped_count);
}

void
line_log_free (struct line_log *l)
{
  void *item;

  if (l == NULL)
    return;
  while (ring_pop (l->duty->inbound, &item, 1) > 0)
    on_line (l, item);
  write_batch (l);
  duty_free (l->duty);
  talloc_free (l);
}
