/* timeline.c -- log lines by log4c and the notes kept for the time line.  */

#include "adapter/timeline.h"

#include <log4c.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#define RING_COUNT 4096
/** Notes kept for the time line.  */
#define KEPT_COUNT 2048

struct kept_note
{
  uint64_t at_ms;
  struct action_note note;
};

struct timeline
{
  struct duty *duty;
  char vm[NAME_BYTES];
  log4c_category_t *category;
  _Atomic uint64_t dropped_count;
  pthread_mutex_t lock; /**< Guards kept and kept_total.  */
  struct kept_note kept[KEPT_COUNT];
  uint64_t kept_total; /**< Notes ever kept.  */
};

static void
on_note (void *state, void *item)
{
  struct timeline *j = state;
  struct kept_note *k = item;

  pthread_mutex_lock (&j->lock);
  j->kept[j->kept_total++ % KEPT_COUNT] = *k;
  pthread_mutex_unlock (&j->lock);
  log4c_category_log (j->category, LOG4C_PRIORITY_INFO,
                      "at_ms=%llu vm=%s event=%s subject=%s value=%llu",
                      (unsigned long long)k->at_ms, j->vm,
                      note_kind_name (k->note.kind), k->note.subject,
                      (unsigned long long)k->note.value);
  talloc_free (k);
}

static void
open_category (struct timeline *j)
{
  log4c_appender_t *appender = log4c_appender_get ("stderr");
  log4c_layout_t *layout = log4c_layout_get ("basic");

  log4c_init ();
  j->category = log4c_category_get ("fulmartack");
  log4c_appender_set_layout (appender, layout);
  log4c_category_set_appender (j->category, appender);
  log4c_category_set_additivity (j->category, 0);
  log4c_category_set_priority (j->category, LOG4C_PRIORITY_INFO);
}

struct timeline *
timeline_new (const char *vm)
{
  struct timeline *j = talloc_zero (NULL, struct timeline);

  if (j == NULL)
    return NULL;
  text_copy (j->vm, NAME_BYTES, vm);
  pthread_mutex_init (&j->lock, NULL);
  j->duty = duty_new ("journal", RING_COUNT, on_note, j);
  if (j->duty == NULL)
    {
      talloc_free (j);
      return NULL;
    }
  open_category (j);
  return j;
}

struct duty *
timeline_duty (struct timeline *j)
{
  return j->duty;
}

void
timeline_add (struct timeline *j, const struct action_note *n)
{
  struct kept_note *k = talloc (NULL, struct kept_note);

  k->at_ms = wall_ms ();
  k->note = *n;
  if (!ring_push (j->duty->inbound, k))
    {
      atomic_fetch_add (&j->dropped_count, 1);
      talloc_free (k);
    }
}

json_t *
timeline_to_json (struct timeline *j, uint64_t after)
{
  json_t *list = json_array ();
  uint64_t i;

  pthread_mutex_lock (&j->lock);
  i = j->kept_total > KEPT_COUNT ? j->kept_total - KEPT_COUNT : 0;
  if (after <= j->kept_total && after > i)
    i = after;
  for (; i < j->kept_total; i++)
    {
      const struct kept_note *k = &j->kept[i % KEPT_COUNT];

      json_array_append_new (
          list,
          json_pack ("{s:I, s:I, s:s, s:s, s:s, s:I}", "number",
                     (json_int_t)i + 1, "at_ms", (json_int_t)k->at_ms, "vm",
                     j->vm, "event", note_kind_name (k->note.kind), "subject",
                     k->note.subject, "value", (json_int_t)k->note.value));
    }
  pthread_mutex_unlock (&j->lock);
  return list;
}

uint64_t
timeline_dropped_count (const struct timeline *j)
{
  return atomic_load (&j->dropped_count);
}

void
timeline_free (struct timeline *j)
{
  struct kept_note *k;

  if (j == NULL)
    return;
  while (ring_pop (j->duty->inbound, (void **)&k, 1) > 0)
    talloc_free (k);
  duty_free (j->duty);
  pthread_mutex_destroy (&j->lock);
  log4c_fini ();
  talloc_free (j);
}
