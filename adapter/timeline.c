/* timeline.c -- writes notes as log lines and keeps the newest ones.  */

#include "adapter/timeline.h"

#include <log4c.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#define RING_CAPACITY_COUNT 4096
#define KEPT_NOTE_COUNT 2048

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
  pthread_mutex_t lock; /**< Guards kept and newest_number.  */
  /** The newest notes; number n is at (n - 1) % KEPT_NOTE_COUNT.  */
  struct kept_note kept[KEPT_NOTE_COUNT];
  uint64_t newest_number; /**< Number of the newest note.  */
};

static void
on_note (void *state, void *item)
{
  struct timeline *t = state;
  struct kept_note *k = item;

  pthread_mutex_lock (&t->lock);
  t->kept[t->newest_number++ % KEPT_NOTE_COUNT] = *k;
  pthread_mutex_unlock (&t->lock);
  log4c_category_log (t->category, LOG4C_PRIORITY_INFO,
                      "at_ms=%llu vm=%s event=%s subject=%s value=%llu",
                      (unsigned long long)k->at_ms, t->vm,
                      note_kind_name (k->note.kind), k->note.subject,
                      (unsigned long long)k->note.value);
  talloc_free (k);
}

static void
open_category (struct timeline *t)
{
  log4c_appender_t *appender = log4c_appender_get ("stderr");
  log4c_layout_t *layout = log4c_layout_get ("basic");

  log4c_init ();
  t->category = log4c_category_get ("fulmartack");
  log4c_appender_set_layout (appender, layout);
  log4c_category_set_appender (t->category, appender);
  log4c_category_set_additivity (t->category, 0);
  log4c_category_set_priority (t->category, LOG4C_PRIORITY_INFO);
}

struct timeline *
timeline_new (const char *vm)
{
  struct timeline *t = talloc_zero (NULL, struct timeline);

  if (t == NULL)
    return NULL;
  text_copy (t->vm, NAME_BYTES, vm);
  pthread_mutex_init (&t->lock, NULL);
  t->duty = duty_new ("journal", RING_CAPACITY_COUNT, on_note, t);
  if (t->duty == NULL)
    {
      talloc_free (t);
      return NULL;
    }
  open_category (t);
  return t;
}

struct duty *
timeline_duty (struct timeline *t)
{
  return t->duty;
}

void
timeline_add (struct timeline *t, const struct action_note *n)
{
  struct kept_note *k = talloc (NULL, struct kept_note);

  k->at_ms = wall_ms ();
  k->note = *n;
  if (!ring_push (t->duty->inbound, k))
    {
      atomic_fetch_add (&t->dropped_count, 1);
      talloc_free (k);
    }
}

json_t *
timeline_to_json (struct timeline *t, uint64_t after)
{
  json_t *list = json_array ();
  uint64_t i;

  pthread_mutex_lock (&t->lock);
  i = t->newest_number > KEPT_NOTE_COUNT ? t->newest_number - KEPT_NOTE_COUNT
                                         : 0;
  if (after <= t->newest_number && after > i)
    i = after;
  for (; i < t->newest_number; i++)
    {
      const struct kept_note *k = &t->kept[i % KEPT_NOTE_COUNT];

      json_array_append_new (
          list,
          json_pack ("{s:I, s:I, s:s, s:s, s:s, s:I}", "number",
                     (json_int_t)i + 1, "at_ms", (json_int_t)k->at_ms, "vm",
                     t->vm, "event", note_kind_name (k->note.kind), "subject",
                     k->note.subject, "value", (json_int_t)k->note.value));
    }
  pthread_mutex_unlock (&t->lock);
  return list;
}

uint64_t
timeline_dropped_count (const struct timeline *t)
{
  return atomic_load (&t->dropped_count);
}

void
timeline_free (struct timeline *t)
{
  struct kept_note *k;

  if (t == NULL)
    return;
  while (ring_pop (t->duty->inbound, (void **)&k, 1) > 0)
    talloc_free (k);
  duty_free (t->duty);
  pthread_mutex_destroy (&t->lock);
  log4c_fini ();
  talloc_free (t);
}
