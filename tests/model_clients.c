/* model_clients.c -- clients that ask for states, cancel jobs and submit jobs
   that were accepted once more.  */

#include "tests/model.h"

#include <stdio.h>

#define CALL_TIMEOUT_US (3000 * US_PER_MS)
#define RETRY_US (300 * US_PER_MS)
/** All states are asked for this long before the end of a run.  */
#define LAST_QUESTIONS_US (2000 * US_PER_MS)
#define CANCEL_WITHIN_MS 4000
#define RESEND_WITHIN_MS 9000
/** Clients that insist ask each entry for this long, and the next one after
    this.  */
#define INSIST_TIMEOUT_US (600 * US_PER_MS)
#define INSIST_RETRY_US (100 * US_PER_MS)

struct planned_call
{
  struct model_job *job;
  enum call_kind kind;
};

struct cell_event *
model_call (struct model *m, const struct model_job *j, enum call_kind kind)
{
  struct cell_event *ev = model_event (CELL_CALL);

  ev->u.call.call_id = ++m->last_call_id;
  ev->u.call.kind = kind;
  text_copy (ev->u.call.host, HOST_BYTES, "h");
  text_copy (ev->u.call.key, API_KEY_BYTES, "k");
  snprintf (ev->u.call.path, sizeof ev->u.call.path, "/q%u/%016llx", j->pool,
            (unsigned long long)j->id);
  ev->u.call.wait_ms = CALL_TIMEOUT_US / US_PER_MS;
  return ev;
}

static void call_later (struct model *m, struct model_job *j,
                        enum call_kind kind, uint64_t delay_us);

static void ask_next (struct model *m, void *argument);

/* Cancels are sent again until they are answered.  */
static void
on_timeout (struct model *m, void *argument)
{
  uint64_t *id = argument;
  const struct model_question *q = g_hash_table_lookup (m->questions, id);

  if (q != NULL)
    {
      if (q->kind == CALL_CANCEL)
        call_later (m, q->job, CALL_CANCEL, 0);
      if (q->inquiry != NULL)
        model_schedule (m, 0, ask_next, q->inquiry);
      g_hash_table_remove (m->questions, id);
    }
  talloc_free (id);
}

/* Sends E, which can be reached, a call; X, or NULL, is what it belongs to. */
static void
send_to (struct model_entry *e, struct model_job *j, enum call_kind kind,
         struct model_inquiry *x)
{
  struct model *m = e->model;
  struct model_question *q;
  struct cell_event *ev;
  uint64_t *id;

  if (kind == CALL_CANCEL && j->cancel_sent_at_us == 0)
    j->cancel_sent_at_us = m->now_us;
  ev = model_call (m, j, kind);
  if (kind == CALL_SUBMIT)
    ev->u.call.spec = model_job_spec (m, ev, j);
  q = g_new0 (struct model_question, 1);
  q->call_id = ev->u.call.call_id;
  q->job = j;
  q->kind = kind;
  q->entry = e->index;
  q->process = e->process;
  q->sent_at_us = m->now_us;
  q->inquiry = x;
  g_hash_table_insert (m->questions, &q->call_id, q);
  id = talloc (m->arena, uint64_t);
  *id = q->call_id;
  model_schedule (m, x != NULL ? INSIST_TIMEOUT_US : CALL_TIMEOUT_US,
                  on_timeout, id);
  model_post (e, e->process, 1000, ev);
}

static void
send (struct model *m, struct model_job *j, enum call_kind kind)
{
  struct model_entry *e = &m->entries[model_random (m, m->entry_count)];

  if (model_entry_reaches (e))
    send_to (e, j, kind, NULL);
  else if (kind == CALL_CANCEL)
    call_later (m, j, kind, RETRY_US);
}

/* Asks the next entry.  The inquiry is freed with the arena.  */
static void
ask_next (struct model *m, void *argument)
{
  struct model_inquiry *x = argument;
  struct model_entry *e = &m->entries[x->next_entry % m->entry_count];

  if (x->over)
    return;
  x->next_entry++;
  if (model_entry_reaches (e))
    send_to (e, x->job, CALL_STATE, x);
  else
    model_schedule (m, INSIST_RETRY_US, ask_next, x);
}

static void
end_inquiry (struct model *m, void *argument)
{
  struct model_inquiry *x = argument;

  if (!x->over)
    model_rules_on_untold (m, x->job, x->began_at_us);
  x->over = true;
}

static void
insist (struct model *m, struct model_job *j)
{
  struct model_inquiry *x = talloc_zero (m->arena, struct model_inquiry);

  x->job = j;
  x->began_at_us = m->now_us;
  x->next_entry = model_random (m, m->entry_count);
  model_schedule (m, m->options.insist_ms * US_PER_MS, end_inquiry, x);
  ask_next (m, x);
}

static void
make_call (struct model *m, void *argument)
{
  struct planned_call *x = argument;

  send (m, x->job, x->kind);
  talloc_free (x);
}

static void
call_later (struct model *m, struct model_job *j, enum call_kind kind,
            uint64_t delay_us)
{
  struct planned_call *x = talloc_zero (m->arena, struct planned_call);

  x->job = j;
  x->kind = kind;
  model_schedule (m, delay_us, make_call, x);
}

void
model_client_plan (struct model *m, struct model_job *j)
{
  if (j->long_running)
    return;
  if (j->cancels)
    call_later (m, j, CALL_CANCEL,
                model_random (m, CANCEL_WITHIN_MS) * US_PER_MS);
  if (m->options.resend_percent > 0
      && model_random (m, 100) < m->options.resend_percent)
    call_later (m, j, CALL_SUBMIT,
                model_random (m, RESEND_WITHIN_MS) * US_PER_MS);
}

static void
ask (struct model *m, void *argument)
{
  struct model_job *j;

  (void)argument;
  if (m->jobs->len > 0)
    {
      j = g_ptr_array_index (m->jobs, model_random (m, m->jobs->len));
      if (j->accepted && m->options.insist_ms > 0)
        insist (m, j);
      else if (j->accepted)
        send (m, j, CALL_STATE);
    }
  model_schedule (m, (1 + model_random (m, 2 * m->options.ask_ms)) * US_PER_MS,
                  ask, NULL);
}

void
model_clients_plan (struct model *m)
{
  if (m->options.ask_ms > 0)
    model_schedule (m, 0, ask, NULL);
}

void
model_clients_tick (struct model *m)
{
  guint i;

  if (m->options.ask_ms == 0
      || m->now_us / (10 * US_PER_MS)
             != (m->end_us - LAST_QUESTIONS_US) / (10 * US_PER_MS))
    return;
  for (i = 0; i < m->jobs->len; i++)
    {
      struct model_job *j = g_ptr_array_index (m->jobs, i);

      if (j->accepted)
        send (m, j, CALL_STATE);
    }
}

void
model_client_on_reply (struct model_entry *e, const struct reply *r)
{
  struct model *m = e->model;
  struct model_question *q = g_hash_table_lookup (m->questions, &r->call_id);
  struct model_job *j;

  if (q == NULL || q->entry != e->index || q->process != e->process
      || !model_entry_reaches (e))
    return;
  j = q->job;
  model_rules_on_state (m, j, q->sent_at_us, q->kind, r);
  if (q->inquiry != NULL && r->code == REPLY_OK)
    q->inquiry->over = true;
  else if (q->inquiry != NULL)
    model_schedule (m, INSIST_RETRY_US, ask_next, q->inquiry);
  if (q->kind == CALL_CANCEL)
    {
      if (r->code != REPLY_OK && r->code != REPLY_NO_JOB)
        call_later (m, j, CALL_CANCEL,
                    MAX (r->retry_after_ms * US_PER_MS, RETRY_US));
      else if (j->cancelled_at_us == 0)
        j->cancelled_at_us = m->now_us;
    }
  g_hash_table_remove (m->questions, &r->call_id);
}

void
model_clients_free (struct model *m)
{
  g_hash_table_destroy (m->questions);
}
