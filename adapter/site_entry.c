/* site_entry.c -- an entry on the users' platform, assembled from its
   duties.  */

#include "adapter/site_entry.h"

#include "adapter/line_log.h"
#include "adapter/relay.h"
#include "adapter/site_order_client.h"
#include "adapter/site_decide.h"
#include "adapter/site_front.h"
#include "adapter/site_store.h"

#include <poll.h>
#include <stdio.h>

#define EXIT_RING_CAPACITY_COUNT 8

struct site_entry
{
  struct line_log *log;
  struct site_decide *decide;
  struct site_store *store;
  struct site_order_client *order_client;
  struct relay *relay;
  struct site_front *front;
  struct ring *exit_ring; /**< Gets an item when a planned stop is complete. */
};

static bool
make_duties (struct site_entry *e, const struct site_settings *s, char *text,
             bool *listen_failed)
{
  struct ring *cell;

  snprintf (text, TEXT_BYTES,
            "cannot start: out of memory, threads or file descriptors");
  e->exit_ring = ring_open (EXIT_RING_CAPACITY_COUNT);
  e->log = line_log_new (s->cell.member, s->log_capacity_count);
  e->decide = site_decide_new (&s->cell);
  if (e->exit_ring == NULL || e->log == NULL || e->decide == NULL)
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
  e->front = site_front_new (s, cell, e->log, e->exit_ring, text);
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
  site_decide_reload (e->decide, &s->cell);
}

void
site_entry_stop (struct site_entry *e)
{
  site_decide_stop (e->decide);
}

void
site_entry_run (struct site_entry *e)
{
  struct pollfd p = { .fd = ring_fd (e->exit_ring), .events = POLLIN };
  void *item;

  while (ring_pop (e->exit_ring, &item, 1) == 0)
    poll (&p, 1, -1);
  line_log_write (e->log, "stopped", 0, "");
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
  ring_close (e->exit_ring);
  talloc_free (e);
}
