/* wave.c -- fulmartackctl wave, vm and pool.  */

#include "ctl/ctl.h"

#include "adapter/record_json.h"
#include "core/vm_control.h"
#include "core/wave_plan.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** Time for the drain and reboot of one VM if step_ms is not given.  */
#define DEFAULT_STEP_MS 60000

/* Appends R and reads the log to learn whether it was applied, since every
   reader of the log reaches the same result.  */
static int
publish_record (struct ctl *c, struct record *r)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  json_t *j;
  struct control *s;
  bool done;
  int code = EXIT_REFUSED;

  ctl_make_command_id (r->id);
  j = record_to_json (r);
  done = ctl_append (c, j);
  json_decref (j);
  s = done ? ctl_read_log (mem, c) : NULL;
  if (s == NULL)
    code = EXIT_UNREACHABLE;
  else if (vm_control_was_applied (s, r->id))
    code = EXIT_DONE;
  else
    fprintf (stderr,
             "fulmartackctl: the command was rejected; see pool status "
             "and wave status\n");
  talloc_free (mem);
  return code;
}

/* Parses the words after the wave's name: "parallel=N", "deadline_ms=MS",
   "step_ms=MS", or else a target.  */
static void
parse_words (struct ctl *c, struct record *r, uint32_t *step_ms)
{
  struct record_wave *w = &r->u.wave;
  int i;

  w->targets = talloc_zero_size (r, (size_t)c->argument_count * NAME_BYTES);
  for (i = 3; i < c->argument_count; i++)
    {
      const char *word = c->arguments[i];

      if (strncmp (word, "parallel=", 9) == 0)
        w->parallel_limit_count = (uint32_t)strtoul (word + 9, NULL, 10);
      else if (strncmp (word, "deadline_ms=", 12) == 0)
        w->deadline_ms = strtoull (word + 12, NULL, 10);
      else if (strncmp (word, "step_ms=", 8) == 0)
        *step_ms = (uint32_t)strtoul (word + 8, NULL, 10);
      else
        text_copy (w->targets[w->target_count++], NAME_BYTES, word);
    }
}

/* Prints what limits the duration of the wave with plan P.  */
static void
print_bounds (const struct control *s, const struct wave_plan *p,
              uint32_t parallel_limit_count)
{
  const struct pool_config *pool = &s->config->pools[p->bottleneck_pool_index];

  printf ("lower bound by the budgets: %llu s, set by pool %s with %u out at "
          "once\n",
          (unsigned long long)(p->lower_bound_ms / MS_PER_S), pool->name,
          pool->max_unavailable_count);
  if (parallel_limit_count > 0 && p->max_out_count == parallel_limit_count)
    printf ("limited by parallel=%u\n", parallel_limit_count);
  if (p->rack_lower_bound_ms > p->lower_bound_ms)
    printf ("lower bound by the budgets of racks: %llu s\n",
            (unsigned long long)(p->rack_lower_bound_ms / MS_PER_S));
}

static int
plan (TALLOC_CTX *mem, struct ctl *c, struct record *r, uint32_t step_ms)
{
  struct control *s = ctl_read_log (mem, c);
  struct wave_plan p;
  struct wave *w;
  uint32_t *steps;
  uint32_t i;

  if (s == NULL)
    return EXIT_UNREACHABLE;
  if (s->config == NULL || !vm_control_apply (s, s->next_offset, r))
    {
      fprintf (stderr,
               "fulmartackctl: the wave would be rejected: no such pool or "
               "VM, or the name is in use\n");
      return EXIT_REFUSED;
    }
  w = vm_control_find_wave (s, r->u.wave.wave);
  steps = talloc_array (mem, uint32_t, s->config->vm_count);
  for (i = 0; i < s->config->vm_count; i++)
    steps[i] = step_ms;
  s->member_count = 0; /* wave_simulate requires it.  */
  wave_simulate (s, w, WAVE_ORDER_GREEDY, steps, &p);
  printf ("%u VMs in %llu s at %u s each, at most %u out at once\n",
          p.vm_count, (unsigned long long)(p.duration_ms / MS_PER_S),
          (uint32_t)(step_ms / MS_PER_S), p.max_out_count);
  print_bounds (s, &p, r->u.wave.parallel_limit_count);
  if (p.blocked_count > 0)
    printf ("%u VMs cannot be drained: lost, already out, or a budget of 0\n",
            p.blocked_count);
  return p.blocked_count > 0 ? EXIT_REFUSED : EXIT_DONE;
}

static int
wave_status (TALLOC_CTX *mem, struct ctl *c)
{
  struct control *s = ctl_read_log (mem, c);
  uint32_t i;

  if (s == NULL)
    return EXIT_UNREACHABLE;
  for (i = 0; i < s->vm_control->wave_count; i++)
    {
      const struct wave *w = s->vm_control->waves[i];

      printf ("%s %s %u of %u done, %u out\n", w->name,
              wave_state_name (w->state), w->done_count, w->vm_count,
              vm_control_wave_out_count (s, w->name));
    }
  return EXIT_DONE;
}

int
ctl_wave (struct ctl *c)
{
  static const struct
  {
    const char *verb;
    enum record_kind kind;
  } verbs[] = {
    { "start", RECORD_WAVE_START }, { "plan", RECORD_WAVE_START },
    { "pause", RECORD_WAVE_PAUSE }, { "resume", RECORD_WAVE_RESUME },
    { "abort", RECORD_WAVE_ABORT },
  };
  TALLOC_CTX *mem = talloc_new (NULL);
  struct record *r = talloc_zero (mem, struct record);
  const char *verb = c->argument_count > 1 ? c->arguments[1] : "";
  uint32_t step_ms = DEFAULT_STEP_MS;
  int code = EXIT_USAGE_ERROR;
  size_t i;

  if (strcmp (verb, "status") == 0)
    code = wave_status (mem, c);
  for (i = 0; i < sizeof verbs / sizeof verbs[0]; i++)
    if (c->argument_count > 2 && strcmp (verb, verbs[i].verb) == 0)
      {
        r->kind = verbs[i].kind;
        text_copy (r->u.wave.wave, NAME_BYTES, c->arguments[2]);
        parse_words (c, r, &step_ms);
        code = strcmp (verb, "plan") == 0 ? plan (mem, c, r, step_ms)
                                          : publish_record (c, r);
        break;
      }
  if (code == EXIT_USAGE_ERROR)
    fprintf (
        stderr,
        "usage: fulmartackctl wave plan|start NAME POOL|VM... [parallel=N] "
        "[deadline_ms=MS] [step_ms=MS] |\n"
        "  wave pause|resume|abort NAME | wave status\n");
  talloc_free (mem);
  return code;
}

int
ctl_vm (struct ctl *c)
{
  struct record r = { 0 };
  const char *verb = c->argument_count > 2 ? c->arguments[1] : "";

  if (strcmp (verb, "move") == 0 && c->argument_count == 5)
    {
      r.kind = RECORD_MOVE;
      text_copy (r.u.move.vm, NAME_BYTES, c->arguments[2]);
      text_copy (r.u.move.from, NAME_BYTES, c->arguments[3]);
      text_copy (r.u.move.to, NAME_BYTES, c->arguments[4]);
      return publish_record (c, &r);
    }
  if (strcmp (verb, "drain") == 0)
    r.kind = RECORD_DRAIN;
  else if (strcmp (verb, "return") == 0)
    r.kind = RECORD_RETURN;
  else
    {
      fprintf (stderr, "usage: fulmartackctl vm drain VM | vm return VM | "
                       "vm move VM FROM TO\n");
      return EXIT_USAGE_ERROR;
    }
  text_copy (r.u.vm.vm, NAME_BYTES, c->arguments[2]);
  return publish_record (c, &r);
}

static void
print_pool (const struct control *s, uint32_t p)
{
  const struct pool_config *pool = &s->config->pools[p];
  uint32_t vm_count = 0;
  uint32_t out_count = 0;
  uint32_t i;

  for (i = 0; i < s->config->vm_count; i++)
    if (s->config->vms[i].pool_index == p)
      {
        vm_count++;
        out_count += vm_control_is_out (s, i) ? 1 : 0;
      }
  printf ("%s%s %u VMs, %u of %u out\n", pool->name,
          pool->is_spare ? " (spare)" : "", vm_count, out_count,
          pool->max_unavailable_count);
  for (i = 0; i < s->config->vm_count; i++)
    {
      const struct vm_lifecycle *v = &s->vm_control->vms[i];

      if (s->config->vms[i].pool_index != p)
        continue;
      printf ("  %s %s%s%s rack=%s%s%s%s%s\n", v->name,
              vm_phase_name (v->phase), v->lost ? " lost" : "",
              vm_control_is_evacuated (s, i) ? " evacuated" : "",
              s->config->vms[i].rack, v->wave[0] ? " wave=" : "", v->wave,
              v->move_to[0] ? " to=" : "", v->move_to);
    }
}

int
ctl_pool (struct ctl *c)
{
  TALLOC_CTX *mem = talloc_new (NULL);
  struct control *s;
  uint32_t p;

  if (c->argument_count < 2 || strcmp (c->arguments[1], "status") != 0)
    {
      fprintf (stderr, "usage: fulmartackctl pool status [POOL]\n");
      return EXIT_USAGE_ERROR;
    }
  s = ctl_read_log (mem, c);
  for (p = 0; s != NULL && s->config != NULL && p < s->config->pool_count; p++)
    if (c->argument_count == 2
        || strcmp (c->arguments[2], s->config->pools[p].name) == 0)
      print_pool (s, p);
  talloc_free (mem);
  return s != NULL ? EXIT_DONE : EXIT_UNREACHABLE;
}
