/* claim_codec.c -- msgpack coding of claims of the cell, as stored.

   A claim is [member, relay address, released, largest CPU share, time of the
   last release by an owner on a slow VM, time for which runs of former owners
   may go on, whether VM orders are recorded, age of an entry that is stopped,
   whether all former owners that may act are known, [name of each...],
   whether no other entry could take the cell].
   Earlier versions did not write all of them.  */

#include "adapter/claim_codec.h"

#include "adapter/job_codec.h"
#include "adapter/pack.h"

#define FIELD_COUNT 11

struct blob *
claim_encode (const char *member, const char *relay_address,
              const struct claim_terms *t)
{
  msgpack_sbuffer value;
  msgpack_sbuffer out;
  msgpack_packer p;
  struct blob *b;
  uint32_t i;

  msgpack_sbuffer_init (&value);
  msgpack_sbuffer_init (&out);
  msgpack_packer_init (&p, &value, msgpack_sbuffer_write);
  msgpack_pack_array (&p, FIELD_COUNT);
  pack_text (&p, member);
  pack_text (&p, relay_address);
  pack_bool (&p, t->released);
  msgpack_pack_uint32 (&p, t->best_cpu_milli);
  msgpack_pack_uint64 (&p, t->slow_yield_at_ms);
  msgpack_pack_uint32 (&p, t->unconfirmed_ms);
  pack_bool (&p, t->vm_orders_recorded);
  msgpack_pack_uint64 (&p, t->stopped_age_ms);
  pack_bool (&p, t->former.known);
  msgpack_pack_array (&p, t->former.count);
  for (i = 0; i < t->former.count; i++)
    pack_text (&p, t->former.names[i]);
  pack_bool (&p, t->no_successor);
  keyed_record_pack (&out, "0", value.data, (uint32_t)value.size);
  b = blob_copy (out.data, (uint32_t)out.size);
  msgpack_sbuffer_destroy (&value);
  msgpack_sbuffer_destroy (&out);
  return b;
}

/* Decodes the next two fields of U.  Without them, or with more names than a
   claim has, F is not known.  */
static void
unpack_former (struct unpack *u, struct former_owners *f)
{
  struct unpack names;
  bool known = unpack_bool (u);

  unpack_array (u, &names);
  while (!names.failed && f->count < names.item_count
         && f->count < FORMER_OWNER_LIMIT_COUNT)
    unpack_text (&names, f->names[f->count++], NAME_BYTES);
  f->known
      = known && !u->failed && !names.failed && f->count == names.item_count;
}

bool
claim_decode (const struct platform_record *x, struct cell_event *e)
{
  struct claim_terms *t = &e->u.claim.terms;
  msgpack_unpacked m;
  struct unpack u;
  bool valid = unpack_message (&m, x->value, x->value_bytes);

  *t = (struct claim_terms){ 0 };
  unpack_open (&u, valid ? &m.data : NULL);
  unpack_text (&u, e->u.claim.member, NAME_BYTES);
  unpack_text (&u, e->u.claim.address, ADDRESS_BYTES);
  t->released = unpack_bool (&u);
  valid = !u.failed;
  t->best_cpu_milli = (uint32_t)unpack_number (&u, UINT32_MAX);
  t->slow_yield_at_ms = unpack_number (&u, UINT64_MAX);
  t->unconfirmed_ms = (uint32_t)unpack_number (&u, UINT32_MAX);
  t->vm_orders_recorded = unpack_bool (&u);
  t->stopped_age_ms = unpack_number (&u, UINT64_MAX / US_PER_S);
  unpack_former (&u, &t->former);
  t->no_successor = unpack_bool (&u);
  msgpack_unpacked_destroy (&m);
  return valid;
}
