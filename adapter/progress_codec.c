/* progress_codec.c -- msgpack coding of the tasks in a record of a job's
   progress.

   The row of a task has room for a few failed runs, as most tasks need.  The
   others follow in a field of their own, which earlier builds do not read.  */

#include "adapter/progress_codec.h"

#include <stdlib.h>

/** Layout of a task's row: the size of a run number, and the parts of the
    first byte.  */
#define RUN_BYTES 2
#define DONE_BIT 0x80
#define FAILED_COUNT_MASK 0x7f

/* Returns true if the row of T does not hold all that is known of its failed
   runs.  */
static bool
has_more_failed_runs (const struct task_progress *t)
{
  return t->failed_run_count > FAILED_RUN_COUNT
         || t->failed_count >= FAILED_COUNT_MASK;
}

/* Writes the row of a task and returns its length.  A row is a byte with the
   done bit and the number of failed runs, then the run numbers of failed runs,
   at most FAILED_RUN_COUNT, little-endian; 0: no number is known.  */
static uint32_t
encode_task_row (const struct task_progress *t, uint8_t *row)
{
  uint8_t failed = t->failed_count < FAILED_COUNT_MASK
                       ? (uint8_t)t->failed_count
                       : FAILED_COUNT_MASK;
  uint32_t n = 1;
  uint32_t i;

  row[0] = (uint8_t)((t->done ? DONE_BIT : 0) | failed);
  for (i = 0; i < failed && i < FAILED_RUN_COUNT; i++)
    {
      uint16_t run = i < t->failed_run_count ? t->failed_runs[i] : 0;

      row[n++] = (uint8_t)run;
      row[n++] = (uint8_t)(run >> 8);
    }
  return n;
}

/* Packs the number of T, a task of a record, with its failed runs: their
   count, and the first and the last number of each series of numbers.  */
static void
pack_failed_runs (msgpack_packer *p, uint32_t number,
                  const struct task_progress *t)
{
  uint32_t series_count = 0;
  uint32_t i;

  for (i = 0; i < t->failed_run_count; i++)
    series_count += i == 0 || t->failed_runs[i] != t->failed_runs[i - 1] + 1;
  msgpack_pack_array (p, 3);
  msgpack_pack_uint32 (p, number);
  msgpack_pack_uint32 (p, t->failed_count);
  msgpack_pack_array (p, 2 * series_count);
  for (i = 0; i < t->failed_run_count; i++)
    {
      if (i == 0 || t->failed_runs[i] != t->failed_runs[i - 1] + 1)
        msgpack_pack_uint16 (p, t->failed_runs[i]);
      if (i + 1 == t->failed_run_count
          || t->failed_runs[i + 1] != t->failed_runs[i] + 1)
        msgpack_pack_uint16 (p, t->failed_runs[i]);
    }
}

void
progress_rows_pack (msgpack_packer *p, const struct append_record *x)
{
  uint8_t *rows = talloc_array (
      NULL, uint8_t, x->task_count * (1 + RUN_BYTES * FAILED_RUN_COUNT) + 1);
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < x->task_count; i++)
    n += encode_task_row (&x->tasks[i], rows + n);
  msgpack_pack_uint32 (p, x->task_count);
  pack_bytes (p, rows, n);
  talloc_free (rows);
}

void
progress_failures_pack (msgpack_packer *p, const struct append_record *x)
{
  uint32_t n = 0;
  uint32_t i;

  for (i = 0; i < x->task_count; i++)
    n += has_more_failed_runs (&x->tasks[i]);
  msgpack_pack_array (p, n);
  for (i = 0; i < x->task_count; i++)
    if (has_more_failed_runs (&x->tasks[i]))
      pack_failed_runs (p, i, &x->tasks[i]);
}

static int
compare_run_numbers (const void *a, const void *b)
{
  return *(const uint16_t *)a - *(const uint16_t *)b;
}

/* Decodes the row of a task of MEM.  Returns its length, or 0 if it is
   truncated.  */
static uint32_t
decode_task_row (TALLOC_CTX *mem, const uint8_t *row, uint32_t left_bytes,
                 struct task_progress *t)
{
  uint32_t n = 1;
  uint32_t i;

  if (left_bytes < 1)
    return 0;
  t->done = (row[0] & DONE_BIT) != 0;
  t->failed_count = row[0] & FAILED_COUNT_MASK;
  if (t->failed_count > 0)
    t->failed_runs = talloc_array (mem, uint16_t, FAILED_RUN_COUNT);
  for (i = 0; i < t->failed_count && i < FAILED_RUN_COUNT; i++)
    {
      uint16_t run;

      if (left_bytes < n + RUN_BYTES)
        return 0;
      run = (uint16_t)(row[n] | row[n + 1] << 8);
      if (run != 0)
        t->failed_runs[t->failed_run_count++] = run;
      n += RUN_BYTES;
    }
  /* Records of earlier builds have them in the order of their ends.  */
  if (t->failed_run_count > 1)
    qsort (t->failed_runs, t->failed_run_count, sizeof *t->failed_runs,
           compare_run_numbers);
  return n;
}

/* Reads the failed runs of T, a task of MEM, from their series of numbers.
   Returns false if these do not rise.  */
static bool
unpack_failed_runs (TALLOC_CTX *mem, struct unpack *series,
                    struct task_progress *t)
{
  uint32_t least = 0;

  t->failed_run_count = 0;
  while (series->next + 1 < series->item_count && !series->failed)
    {
      uint32_t first = (uint32_t)unpack_number (series, UINT16_MAX);
      uint32_t last = (uint32_t)unpack_number (series, UINT16_MAX);

      if (first < least || last < first)
        return false;
      least = last + 1;
      t->failed_runs = talloc_realloc (mem, t->failed_runs, uint16_t,
                                       t->failed_run_count + last - first + 1);
      for (; first <= last; first++)
        t->failed_runs[t->failed_run_count++] = (uint16_t)first;
    }
  return !series->failed;
}

/* Records of earlier builds end before it.  */
bool
progress_failures_unpack (struct unpack *u, struct recovered_record *r)
{
  struct unpack tasks;
  uint32_t i;

  if (u->next >= u->item_count)
    return true;
  unpack_array (u, &tasks);
  for (i = 0; i < tasks.item_count && !tasks.failed; i++)
    {
      struct unpack fields;
      struct unpack series;
      struct task_progress *t;
      uint32_t number;

      unpack_array (&tasks, &fields);
      number = (uint32_t)unpack_number (&fields, UINT32_MAX);
      if (fields.failed || number >= r->task_count)
        return false;
      t = &r->tasks[number];
      t->failed_count = (uint32_t)unpack_number (&fields, UINT32_MAX);
      unpack_array (&fields, &series);
      if (fields.failed || !unpack_failed_runs (r->tasks, &series, t))
        return false;
    }
  return !u->failed && !tasks.failed;
}

bool
progress_rows_unpack (TALLOC_CTX *mem, struct unpack *u,
                      struct recovered_record *r)
{
  const uint8_t *rows;
  uint32_t size_bytes;
  uint32_t at = 0;
  uint32_t i;

  r->task_count = (uint32_t)unpack_number (u, UINT32_MAX);
  rows = unpack_bytes (u, &size_bytes);
  if (u->failed || r->task_count > size_bytes)
    return false;
  r->tasks = talloc_zero_array (mem, struct task_progress, r->task_count + 1);
  for (i = 0; i < r->task_count; i++)
    {
      uint32_t n = decode_task_row (r->tasks, rows + at, size_bytes - at,
                                    &r->tasks[i]);

      if (n == 0)
        return false;
      at += n;
    }
  return true;
}
