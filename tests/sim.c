/* sim.c -- several cores on one event queue with virtual time.  */

#include "tests/sim.h"

#include "adapter/record_json.h"
#include "adapter/trace.h"

#include <stdio.h>
#include <string.h>

#define TICK_US (20 * US_PER_MS)
/** Before a refused request is repeated.  */
#define RETRY_US (50 * US_PER_MS)

enum sim_event_kind
{
  SIM_EVENT_TICK,
  SIM_EVENT_MESSAGE,
  SIM_EVENT_TASK_DONE,
  SIM_EVENT_SUBMIT
};

struct sim_event
{
  uint64_t at_us;
  uint64_t sequence;
  enum sim_event_kind kind;
  uint32_t entry;
  uint32_t generation;
  struct peer_message message;
  uint64_t attempt_id;
  uint32_t vm;
  uint32_t queue;
  uint32_t run_us;
};

uint32_t
sim_random (struct sim *s, uint32_t n)
{
  s->random ^= s->random << 13;
  s->random ^= s->random >> 7;
  s->random ^= s->random << 17;
  return (uint32_t)((s->random >> 16) % n);
}

static gint
compare_events (gconstpointer a, gconstpointer b)
{
  const struct sim_event *x = a;
  const struct sim_event *y = b;

  if (x->at_us != y->at_us)
    return x->at_us < y->at_us ? -1 : 1;
  return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

static struct sim_event *
add_event (struct sim *s, uint64_t delay_us, enum sim_event_kind kind,
           uint32_t entry)
{
  struct sim_event *x = g_new0 (struct sim_event, 1);

  x->at_us = s->now_us + delay_us;
  x->sequence = ++s->sequence;
  x->kind = kind;
  x->entry = entry;
  x->generation = s->entries[entry].generation;
  g_tree_insert (s->events, x, x);
  return x;
}

static void
append_to_log (struct sim *s, json_t *j)
{
  uint64_t ms = s->now_us / US_PER_MS;

  g_ptr_array_add (s->log, j);
  g_array_append_val (s->log_ms, ms);
}

static void
on_append (struct sim *s, uint32_t entry, const struct record *r)
{
  uint64_t incarnation = s->log->len + 1;

  if (s->entries[entry].island != 0)
    return;
  append_to_log (s, record_to_json (r));
  if (r->kind == RECORD_JOIN)
    g_hash_table_insert (
        s->owners, GSIZE_TO_POINTER (incarnation),
        GSIZE_TO_POINTER ((gsize)s->entries[entry].generation * 16 + entry));
  /* One append in ten loses its answer, so the command is appended again.  */
  if (r->kind != RECORD_JOIN && sim_random (s, 10) == 0)
    append_to_log (s, record_to_json (r));
}

/* Returns true if the entry of INCARNATION is on the same island as ENTRY.  */
static bool
is_reached (const struct sim *s, uint32_t entry, uint64_t incarnation)
{
  gsize owner = GPOINTER_TO_SIZE (
      g_hash_table_lookup (s->owners, GSIZE_TO_POINTER (incarnation)));

  return s->entries[owner % 16].island == s->entries[entry].island;
}

static void
send_message (struct sim *s, uint32_t entry, const struct peer_message *m)
{
  gsize owner = GPOINTER_TO_SIZE (
      g_hash_table_lookup (s->owners, GSIZE_TO_POINTER (m->to_incarnation)));
  uint32_t copies = 1;

  s->message_count++;
  s->transfer_count += m->kind == PEER_TRANSFER;
  /* Relayed records are not delivered: each entry reads the log itself.  */
  if (owner == 0 || m->kind == PEER_RECORD
      || !is_reached (s, entry, m->to_incarnation)
      || sim_random (s, 100) < s->drop_percent)
    return;
  if (sim_random (s, 100) < s->duplicate_percent)
    copies = 2;
  for (; copies > 0; copies--)
    {
      struct sim_event *x
          = add_event (s, 500 + sim_random (s, s->delay_high_us),
                       SIM_EVENT_MESSAGE, (uint32_t)(owner % 16));

      x->generation = (uint32_t)(owner / 16);
      x->message = *m;
    }
}

static void
start_task (struct sim *s, uint32_t entry, const struct action_start *a)
{
  uint32_t span = s->run_high_us - s->run_low_us + 1;
  uint32_t run_us = s->run_low_us + sim_random (s, span);
  struct sim_event *x = add_event (s, run_us, SIM_EVENT_TASK_DONE, entry);
  uint32_t pool = 0;
  uint32_t team = 0;

  sscanf (a->queue, "q%u-%u", &pool, &team);
  sscanf (a->vm, "w%u", &x->vm);
  x->queue = pool * s->team_count + team;
  x->attempt_id = a->attempt_id;
  x->run_us = run_us;
  s->team_running[team]++;
  s->pool_team_running[pool][team]++;
  s->vm_running[x->vm]++;
  s->start_count++;
  if (s->on_start != NULL)
    s->on_start (s, team, x->vm);
}

/* The client that got the answer sends its next request, unless the queue has
   fewer clients than before.  */
static void
on_answer (struct sim *s, uint32_t entry, const struct action_answer *a)
{
  /* The queue is encoded in the request id; see submit.  */
  uint32_t queue = (uint32_t)(a->request_id % SIM_QUEUE_LIMIT);
  struct sim_entry *e = &s->entries[entry];

  s->answered_count += a->code == ANSWER_WORKER;
  if (e->inflight[queue] > e->clients[queue])
    {
      e->inflight[queue]--;
      return;
    }
  add_event (s, a->code == ANSWER_WORKER ? 0 : RETRY_US, SIM_EVENT_SUBMIT,
             entry)
      ->queue
      = queue;
}

static void
step_core (struct sim *s, uint32_t entry, struct event *e)
{
  uint32_t i;

  e->now_us = s->now_us;
  e->random = sim_random (s, UINT32_MAX);
  s->actions.item_count = 0;
  s->step_count++;
  core_step (s->entries[entry].core, e, &s->actions);
  for (i = 0; i < s->actions.item_count; i++)
    {
      struct action *a = &s->actions.items[i];

      if (a->kind == ACTION_START)
        start_task (s, entry, &a->u.start);
      else if (a->kind == ACTION_ANSWER)
        on_answer (s, entry, &a->u.answer);
      else if (a->kind == ACTION_PEER)
        send_message (s, entry, &a->u.peer);
      else if (a->kind == ACTION_APPEND)
        on_append (s, entry, a->u.append);
      trace_action_drop (a);
    }
  talloc_free (e);
}

static struct event *
new_event (enum event_kind kind)
{
  struct event *e = talloc_zero (NULL, struct event);

  e->kind = kind;
  return e;
}

static void
read_log (struct sim *s, uint32_t entry)
{
  struct sim_entry *x = &s->entries[entry];
  struct event *e;

  while (x->island == 0 && x->next_offset < s->log->len)
    {
      e = new_event (EVENT_RECORD);
      e->u.record.offset = x->next_offset;
      e->u.record.appended_at_ms
          = g_array_index (s->log_ms, uint64_t, x->next_offset);
      e->u.record.record
          = record_from_json (e, g_ptr_array_index (s->log, x->next_offset));
      x->next_offset++;
      step_core (s, entry, e);
    }
  e = new_event (EVENT_LOG_READ);
  e->u.log_read.readable = x->island == 0;
  e->u.log_read.next_offset = x->next_offset;
  step_core (s, entry, e);
}

static void
submit (struct sim *s, uint32_t entry, uint32_t queue)
{
  struct event *e = new_event (EVENT_REQUEST);

  e->u.request.request_id = ++s->request_id * SIM_QUEUE_LIMIT + queue;
  snprintf (e->u.request.queue, NAME_BYTES, "q%u-%u", queue / s->team_count,
            queue % s->team_count);
  e->u.request.body = blob_new (0);
  step_core (s, entry, e);
}

static void
run_event (struct sim *s, struct sim_event *x)
{
  struct event *e;

  switch (x->kind)
    {
    case SIM_EVENT_TICK:
      add_event (s, TICK_US, SIM_EVENT_TICK, x->entry);
      read_log (s, x->entry);
      step_core (s, x->entry, new_event (EVENT_TICK));
      break;
    case SIM_EVENT_MESSAGE:
      if (!is_reached (s, x->entry, x->message.from_incarnation))
        break;
      e = new_event (EVENT_PEER);
      e->u.peer = x->message;
      step_core (s, x->entry, e);
      break;
    case SIM_EVENT_TASK_DONE:
      e = new_event (EVENT_ATTEMPT_DONE);
      e->u.attempt.attempt_id = x->attempt_id;
      e->u.attempt.outcome = ATTEMPT_ANSWERED;
      e->u.attempt.http_status = 200;
      e->u.attempt.elapsed_us = x->run_us;
      step_core (s, x->entry, e);
      break;
    case SIM_EVENT_SUBMIT:
      submit (s, x->entry, x->queue);
      break;
    }
}

/* A task ends at its worker even if its entry is paused or dead.  */
static void
end_task (struct sim *s, const struct sim_event *x)
{
  uint32_t team = x->queue % s->team_count;

  s->team_running[team]--;
  s->pool_team_running[x->queue / s->team_count][team]--;
  s->vm_running[x->vm]--;
}

/* Runs X, unless it was due to a process of the entry that has ended; defers
   it while the entry is paused.  */
static void
deliver (struct sim *s, struct sim_event *x)
{
  struct sim_entry *e = &s->entries[x->entry];

  if (!e->alive || x->generation != e->generation)
    {
      g_free (x);
      return;
    }
  if (e->paused)
    {
      g_queue_push_tail (&e->deferred, x);
      return;
    }
  run_event (s, x);
  g_free (x);
}

void
sim_run (struct sim *s, uint64_t until_us)
{
  GTreeNode *n;

  while ((n = g_tree_node_first (s->events)) != NULL)
    {
      struct sim_event *x = g_tree_node_value (n);

      if (x->at_us > until_us)
        break;
      g_tree_steal (s->events, x);
      s->now_us = x->at_us;
      if (x->kind == SIM_EVENT_TASK_DONE)
        end_task (s, x);
      deliver (s, x);
    }
  s->now_us = until_us;
}

void
sim_load (struct sim *s, uint32_t i, uint32_t p, uint32_t t, uint32_t count)
{
  uint32_t queue = p * s->team_count + t;
  struct sim_entry *e = &s->entries[i];

  e->clients[queue] = count;
  for (; e->inflight[queue] < count; e->inflight[queue]++)
    add_event (s, sim_random (s, 20000), SIM_EVENT_SUBMIT, i)->queue = queue;
}

void
sim_pause (struct sim *s, uint32_t i)
{
  s->entries[i].paused = true;
}

void
sim_resume (struct sim *s, uint32_t i)
{
  struct sim_event *x;

  if (!s->entries[i].paused)
    return;
  s->entries[i].paused = false;
  while ((x = g_queue_pop_head (&s->entries[i].deferred)) != NULL)
    deliver (s, x);
}

void
sim_cut (struct sim *s, uint32_t i, uint32_t island)
{
  s->entries[i].island = island;
}

void
sim_kill (struct sim *s, uint32_t i)
{
  struct sim_entry *e = &s->entries[i];

  if (!e->alive)
    return;
  e->alive = false;
  e->paused = false;
  e->island = 0;
  g_queue_clear_full (&e->deferred, g_free);
  talloc_free (e->core);
  e->core = NULL;
  memset (e->inflight, 0, sizeof e->inflight);
}

void
sim_start (struct sim *s, uint32_t i)
{
  struct core_settings c = { .zone = "a1",
                             .boot_id = ++s->sequence,
                             .stop_limit_ms = 30000,
                             .log_age_limit_ms = 1000,
                             .max_body_bytes = 1024,
                             .limit_policy = s->policy };
  struct sim_entry *e = &s->entries[i];
  uint32_t q;

  if (e->alive)
    return;
  snprintf (c.vm, NAME_BYTES, "e%u", i);
  e->core = core_new (NULL, &c);
  e->alive = true;
  e->generation++;
  e->next_offset = 0;
  add_event (s, 1 + sim_random (s, TICK_US), SIM_EVENT_TICK, i);
  for (q = 0; q < SIM_QUEUE_LIMIT; q++)
    if (e->clients[q] > 0)
      sim_load (s, i, q / s->team_count, q % s->team_count, e->clients[q]);
}

void
sim_declare_gone (struct sim *s, uint32_t i, uint64_t incarnation)
{
  append_to_log (s, json_pack ("{s:o, s:s, s:o, s:I}", "id",
                               json_sprintf ("gone-%u-%u", i, s->log->len),
                               "kind", "gone", "vm", json_sprintf ("e%u", i),
                               "incarnation", (json_int_t)incarnation));
}

static json_t *
pools_to_json (const struct sim *s)
{
  json_t *pools = json_array ();
  uint32_t p;
  uint32_t v;

  for (p = 0; p < s->pool_count; p++)
    {
      json_t *vms = json_array ();

      for (v = 0; v < s->vm_count; v++)
        json_array_append_new (
            vms,
            json_pack ("{s:o, s:s, s:i}", "name",
                       json_sprintf ("w%u", p * s->vm_count + v), "address",
                       "127.0.0.1:1", "slots", (int)s->slot_count));
      json_array_append_new (pools,
                             json_pack ("{s:o, s:o}", "name",
                                        json_sprintf ("p%u", p), "vms", vms));
    }
  return pools;
}

void
sim_publish (struct sim *s)
{
  json_t *teams = json_array ();
  json_t *routes = json_array ();
  json_t *tables;
  uint32_t p;
  uint32_t t;

  for (t = 0; t < s->team_count; t++)
    json_array_append_new (teams, json_pack ("{s:o, s:i, s:i}", "name",
                                             json_sprintf ("t%u", t), "share",
                                             (int)s->weight[t], "ceiling",
                                             (int)s->ceiling[t]));
  for (p = 0; p < s->pool_count; p++)
    for (t = 0; t < s->team_count; t++)
      json_array_append_new (
          routes,
          json_pack ("{s:o, s:o, s:o, s:b, s:b, s:i}", "queue",
                     json_sprintf ("q%u-%u", p, t), "team",
                     json_sprintf ("t%u", t), "pool", json_sprintf ("p%u", p),
                     "open", 1, "idempotent", 1, "timeout_ms", 1000));
  tables = json_pack ("{s:I, s:o, s:o, s:o}", "base_version",
                      (json_int_t)s->config_version, "teams", teams, "pools",
                      pools_to_json (s), "routes", routes);
  append_to_log (s, json_pack ("{s:o, s:s, s:o}", "id",
                               json_sprintf ("config-%u", s->log->len), "kind",
                               "config", "tables", tables));
  s->config_version = s->log->len;
}

/* Returns the tokens of LIMIT in transfers over FROM that its peer, whose link
   is TO, has not credited.  */
static uint64_t
uncredited (const struct ledger_link *from, const struct ledger_link *to,
            uint32_t limit)
{
  uint64_t sum = 0;
  uint32_t i;

  for (i = 0; from != NULL && i < from->unacked_count; i++)
    if (from->unacked[i].limit == limit
        && (to == NULL || !ledger_is_credited (to, from->unacked[i].sequence)))
      sum += from->unacked[i].token_count;
  return sum;
}

/* Returns true if, for each limit, the net amounts that A and B have exchanged
   and the transfers not yet credited add up to 0.  */
static bool
pair_is_balanced (const struct core *a, const struct core *b)
{
  struct ledger_link *x = ledger_link_find (a->limits->ledger, b->incarnation);
  struct ledger_link *y = ledger_link_find (b->limits->ledger, a->incarnation);
  uint32_t n
      = MIN (a->limits->ledger->limit_count, b->limits->ledger->limit_count);
  uint32_t i;

  for (i = 0; i < n; i++)
    {
      int64_t sum = (x ? x->net[i] : 0) + (y ? y->net[i] : 0);

      if (sum + (int64_t)uncredited (x, y, i) + (int64_t)uncredited (y, x, i)
          != 0)
        return false;
    }
  return true;
}

bool
sim_audit (const struct sim *s)
{
  uint32_t i;
  uint32_t k;

  for (i = 0; i < SIM_ENTRY_COUNT; i++)
    {
      const struct core *a = s->entries[i].core;

      if (a == NULL || a->incarnation == 0)
        continue;
      if (!ledger_audit (a->limits->ledger)
          || !issuance_audit (a->control->issuance))
        return false;
      for (k = 0; k < i; k++)
        if (s->entries[k].core != NULL && s->entries[k].core->incarnation != 0
            && !pair_is_balanced (a, s->entries[k].core))
          return false;
    }
  return true;
}

void
sim_init (struct sim *s, uint64_t seed)
{
  memset (s, 0, sizeof *s);
  s->random = seed * UINT64_C (0x9E3779B97F4A7C15) + 1;
  s->now_us = 1000 * US_PER_S;
  s->events = g_tree_new (compare_events);
  s->log = g_ptr_array_new_with_free_func ((GDestroyNotify)json_decref);
  s->log_ms = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  s->owners = g_hash_table_new (NULL, NULL);
  s->delay_high_us = 2000;
  s->run_low_us = 20000;
  s->run_high_us = 60000;
}

void
sim_open (struct sim *s)
{
  uint32_t i;

  for (i = 0; i < SIM_ENTRY_COUNT; i++)
    {
      g_queue_init (&s->entries[i].deferred);
      sim_start (s, i);
    }
  sim_run (s, s->now_us + 200 * US_PER_MS);
  sim_publish (s);
  sim_run (s, s->now_us + 200 * US_PER_MS);
}

static gboolean
free_event (gpointer key, gpointer value, gpointer state)
{
  (void)value;
  (void)state;
  g_free (key);
  return FALSE;
}

void
sim_close (struct sim *s)
{
  uint32_t i;

  for (i = 0; i < SIM_ENTRY_COUNT; i++)
    sim_kill (s, i);
  g_tree_foreach (s->events, free_event, NULL);
  g_tree_destroy (s->events);
  g_ptr_array_unref (s->log);
  g_array_unref (s->log_ms);
  g_hash_table_destroy (s->owners);
  talloc_free (s->actions.items);
}
