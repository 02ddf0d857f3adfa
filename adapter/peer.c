/* peer.c -- links to the other members.

   The static split of limits needs no messages, so the duty only takes its
   ring's elements; the links come with the token ledger.  */

#include "adapter/peer.h"

#include "port/action.h"

#define RING_COUNT 4096

struct peer
{
  struct duty *duty;
  struct ring *decide;
};

static void
on_action (void *state, void *item)
{
  (void)state;
  talloc_free (item);
}

struct peer *
peer_new (const struct settings *s, struct ring *decide, char *text)
{
  struct peer *p = talloc_zero (NULL, struct peer);

  (void)s;
  p->decide = decide;
  p->duty = duty_new ("peer", RING_COUNT, on_action, p);
  if (p->duty != NULL)
    return p;
  text_copy (text, TEXT_BYTES, "cannot make the peer duty");
  talloc_free (p);
  return NULL;
}

struct duty *
peer_duty (struct peer *p)
{
  return p->duty;
}

void
peer_free (struct peer *p)
{
  struct action *a;

  if (p == NULL)
    return;
  while (ring_pop (p->duty->inbound, (void **)&a, 1) > 0)
    talloc_free (a);
  duty_free (p->duty);
  talloc_free (p);
}
