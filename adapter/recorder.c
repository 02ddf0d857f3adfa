/* recorder.c -- writes a run's events and actions to a trace file.  */

#include "adapter/recorder.h"

#include "adapter/recording.h"

#include <stdio.h>
#include <stdlib.h>

/** Most steps that wait to be written.  */
#define RING_CAPACITY_COUNT 8192

struct recorder
{
  struct duty *duty;
  FILE *file;
  char *lines;  /**< Lines of the step in progress; only the decide thread
                     uses them.  */
  bool stopped; /**< A step was dropped; only the decide thread uses this.  */
};

static void
write_lines (void *state, void *item)
{
  struct recorder *r = state;

  fputs (item, r->file);
  talloc_free (item);
}

static void
flush_file (void *state)
{
  struct recorder *r = state;

  fflush (r->file);
}

struct recorder *
recorder_open (const char *file, const struct core_settings *s)
{
  struct recorder *r = talloc_zero (NULL, struct recorder);
  char *line;

  if (r == NULL)
    return NULL;
  r->file = fopen (file, "we");
  r->duty = duty_new ("record", RING_CAPACITY_COUNT, write_lines, r);
  if (r->file == NULL || r->duty == NULL)
    {
      recorder_close (r);
      return NULL;
    }
  r->duty->on_batch = flush_file;
  line = recording_settings_line (s);
  fprintf (r->file, "%s\n", line);
  free (line);
  return r;
}

struct duty *
recorder_duty (struct recorder *r)
{
  return r->duty;
}

void
recorder_begin_step (struct recorder *r, const struct event *e)
{
  char *line;

  if (r->stopped)
    return;
  line = recording_event_line (e);
  r->lines = talloc_asprintf (NULL, "%s\n", line);
  free (line);
}

void
recorder_add_action (struct recorder *r, const struct action *a)
{
  char *line;

  if (r->stopped)
    return;
  line = recording_action_line (a);
  r->lines = talloc_asprintf_append_buffer (r->lines, "  %s\n", line);
  free (line);
}

void
recorder_end_step (struct recorder *r)
{
  if (r->stopped)
    return;
  if (!ring_push (r->duty->inbound, r->lines))
    {
      talloc_free (r->lines);
      r->stopped = true;
    }
  r->lines = NULL;
}

void
recorder_close (struct recorder *r)
{
  void *item;

  if (r == NULL)
    return;
  while (r->duty != NULL && ring_pop (r->duty->inbound, &item, 1) > 0)
    write_lines (r, item);
  if (r->file != NULL)
    fclose (r->file);
  duty_free (r->duty);
  talloc_free (r);
}
