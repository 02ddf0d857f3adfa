/* site_entry.c -- an entry on the users' platform, assembled from its
   duties.  */

#include "adapter/site_entry.h"

#include "adapter/line_log.h"
#include "adapter/relay.h"
#include "adapter/site_order_client.h"
#include "adapter/site_decide.h"
#include "adapter/site_front.h"
#include "adapter/site_store.h"
#include "adapter/stop_wait.h"
#include "port/stop_times.h"

#include <stdatomic.h>
#include <stdio.h>

struct site_entry
{
  struct line_log *log;
  struct site_decide *decide;
  struct site_store *store;
  struct site_order_client *order_client;
  struct relay *relay;
  struct site_front *front;
  struct stop_wait *stop;         /**< The front reports to it.  */
  _Atomic uint32_t stop_grace_ms; /**< As in struct cell_times.  */
};

static bool
make_duties (struct site_entry *e, const struct site_settings *s, char *text,
             bool *listen_failed)
{
  struct ring *cell;

  snprintf (text, TEXT_BYTES,
            "cannot start: out of memory, threads or file descriptors");
  e->stop = stop_wait_new (e);
  atomic_store (&e->stop_grace_ms, s->cell.times.stop_grace_ms);
  e->log = line_log_new (s->cell.member, s->log_capacity_count);
  e->decide = site_decide_new (&s->cell);
  if (e->stop == NULL || e->log == NULL || e->decide == NULL)
    return false;
  cell = site_decide_duty (e->decide)->inbound;
  e->store = site_store_new (s, cell, e->log);
  e->order_client = site_order_client_new (s, cell, e->log);
  if (e->store == NULL || e->order_client == NULL)
    return false;
  *listen_failed = true;
  e->relay = relay_new (s, cell, e->log, text);
  if (e->relay == NULL)
    return false;
  relay_set_orders (e->relay,
                    site_order_client_duty (e->order_client)->inbound);
  site_order_client_set_relay (e->order_client,
                               relay_duty (e->relay)->inbound);
  e->front = site_front_new (s, cell, e->log, stop_wait_ring (e->stop), text);
  *listen_failed = e->front == NULL;
  return e->front != NULL;
}

static bool
start_duties (struct site_entry *e)
{
  struct site_outputs o
      = { .front = site_front_duty (e->front)->inbound,
          .relay = relay_duty (e->relay)->inbound,
          .store = site_store_duty (e->store)->inbound,
          .order_client = site_order_client_duty (e->order_client)->inbound,
          .log = e->log };

  site_decide_set_outputs (e->decide, &o);
  site_store_follow (e->store);
  return duty_start (line_log_duty (e->log))
         && duty_start (site_order_client_duty (e->order_client))
         && duty_start (relay_duty (e->relay))
         && duty_start (site_decide_duty (e->decide))
         && duty_start (site_store_duty (e->store))
         && duty_start (site_front_duty (e->front));
}

struct site_entry *
site_entry_open (const struct site_settings *s, char *text,
                 bool *listen_failed)
{
  struct site_entry *e = talloc_zero (NULL, struct site_entry);
  char fields[120];

  *listen_failed = false;
  if (e == NULL)
    return NULL;
  if (!make_duties (e, s, text, listen_failed) || !start_duties (e))
    {
      site_entry_close (e);
      return NULL;
    }
  snprintf (fields, sizeof fields, "\"listen\":\"%s\",\"store\":\"%s\"",
            s->listen_address, s->store_address);
  line_log_write (e->log, "started", 0, fields);
  return e;
}

void
site_entry_reload (struct site_entry *e, const struct site_settings *s)
{
  line_log_write (e->log, "reloaded", 0, "");
  atomic_store (&e->stop_grace_ms, s->cell.times.stop_grace_ms);
  site_decide_reload (e->decide, &s->cell);
}

uint32_t
site_entry_stop (struct site_entry *e)
{
  uint32_t grace_ms = atomic_load (&e->stop_grace_ms);

  stop_wait_begin (e->stop, stop_end_us (grace_ms));
  site_decide_stop (e->decide);
  return grace_ms;
}

/* Logs the end of a planned stop and the connections that were open then.  */
static void
log_stopped (struct site_entry *e, bool complete)
{
  char clients[120];
  char fields[200];

  site_front_describe (e->front, clients, sizeof clients);
  snprintf (fields, sizeof fields, "\"complete\":%s,\"took_ms\":%llu,%s",
            complete ? "true" : "false",
            (unsigned long long)stop_wait_age_ms (e->stop), clients);
  line_log_write (e->log, "stopped", 0, fields);
}

void
site_entry_run (struct site_entry *e)
{
  bool complete = stop_wait_run (e->stop);

  duty_stop (site_front_duty (e->front));
  log_stopped (e, complete);
}

void
site_entry_close (struct site_entry *e)
{
  if (e == NULL)
    return;
  if (e->front != NULL)
    duty_stop (site_front_duty (e->front));
  if (e->relay != NULL)
    duty_stop (relay_duty (e->relay));
  if (e->order_client != NULL)
    duty_stop (site_order_client_duty (e->order_client));
  if (e->store != NULL)
    duty_stop (site_store_duty (e->store));
  if (e->decide != NULL)
    duty_stop (site_decide_duty (e->decide));
  if (e->log != NULL)
    duty_stop (line_log_duty (e->log));
  site_front_free (e->front);
  relay_free (e->relay);
  site_order_client_free (e->order_client);
  site_store_free (e->store);
  site_decide_free (e->decide);
  line_log_free (e->log);
  talloc_free (e);
}
