/* image_samples.c -- samples of how images run beside each other.

   Each runner keeps which images it had in the last moments.  A short task
   gives a sample when it is done, by the run time of its step's tasks
   elsewhere; a serving task gives one from time to time, by the mean of its
   tail latency.  Runners that are slow by themselves (slow_runners.c) give
   none.  The load is that of core/interference/pairs.c.  */

#include "core/cell/state.h"

/** Images and times that a runner keeps.  */
#define PRESENCE_COUNT 16
/** Least time between two samples of a serving task: its polls can be much
    closer together, and their latencies are nearly the same.  */
#define SERVING_SAMPLE_MS 250
/** The newest latency has a weight of one in this many in its task's mean,
    which so spans several stays of another image.  */
#define METRIC_MEAN_PART 32
/** Interval in which the pairs of images are judged.  */
#define JUDGE_MS 500

/* A time in which a runner had tasks of an image.  */
struct presence
{
  uint32_t image;
  uint32_t task_count; /* 0: the time is over.  */
  uint64_t from_us;
  uint64_t until_us; /* Set when it is over.  */
};

struct runner_images
{
  uint32_t count;
  struct presence times[PRESENCE_COUNT];
  uint64_t complete_from_us; /* Earlier times may be missing.  */
};

/* Returns the time in which M has tasks of IMAGE now, or NULL.  */
static struct presence *
find_present (struct runner_images *m, uint32_t image)
{
  uint32_t i;

  for (i = 0; i < m->count; i++)
    if (m->times[i].image == image && m->times[i].task_count > 0)
      return &m->times[i];
  return NULL;
}

/* Returns an entry of M for a new time: that which has been over for longest
   if there are too many, or NULL if none is over.  */
static struct presence *
make_entry (struct runner_images *m)
{
  struct presence *oldest = NULL;
  uint32_t i;

  if (m->count < PRESENCE_COUNT)
    return &m->times[m->count++];
  for (i = 0; i < m->count; i++)
    if (m->times[i].task_count == 0
        && (oldest == NULL || m->times[i].until_us < oldest->until_us))
      oldest = &m->times[i];
  if (oldest != NULL)
    m->complete_from_us = MAX (m->complete_from_us, oldest->until_us);
  return oldest;
}

void
image_samples_on_assign (struct cell *c, struct runner *r, struct task *t)
{
  uint32_t image;
  struct presence *p;

  if (c->interference == NULL)
    return;
  image = place_image_number (c, t->step);
  if (r->images == NULL)
    r->images = talloc_zero (r, struct runner_images);
  p = find_present (r->images, image);
  if (p == NULL)
    {
      p = make_entry (r->images);
      if (p == NULL)
        return;
      *p = (struct presence){ .image = image, .from_us = c->now_us };
    }
  p->task_count++;
}

void
image_samples_on_release (struct cell *c, struct task *t)
{
  struct runner_images *m = t->runner->images;
  struct presence *p;

  if (c->interference == NULL || m == NULL)
    return;
  p = find_present (m, place_image_number (c, t->step));
  if (p == NULL)
    {
      /* There was no entry for it.  */
      m->complete_from_us = c->now_us;
      return;
    }
  if (--p->task_count == 0)
    p->until_us = c->now_us;
}

/* Adds to S that IMAGE was there for PART thousandths of its time.  */
static void
add_neighbor (struct interference_sample *s, uint32_t image, uint32_t part)
{
  uint32_t i;

  for (i = 0; i < s->neighbor_count; i++)
    if (s->neighbors[i].image == image)
      {
        s->neighbors[i].part_milli += part;
        return;
      }
  if (s->neighbor_count == INTERFERENCE_NEIGHBOR_LIMIT)
    return;
  s->neighbors[s->neighbor_count].image = image;
  s->neighbors[s->neighbor_count++].part_milli = part;
}

/* Counts a sample of T on R: since FROM_US it took RATIO thousandths of what
   is expected.  */
static void
note_sample (struct cell *c, const struct runner *r, const struct task *t,
             uint64_t from_us, uint32_t ratio)
{
  const struct runner_images *m = r->images;
  struct interference_sample s = { .image = t->step->run_time->number,
                                   .runner = g_str_hash (r->report.id),
                                   .ratio_milli = ratio };
  uint32_t i;

  if (m == NULL || from_us < m->complete_from_us || from_us >= c->now_us)
    return;
  for (i = 0; i < m->count; i++)
    {
      const struct presence *p = &m->times[i];
      uint64_t until_us = p->task_count > 0 ? c->now_us : p->until_us;
      uint64_t begin_us = MAX (from_us, p->from_us);

      if (p->image != s.image && until_us > begin_us)
        add_neighbor (
            &s, p->image,
            (uint32_t)((until_us - begin_us) * 1000 / (c->now_us - from_us)));
    }
  interference_note (c->interference, c->now_us, &s);
}

/* Returns true if R works at its usual speed, as far as is known.  */
static bool
is_sound (const struct cell *c, const struct runner *r)
{
  return !r->on_probation && c->now_us >= r->quarantined_until_us
         && r->miss_count == 0;
}

void
image_samples_on_done (struct cell *c, struct runner *r, struct task *t,
                       uint32_t ratio)
{
  if (c->interference != NULL && t->runner == r && is_sound (c, r))
    note_sample (c, r, t, t->start_ordered_at_us, ratio);
}

/* Takes a sample of the serving task T on R.  */
static void
sample_serving (struct cell *c, struct runner *r, struct task *t)
{
  uint64_t metric_us = (uint64_t)t->metric * US_PER_MS;

  if (t->metric_mean_us > 0)
    note_sample (
        c, r, t, t->metric_sampled_at_us,
        (uint32_t)MIN (metric_us * 1000 / t->metric_mean_us, UINT32_MAX));
  else
    t->metric_mean_us = metric_us;
  t->metric_mean_us += metric_us / METRIC_MEAN_PART;
  t->metric_mean_us -= t->metric_mean_us / METRIC_MEAN_PART;
  t->metric_sampled_at_us = c->now_us;
}

void
image_samples_on_answer (struct cell *c, struct runner *r)
{
  guint i;

  if (c->interference == NULL || !is_sound (c, r))
    return;
  for (i = 0; i < r->tasks->len; i++)
    {
      struct task *t = g_ptr_array_index (r->tasks, i);

      if (t->step->spec->latency_target_ms > 0 && t->phase == TASK_RUNNING
          && t->work_percent >= 100 && t->metric > 0
          && c->now_us
                 >= t->metric_sampled_at_us + SERVING_SAMPLE_MS * US_PER_MS)
        sample_serving (c, r, t);
    }
}

/* Copies the name of IMAGE to NAME for a log line.  The name is a client's: it
   may have characters that end a JSON string.  */
static void
copy_image_name (const struct cell *c, uint32_t image,
                 char name[NAME_BYTES + LABEL_BYTES])
{
  char *p;

  text_copy (name, NAME_BYTES + LABEL_BYTES, place_image_name (c, image));
  for (p = name; *p != '\0'; p++)
    if ((unsigned char)*p < ' ' || *p == '"' || *p == '\\' || *p == 0x7f)
      *p = '_';
}

static void
log_change (struct cell *c, const struct interference_change *x)
{
  char image[NAME_BYTES + LABEL_BYTES];
  char beside[NAME_BYTES + LABEL_BYTES];

  copy_image_name (c, x->image, image);
  copy_image_name (c, x->beside, beside);
  cell_log (c, x->interferes ? "images_interfere" : "images_compatible", 0,
            "\"image\":\"%s\",\"beside\":\"%s\",\"slowdown_milli\":%u,"
            "\"samples\":%u",
            image, beside, x->slowdown_milli, x->sample_count);
}

void
image_samples_tick (struct cell *c)
{
  struct interference_change x;

  if (c->interference == NULL
      || c->now_us < c->interference_judged_at_us + JUDGE_MS * US_PER_MS)
    return;
  c->interference_judged_at_us = c->now_us;
  while (interference_next_change (c->interference, c->now_us, &x))
    log_change (c, &x);
}

void
image_samples_clear (struct cell *c)
{
  if (c->interference != NULL)
    *c->interference = (struct interference){ 0 };
}

bool
image_samples_find_partners (struct cell *c, struct work_step *w,
                             struct interference_partners *p)
{
  if (c->interference == NULL || c->interference->active_count == 0)
    return false;
  interference_find_partners (c->interference, place_image_number (c, w), p);
  return p->count > 0;
}

uint32_t
image_samples_penalty (const struct runner *r,
                       const struct interference_partners *p)
{
  uint32_t n = 0;
  guint i;

  for (i = 0; i < r->tasks->len; i++)
    n += interference_penalty (p,
                               ((struct task *)g_ptr_array_index (r->tasks, i))
                                   ->step->run_time->number);
  return n;
}
