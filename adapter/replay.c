/* replay.c -- runs a recorded trace through the core and compares actions.

   A trace ends within a step if its writer was killed; the actions that it has
   are compared.  */

#include "adapter/replay.h"

#include "adapter/recording.h"
#include "adapter/trace.h"

#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define ACTION_PREFIX "  "

/** A trace being replayed.  */
struct replay
{
  const char *name;
  FILE *file;
  FILE *report;
  char *line; /**< The line read last, without newline.  */
  size_t line_capacity_bytes;
  uint32_t line_number;
  struct core *core;
  struct actions actions;
  GHashTable *answers; /**< request_id to its number of answers, plus 1.  */
  struct replay_counts *counts;
};

static bool
read_line (struct replay *r)
{
  ssize_t n = getline (&r->line, &r->line_capacity_bytes, r->file);

  /* Without newline the line is incomplete: its writer was killed.  */
  if (n <= 0 || r->line[n - 1] != '\n')
    return false;
  r->line[n - 1] = '\0';
  r->line_number++;
  return true;
}

static gpointer
request_key (uint64_t request_id)
{
  return (gpointer)(uintptr_t)request_id;
}

static void
count_request (struct replay *r, uint64_t request_id)
{
  r->counts->request_count++;
  g_hash_table_insert (r->answers, request_key (request_id), request_key (1));
}

static void
count_answer (struct replay *r, const struct action_answer *a)
{
  gpointer key = request_key (a->request_id);
  uintptr_t answers_plus_1 = (uintptr_t)g_hash_table_lookup (r->answers, key);

  r->counts->answer_count[a->code]++;
  if (answers_plus_1 == 0)
    r->counts->unmatched_answer_count++;
  if (answers_plus_1 > 1)
    r->counts->duplicate_answer_count++;
  g_hash_table_insert (r->answers, key, request_key (answers_plus_1 + 1));
}

static void
count_action (struct replay *r, const struct action *a)
{
  r->counts->action_count++;
  if (a->kind == ACTION_ANSWER)
    count_answer (r, &a->u.answer);
  if (a->kind == ACTION_START)
    r->counts->start_count++;
}

static bool
report_difference (struct replay *r, const char *recorded,
                   const char *replayed)
{
  fprintf (r->report, "%s:%u: recorded: %s\n%s:%u: replayed: %s\n", r->name,
           r->line_number, recorded, r->name, r->line_number, replayed);
  return false;
}

/* Compares the step's actions with the lines that follow and prints the first
   difference.  The line after them is left in R; *MORE is false at the end of
   the file.  */
static bool
compare_actions (struct replay *r, bool *more)
{
  bool same = true;
  uint32_t i;

  *more = read_line (r);
  for (i = 0; i < r->actions.item_count; i++)
    {
      struct action *a = &r->actions.items[i];
      char *text = recording_action_line (a);

      count_action (r, a);
      if (same && *more)
        {
          bool is_action = strncmp (r->line, ACTION_PREFIX, 2) == 0;

          same = is_action && strcmp (r->line + 2, text) == 0;
          if (!same)
            report_difference (r, is_action ? r->line + 2 : "no action", text);
          else
            *more = read_line (r);
        }
      free (text);
      trace_action_drop (a);
    }
  if (same && *more && strncmp (r->line, ACTION_PREFIX, 2) == 0)
    same = report_difference (r, r->line + 2, "no action");
  return same;
}

static enum replay_result
run_steps (struct replay *r)
{
  bool more = read_line (r);

  while (more)
    {
      char text[TEXT_BYTES];
      struct event *e = recording_read_event (r->line, text);
      bool same;

      if (e == NULL)
        {
          fprintf (r->report, "%s:%u: %s\n", r->name, r->line_number, text);
          return REPLAY_MALFORMED;
        }
      r->counts->event_count++;
      if (e->kind == EVENT_REQUEST)
        count_request (r, e->u.request.request_id);
      r->actions.item_count = 0;
      core_step (r->core, e, &r->actions);
      same = compare_actions (r, &more);
      talloc_free (e);
      if (!same)
        return REPLAY_DIFFERENT;
    }
  return REPLAY_SAME;
}

static void
count_unanswered (gpointer key, gpointer value, gpointer state)
{
  struct replay_counts *o = state;

  (void)key;
  o->unanswered_count += value == request_key (1);
}

static enum replay_result
run_file (struct replay *r)
{
  struct core_settings s;
  enum replay_result end;

  if (!read_line (r) || !recording_read_settings (r->line, &s))
    {
      fprintf (r->report,
               "%s:1: not a trace: the first line has no settings\n", r->name);
      return REPLAY_MALFORMED;
    }
  r->core = core_new (NULL, &s);
  r->answers = g_hash_table_new (g_direct_hash, g_direct_equal);
  end = run_steps (r);
  g_hash_table_foreach (r->answers, count_unanswered, r->counts);
  g_hash_table_destroy (r->answers);
  talloc_free (r->core);
  talloc_free (r->actions.items);
  return end;
}

enum replay_result
replay_file (const char *file, FILE *report, struct replay_counts *o)
{
  struct replay r = { .name = file, .report = report, .counts = o };
  enum replay_result end = REPLAY_MALFORMED;

  memset (o, 0, sizeof *o);
  r.file = fopen (file, "re");
  if (r.file == NULL)
    {
      fprintf (report, "%s: %s\n", file, strerror (errno));
      return end;
    }
  end = run_file (&r);
  fclose (r.file);
  free (r.line);
  return end;
}

void
replay_print (const struct replay_counts *o, FILE *to)
{
  uint32_t i;

  fprintf (
      to,
      "events %llu\nactions %llu\nrequests %llu\nattempts %llu\n"
      "answered_twice %llu\nunanswered %llu\ncrossed %llu\n",
      (unsigned long long)o->event_count, (unsigned long long)o->action_count,
      (unsigned long long)o->request_count, (unsigned long long)o->start_count,
      (unsigned long long)o->duplicate_answer_count,
      (unsigned long long)o->unanswered_count,
      (unsigned long long)o->unmatched_answer_count);
  for (i = 0; i < ANSWER_CODE_COUNT; i++)
    if (o->answer_count[i] > 0)
      fprintf (to, "answers %s %llu\n", answer_code_name ((enum answer_code)i),
               (unsigned long long)o->answer_count[i]);
}
