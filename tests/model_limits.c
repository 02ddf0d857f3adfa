/* model_limits.c -- what makes size bite: processor time of entries, calls
   that the store takes, runners that do not answer or boot late.  */

#include "tests/model.h"

/** Late boots are over by then.  */
#define BOOTS_FOR_MS 20000

uint64_t
model_limits_work (struct model_entry *e, uint32_t work_us)
{
  uint64_t now_us = e->model->now_us;

  if (work_us == 0)
    return 0;
  e->busy_until_us = MAX (e->busy_until_us, now_us)
                     + (uint64_t)work_us * 1000 / e->settings.cpu_milli;
  return e->busy_until_us - now_us;
}

static void
begin_second (struct model *m)
{
  struct model_store *s = &m->store;

  if (s->second == m->now_us / US_PER_S)
    return;
  s->second = m->now_us / US_PER_S;
  s->write_tenths = 0;
  s->read_count = 0;
}

bool
model_limits_write (struct model *m, uint32_t tenths)
{
  struct model_store *s = &m->store;

  begin_second (m);
  s->write_tenths += tenths;
  if (m->options.writes_per_s == 0
      || s->write_tenths <= 10 * m->options.writes_per_s)
    return true;
  s->refused_count++;
  return false;
}

bool
model_limits_read (struct model *m)
{
  struct model_store *s = &m->store;

  begin_second (m);
  s->read_count++;
  if (m->options.reads_per_s == 0 || s->read_count <= m->options.reads_per_s)
    return true;
  s->refused_count++;
  return false;
}

static void
boot (struct model *m, void *argument)
{
  uint32_t *vm = argument;

  if (m->vms[*vm].up && m->vms[*vm].runner == NULL)
    model_vm_boot (m, *vm, NULL);
  talloc_free (vm);
}

void
model_limits_plan (struct model *m)
{
  const struct model_options *o = &m->options;
  uint32_t i;

  for (i = 0; o->mute_milli + o->booting_milli > 0 && i < m->vm_count; i++)
    {
      uint32_t part = model_random (m, 1000);
      uint32_t *vm;

      if (m->vms[i].runner == NULL)
        continue;
      if (part < o->mute_milli)
        m->vms[i].runner->cut_until_us = UINT64_MAX;
      else if (part < o->mute_milli + o->booting_milli)
        {
          model_runner_end (m, i);
          m->vms[i].runner = NULL;
          vm = talloc (m->arena, uint32_t);
          *vm = i;
          model_schedule (m, model_random (m, BOOTS_FOR_MS) * US_PER_MS, boot,
                          vm);
        }
    }
}
