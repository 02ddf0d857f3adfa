/* peers.c -- the entries that are linked to this one.

   Every other entry has a link to the owner.  The owner's heartbeats report
   the largest CPU share of all of them, so that weak entries leave the cell to
   stronger ones.  */

#include "core/cell/state_calls.h"

#include <string.h>

/* Notes the largest CPU share of the peers that could own the cell.  */
static void
update_best_cpu (struct cell *c)
{
  GHashTableIter it;
  gpointer value;

  c->best_peer_cpu_milli = 0;
  g_hash_table_iter_init (&it, c->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    {
      const struct peer *p = value;

      if (p->eligible)
        c->best_peer_cpu_milli = MAX (c->best_peer_cpu_milli, p->cpu_milli);
    }
}

void
peers_on_event (struct cell *c, const struct cell_event *e)
{
  uint64_t id = e->u.peer.link_id;
  struct peer *p;
  bool changed;
  bool is_new;

  if (!e->u.peer.up)
    {
      state_calls_on_peers (c);
      g_hash_table_remove (c->peers, &id);
      update_best_cpu (c);
      delegates_on_lost (c, id);
      return;
    }
  p = g_hash_table_lookup (c->peers, &id);
  is_new = p == NULL;
  changed = is_new || p->eligible != e->u.peer.eligible
            || p->cpu_milli != e->u.peer.cpu_milli
            || strcmp (p->zone, e->u.peer.zone) != 0;
  if (p == NULL)
    {
      p = g_new0 (struct peer, 1);
      p->link_id = id;
      g_hash_table_insert (c->peers, &p->link_id, p);
    }
  p->eligible = e->u.peer.eligible;
  p->cpu_milli = e->u.peer.cpu_milli;
  text_copy (p->zone, NAME_BYTES, e->u.peer.zone);
  text_copy (p->member, NAME_BYTES, e->u.peer.member);
  p->followed_token = e->u.peer.followed_token;
  if (changed)
    {
      update_best_cpu (c);
      delegates_on_change (c);
    }
  p->takes_states = e->u.peer.takes_states;
  state_calls_on_peers (c);
  if (is_new)
    {
      state_calls_count_entries (c);
      if (c->known_states.entry_count == 0)
        c->known_states.entry_count = e->u.peer.entry_count;
    }
  if (is_new)
    state_reports_on_linked (c, p);
  former_owners_check (c);
}

uint32_t
peers_best_other_cpu_milli (const struct cell *c)
{
  return c->best_peer_cpu_milli;
}

uint64_t
peers_newest_followed_token (const struct cell *c)
{
  GHashTableIter it;
  gpointer value;
  uint64_t newest = 0;

  g_hash_table_iter_init (&it, c->peers);
  while (g_hash_table_iter_next (&it, NULL, &value))
    newest = MAX (newest, ((const struct peer *)value)->followed_token);
  return newest;
}

uint32_t
peers_best_cpu_milli (const struct cell *c)
{
  return MAX (c->settings.cpu_milli, peers_best_other_cpu_milli (c));
}
